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

var timed = flag.Bool("soak.timed", false, "also check the bounds in time, on a machine that is not busy")

const (
	// drainBound is how soon a draining server gets nothing new, and applyBound
	// how soon a configuration is in force, as the operators' bounds have it.
	drainBound = 2 * time.Second
	applyBound = 2 * time.Second
	// revertSlack is how long after the effect of a version was seen a request
	// may still be handled by an older one.
	revertSlack = 250 * time.Millisecond
	// watchFor is how long a draining server is watched after its bound.
	watchFor = time.Second
)

// revertCheck asks VMs which configuration is in force while faults go on. One
// process must never serve by an older version than before.
type revertCheck struct {
	mu       sync.Mutex
	problems []string
}

// watch asks one VM until stop closes.
func (c *revertCheck) watch(s *soak, v *vm, probe *client, stop <-chan struct{}) {
	var process *exec.Cmd
	var newest int
	var seen time.Time
	for {
		select {
		case <-stop:
			return
		case <-time.After(revertSlack / 2):
		}
		if now := v.process(); now != process {
			process, newest = now, 0
		}
		version := int(s.version.Load())
		if version > newest && s.serves(probe, v, version) && v.process() == process {
			newest, seen = version, time.Now()
		}
		if newest < 2 || time.Since(seen) < revertSlack {
			continue
		}
		if older := newest - 1; s.serves(probe, v, older) && v.process() == process {
			c.add(fmt.Sprintf("REVERT: %s served by version %d after version %d", v.name, older, newest))
		}
	}
}

func (c *revertCheck) add(problem string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, problem)
}

func (c *revertCheck) found() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.problems)
}

// serves says whether v handles a request that only one version allows.
func (s *soak) serves(probe *client, v *vm, version int) bool {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/x", v.front, version), nil)
	if err != nil {
		s.t.Error(err)
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

// checkBounds drains a server and changes the configuration while nothing is
// wrong.
func (s *soak) checkBounds() {
	if !*timed {
		return
	}
	b := s.servers[0]
	b.register("draining")
	until := time.Now().Add(drainBound)
	time.Sleep(drainBound + watchFor)
	if last := b.lastArrival(); last.After(until) {
		s.t.Errorf("DRAIN: %s got a request %s after its bound", b.name(), last.Sub(until))
	}
	b.register("ready")
	s.configure("desk")
	s.awaitNewest("CONFIG", applyBound)
}

// TestRevertIsNoticed plays a VM that falls back to an older version.
func TestRevertIsNoticed(t *testing.T) {
	for _, falls := range []bool{false, true} {
		var asked atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			inForce := "/v2/x"
			if falls && asked.Add(1) > 2 {
				inForce = "/v1/x"
			}
			if r.URL.Path != inForce {
				w.WriteHeader(http.StatusNotFound)
			}
		}))
		s := &soak{t: t}
		s.version.Store(2)
		var check revertCheck
		stop := make(chan struct{})
		var work sync.WaitGroup
		work.Go(func() {
			check.watch(s, &vm{front: server.Listener.Addr().String()}, newClient(0, 1, nil), stop)
		})
		for range 100 {
			if time.Sleep(20 * time.Millisecond); check.found() > 0 {
				break
			}
		}
		close(stop)
		work.Wait()
		server.Close()
		if got := check.found() > 0; got != falls {
			t.Errorf("noticed %v, want %v", got, falls)
		}
	}
}
