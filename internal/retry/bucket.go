package retry

import (
	"sync"
	"time"
)

// bucket is a token bucket that first attempts fill. Without first attempts it
// refills over time, up to a small number of retries.
type bucket struct {
	mu      sync.Mutex
	percent int64
	// units is the current content; a retry costs unitsPerRetry.
	units int64
	// idleUnits and maxUnits are the levels up to which time and first attempts
	// fill the bucket, in units.
	idleUnits, maxUnits int64
	// refilled is the time up to which the refill over time has been added.
	refilled time.Time
}

// newBucket returns a bucket that starts with idleTokens retries and holds at most
// maxTokens.
func newBucket(percent, idleTokens, maxTokens int) bucket {
	return bucket{
		percent:   int64(percent),
		units:     int64(idleTokens) * unitsPerRetry,
		idleUnits: int64(idleTokens) * unitsPerRetry,
		maxUnits:  int64(maxTokens) * unitsPerRetry,
	}
}

func (b *bucket) setPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent = int64(percent)
}

// deposit adds what one first attempt earns.
func (b *bucket) deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillByTime(now)
	b.units = min(b.maxUnits, b.units+b.percent)
}

// withdraw takes out one retry and reports whether the bucket held one.
func (b *bucket) withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillByTime(now)
	if b.units < unitsPerRetry {
		return false
	}
	b.units -= unitsPerRetry
	return true
}

// refund returns one retry to the bucket.
func (b *bucket) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.units = min(b.maxUnits, b.units+unitsPerRetry)
}

// refillByTime adds the units earned since the last refill, up to idleUnits. The
// caller must hold b.mu.
func (b *bucket) refillByTime(now time.Time) {
	if b.refilled.IsZero() {
		b.refilled = now
		return
	}
	elapsed := now.Sub(b.refilled)
	if elapsed <= 0 {
		return
	}
	earned := b.unitsFor(elapsed)
	if earned == 0 {
		return
	}
	b.refilled = now
	if b.units < b.idleUnits {
		b.units = min(b.idleUnits, b.units+earned)
	}
}

// unitsFor converts elapsed time to units. A bucket of zero percent earns none.
func (b *bucket) unitsFor(elapsed time.Duration) int64 {
	if b.percent == 0 {
		return 0
	}
	elapsed = min(elapsed, time.Duration(b.idleUnits)*idleRefillInterval)
	return int64(elapsed * unitsPerRetry / idleRefillInterval)
}
