package accountlimit

import "time"

// reachChangeStep is the change of the usable fraction of the limits from which on the
// balances are adapted to it. Smaller changes, as those of a single VM among many, are
// covered by the tolerance of the bound.
const reachChangeStep = 0.05

// reachState is the fraction of each limit that the VMs in contact may use together.
type reachState struct {
	heard, total   int
	part, fraction float64
	// change counts the changes of fraction by reachChangeStep or more, and basis is
	// the fraction at the last one.
	change uint64
	basis  float64
	// lowest is the lowest fraction since the last window without changes, and lowAt the
	// last time at which it was below one.
	lowest float64
	lowAt  time.Time
}

func (r *reachState) set(c Contact, window time.Duration, now time.Time) {
	r.heard, r.total, r.part = c.Heard, max(c.Total, c.Heard, 1), c.Part
	r.fraction = float64(c.Heard) / float64(r.total)
	if step := r.fraction - r.basis; step >= reachChangeStep || step <= -reachChangeStep {
		if now.Sub(r.lowAt) > window {
			r.lowest = r.fraction
		}
		r.basis = r.fraction
		r.change++
	}
	r.lowest = min(r.lowest, r.fraction)
	if r.fraction <= 1-reachChangeStep {
		r.lowAt = now
	}
}
