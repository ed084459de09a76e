// Package control maintains the control state of one entry VM. A single goroutine
// combines the configuration, the members, the list of servers and the drains into
// an immutable entry.State and publishes it atomically, so that the goroutines that
// process requests read it without locks.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/entry"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/fleet"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/retry"
	"fuchsiaspar/internal/servers"
	"fuchsiaspar/internal/steer"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// tickInterval is how often the queues of the pools shed requests that
// have waited too long.
const tickInterval = 20 * time.Millisecond

// refreshInterval is how often the state is built again without a change of its
// inputs, so that loads are reported and drains take effect on time.
const refreshInterval = 100 * time.Millisecond

// Config is the part of the configuration service that a Service uses.
type Config interface {
	Current() *config.Snapshot
	Subscribe(func(*config.Snapshot))
	Confirmed(now time.Time) bool
	ConfirmedUntil() (time.Time, bool)
}

// Members is the part of the membership service that a Service uses.
type Members interface {
	View() *membership.View
	Subscribe(func(*membership.View))
	SetLocal(revision model.Revision, load []membership.ServiceLoad)
	Leave()
}

// Limits enforces the caps of the configuration in force.
type Limits interface {
	SetDocument(doc *config.Document)
	ConfirmUntil(until time.Time)
}

// Options configures a Service.
type Options struct {
	Self    model.VMID
	Zone    model.Zone
	Region  model.Region
	Config  Config
	Members Members
	Servers *servers.Service
	Pools   *owner.Pools
	Router  *steer.Router
	Limits  Limits
	Retries *retry.Budget
	// Draining reports whether a server's last health report said that it is
	// draining.
	Draining func(model.ServerID) bool
	// DrainVersion returns a number that changes whenever a result of Draining
	// changes.
	DrainVersion func() uint64
	Explain      explain.Recorder
	Logger       *log.Logger
	Scope        tally.Scope
}

// Service maintains the control state of one entry VM.
type Service struct {
	options        Options
	state          atomic.Pointer[entry.State]
	wake           chan struct{}
	stopping       atomic.Bool
	activeRequests atomic.Pointer[func() int64]
	group          background.Group
	builder        builder
	progress       drainProgress
	rebuilds       tally.Counter
}

// New returns a service without a state. Start starts it.
func New(o Options) *Service {
	return &Service{
		options:  o,
		wake:     make(chan struct{}, 1),
		builder:  builder{options: o},
		rebuilds: o.Scope.Counter("control_rebuilds"),
	}
}

// State returns the current control state, nil before the first configuration.
func (s *Service) State() *entry.State { return s.state.Load() }

// View returns the current membership view of this VM.
func (s *Service) View() *membership.View { return s.options.Members.View() }

// Drains returns the progress of the drains in force at this VM.
func (s *Service) Drains() []fleet.DrainState { return s.progress.list() }

// countActive returns the count of callers' requests in flight, 0 before
// SetActiveCounter.
func (s *Service) countActive() int64 {
	if f := s.activeRequests.Load(); f != nil {
		return (*f)()
	}
	return 0
}

// SetActiveCounter sets the function that returns how many callers' requests are in
// flight.
func (s *Service) SetActiveCounter(f func() int64) { s.activeRequests.Store(&f) }

// Confirmed reports whether the configuration in force is known to be the newest
// one.
func (s *Service) Confirmed(now time.Time) bool { return s.options.Config.Confirmed(now) }

// Start starts the control goroutine, which runs until Stop.
func (s *Service) Start(ctx context.Context) error {
	s.options.Config.Subscribe(func(*config.Snapshot) { s.requestRebuild() })
	s.options.Members.Subscribe(func(*membership.View) { s.requestRebuild() })
	if err := s.group.Start(ctx); err != nil {
		return err
	}
	s.group.Go(s.loop)
	return nil
}

// Stop stops the control goroutine.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

// Leave removes this VM from look-up answers and transfers its servers to other
// entry VMs. Requests in flight continue.
func (s *Service) Leave() {
	s.stopping.Store(true)
	s.options.Members.Leave()
	s.requestRebuild()
}

// requestRebuild wakes the control goroutine. Requests while one is pending are
// merged.
func (s *Service) requestRebuild() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.rebuild(time.Now())
	refreshed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.rebuild(time.Now())
		case <-s.options.Servers.Changed():
			s.rebuild(time.Now())
		case now := <-ticker.C:
			s.options.Pools.Tick(now)
			if now.Sub(refreshed) >= refreshInterval {
				refreshed = now
				s.rebuild(now)
			}
		}
	}
}

// rebuild builds a state from the current inputs and publishes it. If that fails,
// the previous state stays in force.
func (s *Service) rebuild(now time.Time) {
	snapshot := s.options.Config.Current()
	if snapshot == nil {
		return
	}
	s.rebuilds.Inc(1)
	in := inputs{
		now:      now,
		config:   snapshot,
		view:     s.options.Members.View(),
		list:     s.options.Servers.Current(),
		stopping: s.stopping.Load(),
	}
	state, err := s.builder.build(in)
	if err != nil {
		s.options.Logger.Error("failed to build control state", "err", err)
		return
	}
	s.state.Store(state)
	if until, ok := s.options.Config.ConfirmedUntil(); ok {
		s.options.Limits.ConfirmUntil(until)
	}
	s.progress.update(in, s.options.Pools, s.countActive(), s.options.Explain)
	s.options.Members.SetLocal(snapshot.Revision(), s.builder.loads)
}
