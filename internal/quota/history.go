package quota

import "time"

// maxPast bounds the superseded values that a history keeps. Beyond it the two
// oldest merge into the smaller one.
const maxPast = 32

// history is a value that configurations change. A superseded value keeps
// counting for a changeover period.
type history struct {
	current int64
	past    []superseded
}

// superseded is a value that was current until a moment.
type superseded struct {
	value int64
	until time.Time
}

// set makes value current from now on.
func (h *history) set(now time.Time, value int64, changeover time.Duration) {
	h.prune(now, changeover)
	if value == h.current {
		return
	}
	h.past = append(h.past, superseded{value: h.current, until: now})
	h.current = value
	if len(h.past) > maxPast {
		h.past[1].value = min(h.past[0].value, h.past[1].value)
		h.past = h.past[1:]
	}
}

// prune forgets the values that no longer count.
func (h *history) prune(now time.Time, changeover time.Duration) {
	for len(h.past) > 0 && !now.Before(h.past[0].until.Add(changeover)) {
		h.past = h.past[1:]
	}
	if len(h.past) == 0 {
		h.past = nil
	}
}

// lowest returns the smallest value that still counts: a lowered value at
// once, a raised one only after the changeover.
func (h *history) lowest(now time.Time, changeover time.Duration) int64 {
	h.prune(now, changeover)
	value := h.current
	for _, p := range h.past {
		value = min(value, p.value)
	}
	return value
}

// settled returns the value that the whole deployment keeps to, and how long
// until that is the current one.
func (h *history) settled(now time.Time, changeover time.Duration) (int64, time.Duration) {
	h.prune(now, changeover)
	if len(h.past) == 0 {
		return h.current, 0
	}
	last := h.past[len(h.past)-1]
	return h.past[0].value, last.until.Add(changeover).Sub(now)
}

// idle reports that the value is zero and nothing else still counts.
func (h *history) idle(now time.Time, changeover time.Duration) bool {
	h.prune(now, changeover)
	return h.current == 0 && len(h.past) == 0
}
