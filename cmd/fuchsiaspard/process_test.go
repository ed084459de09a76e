package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/header"
	kv "fuchsiaspar/platform"
	"fuchsiaspar/platform/storetest"
)

const (
	// vmCount is the number of entry VMs; the first two share an availability zone.
	vmCount = 3
	// storePageSize is the number of items per page of the store's listings.
	storePageSize = 100
	// waitTimeout bounds each wait for an expected condition.
	waitTimeout = 60 * time.Second
)

const configDocument = `
[lookup]
ttl = "500ms"

[[zones]]
name = "lj-a"
region = "lj"

[[zones]]
name = "mb-a"
region = "mb"

[[slots]]
vm = "vm-0"
zone = "lj-a"

[[slots]]
vm = "vm-1"
zone = "lj-a"

[[slots]]
vm = "vm-2"
zone = "mb-a"

[[links]]
from = "lj"
to = "mb"
bytes_per_second = 100000000

[[links]]
from = "mb"
to = "lj"
bytes_per_second = 100000000

[[templates]]
name = "desk"
service = "desk"
places = ["lj-a", "mb-a"]
queue_limit = 100
retry_percent = 20

[templates.server]
slots = 3
max_conns = 100
cold_start = "0s"

[templates.floors]
normal = 10
bulk = 5

[templates.shift_cap]
min = 0
max = 1000
default = 1000

[templates.weight]
min = 1
max = 1
default = 1

[[templates.classes]]
name = "lookup"
path_prefix = "/lookup"
priority = "urgent"
highest = "urgent"
lowest = "bulk"
idempotent = true
deadline = "5s"

[[accounts]]
id = "carrier"

[[accounts.services]]
template = "desk"

[[accounts.blocks]]
prefix = "127.0.0.0/8"
places = [{ zone = "lj-a", weight = 1 }]
`

// deployment is a set of daemons, each in its own process, with a shared store
// and backend servers in the test process.
type deployment struct {
	t         *testing.T
	dir       string
	daemon    string
	cli       string
	store     *storetest.Store
	addresses []string
	processes []*exec.Cmd
	servers   []*standin.Server
	// limits are lines of the limits in the settings files, besides those of all tests.
	limits string
}

func start(t *testing.T) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), store: storetest.Start(t, storePageSize)}
	d.daemon = d.build("fuchsiaspard")
	d.cli = d.build("fuchsiaspar")
	for i, zone := range []string{"lj-a", "lj-a", "mb-a"} {
		d.startServer(fmt.Sprintf("desk-%d", i), zone)
	}
	for range vmCount {
		d.addresses = append(d.addresses, freeAddress(t))
	}
	for i := range vmCount {
		d.processes = append(d.processes, d.run(i))
	}
	return d
}

// build compiles a command of this module and returns the path of the binary.
func (d *deployment) build(name string) string {
	path := filepath.Join(d.dir, name)
	out, err := exec.Command("go", "build", "-o", path, "fuchsiaspar/cmd/"+name).CombinedOutput()
	if err != nil {
		d.t.Fatalf("build %s: %v\n%s", name, err, out)
	}
	return path
}

func (d *deployment) startServer(id, zone string) {
	s, err := standin.Start(standin.Options{Slots: 3, Seed: 1})
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(s.Kill)
	d.servers = append(d.servers, s)
	d.store.Put(kv.PrefixServers+id, fmt.Appendf(nil,
		`{"address":%q,"info":{"service":"desk","zone":%q,"slots":3},"status":{"state":"ready","cold_left_ms":0}}`, s.Address(), zone))
}

// freeAddress returns a loopback address with a free port chosen by the
// operating system.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (d *deployment) settings(i int) string {
	zone, region := "lj-a", "lj"
	if i == 2 {
		zone, region = "mb-a", "mb"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\nname = \"vm-%d\"\nzone = %q\nregion = %q\nlisten = %q\n", i, zone, region, d.addresses[i])
	fmt.Fprintf(&b, "[platform]\naddress = %q\n", d.store.Address())
	fmt.Fprintf(&b, "[limits]\nticket_validity = \"1s\"\n%s", d.limits)
	for j, address := range d.addresses {
		if j != i {
			fmt.Fprintf(&b, "[[seeds]]\nvm = \"vm-%d\"\naddress = %q\n", j, address)
		}
	}
	return b.String()
}

// command writes the settings of entry VM i and returns the command of its daemon.
func (d *deployment) command(i int) *exec.Cmd {
	path := filepath.Join(d.dir, fmt.Sprintf("vm-%d.toml", i))
	if err := os.WriteFile(path, []byte(d.settings(i)), 0o600); err != nil {
		d.t.Fatal(err)
	}
	c := exec.Command(d.daemon, "--settings", path)
	c.Stderr = io.Discard
	return c
}

// run starts the daemon of entry VM i.
func (d *deployment) run(i int) *exec.Cmd {
	c := d.command(i)
	if err := c.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return c
}

// runCLI runs the operators' command line, retrying until it succeeds, and
// returns its output.
func (d *deployment) runCLI(args ...string) []byte {
	d.t.Helper()
	var out []byte
	d.waitFor("fuchsiaspar "+strings.Join(args, " "), func() bool {
		c := exec.Command(d.cli, append([]string{"--server", d.addresses[0], "--json"}, args...)...)
		var stderr bytes.Buffer
		c.Stderr = &stderr
		var err error
		out, err = c.Output()
		return err == nil
	})
	return out
}

func (d *deployment) waitFor(what string, condition func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			d.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// serves reports whether a request through entry VM i gets a complete answer.
func (d *deployment) serves(i int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addresses[i]+"/v1/requests/desk/lookup?bytes=1000", nil)
	if err != nil {
		d.t.Fatal(err)
	}
	r.Header.Set(header.Account, "carrier")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && len(body) == 1000 && resp.Header.Get(header.Outcome) == "ran"
}

func (d *deployment) waitUntilServes(i int) {
	d.t.Helper()
	d.waitFor(fmt.Sprintf("an answer through vm-%d", i), func() bool { return d.serves(i) })
}

func (d *deployment) signal(i int, s syscall.Signal) {
	d.t.Helper()
	if err := d.processes[i].Process.Signal(s); err != nil {
		d.t.Fatal(err)
	}
}

// countAlive returns the number of entry VMs that the first one considers alive.
func (d *deployment) countAlive() int {
	var status struct {
		VMs []struct {
			State string `json:"state"`
		} `json:"vms"`
	}
	if err := json.Unmarshal(d.runCLI("status"), &status); err != nil {
		d.t.Fatal(err)
	}
	count := 0
	for _, vm := range status.VMs {
		if vm.State == "alive" {
			count++
		}
	}
	return count
}

// TestProcesses checks that daemons in separate processes keep serving requests
// while the store is unavailable, after one daemon is suspended and resumed,
// after one is killed and replaced, and after one is stopped gracefully.
func TestProcesses(t *testing.T) {
	d := start(t)
	path := filepath.Join(d.dir, "fleet.toml")
	if err := os.WriteFile(path, []byte(configDocument), 0o600); err != nil {
		t.Fatal(err)
	}
	d.waitFor("all entry VMs", func() bool { return d.countAlive() == vmCount })
	d.runCLI("config", "apply", path)
	for i := range vmCount {
		d.waitUntilServes(i)
	}

	d.store.SetFaults(storetest.Faults{RefuseStatus: http.StatusServiceUnavailable})
	for i := range vmCount {
		d.waitUntilServes(i)
	}
	d.store.SetFaults(storetest.Faults{})

	d.signal(1, syscall.SIGSTOP)
	d.waitFor("the suspended VM to be declared dead", func() bool { return d.countAlive() == vmCount-1 })
	d.waitUntilServes(0)
	d.signal(1, syscall.SIGCONT)
	d.waitFor("the resumed VM to be alive", func() bool { return d.countAlive() == vmCount })
	d.waitUntilServes(1)

	d.signal(2, syscall.SIGKILL)
	d.waitFor("the killed VM to be declared dead", func() bool { return d.countAlive() == vmCount-1 })
	d.waitUntilServes(0)
	_ = d.processes[2].Wait()
	d.processes[2] = d.run(2)
	d.waitFor("the replacement VM to be alive", func() bool { return d.countAlive() == vmCount })
	d.waitUntilServes(2)

	d.signal(1, syscall.SIGTERM)
	if err := d.processes[1].Wait(); err != nil {
		t.Fatalf("graceful stop: %v", err)
	}
	d.waitUntilServes(0)
}

// TestInvalidSettingsReportEveryProblem checks that invalid settings are all
// reported at once, with exit code 1.
func TestInvalidSettingsReportEveryProblem(t *testing.T) {
	d := &deployment{t: t, dir: t.TempDir()}
	binary := d.build("fuchsiaspard")
	path := filepath.Join(d.dir, "bad.toml")
	if err := os.WriteFile(path, []byte("[vm]\nname = \"A\"\nlisten = \"x\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(binary, "--settings", path).CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Fatalf("exit: %v, want code 1", err)
	}
	for _, key := range []string{"vm.name", "vm.zone", "vm.listen", "platform.address"} {
		if !strings.Contains(string(out), key) {
			t.Errorf("output lacks %s:\n%s", key, out)
		}
	}
}
