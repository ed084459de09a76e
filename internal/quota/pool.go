package quota

import (
	"time"

	"fuchsiaspar/internal/model"
)

// sweepInterval is the minimum time between two sweeps of a pool. Until a sweep,
// expired grants still count as lent, so the pool never lends too much.
const sweepInterval = bucketDuration

// pool is the lendable part of one cap with its borrowers. All amounts are in
// units per second.
type pool struct {
	lendable  valueHistory
	borrowers map[borrowerID]*borrower
	// lent is the sum of borrower.counted as of the latest sweep or grant.
	lent int64
	// maxPerBorrower is the largest grant that one borrower can get.
	maxPerBorrower int64
	lastSweep      time.Time
}

// borrowerID identifies one process of one VM.
type borrowerID struct {
	vm        model.VMID
	processID uint64
}

// borrower is one process with the grants of one pool that still count.
type borrower struct {
	demand   int64
	lastSeen time.Time
	// counted is the largest grant that is valid or expired less than a Window
	// ago.
	counted int64
	// grants are sorted by decreasing rate, which is also by increasing expiry.
	grants []timedGrant
}

// lend grants up to demand for Timing.GrantTTL from now and returns the granted
// rate, 0 if there is none left.
func (p *pool) lend(now time.Time, id borrowerID, demand int64, timing Timing) int64 {
	lendable := p.lendable.lowest(now, timing.Changeover())
	p.sweep(now, lendable, timing)
	b, ok := p.borrowers[id]
	if !ok {
		b = p.addBorrower(id)
	}
	b.demand = max(demand, 0)
	b.lastSeen = now
	lentToOthers := p.lent - b.counted
	rate := min(b.demand, p.maxPerBorrower, lendable-lentToOthers)
	if rate <= 0 {
		return 0
	}
	b.addGrant(timedGrant{rate: rate, expires: now.Add(timing.GrantTTL)})
	b.counted = b.grants[0].rate
	p.lent = lentToOthers + b.counted
	return rate
}

// addBorrower adds a borrower. It creates the map on first use, since most caps
// never have a borrower.
func (p *pool) addBorrower(id borrowerID) *borrower {
	if p.borrowers == nil {
		p.borrowers = make(map[borrowerID]*borrower)
	}
	b := &borrower{}
	p.borrowers[id] = b
	return b
}

// sweep removes grants that no longer count and borrowers without demand, then
// recomputes lent and maxPerBorrower.
func (p *pool) sweep(now time.Time, lendable int64, timing Timing) {
	if !p.lastSweep.IsZero() && now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	p.lent = 0
	for id, b := range p.borrowers {
		if now.Sub(b.lastSeen) > timing.GrantTTL {
			b.demand = 0
		}
		b.prune(now)
		p.lent += b.counted
		if b.demand == 0 && b.counted == 0 {
			delete(p.borrowers, id)
		}
	}
	p.maxPerBorrower = p.fairShare(lendable)
}

// fairShare returns the max-min fair share of the pool: the largest amount that
// every borrower with a higher demand can have at the same time.
func (p *pool) fairShare(lendable int64) int64 {
	share := int64(-1)
	for {
		remaining, unsatisfied := lendable, int64(0)
		for _, b := range p.borrowers {
			if b.demand <= share {
				remaining -= b.demand
			} else {
				unsatisfied++
			}
		}
		if unsatisfied == 0 {
			return lendable
		}
		next := remaining / unsatisfied
		if next <= share {
			return max(share, 1)
		}
		share = next
	}
}

// prune removes the grants that expired at least a Window ago.
func (b *borrower) prune(now time.Time) {
	for len(b.grants) > 0 && !now.Before(b.grants[0].expires.Add(Window)) {
		b.grants = b.grants[1:]
	}
	b.counted = 0
	if len(b.grants) > 0 {
		b.counted = b.grants[0].rate
	}
}

// addGrant adds a grant, which must expire after all earlier ones. Earlier
// grants that are no larger no longer affect the maximum and are removed.
func (b *borrower) addGrant(g timedGrant) {
	kept := b.grants[:0]
	for _, old := range b.grants {
		if old.rate > g.rate {
			kept = append(kept, old)
		}
	}
	b.grants = append(kept, g)
}
