package daemon

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pace"
	"fuchsiaspar/internal/quota"
)

// linkCaps holds one rate-limiting waiter for each link between regions. All
// transfers over a link share its waiter, which draws bytes from the quota
// limiter.
type linkCaps struct {
	limiter *quota.Limiter
	region  model.Region

	mu      sync.Mutex
	waiters map[quota.Key]*pace.Waiter
}

func newLinkCaps(limiter *quota.Limiter, region model.Region) *linkCaps {
	return &linkCaps{limiter: limiter, region: region, waiters: make(map[quota.Key]*pace.Waiter)}
}

// Waiter returns the waiter for the link between two regions, one of which is
// this VM's own. It returns nil if no such link is configured.
func (c *linkCaps) Waiter(from, to model.Region) *pace.Waiter {
	key := quota.LinkKey(from, to)
	if from != c.region {
		key = quota.InboundKey(from, to)
	}
	if !c.limiter.Capped(key) {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.waiters[key]
	if !ok {
		w = pace.NewWaiter(&linkSource{limiter: c.limiter, key: key}, pace.DefaultFloors())
		c.waiters[key] = w
	}
	return w
}

// Open reports whether this VM currently has an allowance to send over a link.
// A VM that has just started or cannot confirm its configuration has none.
// Links without a cap are always open.
func (c *linkCaps) Open(from, to model.Region) bool {
	key := quota.LinkKey(from, to)
	return !c.limiter.Capped(key) || c.limiter.Allowance(time.Now(), key) > 0
}

// linkSource draws the byte quota of one link from the limiter.
type linkSource struct {
	limiter *quota.Limiter
	key     quota.Key
}

// TakeUpTo takes up to n bytes and returns how many it took. It implements
// pace.Source.
func (s *linkSource) TakeUpTo(now time.Time, n int64) int64 {
	return s.limiter.TakeUpTo(now, s.key, n)
}

// NextAvailable returns the earliest time at which a byte is available. It
// implements pace.Source.
func (s *linkSource) NextAvailable(now time.Time) time.Time {
	return s.limiter.NextAvailable(now, s.key, 1, model.PriorityUrgent)
}
