package quota

import (
	"time"

	"fuchsiaspar/internal/model"
)

// maxDemands bounds the demands that a lender serves in one request.
const maxDemands = 512

// LenderOptions configures a Lender.
type LenderOptions struct {
	Timing Timing
	// RequireConfirm lets nothing be lent before the first ConfirmUntil.
	RequireConfirm bool
}

// GrantRequest asks a lender for parts of its caps.
type GrantRequest struct {
	// Lender says whose caps are asked for.
	Lender lenderID `cbor:"1,keyasint"`
	// Epoch is the term of the lender that the borrower knows of.
	Epoch uint64 `cbor:"2,keyasint"`
	// Process tells two processes of one VM apart. What was lent to a process
	// that has ended counts beside what its successor borrows.
	ProcessID uint64 `cbor:"3,keyasint"`
	// Demands may be empty, which only tests whether the lender answers.
	Demands []Demand `cbor:"4,keyasint,omitempty"`
}

// GrantStatus says how a lender took a request.
type GrantStatus uint8

// The statuses of grant replies.
const (
	// GrantServed means that the lender lends.
	GrantServed GrantStatus = iota + 1
	// GrantSettling means that the lender does not lend yet.
	GrantSettling
	// GrantUnconfirmed means that the lender cannot confirm its configuration.
	GrantUnconfirmed
	// GrantNotHolder means that the VM is no lender, or in another epoch.
	GrantNotHolder
)

// Loan is one grant as it travels: with a remaining duration in place of a
// time, counted from the moment the borrower sent its request.
type WireGrant struct {
	Key       Key           `cbor:"1,keyasint"`
	Rate      int64         `cbor:"2,keyasint"`
	Remaining time.Duration `cbor:"3,keyasint"`
}

// GrantReply answers a GrantRequest.
type GrantReply struct {
	Status GrantStatus `cbor:"1,keyasint"`
	Epoch  uint64      `cbor:"2,keyasint"`
	Grants []WireGrant `cbor:"3,keyasint,omitempty"`
}

// Lender lends what floors leave of each cap. It is a state machine without a
// clock; it is not safe for concurrent use. The holder of a lease drives it.
//
// For each borrower the largest grant that ended less than a Window ago
// counts as lent. The sum over borrowers never grows past the lendable part.
type Lender struct {
	timing Timing
	pools  map[Key]*pool
	epoch  uint64
	// confirmed is when the adopted configuration stops to be trusted, unless
	// unlimited is set.
	confirmedUntil  time.Time
	alwaysConfirmed bool
	// rejoined is when the trust was last renewed after it had ended.
	reconfirmedAt time.Time
	// from and until bound the term; until is zero without a lease.
	lendsFrom, leaseEnd time.Time
}

// NewLender returns a lender without a lease.
func NewLender(opts LenderOptions) *Lender {
	return &Lender{
		timing:          opts.Timing.withDefaults(),
		pools:           make(map[Key]*pool),
		alwaysConfirmed: !opts.RequireConfirm,
	}
}

// SetCaps adopts the caps of a configuration. A lender must be told of caps
// from the start of its process, also without a lease, since a cap that is new
// to it is lent only after Timing.Changeover.
func (l *Lender) SetCaps(now time.Time, slots int, caps []Cap) {
	configured := make(map[Key]bool, len(caps))
	for _, c := range caps {
		configured[c.Key] = true
		l.pool(c.Key).lendable.set(now, c.lendable(slots), l.timing.Changeover())
	}
	for key, p := range l.pools {
		if configured[key] {
			continue
		}
		p.lendable.set(now, 0, l.timing.Changeover())
		if p.lendable.isZero(now, l.timing.Changeover()) {
			delete(l.pools, key)
		}
	}
}

func (l *Lender) pool(key Key) *pool {
	p, ok := l.pools[key]
	if !ok {
		p = &pool{}
		l.pools[key] = p
	}
	return p
}

// Acquired begins a term that ends at until. Lending starts after
// Timing.Settling.
func (l *Lender) LeaseAcquired(now, until time.Time, epoch uint64) {
	l.epoch = epoch
	l.lendsFrom = now.Add(l.timing.Settling())
	l.leaseEnd = until
}

// Renewed moves the end of the term. It never revives an ended term.
func (l *Lender) LeaseRenewed(now, until time.Time) {
	if l.HoldsLease(now) {
		l.leaseEnd = until
	}
}

// Lost ends the term.
func (l *Lender) LeaseLost() { l.leaseEnd = time.Time{} }

// ConfirmUntil tells at now how long the adopted configuration may be trusted
// to be the newest; after that nothing is lent. When the trust had ended before
// now, lending starts again after a changeover. It follows Ledger.ConfirmUntil.
func (l *Lender) ConfirmUntil(now, until time.Time) {
	if !l.configConfirmed(now) {
		l.reconfirmedAt = now
	}
	l.confirmedUntil = until
	l.alwaysConfirmed = false
}

// rejoining reports whether the lender has too short a history to lend.
func (l *Lender) recovering(now time.Time) bool {
	return !l.reconfirmedAt.IsZero() && now.Before(l.reconfirmedAt.Add(l.timing.Changeover()))
}

// Holds reports whether the term lasts at now.
func (l *Lender) HoldsLease(now time.Time) bool { return now.Before(l.leaseEnd) }

// Lends reports whether the lender lends at now.
func (l *Lender) CanLend(now time.Time) bool {
	return l.HoldsLease(now) && !now.Before(l.lendsFrom) && l.configConfirmed(now) && !l.recovering(now)
}

// trusted reports whether the adopted configuration may be trusted.
func (l *Lender) configConfirmed(now time.Time) bool {
	return l.alwaysConfirmed || now.Before(l.confirmedUntil)
}

// Epoch returns the latest term.
func (l *Lender) Epoch() uint64 { return l.epoch }

// Lend answers a borrower's request.
func (l *Lender) Lend(now time.Time, from model.VMID, req GrantRequest) GrantReply {
	reply := GrantReply{Status: GrantNotHolder, Epoch: l.epoch}
	if !l.HoldsLease(now) || req.Epoch != l.epoch {
		return reply
	}
	if now.Before(l.lendsFrom) || l.recovering(now) {
		reply.Status = GrantSettling
		return reply
	}
	if !l.configConfirmed(now) {
		reply.Status = GrantUnconfirmed
		return reply
	}
	reply.Status = GrantServed
	id := borrowerID{vm: from, processID: req.ProcessID}
	for _, d := range req.Demands[:min(len(req.Demands), maxDemands)] {
		p, ok := l.pools[d.Key]
		if !ok {
			continue
		}
		rate := p.lend(now, id, d.Rate, l.timing)
		if rate > 0 {
			reply.Grants = append(reply.Grants, WireGrant{Key: d.Key, Rate: rate, Remaining: l.timing.GrantTTL})
		}
	}
	return reply
}
