package soak

import (
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaspar/platform"
)

var checkTiming = flag.Bool("soak.timed", false, "also check the time bounds; needs an otherwise idle machine")

const (
	// drainBound is the time after which a draining server gets no new requests,
	// and applyBound the time within which a configuration takes effect. Both are
	// documented guarantees to operators.
	drainBound = 2 * time.Second
	applyBound = 2 * time.Second
	// revertTolerance is how long after a configuration version was first seen in
	// effect a request may still be handled under an older one.
	revertTolerance = 250 * time.Millisecond
	// drainObservation is how long a draining server is observed after drainBound.
	drainObservation = time.Second
)

// revertDetector probes which configuration version is in effect on the VMs while
// faults are injected. A process must never go back to an older version.
type revertDetector struct {
	mu         sync.Mutex
	violations []string
}

// watch probes one VM until stop is closed. A restarted process is checked anew.
func (c *revertDetector) watch(h *harness, v *vm, probe *client, stop <-chan struct{}) {
	var command *exec.Cmd
	var newestVersion int
	var newestSeenAt time.Time
	for {
		select {
		case <-stop:
			return
		case <-time.After(revertTolerance / 2):
		}
		if current := v.currentCommand(); current != command {
			command, newestVersion = current, 0
		}
		version := int(h.configVersion.Load())
		if version > newestVersion && h.servesVersion(probe, v, version) && v.currentCommand() == command {
			newestVersion, newestSeenAt = version, time.Now()
		}
		if newestVersion < 2 || time.Since(newestSeenAt) < revertTolerance {
			continue
		}
		if previousVersion := newestVersion - 1; h.servesVersion(probe, v, previousVersion) && v.currentCommand() == command {
			c.add(fmt.Sprintf("REVERT: %s served version %d after version %d", v.name, previousVersion, newestVersion))
		}
	}
}

func (c *revertDetector) add(violation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, violation)
}

// count returns how many violations were found so far.
func (c *revertDetector) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.violations)
}

// servesVersion reports whether v answers 200 to a request for a path that is
// routed only in the given configuration version.
func (h *harness) servesVersion(probe *client, v *vm, version int) bool {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/x", v.frontAddress, version), nil)
	if err != nil {
		h.t.Error(err)
		return false
	}
	req.Host = "h.example"
	req.Header.Set(platform.HeaderRequestID, fmt.Sprint("probe-", v.name))
	resp, err := probe.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// checkTimeBounds checks, without any injected faults, that a draining server gets
// no new requests after drainBound and that a configuration change takes effect
// within applyBound.
func (h *harness) checkTimeBounds() {
	if !*checkTiming {
		return
	}
	b := h.backends[0]
	b.register("draining")
	deadline := time.Now().Add(drainBound)
	time.Sleep(drainBound + drainObservation)
	if lastRequest := b.lastRequestTime(); lastRequest.After(deadline) {
		h.t.Errorf("DRAIN: %s received a request %s after the drain bound", b.currentInstance(), lastRequest.Sub(deadline))
	}
	b.register("ready")
	h.configure("desk")
	h.awaitNewestVersion("CONFIG", applyBound)
	h.checkStatements()
	h.withdrawKeyTimed()
}

// checkStatements checks that a server that asks for a pause, and then one that says that it
// leaves, get no more requests than each VM needs to hear of it, while their entries stay.
func (h *harness) checkStatements() {
	const pause = 6 * time.Second
	b := h.backends[0]
	check := func(rule string, headers http.Header, refusalRate float64) {
		b.setStatements(headers)
		b.setFaultRates(responseReset, 0, refusalRate)
		time.Sleep(drainBound)
		before := b.requests()
		time.Sleep(drainObservation)
		if got, most := b.requests()-before, 2*len(h.vms); got > most {
			h.t.Errorf("%s: %s received %d requests in %s after its statements, want at most %d", rule, b.currentInstance(), got, drainObservation, most)
		}
	}
	check("BUDGET", http.Header{platform.HeaderRetryAfter: {fmt.Sprint(pause.Seconds())}}, 1)
	b.setFaultRates(responseReset, 0, 0)
	b.setStatements(nil)
	time.Sleep(pause)
	check("DRAIN", http.Header{platform.HeaderLeaving: {"1"}}, 0)
	b.setStatements(nil)
}

// TestRevertIsDetected checks that revertDetector reports a fake VM that goes back
// to an older configuration version, and only such a VM.
func TestRevertIsDetected(t *testing.T) {
	for _, reverts := range []bool{false, true} {
		var requests atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			activePath := "/v2/x"
			if reverts && requests.Add(1) > 2 {
				activePath = "/v1/x"
			}
			if r.URL.Path != activePath {
				w.WriteHeader(http.StatusNotFound)
			}
		}))
		h := &harness{t: t}
		h.configVersion.Store(2)
		var detector revertDetector
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() {
			detector.watch(h, &vm{frontAddress: server.Listener.Addr().String()}, newClient(0, 1, nil), stop)
		})
		for range 100 {
			if time.Sleep(20 * time.Millisecond); detector.count() > 0 {
				break
			}
		}
		close(stop)
		wg.Wait()
		server.Close()
		if got := detector.count() > 0; got != reverts {
			t.Errorf("revert detected = %v, want %v", got, reverts)
		}
	}
}
