package quota

import (
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

// KeyStatus shows one cap as one VM sees it.
type KeyStatus struct {
	Key Key
	// Cap is the adopted cap, InForce the one that the deployment keeps to.
	Cap     int64
	InForce int64
	// Pending is how long until Cap is in force.
	Pending time.Duration
	// Floor and Granted are what this VM may spend in a Window.
	Floor   int64
	Granted int64
	// Spent and Wanted count the trailing Window.
	Spent  int64
	Wanted int64
}

// Status returns the caps that are in use or not yet in force, in order of
// key.
func (l *Limiter) Status(now time.Time) []KeyStatus {
	var statuses []KeyStatus
	for _, m := range *l.meters.Load() {
		s, shown := l.status(now, m)
		if shown {
			statuses = append(statuses, s)
		}
	}
	slices.SortFunc(statuses, func(a, b KeyStatus) int { return a.Key.compare(b.Key) })
	return statuses
}

// status describes one meter and reports whether it is worth showing.
func (l *Limiter) status(now time.Time, m *meter) (KeyStatus, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = m.observe(now)
	changeover := l.timing.Changeover()
	inForce, pending := m.cap.settled(now, changeover)
	if m.window == nil && pending == 0 {
		return KeyStatus{}, false
	}
	s := KeyStatus{
		Key:     m.key,
		Cap:     m.cap.current,
		InForce: inForce,
		Pending: pending,
		Floor:   l.floor(m, now),
		Granted: m.granted(now),
	}
	if m.window != nil {
		m.window.advance(tickOf(*l.start.Load(), now))
		s.Spent = m.window.total.spentFrom(0)
		s.Wanted = m.window.total.wantedAbove(model.NumPriorities)
	}
	return s, true
}

// LenderStatus shows one lender as one VM sees it.
type LenderStatus struct {
	// Lease is the store's key of the lender's lease.
	Lease string
	// Holder is the VM that is believed to lend, empty when unknown.
	Holder model.VMID
	// Lending reports that this VM holds the lease and lends.
	Lending bool
}

// Lenders returns what this VM knows of the lenders, in order of lease.
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

func (a *agent) status() LenderStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.service.opts.Now()
	return LenderStatus{
		Lease:   a.id.key(),
		Holder:  a.holder.VM,
		Lending: a.lender.Lends(now),
	}
}
