package retry

import (
	"sync"
	"time"
)

// bucket is a token bucket that first tries fill. A quiet bucket fills by
// itself up to a small minimum.
type bucket struct {
	mu      sync.Mutex
	percent int64
	// units is the content; a retry costs retryCost units.
	units int64
	// quiet and burst are the content up to which time and first tries fill
	// the bucket.
	quiet, burst int64
	// refilled is the time up to which quiet refill has been added.
	refilled time.Time
}

func newBucket(percent, quiet, burst int) bucket {
	return bucket{
		percent: int64(percent),
		units:   int64(quiet) * retryCost,
		quiet:   int64(quiet) * retryCost,
		burst:   int64(burst) * retryCost,
	}
}

func (b *bucket) setPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent = int64(percent)
}

func (b *bucket) earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.units = min(b.burst, b.units+b.percent)
}

func (b *bucket) spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.units < retryCost {
		return false
	}
	b.units -= retryCost
	return true
}

func (b *bucket) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.units = min(b.burst, b.units+retryCost)
}

// refill adds what time has earned, up to the quiet minimum.
func (b *bucket) refill(now time.Time) {
	if b.refilled.IsZero() {
		b.refilled = now
		return
	}
	elapsed := now.Sub(b.refilled)
	if elapsed <= 0 {
		return
	}
	earned := b.earned(elapsed)
	if earned == 0 {
		return
	}
	b.refilled = now
	if b.units < b.quiet {
		b.units = min(b.quiet, b.units+earned)
	}
}

// earned converts elapsed time to units. A bucket without a quota earns none.
func (b *bucket) earned(elapsed time.Duration) int64 {
	if b.percent == 0 {
		return 0
	}
	elapsed = min(elapsed, time.Duration(b.quiet)*quietRefill)
	return int64(elapsed * retryCost / quietRefill)
}
