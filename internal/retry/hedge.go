package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// hedgeSamples is the count of latencies that the delay is taken from.
	hedgeSamples = 128
	// hedgeMinSamples is the count below which there is no hedging.
	hedgeMinSamples = 32
	// hedgeRefresh is the count of samples between two computations.
	hedgeRefresh = 32
	// hedgeQuantile is the share of answers that arrive within the delay, in
	// percent.
	hedgeQuantile = 95
	// percentBase is the divisor of percentages.
	percentBase = 100
)

// HedgeTimer says how long to wait for an answer to an idempotent urgent
// request before a second attempt: the 95th percentile of recent answers. It
// is safe for concurrent use. A hedge is paid for from the retry Budget.
type HedgeTimer struct {
	mu      sync.Mutex
	samples [hedgeSamples]time.Duration
	sorted  [hedgeSamples]time.Duration
	count   int
	next    int
	delay   time.Duration
}

// NewHedgeTimer returns a timer without samples.
func NewHedgeTimer() *HedgeTimer { return &HedgeTimer{} }

// Observe adds the latency of one answer.
func (h *HedgeTimer) Observe(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples[h.next] = latency
	h.next = (h.next + 1) % hedgeSamples
	h.count = min(h.count+1, hedgeSamples)
	if h.next%hedgeRefresh == 0 {
		h.refresh()
	}
}

// Delay returns how long after the first attempt to hedge. It reports false
// when too few answers are known, or when an attempt made then could not
// answer before the deadline.
func (h *HedgeTimer) Delay(now, deadline time.Time) (time.Duration, bool) {
	h.mu.Lock()
	delay := h.delay
	h.mu.Unlock()
	if delay == 0 {
		return 0, false
	}
	return delay, FitsDeadline(now.Add(delay), deadline, delay)
}

func (h *HedgeTimer) refresh() {
	if h.count < hedgeMinSamples {
		return
	}
	sorted := h.sorted[:h.count]
	copy(sorted, h.samples[:h.count])
	slices.Sort(sorted)
	h.delay = sorted[(h.count-1)*hedgeQuantile/percentBase]
}
