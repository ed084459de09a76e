// Package soak contains a randomized fault-injection test of complete entry VMs.
// Each VM runs as a separate process and faults are injected from outside: proxies
// delay, discard and reset connections, signals stop, pause and kill processes, and
// the store and the backend servers fail. The guarantees of the system are checked
// only from what clients and backend servers observe. The seed fixes the random
// choices of faults, but not the timing of the processes.
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
	firstSeed     = flag.Uint64("soak.seed", 20501, "first random seed")
	seedCount     = flag.Int("soak.seeds", 1, "number of consecutive seeds to run")
	faultDuration = flag.Duration("soak.time", 5*time.Second, "how long faults are injected per seed")
	vmCount       = flag.Int("soak.vms", 3, "number of entry VMs")
	logsDir       = flag.String("soak.logs", "", "directory for the VM logs of failed seeds")
)

const (
	clientCount       = 18
	serversPerService = 4
	// recoveryBound is the time after the last fault within which every VM serves
	// requests again, a documented guarantee to operators.
	recoveryBound = 15 * time.Second
)

// regressionSeeds are seeds that failed in the past, each with its cause.
var regressionSeeds = []uint64{
	// A SIGHUP arrived before the program ignored or handled it and terminated the
	// process, which was not restarted.
	30038,
	// The proxy closed connections in order where it should have reset them, which ended
	// endless responses without a length as if they were whole.
	98008,
}

// harness runs the VMs, backend servers, clients and store of one seed.
type harness struct {
	t          *testing.T
	random     *rand.Rand
	store      *storetest.Store
	vms        []*vm
	backends   []*backend
	executions *executionLog
	clients    []*client
	// operator is held while the operator writes.
	operator sync.Mutex
	// configVersion is the version of the newest configuration, configDocument its text.
	configVersion  atomic.Int64
	configDocument []byte
	// configService is the service to which all its routes lead.
	configService string
	keys          *accountKeys
	restorer      *restorer
	// later draws the faults that were added later, so that each seed still plays the
	// others as before.
	later *rand.Rand
	// restartCount counts restarts of backend servers, to name new instances.
	restartCount int
	// activeFaults tracks running faults that end after a limited time.
	activeFaults sync.WaitGroup
}

// TestSoak runs the regression seeds and the seeds selected by flags.
func TestSoak(t *testing.T) {
	binary := buildBinary(t)
	seedList := append([]uint64(nil), regressionSeeds...)
	for i := range *seedCount {
		seedList = append(seedList, *firstSeed+uint64(i))
	}
	for _, seed := range seedList {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
}

// buildBinary compiles fuchsiaspard and returns the path of the binary.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "fuchsiaspard")
	out, err := exec.Command("go", "build", "-o", binary, "fuchsiaspar/cmd/fuchsiaspard").CombinedOutput()
	if err != nil {
		t.Fatalf("build fuchsiaspard: %v\n%s", err, out)
	}
	return binary
}

// runSeed injects faults while clients send requests, then checks that the system
// recovers and that no guarantee was violated.
func runSeed(t *testing.T, binary string, seed uint64) {
	h := startHarness(t, binary, seed)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, c := range h.clients {
		wg.Go(func() { c.run(stop) })
	}
	var detector revertDetector
	for i, v := range h.vms {
		wg.Go(func() { detector.watch(h, v, newClient(clientCount+1+i, seed, nil), stop) })
	}
	for end := time.Now().Add(*faultDuration); time.Now().Before(end); {
		h.injectFault()
		h.maybeWriteOddEntry()
		h.maybeRotateKey()
		h.restorer.maybeRestore()
		time.Sleep(time.Duration(100+h.random.IntN(400)) * time.Millisecond)
	}
	h.activeFaults.Wait()
	h.clearFaults()
	h.checkRecovery()
	h.checkTimeBounds()
	close(stop)
	wg.Wait()
	for _, violation := range detector.violations {
		t.Error(violation)
	}
	for _, v := range h.vms {
		v.stop()
	}
	h.checkRequests()
}

// startHarness starts the store, backend servers and VMs of one seed.
func startHarness(t *testing.T, binary string, seed uint64) *harness {
	h := &harness{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), store: storetest.Start(t, 100),
		executions: &executionLog{byID: map[string][]execution{}},
	}
	h.later = rand.New(rand.NewPCG(seed, 3))
	h.restorer = newRestorer(h, seed)
	h.keys = newAccountKeys(seed)
	dir := t.TempDir()
	t.Cleanup(func() { saveLogs(t, dir, seed) })
	for _, service := range []string{"desk", "vault"} {
		for i := range serversPerService {
			h.backends = append(h.backends, startBackend(t, h.store, h.executions, service, i, seed))
		}
	}
	h.configure("desk")
	var directoryAddresses []string
	seedAddress := ""
	for i := range *vmCount {
		v := newVM(t, binary, dir, i, h.store.Address(), seedAddress)
		seedAddress = v.peerAddress
		v.start(t)
		h.vms = append(h.vms, v)
		directoryAddresses = append(directoryAddresses, v.directoryAddress)
	}
	for i := range clientCount {
		h.clients = append(h.clients, newClient(i, seed, directoryAddresses))
		h.assignAccount(h.clients[i])
	}
	return h
}

// saveLogs copies the VM logs of a failed seed to the directory of -soak.logs.
func saveLogs(t *testing.T, dir string, seed uint64) {
	if !t.Failed() || *logsDir == "" {
		return
	}
	if err := os.CopyFS(filepath.Join(*logsDir, fmt.Sprint(seed)), os.DirFS(dir)); err != nil {
		t.Logf("save logs of seed %d: %v", seed, err)
	}
}

// configure writes a new configuration version to the store. All its routes lead to
// service, including one whose path prefix exists only in this version and that needs no key.
func (h *harness) configure(service string) {
	h.operator.Lock()
	defer h.operator.Unlock()
	h.configService = service
	h.writeConfiguration()
}

// writeConfiguration writes a new configuration version. The caller holds operator.
func (h *harness) writeConfiguration() {
	service := h.configService
	version := h.configVersion.Load() + 1
	route := func(prefix, kind string, exempt bool) string {
		return fmt.Sprintf(`{"host":"h.example","path_prefix":%q,"kind":%q,"timeout_ms":2000,"target_latency_ms":300,"service":%q,"max_attempts":2,"session_affinity":true,"auth_exempt":%t}`,
			prefix, kind, service, exempt)
	}
	h.configDocument = fmt.Appendf(nil,
		`{"version":%d,"routes":{"read":%s,"order":%s,"open-read":%s,"open-order":%s,"v%d":%s},"services":{"desk":{},"vault":{}},"tenants":%s,"limits":{"max_body_bytes":1000000}}`,
		version, route("/read/", "idempotent", false), route("/order/", "non_idempotent", false),
		route("/open/read/", "idempotent", true), route("/open/order/", "non_idempotent", true),
		version, route(fmt.Sprintf("/v%d/", version), "idempotent", true), h.keys.document())
	h.store.Put(platform.KeyConfig, h.configDocument)
	h.configVersion.Store(version)
}

// oddEntries are entries of another writer that name no server to use.
var oddEntries = []string{
	"", "null", "\xff", strings.Repeat("[", 20_000),
	`{"address":"127.0.0.1:70000","info":{"service":"desk","zone":"z1","slots":3},"status":{"state":"ready","sequence":1,"cold_left_ms":0}}`,
	`{"address":"127.0.0.1:1","info":{"service":"desk","zone":"z1","slots":1e300},"status":{"state":"ready","sequence":1,"cold_left_ms":1e300},"born":1e300}`,
}

// maybeWriteOddEntry writes an odd entry among those of the servers now and then.
func (h *harness) maybeWriteOddEntry() {
	if n := h.later.IntN(5 * len(oddEntries)); n < len(oddEntries) {
		h.store.Put(fmt.Sprint(platform.PrefixServers, "odd-", n), []byte(oddEntries[n]))
	}
}

// injectFault starts one random fault or planned change. Earlier faults may still
// be active.
func (h *harness) injectFault() {
	v := h.vms[h.random.IntN(len(h.vms))]
	b := h.backends[h.random.IntN(len(h.backends))]
	length := time.Duration(200+h.random.IntN(1500)) * time.Millisecond
	switch h.random.IntN(12) {
	case 0:
		h.runInBackground(func() { v.restart(h.t, v.stop, length/4) })
	case 1:
		h.runInBackground(func() { v.restart(h.t, v.kill, length/4) })
	case 2:
		h.runInBackground(func() { v.signal(syscall.SIGSTOP); time.Sleep(length); v.signal(syscall.SIGCONT) })
	case 3:
		v.signal(syscall.SIGHUP)
	case 4:
		f := fault(1 + h.random.IntN(int(faultCount)-1))
		h.runInBackground(func() { v.storeProxy.setFault(f); time.Sleep(length); v.storeProxy.setFault(faultNone) })
	case 5:
		f := fault(1 + h.random.IntN(int(faultCount)-1))
		h.runInBackground(func() { b.proxy.setFault(f); time.Sleep(length); b.proxy.setFault(faultNone) })
	case 6:
		f := responseFault(h.random.IntN(int(responseFaultCount)))
		switch later := h.later.IntN(2) == 0; {
		case later && f == responseDoubled:
			f = responseThenRefusal
		case later && f == responseBrokenOff:
			f = responseCutHead
		}
		spoilRate, refusalRate := h.random.Float64()/2, h.random.Float64()/2
		h.runInBackground(func() {
			b.setFaultRates(f, spoilRate, refusalRate)
			time.Sleep(length)
			b.setFaultRates(f, 0, 0)
		})
	case 7:
		h.restartCount++
		b.restart(h.restartCount)
	case 8:
		b.register([]string{"draining", "ready"}[h.random.IntN(2)])
	case 9:
		h.configure([]string{"desk", "vault"}[h.random.IntN(2)])
	case 10:
		h.store.Compact()
		h.store.ExpireLeases()
	case 11:
		f := []storetest.Faults{
			{RefuseStatus: http.StatusServiceUnavailable}, {RefuseStatus: http.StatusTooManyRequests}, {Unresponsive: true},
			{DropResponses: true}, {Delay: 300 * time.Millisecond},
		}[h.random.IntN(5)]
		h.runInBackground(func() { h.store.SetFaults(f); time.Sleep(length); h.store.SetFaults(storetest.Faults{}) })
	}
}

// runInBackground runs f concurrently; activeFaults waits for it.
func (h *harness) runInBackground(f func()) { h.activeFaults.Go(f) }

// clearFaults removes all faults, makes every backend server ready and writes a new
// configuration.
func (h *harness) clearFaults() {
	h.store.SetFaults(storetest.Faults{})
	for _, v := range h.vms {
		v.storeProxy.setFault(faultNone)
		v.signal(syscall.SIGCONT)
	}
	for _, b := range h.backends {
		b.proxy.setFault(faultNone)
		b.setFaultRates(responseReset, 0, 0)
		b.register("ready")
	}
	h.configure("desk")
}

// checkRecovery checks that every VM serves the newest configuration version within
// recoveryBound.
func (h *harness) checkRecovery() { h.awaitNewestVersion("RECOVER", recoveryBound) }

// awaitNewestVersion waits until every VM serves the newest configuration version.
// VMs that do not within bound are reported as errors that start with label.
func (h *harness) awaitNewestVersion(label string, bound time.Duration) {
	startedAt := time.Now()
	probe := newClient(len(h.clients), 0, nil)
	version := int(h.configVersion.Load())
	for _, v := range h.vms {
		for !h.servesVersion(probe, v, version) {
			if time.Since(startedAt) > bound {
				h.t.Errorf("%s: %s does not serve version %d within %s", label, v.name, version, bound)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// checkRequests compares the responses that clients received with the requests that
// backend servers executed.
func (h *harness) checkRequests() {
	sentRequests := map[string]bool{}
	statusCounts := map[int]int{}
	for _, c := range h.clients {
		for _, result := range c.snapshot() {
			sentRequests[result.requestID] = true
			statusCounts[result.status]++
			for _, violation := range h.keys.violations(result, h.executions.get(result.requestID)) {
				h.t.Errorf("%s: request %s at %s", violation, result.requestID, result.sentAt.Format(time.RFC3339Nano))
			}
		}
	}
	for id := range h.executions.byID {
		if !sentRequests[id] && !strings.HasPrefix(id, "probe-") {
			h.t.Errorf("UNASKED: a server executed %q, which no client sent", id)
		}
	}
	h.checkAccounts()
	if statusCounts[http.StatusOK] == 0 {
		h.t.Error("no request succeeded")
	}
	h.t.Logf("responses by status (0 for none): %v", statusCounts)
}

// violations returns the guarantees that one request violated, given how often
// backend servers executed it.
func violations(result requestResult, executions int) []string {
	var found []string
	if strings.HasPrefix(result.failure, "MIXED") || strings.HasPrefix(result.failure, "ORDER") {
		found = append(found, result.failure)
	}
	if result.nonIdempotent && executions > 1 {
		found = append(found, fmt.Sprintf("TWICE: executed %d times", executions))
	}
	switch result.status {
	case 0, http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout:
	case http.StatusUnauthorized, http.StatusTooManyRequests:
		if !mayDeny(result) {
			found = append(found, fmt.Sprintf("DENIED: unexpected status %d", result.status))
		}
		fallthrough
	case http.StatusServiceUnavailable:
		if result.nonIdempotent && executions > 0 {
			found = append(found, "REFUSED: answered as not executed, but was executed")
		}
	default:
		found = append(found, fmt.Sprintf("DENIED: unexpected status %d", result.status))
	}
	if result.status == http.StatusOK && executions == 0 {
		found = append(found, "MIXED: 200 response, but no server executed the request")
	}
	return found
}

// TestViolations checks that violations reports each kind of violation and accepts
// the outcomes that are allowed.
func TestViolations(t *testing.T) {
	tests := []struct {
		desc       string
		result     requestResult
		executions int
		want       string
	}{
		{"served", requestResult{nonIdempotent: true, status: 200}, 1, ""},
		{"outcome unknown", requestResult{nonIdempotent: true, status: 502}, 1, ""},
		{"connection lost", requestResult{nonIdempotent: true}, 1, ""},
		{"refused", requestResult{nonIdempotent: true, status: 503}, 0, ""},
		{"read refused after execution", requestResult{status: 503}, 1, ""},
		{"read repeated", requestResult{status: 200}, 2, ""},
		{"order repeated", requestResult{nonIdempotent: true, status: 200}, 2, "TWICE"},
		{"order refused after execution", requestResult{nonIdempotent: true, status: 503}, 1, "REFUSED"},
		{"200 without execution", requestResult{status: 200}, 0, "MIXED"},
		{"wrong response content", requestResult{status: 200, failure: "MIXED: 200 response"}, 1, "MIXED"},
		{"unexpected status", requestResult{status: 404}, 0, "DENIED"},
		{"known key denied", requestResult{status: 401, key: stableKey("open")}, 0, "DENIED"},
		{"unknown key denied", requestResult{status: 401, key: wrongKeys[0]}, 0, ""},
		{"limit reached", requestResult{status: 429, key: stableKey("greedy")}, 0, ""},
		{"limited without a limit", requestResult{status: 429, key: stableKey("open")}, 0, "DENIED"},
		{"limited after execution", requestResult{nonIdempotent: true, status: 429, key: stableKey("greedy")}, 1, "REFUSED"},
		{"responses out of order", requestResult{status: 503, failure: "ORDER: x"}, 0, "ORDER"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			got := strings.Join(violations(tt.result, tt.executions), "; ")
			if (tt.want == "") != (got == "") || !strings.HasPrefix(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
