package state

import (
	"context"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/replica"
)

// tickInterval is the interval between calls of Expire and OnTick.
const tickInterval = 200 * time.Millisecond

// Options configures a Service.
type Options struct {
	// Replica is the copy of the store to read.
	Replica *replica.Replica
	Builder *Builder
	// Outage returns the state of the store's last outage.
	Outage func(now time.Time) Outage
	// OnSnapshot is called with each new snapshot, on the service's goroutine.
	OnSnapshot func(snapshot *catalog.Snapshot, now time.Time)
	// OnTick is called every 200 ms on the service's goroutine.
	OnTick func(now time.Time)
}

// Service applies the changes of the replica on a goroutine of its own, which
// is the only one that changes the state, and publishes the snapshots.
type Service struct {
	opts    Options
	group   background.Group
	current atomic.Pointer[catalog.Snapshot]
	// applied is the position up to which the Builder is complete.
	applied replica.Position
}

// New returns a Service with an empty snapshot.
func New(opts Options) *Service {
	s := &Service{opts: opts}
	s.current.Store(opts.Builder.Snapshot(0))
	return s
}

// Current returns the latest snapshot. It is safe for concurrent use.
func (s *Service) Current() *catalog.Snapshot { return s.current.Load() }

// Start begins to apply changes of the replica.
func (s *Service) Start(ctx context.Context) error {
	if err := s.group.Start(ctx); err != nil {
		return err
	}
	s.group.Go(s.run)
	return nil
}

// Stop ends the service.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := s.opts.Replica.Changed()
		s.update(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-ticker.C:
			s.expire(now)
			s.opts.OnTick(now)
		}
	}
}

func (s *Service) update(now time.Time) {
	batch := s.opts.Replica.Since(s.applied)
	if batch.Position() == s.applied && len(batch.Events) == 0 {
		return
	}
	s.opts.Builder.Apply(batch, s.opts.Outage(now), now)
	s.applied = batch.Position()
	s.publish(now)
}

func (s *Service) expire(now time.Time) {
	if s.opts.Builder.Expire(s.opts.Outage(now), now) {
		s.publish(now)
	}
}

func (s *Service) publish(now time.Time) {
	snapshot := s.opts.Builder.Snapshot(s.applied.Revision)
	s.current.Store(snapshot)
	s.opts.OnSnapshot(snapshot, now)
}
