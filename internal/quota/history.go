package quota

import "time"

// maxSuperseded limits the superseded values that a valueHistory keeps. Beyond
// it, the two oldest are merged into the smaller one.
const maxSuperseded = 32

// valueHistory is a value that configurations change. A superseded value still
// counts for one changeover after it was replaced.
type valueHistory struct {
	current    int64
	superseded []supersededValue
}

// supersededValue is a value that was current until the given time.
type supersededValue struct {
	value int64
	until time.Time
}

// set makes value the current one as of now.
func (h *valueHistory) set(now time.Time, value int64, changeover time.Duration) {
	h.prune(now, changeover)
	if value == h.current {
		return
	}
	h.superseded = append(h.superseded, supersededValue{value: h.current, until: now})
	h.current = value
	if len(h.superseded) > maxSuperseded {
		h.superseded[1].value = min(h.superseded[0].value, h.superseded[1].value)
		h.superseded = h.superseded[1:]
	}
}

// prune removes the superseded values that no longer count.
func (h *valueHistory) prune(now time.Time, changeover time.Duration) {
	for len(h.superseded) > 0 && !now.Before(h.superseded[0].until.Add(changeover)) {
		h.superseded = h.superseded[1:]
	}
	if len(h.superseded) == 0 {
		h.superseded = nil
	}
}

// lowest returns the smallest value that still counts. So a lower value applies
// immediately and a higher one only after the changeover.
func (h *valueHistory) lowest(now time.Time, changeover time.Duration) int64 {
	h.prune(now, changeover)
	value := h.current
	for _, p := range h.superseded {
		value = min(value, p.value)
	}
	return value
}

// inForce returns the oldest value that still counts, which is the one that the
// whole deployment respects, and how long until that is the current value.
func (h *valueHistory) inForce(now time.Time, changeover time.Duration) (int64, time.Duration) {
	h.prune(now, changeover)
	if len(h.superseded) == 0 {
		return h.current, 0
	}
	last := h.superseded[len(h.superseded)-1]
	return h.superseded[0].value, last.until.Add(changeover).Sub(now)
}

// isZero reports whether the value is 0 and no superseded value still counts.
func (h *valueHistory) isZero(now time.Time, changeover time.Duration) bool {
	h.prune(now, changeover)
	return h.current == 0 && len(h.superseded) == 0
}
