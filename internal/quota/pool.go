package quota

import (
	"time"

	"fuchsiaspar/internal/model"
)

// pool is the lendable part of one cap with its borrowers.
type pool struct {
	lendable  history
	borrowers map[borrowerID]*borrower
}

// borrowerID names one process of one VM.
type borrowerID struct {
	vm      model.VMID
	process uint64
}

// borrower is one process with its unexpired grants of one pool.
type borrower struct {
	want     int64
	lastSeen time.Time
	// grants are in order of falling value and rising expiry.
	grants []held
}

// lend grants a part of the pool for the timing's grant duration from now and
// returns its value.
func (p *pool) lend(now time.Time, id borrowerID, want int64, timing Timing) int64 {
	p.prune(now, timing)
	b, ok := p.borrowers[id]
	if !ok {
		b = &borrower{}
		p.borrowers[id] = b
	}
	b.want = max(want, 0)
	b.lastSeen = now
	lendable := p.lendable.lowest(now, timing.Changeover())
	value := min(b.want, p.fairShare(lendable), lendable-p.lent(now, id))
	if value <= 0 {
		return 0
	}
	b.add(held{value: value, expires: now.Add(timing.GrantTTL)})
	return value
}

// lent returns the sum of what counts as lent to others than except.
func (p *pool) lent(now time.Time, except borrowerID) int64 {
	var sum int64
	for id, b := range p.borrowers {
		if id != except {
			sum += b.counted(now)
		}
	}
	return sum
}

// fairShare returns the max-min fair share of a pool: the most that each of
// the borrowers that want more can have.
func (p *pool) fairShare(lendable int64) int64 {
	share := int64(-1)
	for {
		rest, hungry := lendable, int64(0)
		for _, b := range p.borrowers {
			if b.want <= share {
				rest -= b.want
			} else {
				hungry++
			}
		}
		if hungry == 0 {
			return lendable
		}
		next := rest / hungry
		if next <= share {
			return max(share, 1)
		}
		share = next
	}
}

// prune forgets borrowers that stopped asking and whose grants have ended.
func (p *pool) prune(now time.Time, timing Timing) {
	for id, b := range p.borrowers {
		if now.Sub(b.lastSeen) > timing.GrantTTL {
			b.want = 0
		}
		if b.want == 0 && b.counted(now) == 0 {
			delete(p.borrowers, id)
		}
	}
}

// counted returns the largest grant that ended less than a Window ago.
func (b *borrower) counted(now time.Time) int64 {
	for len(b.grants) > 0 && !now.Before(b.grants[0].expires.Add(Window)) {
		b.grants = b.grants[1:]
	}
	if len(b.grants) == 0 {
		return 0
	}
	return b.grants[0].value
}

// add keeps a grant that expires after all earlier ones.
func (b *borrower) add(g held) {
	kept := b.grants[:0]
	for _, old := range b.grants {
		if old.value > g.value {
			kept = append(kept, old)
		}
	}
	b.grants = append(kept, g)
}
