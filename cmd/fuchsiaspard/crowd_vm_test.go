package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaspar/internal/routereport"
	"fuchsiaspar/internal/wiretest"
	kv "fuchsiaspar/platform"
	"fuchsiaspar/platform/storetest"
)

const (
	// crowdMemoryMB and crowdDescriptors are the limits of the VM under test. They are
	// lower than those of the smallest VM, so that a small crowd exceeds them.
	crowdMemoryMB    = 96
	crowdDescriptors = 512
	// crowdMaxBody is the operator's limit on a request body.
	crowdMaxBody = 4 << 20
	// serverSlots is above the size of every crowd, so that requests are not refused
	// for lack of slots.
	serverSlots = 2000
	// hangTimeout bounds a wait after which the process counts as hanging.
	hangTimeout = 40 * time.Second
	// crowdHost is the host of the only route.
	crowdHost = "crowd.test"
)

// crowdVM is an entry VM in its own process, with one backend server.
type crowdVM struct {
	t       *testing.T
	process *exec.Cmd
	store   *storetest.Store
	// exited is closed when the process has ended.
	exited chan struct{}
	// addresses holds the listen addresses by role.
	addresses map[string]string
	// released ends the answers that the backend server holds back, held counts them.
	released chan struct{}
	held     atomic.Int64

	mu             sync.Mutex
	maxDescriptors int
}

// startCrowdVM runs an entry VM from binary and waits until it serves requests.
func startCrowdVM(t *testing.T, binary string) *crowdVM {
	t.Helper()
	store := storetest.Start(t, storePageSize)
	vm := &crowdVM{t: t, store: store, exited: make(chan struct{}), addresses: map[string]string{}, released: make(chan struct{})}
	for _, role := range []string{"front", "ready", "control", "directory", "metrics"} {
		vm.addresses[role] = ownLoopbackAddress(t)
	}
	server := httptest.NewServer(http.HandlerFunc(vm.serveBackend))
	t.Cleanup(server.Close)
	store.Put(kv.PrefixServers+"s-1", fmt.Appendf(nil,
		`{"address":%q,"info":{"service":"desk","zone":"z","slots":%d},"status":{"state":"ready","sequence":1,"cold_left_ms":0}}`,
		server.Listener.Addr().String(), serverSlots))
	store.Put(kv.KeyConfig, fmt.Appendf(nil,
		`{"version":1,"routes":{"r":{"host":%q,"path_prefix":"/a/","kind":"idempotent","timeout_ms":20000,"service":"desk","max_attempts":2}},
		"services":{"desk":{"health_path":"/health"}},
		"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		crowdHost, crowdMaxBody))
	vm.run(binary, store.Address())
	vm.waitFor("readiness", func() bool { return vm.status("ready", kv.PathReady) == http.StatusOK })
	vm.waitFor("an answer", vm.serves)
	return vm
}

func (vm *crowdVM) run(binary, store string) {
	dir := vm.t.TempDir()
	settings := filepath.Join(dir, "node.toml")
	ip, port, err := net.SplitHostPort(vm.addresses["metrics"])
	if err != nil {
		vm.t.Fatal(err)
	}
	document := fmt.Sprintf(`node_name = "vm-a"
zone = "z"
region = "r"
ip = %q
internal_ports = [%s, %s]
[zones]
z = "r"
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
memory_mb = %d
max_fds = %d
cpu_share = 1.0
link_mbps = 200
[bounds]
grace_s = 3
retry_budget_ratio = 0.2
retry_budget_slack = 60
budget_window_s = 10
cold_load_factor = 1.5
cold_slack = 5
ttl_max_s = 5
[platform]
address = %q
`, ip, port, port, vm.addresses["front"], vm.addresses["ready"], vm.addresses["control"], vm.addresses["directory"],
		crowdMemoryMB, crowdDescriptors, store)
	if err := os.WriteFile(settings, []byte(document), 0o600); err != nil {
		vm.t.Fatal(err)
	}
	process := exec.Command(binary, "platform")
	process.Env = append(os.Environ(), kv.SettingsFileEnv+"="+settings)
	vm.start(process)
}

// ownLoopbackAddress returns an address with a free port on a loopback IP of this test
// process. On 127.0.0.1, connections of other processes may take the port until the VM
// listens on it.
func ownLoopbackAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", pid>>8&0xff, pid&0xff|1))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// logTail is the length in bytes of the output of a process that a failed test shows.
const logTail = 4 << 10

// start starts the process, which is killed when the test ends.
func (vm *crowdVM) start(process *exec.Cmd) {
	vm.process = process
	path := filepath.Join(vm.t.TempDir(), "log")
	output, err := os.Create(path)
	if err != nil {
		vm.t.Fatal(err)
	}
	defer output.Close()
	process.Stdout, process.Stderr = output, output
	vm.t.Cleanup(func() {
		if data, err := os.ReadFile(path); err == nil && vm.t.Failed() {
			vm.t.Logf("output of the process:\n%s", data[max(0, len(data)-logTail):])
		}
	})
	if err := process.Start(); err != nil {
		vm.t.Fatal(err)
	}
	go func() {
		_ = vm.process.Wait()
		close(vm.exited)
	}()
	go vm.sampleDescriptors()
	vm.t.Cleanup(func() {
		_ = vm.process.Process.Kill()
		<-vm.exited
	})
}

// serveBackend is the backend server. It reads the whole request, and answers with as
// many bytes as the query asks for. A request with "hold" in its query is answered once
// the crowd has ended.
func (vm *crowdVM) serveBackend(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	query := r.URL.Query()
	if query.Has("hold") {
		vm.held.Add(1)
		select {
		case <-vm.released:
		case <-r.Context().Done():
			return
		}
	}
	size, _ := strconv.Atoi(query.Get("bytes"))
	w.Header().Set(kv.HeaderRequestID, r.Header.Get(kv.HeaderRequestID))
	w.Header().Set(kv.HeaderSeal, "seal")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = io.Copy(w, io.LimitReader(zeros{}, int64(size)))
}

// addRawServer runs a second backend server, which reads the head of each request and writes
// what answer does, and waits until the VM has a route of a kind to it beside the ordinary
// one.
func (vm *crowdVM) addRawServer(path, kind string, answer func(c *net.TCPConn, r *http.Request)) {
	vm.t.Helper()
	address := wiretest.Serve(vm.t, answer)
	vm.store.Put(kv.PrefixServers+"s-2", fmt.Appendf(nil,
		`{"address":%q,"info":{"service":"raw","zone":"z","slots":%d},"status":{"state":"ready","sequence":1,"cold_left_ms":0}}`,
		address, serverSlots))
	vm.store.Put(kv.KeyConfig, fmt.Appendf(nil,
		`{"version":2,"routes":{
		"r":{"host":%q,"path_prefix":"/a/","kind":"idempotent","timeout_ms":20000,"service":"desk","max_attempts":2},
		"s":{"host":%q,"path_prefix":%q,"kind":%q,"timeout_ms":20000,"service":"raw","max_attempts":2}},
		"services":{"desk":{"health_path":"/health"},"raw":{"health_path":"/health"}},
		"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		crowdHost, crowdHost, path, kind, crowdMaxBody))
	// A request would let a failing server be ejected before the crowd comes.
	vm.waitFor("a route to the server", func() bool {
		resp, err := http.Get("http://" + vm.addresses["metrics"] + routereport.Path + "?host=" + crowdHost + "&path=" + path + "x")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		report, err := io.ReadAll(resp.Body)
		return err == nil && strings.Contains(string(report), `"chosen":"s-2"`)
	})
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// status requests path over a new connection and returns the status, or zero without a
// complete answer.
func (vm *crowdVM) status(role, path string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
	req, err := http.NewRequest(http.MethodGet, "http://"+vm.addresses[role]+path, nil)
	if err != nil {
		vm.t.Fatal(err)
	}
	req.Host = crowdHost
	req.Header.Set(kv.HeaderRequestID, "ordinary")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (vm *crowdVM) serves() bool { return vm.status("front", "/a/x?bytes=1000") == http.StatusOK }

// alive reports whether the process runs.
func (vm *crowdVM) alive() bool {
	select {
	case <-vm.exited:
		return false
	default:
		return true
	}
}

func (vm *crowdVM) waitFor(what string, condition func() bool) {
	vm.t.Helper()
	deadline := time.Now().Add(hangTimeout)
	for !condition() {
		if !vm.alive() {
			vm.t.Fatalf("the process exited: %v", vm.process.ProcessState)
		}
		if time.Now().After(deadline) {
			vm.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sampleDescriptors records the largest number of open descriptors.
func (vm *crowdVM) sampleDescriptors() {
	for vm.alive() {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", vm.process.Process.Pid))
		if err == nil {
			vm.mu.Lock()
			vm.maxDescriptors = max(vm.maxDescriptors, len(entries))
			vm.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// maxMemory returns the largest resident size of the process in bytes.
func (vm *crowdVM) maxMemory() int {
	vm.t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", vm.process.Process.Pid))
	if err != nil {
		vm.t.Fatal(err)
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) >= 2 && fields[0] == "VmHWM:" {
			kib, err := strconv.Atoi(fields[1])
			if err != nil {
				vm.t.Fatal(err)
			}
			return kib << 10
		}
	}
	vm.t.Fatal("no VmHWM in /proc")
	return 0
}

// checkResources fails the test if the process has exceeded the limits of its settings.
func (vm *crowdVM) checkResources() {
	vm.t.Helper()
	if !vm.alive() {
		vm.t.Fatalf("the process exited: %v", vm.process.ProcessState)
	}
	vm.mu.Lock()
	descriptors := vm.maxDescriptors
	vm.mu.Unlock()
	memory := vm.maxMemory()
	vm.t.Logf("at most %d MB and %d descriptors", memory/1_000_000, descriptors)
	if memory > crowdMemoryMB*1_000_000 {
		vm.t.Errorf("resident memory reached %d MB, limit %d MB", memory/1_000_000, crowdMemoryMB)
	}
	if descriptors > crowdDescriptors {
		vm.t.Errorf("open descriptors reached %d, limit %d", descriptors, crowdDescriptors)
	}
}
