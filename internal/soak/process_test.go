package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"fuchsiaspar/platform"
)

// stopGracePeriod is how long a process may take to exit after SIGTERM before it
// is killed.
const stopGracePeriod = 3 * time.Second

// vm is an entry VM that runs as a separate process and reaches the store through
// a fault-injecting proxy.
type vm struct {
	name             string
	binary           string
	settingsFile     string
	logFile          string
	directoryAddress string
	frontAddress     string
	peerAddress      string
	storeProxy       *proxy

	// lifecycleMu serializes restarts of the process.
	lifecycleMu sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// autoRestart is set while the process should run. If it then exits by itself,
	// it is restarted, as the platform does.
	autoRestart bool
}

// restartDelay is how long the platform takes to restart a process that exited by
// itself.
const restartDelay = 200 * time.Millisecond

// claim keeps the port of claimNetwork open.
var claim net.Listener

// claimNetwork returns x for the loopback addresses 127.x.*.*, which this soak has
// for itself: it holds a port there until it exits.
var claimNetwork = sync.OnceValue(func() int {
	const first, count = 2, 200
	for i := range count {
		network := first + (os.Getpid()+i)%count
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:7000", network))
		if err == nil {
			claim = listener
			return network
		}
	}
	panic("soak: no free loopback network")
})

// listenAddresses returns the four addresses on which a VM listens: front,
// directory, control and readiness. The loopback IP is not used as the source of
// outgoing connections, so the ports are still free when a process restarts.
func listenAddresses(number int) []string {
	ip := fmt.Sprintf("127.%d.%d.%d", claimNetwork(), 1+number/200, 1+number%200)
	var hostPorts []string
	for port := 7001; port <= 7004; port++ {
		hostPorts = append(hostPorts, net.JoinHostPort(ip, strconv.Itoa(port)))
	}
	return hostPorts
}

// newVM writes the settings file of a VM and starts its store proxy, but not the
// process. An empty seedAddress makes the VM its own seed.
func newVM(t *testing.T, binary, dir string, number int, storeAddress, seedAddress string) *vm {
	t.Helper()
	v := &vm{name: fmt.Sprint("vm-", number), binary: binary, storeProxy: startProxy(t, storeAddress)}
	listen := listenAddresses(number)
	if seedAddress == "" {
		seedAddress = listen[2]
	}
	v.frontAddress, v.directoryAddress, v.peerAddress = listen[0], listen[1], listen[2]
	v.settingsFile = filepath.Join(dir, v.name+".toml")
	v.logFile = filepath.Join(dir, v.name+".log")
	content := fmt.Sprintf(`node_name = %q
zone = "z1"
region = "r"
seeds = [%q]
[zones]
z1 = "r"
z2 = %q
[listen]
front = %q
directory = %q
control = %q
ready = %q
[limits]
memory_mb = 284
[bounds]
grace_s = %g
retry_budget_ratio = 0.2
retry_budget_slack = 60
budget_window_s = 10
cold_load_factor = 1.5
cold_slack = 5
ttl_max_s = 5
quota_window_s = %g
quota_excess = %g
quota_slack = %g
[platform]
address = %q
`, v.name, seedAddress, farRegion, listen[0], listen[1], listen[2], listen[3], stopGracePeriod.Seconds(),
		quotaWindow.Seconds(), quotaExcess, float64(quotaSlack), v.storeProxy.address())
	if err := os.WriteFile(v.settingsFile, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { v.kill() })
	return v
}

// start starts the process and restarts it if it exits by itself.
func (v *vm) start(t *testing.T) {
	t.Helper()
	logFile, err := os.OpenFile(v.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Errorf("start %s: %v", v.name, err)
		return
	}
	command := exec.Command(v.binary, "platform")
	command.Env = append(os.Environ(), platform.SettingsFileEnv+"="+v.settingsFile)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		t.Errorf("start %s: %v", v.name, err)
		return
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.command, v.exited, v.autoRestart = command, exited, true
	v.mu.Unlock()
	go func() {
		err := command.Wait()
		logFile.Close()
		close(exited)
		v.restartAfterExit(t, command, err)
	}()
}

// restartAfterExit restarts a process that exited by itself. For example, a SIGHUP
// terminates a process in its first milliseconds, before the signal handler is
// installed.
func (v *vm) restartAfterExit(t *testing.T, command *exec.Cmd, exitErr error) {
	if !v.needsRestart(command) {
		return
	}
	time.Sleep(restartDelay)
	v.lifecycleMu.Lock()
	defer v.lifecycleMu.Unlock()
	if v.needsRestart(command) {
		t.Logf("%s exited by itself: %v", v.name, exitErr)
		v.start(t)
	}
}

// currentCommand returns the command that was started last.
func (v *vm) currentCommand() *exec.Cmd {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.command
}

// needsRestart reports whether command is the current process and should run.
func (v *vm) needsRestart(command *exec.Cmd) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.autoRestart && v.command == command
}

// disableAutoRestart marks the next exit of the process as intended.
func (v *vm) disableAutoRestart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.autoRestart = false
}

// signal sends sig to the current process, if it is still running.
func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command != nil {
		// An error means that the process has already exited.
		_ = v.command.Process.Signal(sig)
	}
}

// waitExit waits for the process to exit and reports whether it did so within
// timeout.
func (v *vm) waitExit(timeout time.Duration) bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// kill ends the process with SIGKILL. SIGCONT is sent first, in case the process
// is stopped.
func (v *vm) kill() {
	v.disableAutoRestart()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	v.waitExit(stopGracePeriod)
}

// stop sends SIGTERM and kills the process if it does not exit within
// stopGracePeriod.
func (v *vm) stop() {
	v.disableAutoRestart()
	v.signal(syscall.SIGTERM)
	if !v.waitExit(stopGracePeriod) {
		v.kill()
	}
}

// restart ends the process with terminate and starts it again after pause.
func (v *vm) restart(t *testing.T, terminate func(), pause time.Duration) {
	v.lifecycleMu.Lock()
	defer v.lifecycleMu.Unlock()
	terminate()
	time.Sleep(pause)
	v.start(t)
}
