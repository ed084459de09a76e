package daemon

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pace"
	"fuchsiaspar/internal/quota"
)

// linkCaps gives each link between regions one waiter over the ledger.
type linkCaps struct {
	ledger *quota.Limiter
	region model.Region

	mu      sync.Mutex
	waiters map[quota.Key]*pace.Waiter
}

func newLinkCaps(ledger *quota.Limiter, region model.Region) *linkCaps {
	return &linkCaps{ledger: ledger, region: region, waiters: make(map[quota.Key]*pace.Waiter)}
}

// Waiter returns the waiter of the link from one region to another, one of
// which is this VM's own, or nil when no link between them is configured.
func (c *linkCaps) Waiter(from, to model.Region) *pace.Waiter {
	key := quota.LinkKey(from, to)
	if from != c.region {
		key = quota.InboundKey(from, to)
	}
	if !c.ledger.Capped(key) {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.waiters[key]
	if !ok {
		w = pace.NewWaiter(&linkSource{ledger: c.ledger, key: key}, pace.DefaultFloors())
		c.waiters[key] = w
	}
	return w
}

// Open reports whether this VM may send over a link at all. A VM that has just
// started, or can't confirm its configuration, may not.
func (c *linkCaps) Open(from, to model.Region) bool {
	key := quota.LinkKey(from, to)
	return !c.ledger.Capped(key) || c.ledger.Allowance(time.Now(), key) > 0
}

// linkSource takes the bytes of one link from the ledger.
type linkSource struct {
	ledger *quota.Limiter
	key    quota.Key
}

// TakeUpTo implements pace.Source.
func (s *linkSource) TakeUpTo(now time.Time, n int64) int64 {
	return s.ledger.TakeUpTo(now, s.key, n)
}

// NextAvailable implements pace.Source.
func (s *linkSource) NextAvailable(now time.Time) time.Time {
	return s.ledger.NextAvailable(now, s.key, 1, model.PriorityUrgent)
}
