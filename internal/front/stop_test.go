package front

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/overload"
	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

// Guards against a planned stop that leaves a request without an answer, repeats one that it
// gives up, or breaks off a response that a client is already reading.
func TestPlannedStopGivesUpOnlyWhatItWaitsFor(t *testing.T) {
	const part = 2 * maxBufferedResponse
	arrived, givenUp := make(chan string, 8), make(chan struct{})
	behave := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(platform.HeaderRequestID)
		w.Header().Set(platform.HeaderRequestID, id)
		w.Header().Set(platform.HeaderSeal, "seal")
		control := http.NewResponseController(w)
		switch id {
		case "begun":
			_, _ = io.WriteString(w, "begun")
		case "long":
			_, _ = io.WriteString(w, strings.Repeat("x", part))
		}
		if id == "begun" || id == "long" {
			_ = control.Flush()
		}
		arrived <- id
		if id == "long" {
			<-givenUp
			_, _ = io.WriteString(w, strings.Repeat("x", part))
			return
		}
		<-r.Context().Done()
	}
	front, b := newFrontWithTimeout(t, 20*time.Second, behave, behave)
	server, ok := front.Config.Handler.(*Server)
	if !ok {
		t.Fatal("another handler")
	}
	readers := map[string]*bufio.Reader{}
	for id, path := range map[string]string{"waiting": "/read/a", "order": "/order/a", "begun": "/read/b", "long": "/read/c"} {
		_, readers[id] = dialFront(t, front, strings.Replace(pipelinedRequest("GET", path, id), "5000", "15000", 1))
	}
	collect(t, arrived, len(readers))
	long, err := http.ReadResponse(readers["long"], nil)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	server.PlanStop(overload.PlannedStop{Last: now, End: now.Add(500 * time.Millisecond)})
	for _, id := range []string{"waiting", "order", "begun"} {
		resp, err := http.ReadResponse(readers[id], nil)
		if err != nil {
			t.Fatalf("%s: %v", id, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusBadGateway || !strings.Contains(string(body), reasonStopping) {
			t.Errorf("%s got %d %q, %v, want 502", id, resp.StatusCode, body, err)
		}
		if got := b.count(id); got != 1 {
			t.Errorf("%s reached a server %d times", id, got)
		}
	}
	close(givenUp)
	if n, err := io.Copy(io.Discard, long.Body); err != nil || n != 2*part {
		t.Errorf("got %d bytes of the long response, %v, want %d", n, err, 2*part)
	}
}

// onPipelinedStart calls a function when a request is started early.
type onPipelinedStart struct {
	tally.Scope
	call func()
}

// Counter implements tally.Scope.
func (s onPipelinedStart) Counter(name string) tally.Counter {
	if name == "pipelined_started" {
		s.call()
	}
	return s.Scope.Counter(name)
}

// Guards against a response that closes its connection since the VM began to drain after
// requests behind it had been started: they would be dropped.
func TestDrainBetweenTheStartOfTwoPipelinedReads(t *testing.T) {
	a := newAwaited()
	front, _ := newFrontWithTimeout(t, 5*time.Second, a.serve)
	server, ok := front.Config.Handler.(*Server)
	if !ok {
		t.Fatal("another handler")
	}
	// The second request is started before the handler of the first one is called.
	server.metrics.scope = onPipelinedStart{server.metrics.scope, server.DrainConnections}
	_, reader := dialFront(t, front, pipelinedRequest("GET", "/read/a", "1"), pipelinedRequest("GET", "/read/slow", "2"))
	a.arrivals(t, 2)
	close(a.release)
	expectResponses(t, reader, "1", "2")
}
