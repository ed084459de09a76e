package feed

import (
	"time"

	"fuchsiaspar/internal/replica"
)

// apply applies a batch that the store, or a peer whose replica matched it, returned at a
// time. An outage is recorded first, since it decides what missing entries mean.
func (s *Service) apply(batch replica.Batch, at time.Time) (applied []replica.Event) {
	s.noteOutage(at)
	s.applying.Lock()
	defer s.applying.Unlock()
	applied = s.opts.Replica.Apply(batch)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.syncedAt) {
		s.syncedAt = at
		close(s.synced)
		s.synced = make(chan struct{})
	}
	return applied
}

// noteOutage records the end of an outage if the replica, which matches the store at a
// time, had not done so for outageGap. The store was then out of reach for this VM and for
// its sources; a failed call alone doesn't show that, since the store may serve the others.
func (s *Service) noteOutage(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := at.Sub(s.syncedAt)
	if gap <= outageGap || s.opts.Replica.Position().IsZero() {
		return
	}
	if at.After(s.recoveredAt) {
		s.recoveredAt = at
	}
	s.opts.Log.Event("store outage ended", "gap", gap, "revision", s.opts.Replica.Position().Revision)
}

// settledAge returns the age of the replica once no batch is being applied.
func (s *Service) settledAge() time.Duration {
	s.applying.Lock()
	defer s.applying.Unlock()
	return s.Age(time.Now())
}

// nextSync returns a channel that is closed when the replica next matches the store.
func (s *Service) nextSync() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}
