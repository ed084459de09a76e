package pick

import "time"

const (
	// failureWeight is the share of the newest outcome in the running failure
	// rate: about the last eight requests count.
	failureWeight = 0.12
	// failureCost is the cost of a server that fails every request, in units
	// of a full set of slots.
	failureCost = 6
	// minEject and maxEject bound how long a server that takes no connection,
	// or does not answer, gets nothing.
	minEject = 300 * time.Millisecond
	maxEject = 4 * time.Second
	// suspectAfter is the count of consecutive unreachable results after which
	// a server counts as restarted, and therefore cold, when it is back.
	suspectAfter = 2
	// halveAfter is how long a quiet server takes to lose half of its failure
	// rate, so that it is tried again.
	halveAfter = 3 * time.Second
)

// health judges a server by its own answers.
type health struct {
	failures    float64
	updatedAt   time.Time
	unreachable int
	ejectUntil  time.Time
}

func (h *health) rate(now time.Time) float64 {
	rate := h.failures
	for age := now.Sub(h.updatedAt); age > halveAfter && rate > failureWeight; age -= halveAfter {
		rate /= 2
	}
	return rate
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectUntil) }

func (h *health) note(failed bool, now time.Time) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	rate := h.rate(now)
	h.failures = rate + failureWeight*(outcome-rate)
	h.updatedAt = now
}

func (h *health) answered(failed bool, now time.Time) {
	h.note(failed, now)
	h.unreachable = 0
	h.ejectUntil = time.Time{}
}

// lost notes a request without any answer.
func (h *health) lost(now time.Time) {
	h.note(true, now)
	h.unreachable++
	pause := minEject << min(h.unreachable-1, 8)
	h.ejectUntil = now.Add(min(pause, maxEject))
}
