package quota

import (
	"time"

	"fuchsiaspar/internal/model"
)

// The accounting window is divided into buckets. The window counts one bucket
// more than fits into it, so that a unit counts for at least a whole Window.
const (
	bucketsPerWindow = 20
	bucketDuration   = Window / bucketsPerWindow
	numBuckets       = bucketsPerWindow + 1
)

// bucket counts the units of one interval of bucketDuration by priority.
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

// usedAtOrBelow returns the units used by priority p and less urgent ones.
func (c *bucket) usedAtOrBelow(p model.Priority) int64 {
	var sum int64
	for q := int(p); q < model.NumPriorities; q++ {
		sum += c.used[q]
	}
	return sum
}

// demandedAbove returns the units demanded by priorities more urgent than p.
func (c *bucket) demandedAbove(p model.Priority) int64 {
	var sum int64
	for q := 0; q < int(p); q++ {
		sum += c.demanded[q]
	}
	return sum
}

// demandedBelow returns the units demanded by priorities less urgent than p.
func (c *bucket) demandedBelow(p model.Priority) int64 {
	var sum int64
	for q := int(p) + 1; q < model.NumPriorities; q++ {
		sum += c.demanded[q]
	}
	return sum
}

// window counts the units of the trailing accounting window. Time that moves
// backward is ignored, so that units count longer rather than shorter.
type window struct {
	// newestIndex is the index of the newest bucket, counted from the limiter's
	// origin.
	newestIndex int64
	total       bucket
	buckets     [numBuckets]bucket
}

// advance makes index the newest bucket and clears the buckets that are more
// than a Window older.
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

// available returns how many units p may use, possibly a negative number. It
// keeps three sums within the allowance: the total use; the use by p and less
// urgent priorities plus the reserve for more urgent ones; and the use by p and
// more urgent priorities plus the reserve for less urgent ones.
func (w *window) available(allowed int64, p model.Priority, reserve *priorityReserve) int64 {
	reservedAbove := min(w.total.demandedAbove(p), allowed*reserve.maxReserveAbove[p]/100)
	reservedAbove = max(reservedAbove, allowed*reserve.minReserveAbove[p]/100)
	reservedBelow := min(w.total.demandedBelow(p), allowed*reserve.maxReserveBelow[p]/100)
	usedTotal := w.total.usedAtOrBelow(0)
	usedAtOrBelow := w.total.usedAtOrBelow(p)
	usedAtOrAbove := usedTotal - w.total.usedAtOrBelow(p+1)
	return min(allowed-usedTotal, allowed-reservedAbove-usedAtOrBelow, allowed-reservedBelow-usedAtOrAbove)
}

// bucketsUntilFreed returns after how many buckets at least n of the units used
// by p and less urgent priorities have left the window, at most numBuckets.
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

// idle reports whether nothing was used or demanded in the window.
func (w *window) idle() bool { return w.total == bucket{} }

// bucketIndex returns the index of the bucket that contains now.
func bucketIndex(start, now time.Time) int64 { return int64(now.Sub(start) / bucketDuration) }
