package quota

import "time"

// maxPast bounds the superseded values that a history keeps. Beyond it the two
// oldest merge into the smaller one.
const maxSuperseded = 32

// history is a value that configurations change. A superseded value keeps
// counting for a changeover period.
type valueHistory struct {
	current    int64
	superseded []supersededValue
}

// superseded is a value that was current until a moment.
type supersededValue struct {
	value int64
	until time.Time
}

// set makes value current from now on.
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

// prune forgets the values that no longer count.
func (h *valueHistory) prune(now time.Time, changeover time.Duration) {
	for len(h.superseded) > 0 && !now.Before(h.superseded[0].until.Add(changeover)) {
		h.superseded = h.superseded[1:]
	}
	if len(h.superseded) == 0 {
		h.superseded = nil
	}
}

// lowest returns the smallest value that still counts: a lowered value at
// once, a raised one only after the changeover.
func (h *valueHistory) lowest(now time.Time, changeover time.Duration) int64 {
	h.prune(now, changeover)
	value := h.current
	for _, p := range h.superseded {
		value = min(value, p.value)
	}
	return value
}

// settled returns the value that the whole deployment keeps to, and how long
// until that is the current one.
func (h *valueHistory) inForce(now time.Time, changeover time.Duration) (int64, time.Duration) {
	h.prune(now, changeover)
	if len(h.superseded) == 0 {
		return h.current, 0
	}
	last := h.superseded[len(h.superseded)-1]
	return h.superseded[0].value, last.until.Add(changeover).Sub(now)
}

// idle reports that the value is zero and nothing else still counts.
func (h *valueHistory) isZero(now time.Time, changeover time.Duration) bool {
	h.prune(now, changeover)
	return h.current == 0 && len(h.superseded) == 0
}
