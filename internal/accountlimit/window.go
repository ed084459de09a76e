package accountlimit

import "time"

// slotsPerWindow is the number of intervals in which a window counts requests. One more
// is kept, so that the count covers at least the whole window.
const slotsPerWindow = 20

// window counts requests within the last window of time.
type window struct {
	slots []float32
	// width is the length of a slot, and newest the number of the slot that contains the
	// present.
	width  time.Duration
	newest int64
	sum    float64
}

func (w *window) init(length time.Duration, now time.Time) {
	w.slots = make([]float32, slotsPerWindow+1)
	w.width = max(length/slotsPerWindow, time.Millisecond)
	w.newest = w.slot(now)
}

func (w *window) slot(at time.Time) int64 { return at.UnixNano() / int64(w.width) }

func (w *window) at(slot int64) *float32 { return &w.slots[slot%int64(len(w.slots))] }

// advance removes the requests that are older than the window.
func (w *window) advance(now time.Time) {
	slot := w.slot(now)
	if slot-w.newest >= int64(len(w.slots)) {
		clear(w.slots)
		w.newest, w.sum = slot, 0
		return
	}
	for w.newest < slot {
		w.newest++
		w.sum -= float64(*w.at(w.newest))
		*w.at(w.newest) = 0
	}
}

// add counts requests at the present. A negative number removes them.
func (w *window) add(requests float64, now time.Time) {
	w.advance(now)
	*w.at(w.newest) += float32(requests)
	w.total()
}

// recent returns the number of requests in the last slot and the present one.
func (w *window) recent() float64 { return float64(*w.at(w.newest) + *w.at(w.newest - 1)) }

// fill assumes requests at a rate in the part of the window before start.
func (w *window) fill(rate float64, start, now time.Time) {
	w.advance(now)
	first, last := w.newest-slotsPerWindow, min(w.slot(start), w.newest)
	for slot := first; slot <= last; slot++ {
		*w.at(slot) += float32(rate * w.width.Seconds())
	}
	w.total()
}

// raise assumes requests at a rate wherever fewer are known.
func (w *window) raise(rate float64) {
	for i := range w.slots {
		w.slots[i] = max(w.slots[i], float32(rate*w.width.Seconds()))
	}
	w.total()
}

func (w *window) scale(factor float64) {
	for i := range w.slots {
		w.slots[i] *= float32(factor)
	}
	w.total()
}

func (w *window) total() {
	w.sum = 0
	for _, n := range w.slots {
		w.sum += float64(n)
	}
}
