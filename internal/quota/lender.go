package quota

import (
	"time"

	"fuchsiaspar/internal/model"
)

// maxDemands limits the demands that a lender serves per request; it ignores the
// rest.
const maxDemands = 512

// LenderOptions configures a Lender.
type LenderOptions struct {
	Timing Timing
	// RequireConfirm disallows lending until the first ConfirmUntil.
	RequireConfirm bool
}

// GrantRequest requests parts of caps from their lender.
type GrantRequest struct {
	// Lender identifies the lender whose caps are requested.
	Lender lenderID `cbor:"1,keyasint"`
	// Epoch is the lender's term as the borrower knows it.
	Epoch uint64 `cbor:"2,keyasint"`
	// ProcessID distinguishes the processes of one VM. Grants to a process that
	// has ended count in addition to those of its successor.
	ProcessID uint64 `cbor:"3,keyasint"`
	// Demands may be empty, to check only whether the lender responds.
	Demands []Demand `cbor:"4,keyasint,omitempty"`
}

// GrantStatus is the outcome of a grant request.
type GrantStatus uint8

// The statuses of grant replies.
const (
	// GrantServed means that the lender served the request.
	GrantServed GrantStatus = iota + 1
	// GrantSettling means that the lender does not lend yet, because its term has
	// just started or it may have missed configurations.
	GrantSettling
	// GrantUnconfirmed means that the lender's configuration is not confirmed.
	GrantUnconfirmed
	// GrantNotHolder means that the VM does not hold the lease, or holds it in
	// another epoch.
	GrantNotHolder
)

// WireGrant is a grant in a reply. It has a duration in place of an expiry,
// since the clocks of VMs are not comparable. The borrower counts it from the
// time it sent the request.
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

// Lender lends the part of each cap that is not divided into floors. It is a
// state machine that takes the time from its caller. It is not safe for
// concurrent use.
//
// For each borrower, the largest grant that is valid or expired less than a
// Window ago counts as lent. A new grant never raises the sum over all borrowers
// above the lendable part.
type Lender struct {
	timing Timing
	pools  map[Key]*pool
	epoch  uint64
	// confirmedUntil is when the confirmation of the adopted configuration
	// expires, unless alwaysConfirmed is set.
	confirmedUntil  time.Time
	alwaysConfirmed bool
	// reconfirmedAt is when the configuration was last confirmed after an earlier
	// confirmation had expired.
	reconfirmedAt time.Time
	// Lending is allowed from lendsFrom to leaseEnd, which is zero without a
	// lease.
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

// SetCaps adopts the caps of a configuration with the given number of
// provisioned slots. It must be called from the start of the process, even
// without a lease, since a cap that is new to the lender is lent only after
// Timing.Changeover.
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

// LeaseAcquired starts a term that ends at until. Lending starts after
// Timing.Settling, when grants of an earlier lender no longer count.
func (l *Lender) LeaseAcquired(now, until time.Time, epoch uint64) {
	l.epoch = epoch
	l.lendsFrom = now.Add(l.timing.Settling())
	l.leaseEnd = until
}

// LeaseRenewed extends the term to until. It has no effect once the term has
// ended.
func (l *Lender) LeaseRenewed(now, until time.Time) {
	if l.HoldsLease(now) {
		l.leaseEnd = until
	}
}

// LeaseLost ends the term.
func (l *Lender) LeaseLost() { l.leaseEnd = time.Time{} }

// ConfirmUntil records at now that the adopted configuration counts as the
// newest until the given time; after that nothing is lent. If the previous
// confirmation expired before now, lending resumes after Timing.Changeover. See
// Limiter.ConfirmUntil.
func (l *Lender) ConfirmUntil(now, until time.Time) {
	if !l.configConfirmed(now) {
		l.reconfirmedAt = now
	}
	l.confirmedUntil = until
	l.alwaysConfirmed = false
}

// recovering reports whether lending is withheld because the lender may have
// missed configurations less than a changeover ago.
func (l *Lender) recovering(now time.Time) bool {
	return !l.reconfirmedAt.IsZero() && now.Before(l.reconfirmedAt.Add(l.timing.Changeover()))
}

// HoldsLease reports whether the term has not ended at now.
func (l *Lender) HoldsLease(now time.Time) bool { return now.Before(l.leaseEnd) }

// CanLend reports whether the lender grants requests at now.
func (l *Lender) CanLend(now time.Time) bool {
	return l.HoldsLease(now) && !now.Before(l.lendsFrom) && l.configConfirmed(now) && !l.recovering(now)
}

// configConfirmed reports whether the adopted configuration is confirmed at
// now.
func (l *Lender) configConfirmed(now time.Time) bool {
	return l.alwaysConfirmed || now.Before(l.confirmedUntil)
}

// Epoch returns the epoch of the latest term, 0 if there was none.
func (l *Lender) Epoch() uint64 { return l.epoch }

// Lend handles a request of the VM from. Demands for unknown keys, and those
// that get nothing, have no grant in the reply.
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
