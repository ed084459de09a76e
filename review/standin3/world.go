package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the settings, those of a small deployment.
const (
	beatInterval = 1500 * time.Millisecond
	stableWindow = 3 * time.Second
	drainTime    = 2 * time.Second
	host         = "ficu95.example"
)

// regions are those of the machines and of the servers, one zone each.
var regions = []string{"lj", "mb", "kp"}

// vm is a machine with a process of the daemon.
type vm struct {
	name, ip, front, ready, control, directory string

	command *exec.Cmd
	exited  chan struct{}
}

// world is a deployment of stand-ins around the project's own processes.
type world struct {
	dir   string
	store *store
	vms   []*vm
	begun time.Time

	mu       sync.Mutex
	arrivals []*arrival
	byID     map[string][]*arrival
	record   *os.File
	requests atomic.Int64
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, store: s, begun: time.Now(), byID: map[string][]*arrival{}, record: record}, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f ", time.Since(w.begun).Seconds())
	_, _ = fmt.Fprintf(w.record, format+"\n", args...)
}

func (w *world) arrived(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
	w.byID[a.id] = append(w.byID[a.id], a)
}

func (w *world) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// arrivalsOf returns copies of the arrivals of a request.
func (w *world) arrivalsOf(id string) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []arrival
	for _, a := range w.byID[id] {
		found = append(found, *a)
	}
	return found
}

func (w *world) nextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+w.requests.Add(1)) }

// claimNetwork returns x for the loopback addresses 127.x.*.*, which this process has for
// itself: it holds a port there until it exits. Nothing connects from these addresses, so
// that their ports stay free while a process is not running.
func claimNetwork() (int, error) {
	const first, count = 2, 200
	for i := range count {
		network := first + (os.Getpid()+i)%count
		if _, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:7000", network)); err == nil {
			return network, nil
		}
	}
	return 0, errors.New("no free loopback network")
}

// startVMs writes the settings of the machines and starts their processes.
func (w *world) startVMs(binary string, graceSeconds int) error {
	zones := ""
	for _, region := range regions {
		zones += fmt.Sprintf("%s-a = %q\n", region, region)
	}
	network, err := claimNetwork()
	if err != nil {
		return err
	}
	for i, region := range regions {
		ip := fmt.Sprintf("127.%d.1.%d", network, i+1)
		w.vms = append(w.vms, &vm{
			name: fmt.Sprintf("edge-%s-a-%d", region, i+1), ip: ip, exited: make(chan struct{}),
			front: ip + ":7001", ready: ip + ":7002", control: ip + ":7003", directory: ip + ":7004",
		})
	}
	for i, v := range w.vms {
		path := filepath.Join(w.dir, v.name+".toml")
		settings := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge","directory","control"]
ip = %q
zone = "%s-a"
region = %q
seeds = [%q]
bootstrap = true
beat_interval_ms = %d
contracts = ["base","drain","config","cost","retry","recover","places","platform"]
[zones]
%s[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpu_share = 0.64
cpu_cores = 1
memory_mb = 544
max_fds = 8200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 1
[bounds]
stable_window_ms = %d
drain_ms = %d
grace_s = %d
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 60
cold_load_factor = 1.5
cold_slack = 5
evacuation_ms = 5000
ttl_max_s = 5
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, v.name, v.ip, regions[i], regions[i], w.vms[0].control, beatInterval.Milliseconds(), zones, v.front, v.ready, v.control, v.directory,
			stableWindow.Milliseconds(), drainTime.Milliseconds(), graceSeconds, w.store.address)
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return err
		}
		if err := v.start(binary, path, filepath.Join(w.dir, v.name+".log")); err != nil {
			return err
		}
	}
	return nil
}

func (v *vm) start(binary, settings, logPath string) error {
	log, err := os.Create(logPath)
	if err != nil {
		return err
	}
	defer log.Close()
	v.command = exec.Command(binary, "platform")
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIASPAR_NODE_FILE=" + settings}
	v.command.Stdout, v.command.Stderr = log, log
	// The process ends with this one, whatever happens to it.
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = v.command.Wait()
		close(v.exited)
	}()
	return nil
}

// running reports whether the process of the machine runs.
func (v *vm) running() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// awaitReady waits until all machines say that they are ready and have been running for the
// stable window since.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(20 * time.Second)
	for _, v := range w.vms {
		for {
			resp, err := client.Get("http://" + v.ready + "/-/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(stableWindow + 2*time.Second)
	w.note("all machines have been ready for the stable window")
	return nil
}

// crashed returns the machines whose processes ended by themselves.
func (w *world) crashed() []string {
	var names []string
	for _, v := range w.vms {
		if !v.running() {
			names = append(names, v.name)
		}
	}
	return names
}

// close ends all processes that this one started and removes the temporary folder.
func (w *world) close() {
	for _, v := range w.vms {
		if v.command != nil && v.running() {
			_ = v.command.Process.Kill()
			<-v.exited
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// writeArrivals writes what reached the servers to the record.
func (w *world) writeArrivals() {
	w.mu.Lock()
	defer w.mu.Unlock()
	sort.Slice(w.arrivals, func(i, j int) bool { return w.arrivals[i].at.Before(w.arrivals[j].at) })
	for _, a := range w.arrivals {
		end := "not finished"
		switch {
		case a.spoiled:
			end = "answer not whole"
		case !a.finished.IsZero():
			end = fmt.Sprintf("answered at %.3f", a.finished.Sub(w.begun).Seconds())
		}
		_, _ = fmt.Fprintf(w.record, "%8.3f server %s: request %s ran=%v %s\n", a.at.Sub(w.begun).Seconds(), a.server, a.id, a.ran, end)
	}
}

// configure writes the operator's configuration.
func (w *world) configure(version int, services []string, routes map[string]any) {
	table := map[string]any{}
	for _, name := range services {
		table[name] = map[string]any{"health_path": "/health", "max_connections": 360, "cold_start_s": 3.0, "cold_per_s": 3.5}
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": table,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// route returns a route to one service.
func route(prefix, kind, service string, timeout time.Duration) map[string]any {
	return map[string]any{
		"host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 400,
		"priority": 1, "service": service, "max_attempts": 2, "session_affinity": true, "allowed_regions": []string{},
	}
}

// requestHead returns the head of a client's request without the empty line.
func requestHead(method, path, id string, deadline time.Duration, more ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Fuchsiaspar-Request-Id: %s\r\nX-Fuchsiaspar-Affinity-Key: %s\r\nX-Fuchsiaspar-Deadline-Ms: %d\r\n",
		method, path, host, id, id[len(id)-3:], deadline.Milliseconds()) + strings.Join(more, "")
}
