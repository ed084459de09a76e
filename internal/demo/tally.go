package demo

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latency histograms in microseconds, and their precision in
// significant decimal digits.
const (
	latencyMin    = 1
	latencyMax    = 60_000_000
	latencyDigits = 3
)

// result is the result of one request as its caller saw it. offered is the time
// since the start of the load.
type result struct {
	priority model.Priority
	kind     string
	account  model.AccountID
	offered  time.Duration
	outcome  model.Outcome
	reason   model.Reason
	// whole is set if the response was verified as complete.
	whole bool
	// mismatched is set for a response that looked complete but belonged to
	// another request or had a wrong digest.
	mismatched bool
	latency    time.Duration
	// late is set if the request ended after its deadline.
	late bool
	// orderID identifies the request at the backend servers.
	orderID string
}

// runStats collects the results of a run, in total and by priority.
type runStats struct {
	mu         sync.Mutex
	byPriority [model.NumPriorities]*priorityStats
	results    []result
	unsent     int
}

// priorityStats holds counts and latencies of the requests of one priority.
type priorityStats struct {
	offered, answered, unknown, late int
	refused                          map[model.Reason]int
	unknowns                         map[model.Reason]int
	latency                          *hdrhistogram.Histogram
}

// newRunStats returns empty statistics.
func newRunStats() *runStats {
	t := &runStats{}
	for p := range t.byPriority {
		t.byPriority[p] = newPriorityStats()
	}
	return t
}

// newPriorityStats returns empty statistics of one priority.
func newPriorityStats() *priorityStats {
	return &priorityStats{
		refused:  make(map[model.Reason]int),
		unknowns: make(map[model.Reason]int),
		latency:  hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
	}
}

// add records the result of a request.
func (t *runStats) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
	t.byPriority[r.priority].add(r)
}

// add counts a result by its outcome and records the latency if it was answered.
func (t *priorityStats) add(r result) {
	t.offered++
	switch r.outcome {
	case model.OutcomeRan:
		t.answered++
		_ = t.latency.RecordValue(max(latencyMin, r.latency.Microseconds()))
		if r.late {
			t.late++
		}
	case model.OutcomeNotRun:
		t.refused[r.reason]++
	default:
		t.unknown++
		t.unknowns[r.reason]++
	}
}

// countUnsent counts a request that was not sent because the callers had
// maxOutstanding requests in flight.
func (t *runStats) countUnsent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsent++
}
