package quota

import (
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

// KeyStatus is the state of one cap as seen by one VM, in units per second.
type KeyStatus struct {
	Key Key
	// Cap is the adopted cap, InForce the one that the whole deployment
	// respects.
	Cap     int64
	InForce int64
	// Pending is how long until Cap is in force, 0 if it is.
	Pending time.Duration
	// Floor and Granted add up to what this VM may use in a Window, at most Cap.
	Floor   int64
	Granted int64
	// Used and Demanded are the units of the trailing Window.
	Used     int64
	Demanded int64
}

// Status returns the caps that are in use or not yet in force, sorted by key.
func (l *Limiter) Status(now time.Time) []KeyStatus {
	var statuses []KeyStatus
	for _, m := range *l.meters.Load() {
		s, include := l.status(now, m)
		if include {
			statuses = append(statuses, s)
		}
	}
	slices.SortFunc(statuses, func(a, b KeyStatus) int { return a.Key.compare(b.Key) })
	return statuses
}

// status returns the status of one meter, and false if the cap is neither in use
// nor pending.
func (l *Limiter) status(now time.Time, m *meter) (KeyStatus, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = m.advanceTime(now)
	changeover := l.timing.Changeover()
	inForce, pending := m.cap.inForce(now, changeover)
	if m.window == nil && pending == 0 {
		return KeyStatus{}, false
	}
	s := KeyStatus{
		Key:     m.key,
		Cap:     m.cap.current,
		InForce: inForce,
		Pending: pending,
		Floor:   l.floor(m, now),
		Granted: m.grantedRate(now),
	}
	if m.window != nil {
		m.window.advance(bucketIndex(*l.origin.Load(), now))
		s.Used = m.window.total.usedAtOrBelow(0)
		s.Demanded = m.window.total.demandedAbove(model.NumPriorities)
	}
	return s, true
}

// LenderStatus is the state of one lender as seen by one VM.
type LenderStatus struct {
	// Lease is the store key of the lender's lease.
	Lease string
	// Holder is the last known lease holder, empty if unknown.
	Holder model.VMID
	// Lending is set if this VM holds the lease and lends.
	Lending bool
}

// Lenders returns the status of all lenders, sorted by Lease.
func (s *Service) Lenders() []LenderStatus {
	var statuses []LenderStatus
	for _, a := range s.allAgents() {
		statuses = append(statuses, a.status())
	}
	slices.SortFunc(statuses, func(a, b LenderStatus) int {
		if a.Lease < b.Lease {
			return -1
		}
		return 1
	})
	return statuses
}

func (a *lenderAgent) status() LenderStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.service.opts.Now()
	return LenderStatus{
		Lease:   a.id.key(),
		Holder:  a.holder.VM,
		Lending: a.lender.CanLend(now),
	}
}
