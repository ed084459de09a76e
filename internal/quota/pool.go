package quota

import (
	"time"

	"fuchsiaspar/internal/model"
)

// sweepInterval is how often a pool looks over all its borrowers. In between
// ended grants still count as lent, which is safe.
const sweepInterval = bucketDuration

// pool is the lendable part of one cap with its borrowers.
type pool struct {
	lendable  valueHistory
	borrowers map[borrowerID]*borrower
	// lent is the sum of what counts as lent.
	lent int64
	// share is the most that one borrower gets.
	maxPerBorrower int64
	lastSweep      time.Time
}

// borrowerID names one process of one VM.
type borrowerID struct {
	vm        model.VMID
	processID uint64
}

// borrower is one process with its unexpired grants of one pool.
type borrower struct {
	demand   int64
	lastSeen time.Time
	// counted is the largest grant that ended less than a Window ago.
	counted int64
	// grants are in order of falling value and rising expiry.
	grants []timedGrant
}

// lend grants a part of the pool for the timing's grant duration from now and
// returns its value.
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

// admit adds a borrower. The map is created at first use, since most caps are
// never borrowed.
func (p *pool) addBorrower(id borrowerID) *borrower {
	if p.borrowers == nil {
		p.borrowers = make(map[borrowerID]*borrower)
	}
	b := &borrower{}
	p.borrowers[id] = b
	return b
}

// sweep drops ended grants and borrowers that stopped asking, and divides the
// pool anew.
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

// fairShare returns the max-min fair share of a pool: the most that each of
// the borrowers that want more can have.
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

// prune drops the grants that ended a Window ago.
func (b *borrower) prune(now time.Time) {
	for len(b.grants) > 0 && !now.Before(b.grants[0].expires.Add(Window)) {
		b.grants = b.grants[1:]
	}
	b.counted = 0
	if len(b.grants) > 0 {
		b.counted = b.grants[0].rate
	}
}

// add keeps a grant that expires after all earlier ones.
func (b *borrower) addGrant(g timedGrant) {
	kept := b.grants[:0]
	for _, old := range b.grants {
		if old.rate > g.rate {
			kept = append(kept, old)
		}
	}
	b.grants = append(kept, g)
}
