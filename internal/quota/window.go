package quota

import (
	"time"

	"fuchsiaspar/internal/model"
)

// The accounting window is divided into sub-windows. One more than fit into
// it is counted, so that a unit stays counted for at least a whole Window.
const (
	bucketsPerWindow = 20
	bucketDuration   = Window / bucketsPerWindow
	numBuckets       = bucketsPerWindow + 1
)

// cell counts the units of one sub-window by priority.
type bucket struct {
	used     [model.NumPriorities]int64
	demanded [model.NumPriorities]int64
}

func (c *bucket) subtract(o *bucket) {
	for p := range c.used {
		c.used[p] -= o.used[p]
		c.demanded[p] -= o.demanded[p]
	}
}

// spentFrom returns the units spent by priority p and less urgent ones.
func (c *bucket) usedAtOrBelow(p model.Priority) int64 {
	var sum int64
	for q := int(p); q < model.NumPriorities; q++ {
		sum += c.used[q]
	}
	return sum
}

// wantedAbove returns the units wanted by priorities more urgent than p.
func (c *bucket) demandedAbove(p model.Priority) int64 {
	var sum int64
	for q := 0; q < int(p); q++ {
		sum += c.demanded[q]
	}
	return sum
}

// wantedBelow returns the units wanted by priorities less urgent than p.
func (c *bucket) demandedBelow(p model.Priority) int64 {
	var sum int64
	for q := int(p) + 1; q < model.NumPriorities; q++ {
		sum += c.demanded[q]
	}
	return sum
}

// window counts the units of the trailing accounting window. Time that moves
// backward counts as standing still, which keeps units counted for longer.
type window struct {
	// tick numbers the newest sub-window since the ledger's start.
	newestIndex int64
	total       bucket
	buckets     [numBuckets]bucket
}

// advance drops the sub-windows that ended more than a Window ago.
func (w *window) advance(index int64) {
	if index <= w.newestIndex {
		return
	}
	if index-w.newestIndex >= numBuckets {
		*w = window{newestIndex: index}
		return
	}
	for w.newestIndex < index {
		w.newestIndex++
		oldest := w.newest()
		w.total.subtract(oldest)
		*oldest = bucket{}
	}
}

func (w *window) newest() *bucket { return &w.buckets[w.newestIndex%numBuckets] }

func (w *window) recordUse(p model.Priority, n int64) {
	w.newest().used[p] += n
	w.total.used[p] += n
}

func (w *window) recordDemand(p model.Priority, n int64) {
	w.newest().demanded[p] += n
	w.total.demanded[p] += n
}

// room returns how many units p may spend: the sum stays within the allowance,
// and so do the sums beside what is kept for more and for less urgent work.
func (w *window) available(allowed int64, p model.Priority, reserve *priorityReserve) int64 {
	reservedAbove := min(w.total.demandedAbove(p), allowed*reserve.maxReserveAbove[p]/100)
	reservedAbove = max(reservedAbove, allowed*reserve.minReserveAbove[p]/100)
	reservedBelow := min(w.total.demandedBelow(p), allowed*reserve.maxReserveBelow[p]/100)
	usedTotal := w.total.usedAtOrBelow(0)
	usedAtOrBelow := w.total.usedAtOrBelow(p)
	usedAtOrAbove := usedTotal - w.total.usedAtOrBelow(p+1)
	return min(allowed-usedTotal, allowed-reservedAbove-usedAtOrBelow, allowed-reservedBelow-usedAtOrAbove)
}

// freedBy returns how many sub-windows from now at least n units of those
// spent by p and less urgent priorities have left the window.
func (w *window) bucketsUntilFreed(p model.Priority, n int64) int64 {
	var freed int64
	for buckets := int64(1); buckets <= numBuckets; buckets++ {
		freed += w.buckets[(w.newestIndex+buckets)%numBuckets].usedAtOrBelow(p)
		if freed >= n {
			return buckets
		}
	}
	return numBuckets
}

// idle reports that nothing was spent or wanted in the window.
func (w *window) idle() bool { return w.total == bucket{} }

// tickOf numbers the sub-window that holds now.
func bucketIndex(start, now time.Time) int64 { return int64(now.Sub(start) / bucketDuration) }
