package demo

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms, in microseconds.
const (
	latencyMin    = 1
	latencyMax    = 60_000_000
	latencyDigits = 3
)

// result is how one request ended for its caller.
type result struct {
	priority model.Priority
	kind     string
	account  model.AccountID
	offered  time.Duration
	outcome  model.Outcome
	reason   model.Reason
	// whole is set for an answer whose content was proved complete.
	whole bool
	// crossed is set for an answer that was not the whole answer to this
	// request although it looked complete.
	crossed bool
	latency time.Duration
	// late is set when the answer came after the deadline.
	late bool
	// orderID is set for non-idempotent requests.
	orderID string
}

// tallies are the results of a run by priority.
type tallies struct {
	mu      sync.Mutex
	byRank  [model.NumPriorities]*rankTally
	results []result
	unsent  int
}

type rankTally struct {
	offered, answered, unknown, late int
	refused                          map[model.Reason]int
	unknowns                         map[model.Reason]int
	latency                          *hdrhistogram.Histogram
}

func newTallies() *tallies {
	t := &tallies{}
	for p := range t.byRank {
		t.byRank[p] = newRankTally()
	}
	return t
}

func newRankTally() *rankTally {
	return &rankTally{
		refused:  make(map[model.Reason]int),
		unknowns: make(map[model.Reason]int),
		latency:  hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
	}
}

func (t *tallies) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
	t.byRank[r.priority].add(r)
}

func (t *rankTally) add(r result) {
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

// overflow counts a request that was not sent because the callers had too many
// in flight.
func (t *tallies) overflow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsent++
}
