package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// hedgeWindow is the number of latest latencies that the delay is computed
	// from.
	hedgeWindow = 128
	// hedgeMinSamples is the number of latencies below which there is no hedging.
	hedgeMinSamples = 32
	// hedgeRefreshInterval is the number of samples between two computations of
	// the delay.
	hedgeRefreshInterval = 32
	// hedgePercentile is the percentage of answers that arrive within the delay.
	hedgePercentile = 95
	// percentBase is the divisor of percentages.
	percentBase = 100
)

// HedgeTimer computes how long to wait for an answer to an idempotent urgent request
// before sending a hedge, a second concurrent attempt: the 95th percentile of recent
// latencies. Hedges must be taken from the retry Budget. It is safe for concurrent
// use.
type HedgeTimer struct {
	mu      sync.Mutex
	samples [hedgeWindow]time.Duration
	sorted  [hedgeWindow]time.Duration
	count   int
	next    int
	delay   time.Duration
}

// NewHedgeTimer returns a HedgeTimer without samples.
func NewHedgeTimer() *HedgeTimer { return &HedgeTimer{} }

// Observe records the latency of one answer.
func (h *HedgeTimer) Observe(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples[h.next] = latency
	h.next = (h.next + 1) % hedgeWindow
	h.count = min(h.count+1, hedgeWindow)
	if h.next%hedgeRefreshInterval == 0 {
		h.updateDelay()
	}
}

// Delay returns how long after the first attempt to send a hedge. It reports false
// if there are too few samples, or if a hedge sent then would not end before the
// deadline.
func (h *HedgeTimer) Delay(now, deadline time.Time) (time.Duration, bool) {
	h.mu.Lock()
	delay := h.delay
	h.mu.Unlock()
	if delay == 0 {
		return 0, false
	}
	return delay, FitsDeadline(now.Add(delay), deadline, delay)
}

// updateDelay recomputes the delay. The caller must hold h.mu.
func (h *HedgeTimer) updateDelay() {
	if h.count < hedgeMinSamples {
		return
	}
	sorted := h.sorted[:h.count]
	copy(sorted, h.samples[:h.count])
	slices.Sort(sorted)
	h.delay = sorted[(h.count-1)*hedgePercentile/percentBase]
}
