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

// grace is the time between the signals to stop and to end.
const grace = 3 * time.Second

// vm is one entry VM as a process of its own, behind a proxy to the store.
type vm struct {
	name      string
	binary    string
	settings  string
	logs      string
	directory string
	front     string
	peer      string
	store     *proxy

	// life is held by whoever ends and starts the process.
	life sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// wanted says that the process should run: if it ends by itself it is
	// started again, as the platform does.
	wanted bool
}

// restartDelay is how long the platform takes to start a process that ended by
// itself.
const restartDelay = 200 * time.Millisecond

// addresses returns where a VM listens: addresses of the loopback range that
// no outgoing connection takes, so that a process can start again there.
func addresses(number int) []string {
	ip := fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%200, 1+number/200, 1+number%200)
	var list []string
	for port := 7001; port <= 7004; port++ {
		list = append(list, net.JoinHostPort(ip, strconv.Itoa(port)))
	}
	return list
}

func newVM(t *testing.T, binary, dir string, number int, storeAddress, seed string) *vm {
	t.Helper()
	v := &vm{name: fmt.Sprint("vm-", number), binary: binary, store: startProxy(t, storeAddress)}
	at := addresses(number)
	if seed == "" {
		seed = at[2]
	}
	v.front, v.directory, v.peer = at[0], at[1], at[2]
	v.settings = filepath.Join(dir, v.name+".toml")
	v.logs = filepath.Join(dir, v.name+".log")
	text := fmt.Sprintf(`node_name = %q
zone = "z1"
region = "r"
seeds = [%q]
[zones]
z1 = "r"
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
[platform]
address = %q
`, v.name, seed, at[0], at[1], at[2], at[3], grace.Seconds(), v.store.address())
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { v.kill() })
	return v
}

func (v *vm) start(t *testing.T) {
	t.Helper()
	out, err := os.OpenFile(v.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Errorf("start %s: %v", v.name, err)
		return
	}
	command := exec.Command(v.binary, "platform")
	command.Env = append(os.Environ(), platform.SettingsFileEnv+"="+v.settings)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		t.Errorf("start %s: %v", v.name, err)
		return
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.command, v.ended, v.wanted = command, ended, true
	v.mu.Unlock()
	go func() {
		err := command.Wait()
		out.Close()
		close(ended)
		v.startAgain(t, command, err)
	}()
}

// startAgain starts a process that ended by itself. A SIGHUP in the first
// milliseconds, before the program has control, ends any process.
func (v *vm) startAgain(t *testing.T, command *exec.Cmd, cause error) {
	if !v.runs(command) {
		return
	}
	time.Sleep(restartDelay)
	v.life.Lock()
	defer v.life.Unlock()
	if v.runs(command) {
		t.Logf("%s ended by itself: %v", v.name, cause)
		v.start(t)
	}
}

// process returns what was started last.
func (v *vm) process() *exec.Cmd {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.command
}

// runs says whether command should run.
func (v *vm) runs(command *exec.Cmd) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.wanted && v.command == command
}

func (v *vm) unwant() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.wanted = false
}

// signal sends s to the process that this soak started, if it still runs.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command != nil {
		// The process may have ended by itself.
		_ = v.command.Process.Signal(s)
	}
}

func (v *vm) wait(limit time.Duration) bool {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func (v *vm) kill() {
	v.unwant()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	v.wait(grace)
}

// stop asks the process to leave, and ends it after its grace time.
func (v *vm) stop() {
	v.unwant()
	v.signal(syscall.SIGTERM)
	if !v.wait(grace) {
		v.kill()
	}
}

// restart ends the process by end and starts it again after a pause.
func (v *vm) restart(t *testing.T, end func(), pause time.Duration) {
	v.life.Lock()
	defer v.life.Unlock()
	end()
	time.Sleep(pause)
	v.start(t)
}
