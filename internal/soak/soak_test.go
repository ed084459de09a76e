// Package soak runs entry VMs as processes of their own and injects faults from
// outside: proxies that delay, cut and reset, signals that stop, pause and kill,
// a store and backend servers that misbehave. It checks the promises from what
// clients and servers see.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fuchsiaspar/platform"
	"fuchsiaspar/platform/storetest"
)

var (
	firstSeed = flag.Uint64("soak.seed", 20501, "first seed")
	seeds     = flag.Int("soak.seeds", 1, "count of seeds")
	duration  = flag.Duration("soak.time", 5*time.Second, "how long faults are injected for a seed")
	vmCount   = flag.Int("soak.vms", 3, "count of entry VMs")
	keepLogs  = flag.String("soak.logs", "", "folder that keeps the logs of seeds that failed")
)

const (
	clients          = 12
	serversOfService = 4
	// recovery is how soon after the last fault everything is served again, as
	// the operators' bounds have it.
	recovery = 15 * time.Second
)

// regressions are seeds that failed once, each with its cause.
var regressions = []uint64{
	// A SIGHUP arrived before the program ignored or handled it and ended the
	// process; nothing started it again.
	30038,
}

type soak struct {
	t       *testing.T
	random  *rand.Rand
	store   *storetest.Store
	vms     []*vm
	servers []*backend
	runs    *runs
	clients []*client
	// version is that of the newest configuration.
	version atomic.Int64
	renamed int
	// background counts faults that end by themselves.
	background sync.WaitGroup
}

func TestSoak(t *testing.T) {
	binary := build(t)
	list := append([]uint64(nil), regressions...)
	for i := range *seeds {
		list = append(list, *firstSeed+uint64(i))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
}

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "fuchsiaspard")
	out, err := exec.Command("go", "build", "-o", binary, "fuchsiaspar/cmd/fuchsiaspard").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func runSeed(t *testing.T, binary string, seed uint64) {
	s := start(t, binary, seed)
	stop := make(chan struct{})
	var work sync.WaitGroup
	for _, c := range s.clients {
		work.Go(func() { c.run(stop) })
	}
	var reverts revertCheck
	for i, v := range s.vms {
		work.Go(func() { reverts.watch(s, v, newClient(clients+1+i, seed, nil), stop) })
	}
	for end := time.Now().Add(*duration); time.Now().Before(end); {
		s.injectOne()
		time.Sleep(time.Duration(100+s.random.IntN(400)) * time.Millisecond)
	}
	s.background.Wait()
	s.heal()
	s.checkRecovery()
	s.checkBounds()
	close(stop)
	work.Wait()
	for _, problem := range reverts.problems {
		t.Error(problem)
	}
	for _, v := range s.vms {
		v.stop()
	}
	s.checkRequests()
}

func start(t *testing.T, binary string, seed uint64) *soak {
	s := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), store: storetest.Start(t, 100),
		runs: &runs{count: map[string]int{}},
	}
	dir := t.TempDir()
	t.Cleanup(func() { keep(t, dir, seed) })
	for _, service := range []string{"desk", "vault"} {
		for i := range serversOfService {
			s.servers = append(s.servers, startBackend(t, s.store, s.runs, service, i, seed))
		}
	}
	s.configure("desk")
	var directory []string
	peer := ""
	for i := range *vmCount {
		v := newVM(t, binary, dir, i, s.store.Address(), peer)
		peer = v.peer
		v.start(t)
		s.vms = append(s.vms, v)
		directory = append(directory, v.directory)
	}
	for i := range clients {
		s.clients = append(s.clients, newClient(i, seed, directory))
	}
	return s
}

// keep copies the logs of a seed that failed.
func keep(t *testing.T, dir string, seed uint64) {
	if !t.Failed() || *keepLogs == "" {
		return
	}
	if err := os.CopyFS(filepath.Join(*keepLogs, fmt.Sprint(seed)), os.DirFS(dir)); err != nil {
		t.Logf("logs of seed %d not kept: %v", seed, err)
	}
}

// configure writes a new version in which both routes go to service.
func (s *soak) configure(service string) {
	version := s.version.Load() + 1
	route := `{"host":"h.example","path_prefix":%q,"kind":%q,"timeout_ms":2000,"target_latency_ms":300,"service":%q,"max_attempts":2,"session_affinity":true}`
	s.store.Put(platform.KeyConfig, fmt.Appendf(nil,
		`{"version":%d,"routes":{"read":%s,"order":%s,"v%d":%s},"services":{"desk":{},"vault":{}},"limits":{"max_body_bytes":1000000}}`,
		version, fmt.Sprintf(route, "/read/", "idempotent", service), fmt.Sprintf(route, "/order/", "non_idempotent", service),
		version, fmt.Sprintf(route, fmt.Sprintf("/v%d/", version), "idempotent", service)))
	s.version.Store(version)
}

// injectOne injects one random fault or planned change, beside those that
// still go on.
func (s *soak) injectOne() {
	v := s.vms[s.random.IntN(len(s.vms))]
	b := s.servers[s.random.IntN(len(s.servers))]
	last := time.Duration(200+s.random.IntN(1500)) * time.Millisecond
	switch s.random.IntN(12) {
	case 0:
		s.during(func() { v.restart(s.t, v.stop, last/4) })
	case 1:
		s.during(func() { v.restart(s.t, v.kill, last/4) })
	case 2:
		s.during(func() { v.signal(syscall.SIGSTOP); time.Sleep(last); v.signal(syscall.SIGCONT) })
	case 3:
		v.signal(syscall.SIGHUP)
	case 4:
		f := fault(1 + s.random.IntN(int(faults)-1))
		s.during(func() { v.store.set(f); time.Sleep(last); v.store.set(pass) })
	case 5:
		f := fault(1 + s.random.IntN(int(faults)-1))
		s.during(func() { b.proxy.set(f); time.Sleep(last); b.proxy.set(pass) })
	case 6:
		lose, refuse := s.random.Float64()/2, s.random.Float64()/2
		s.during(func() { b.misbehave(lose, refuse); time.Sleep(last); b.misbehave(0, 0) })
	case 7:
		s.renamed++
		b.restart(s.renamed)
	case 8:
		b.register([]string{"draining", "ready"}[s.random.IntN(2)])
	case 9:
		s.configure([]string{"desk", "vault"}[s.random.IntN(2)])
	case 10:
		s.store.Compact()
		s.store.ExpireLeases()
	case 11:
		f := []storetest.Faults{
			{RefuseStatus: http.StatusServiceUnavailable}, {RefuseStatus: http.StatusTooManyRequests}, {Unresponsive: true},
			{DropResponses: true}, {Delay: 300 * time.Millisecond},
		}[s.random.IntN(5)]
		s.during(func() { s.store.SetFaults(f); time.Sleep(last); s.store.SetFaults(storetest.Faults{}) })
	}
}

func (s *soak) during(f func()) { s.background.Go(f) }

// heal ends what faults may have left behind.
func (s *soak) heal() {
	s.store.SetFaults(storetest.Faults{})
	for _, v := range s.vms {
		v.store.set(pass)
		v.signal(syscall.SIGCONT)
	}
	for _, b := range s.servers {
		b.proxy.set(pass)
		b.misbehave(0, 0)
		b.register("ready")
	}
	s.configure("desk")
}

// checkRecovery waits until every VM serves by the newest configuration.
func (s *soak) checkRecovery() { s.awaitNewest("RECOVER", recovery) }

func (s *soak) awaitNewest(promise string, bound time.Duration) {
	since := time.Now()
	probe := newClient(len(s.clients), 0, nil)
	version := int(s.version.Load())
	for _, v := range s.vms {
		for !s.serves(probe, v, version) {
			if time.Since(since) > bound {
				s.t.Errorf("%s: %s does not serve version %d within %s", promise, v.name, version, bound)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// checkRequests compares what clients were told with what servers ran.
func (s *soak) checkRequests() {
	asked := map[string]bool{}
	told := map[int]int{}
	for _, c := range s.clients {
		for _, a := range c.all() {
			asked[a.id] = true
			told[a.status]++
			for _, problem := range problems(a, s.runs.of(a.id)) {
				s.t.Errorf("%s: request %s at %s", problem, a.id, a.at.Format(time.RFC3339Nano))
			}
		}
	}
	for id := range s.runs.count {
		if !asked[id] && !strings.HasPrefix(id, "probe-") {
			s.t.Errorf("UNASKED: a server ran %q", id)
		}
	}
	if told[http.StatusOK] == 0 {
		s.t.Error("nothing was served")
	}
	s.t.Logf("told: %v", told)
}

// problems names the promises that one request broke.
func problems(a attempt, ran int) []string {
	var found []string
	if strings.HasPrefix(a.broken, "MIXED") {
		found = append(found, a.broken)
	}
	if a.once && ran > 1 {
		found = append(found, fmt.Sprintf("TWICE: ran %d times", ran))
	}
	switch a.status {
	case 0, http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout:
	case http.StatusServiceUnavailable:
		if a.once && ran > 0 {
			found = append(found, "REFUSED: told not to have run, and ran")
		}
	default:
		found = append(found, fmt.Sprintf("DENIED: status %d", a.status))
	}
	if a.status == http.StatusOK && ran == 0 {
		found = append(found, "MIXED: a success that no server made")
	}
	return found
}

// TestOracles shows that each check can fail.
func TestOracles(t *testing.T) {
	tests := []struct {
		desc string
		a    attempt
		ran  int
		want string
	}{
		{"served", attempt{once: true, status: 200}, 1, ""},
		{"unknown", attempt{once: true, status: 502}, 1, ""},
		{"connection lost", attempt{once: true}, 1, ""},
		{"refused", attempt{once: true, status: 503}, 0, ""},
		{"read refused after a run", attempt{status: 503}, 1, ""},
		{"read repeated", attempt{status: 200}, 2, ""},
		{"order repeated", attempt{once: true, status: 200}, 2, "TWICE"},
		{"order refused after a run", attempt{once: true, status: 503}, 1, "REFUSED"},
		{"made up", attempt{status: 200}, 0, "MIXED"},
		{"wrong bytes", attempt{status: 200, broken: "MIXED: a success"}, 1, "MIXED"},
		{"denied", attempt{status: 404}, 0, "DENIED"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			got := strings.Join(problems(tt.a, tt.ran), "; ")
			if (tt.want == "") != (got == "") || !strings.HasPrefix(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
