package state

import (
	"context"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/replica"
)

// expireEvery is how often lapsed entries and the live VMs are looked at.
const expireEvery = 200 * time.Millisecond

// Options configure a Service.
type Options struct {
	Copy    *replica.Replica
	Builder *Builder
	// Outage says what is known of the store's last outage.
	Outage func(now time.Time) Outage
	// Publish is called with each new snapshot, on the control goroutine.
	Publish func(snapshot *catalog.Snapshot, now time.Time)
	// Tick is called about five times a second on the control goroutine.
	Tick func(now time.Time)
}

// Service is the control goroutine: it alone changes the state.
type Service struct {
	opts    Options
	group   background.Group
	current atomic.Pointer[catalog.Snapshot]
	seen    uint64
}

// New returns a Service with an empty snapshot.
func New(opts Options) *Service {
	s := &Service{opts: opts}
	s.current.Store(opts.Builder.Snapshot(0))
	return s
}

// Current returns the newest snapshot.
func (s *Service) Current() *catalog.Snapshot { return s.current.Load() }

// Start begins to follow the copy.
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
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		changed := s.opts.Copy.Changed()
		s.update(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-ticker.C:
			s.expire(now)
			s.opts.Tick(now)
		}
	}
}

func (s *Service) update(now time.Time) {
	batch := s.opts.Copy.Since(s.seen)
	if batch.To == s.seen && len(batch.Events) == 0 {
		return
	}
	s.opts.Builder.Apply(batch, s.opts.Outage(now), now)
	s.seen = batch.To
	s.publish(now)
}

func (s *Service) expire(now time.Time) {
	if s.opts.Builder.Expire(s.opts.Outage(now), now) {
		s.publish(now)
	}
}

func (s *Service) publish(now time.Time) {
	snapshot := s.opts.Builder.Snapshot(s.seen)
	s.current.Store(snapshot)
	s.opts.Publish(snapshot, now)
}
