package quota

import (
	"time"

	"fuchsiaspar/internal/model"
)

// The accounting window is divided into sub-windows. One more than fit into
// it is counted, so that a unit stays counted for at least a whole Window.
const (
	subWindows = 20
	subWindow  = Window / subWindows
	numCells   = subWindows + 1
)

// cell counts the units of one sub-window by priority.
type cell struct {
	spent  [model.NumPriorities]int64
	wanted [model.NumPriorities]int64
}

func (c *cell) subtract(o *cell) {
	for p := range c.spent {
		c.spent[p] -= o.spent[p]
		c.wanted[p] -= o.wanted[p]
	}
}

// spentFrom returns the units spent by priority p and less urgent ones.
func (c *cell) spentFrom(p model.Priority) int64 {
	var sum int64
	for q := int(p); q < model.NumPriorities; q++ {
		sum += c.spent[q]
	}
	return sum
}

// wantedAbove returns the units wanted by priorities more urgent than p.
func (c *cell) wantedAbove(p model.Priority) int64 {
	var sum int64
	for q := 0; q < int(p); q++ {
		sum += c.wanted[q]
	}
	return sum
}

// wantedBelow returns the units wanted by priorities less urgent than p.
func (c *cell) wantedBelow(p model.Priority) int64 {
	var sum int64
	for q := int(p) + 1; q < model.NumPriorities; q++ {
		sum += c.wanted[q]
	}
	return sum
}

// window counts the units of the trailing accounting window. Time that moves
// backward counts as standing still, which keeps units counted for longer.
type window struct {
	// tick numbers the newest sub-window since the ledger's start.
	tick  int64
	total cell
	cells [numCells]cell
}

// advance drops the sub-windows that ended more than a Window ago.
func (w *window) advance(tick int64) {
	if tick <= w.tick {
		return
	}
	if tick-w.tick >= numCells {
		*w = window{tick: tick}
		return
	}
	for w.tick < tick {
		w.tick++
		oldest := w.newest()
		w.total.subtract(oldest)
		*oldest = cell{}
	}
}

func (w *window) newest() *cell { return &w.cells[w.tick%numCells] }

func (w *window) spend(p model.Priority, n int64) {
	w.newest().spent[p] += n
	w.total.spent[p] += n
}

func (w *window) want(p model.Priority, n int64) {
	w.newest().wanted[p] += n
	w.total.wanted[p] += n
}

// room returns how many units p may spend: the sum stays within the allowance,
// and so do the sums beside what is kept for more and for less urgent work.
func (w *window) room(allowed int64, p model.Priority, d *division) int64 {
	above := min(w.total.wantedAbove(p), allowed*d.most[p]/100)
	above = max(above, allowed*d.least[p]/100)
	below := min(w.total.wantedBelow(p), allowed*d.below[p]/100)
	all := w.total.spentFrom(0)
	fromHere := w.total.spentFrom(p)
	upToHere := all - w.total.spentFrom(p+1)
	return min(allowed-all, allowed-above-fromHere, allowed-below-upToHere)
}

// freedBy returns how many sub-windows from now at least n units of those
// spent by p and less urgent priorities have left the window.
func (w *window) freedBy(p model.Priority, n int64) int64 {
	var freed int64
	for ahead := int64(1); ahead <= numCells; ahead++ {
		freed += w.cells[(w.tick+ahead)%numCells].spentFrom(p)
		if freed >= n {
			return ahead
		}
	}
	return numCells
}

// idle reports that nothing was spent or wanted in the window.
func (w *window) idle() bool { return w.total == cell{} }

// tickOf numbers the sub-window that holds now.
func tickOf(start, now time.Time) int64 { return int64(now.Sub(start) / subWindow) }
