// Package control owns the control state of one entry VM. One goroutine joins
// the configuration, the members, the list of servers and the drains into an
// immutable entry.State, which traffic goroutines read.
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

// tickInterval is how often queues shed, drains are compared with the clock
// and loads are reported.
const tickInterval = 20 * time.Millisecond

// refreshInterval is how often zones and loads are refreshed without a change.
const refreshInterval = 100 * time.Millisecond

// Config is the part of the configuration service that control needs.
type Config interface {
	Current() *config.Snapshot
	Subscribe(func(*config.Snapshot))
	Confirmed(now time.Time) bool
	ConfirmedUntil() (time.Time, bool)
}

// Members is the part of the membership service that control needs.
type Members interface {
	View() *membership.View
	Subscribe(func(*membership.View))
	SetLocal(revision model.Revision, load []membership.ServiceLoad)
	Leave()
}

// Limits adopts the caps of a configuration.
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
	// Draining reports whether a server said itself that it drains.
	Draining func(model.ServerID) bool
	// DrainVersion changes with what Draining reports.
	DrainVersion func() uint64
	Explain      explain.Recorder
	Logger       *log.Logger
	Scope        tally.Scope
}

// Service runs the control goroutine.
type Service struct {
	options  Options
	state    atomic.Pointer[entry.State]
	wake     chan struct{}
	stopping atomic.Bool
	activity atomic.Pointer[func() int64]
	group    background.Group
	builder  builder
	progress progress
	rebuilds tally.Counter
}

// New returns a stopped service.
func New(o Options) *Service {
	return &Service{
		options:  o,
		wake:     make(chan struct{}, 1),
		builder:  builder{options: o},
		rebuilds: o.Scope.Counter("control_rebuilds"),
	}
}

// State returns the newest control state, nil before the first configuration.
func (s *Service) State() *entry.State { return s.state.Load() }

// View returns the members as this VM knows them.
func (s *Service) View() *membership.View { return s.options.Members.View() }

// Drains returns the progress of the drains in force at this VM.
func (s *Service) Drains() []fleet.DrainState { return s.progress.list() }

func (s *Service) active() int64 {
	if f := s.activity.Load(); f != nil {
		return (*f)()
	}
	return 0
}

// CountActive makes f tell how many callers' requests are in flight.
func (s *Service) SetActiveCounter(f func() int64) { s.activity.Store(&f) }

// Confirmed reports whether the configuration in force is known to be newest.
func (s *Service) Confirmed(now time.Time) bool { return s.options.Config.Confirmed(now) }

// Start runs the control goroutine until Stop.
func (s *Service) Start(ctx context.Context) error {
	s.options.Config.Subscribe(func(*config.Snapshot) { s.poke() })
	s.options.Members.Subscribe(func(*membership.View) { s.poke() })
	if err := s.group.Start(ctx); err != nil {
		return err
	}
	s.group.Go(s.loop)
	return nil
}

// Stop ends the control goroutine.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

// Leave takes this VM out of look-up answers and hands its servers over. Work
// in flight goes on.
func (s *Service) Leave() {
	s.stopping.Store(true)
	s.options.Members.Leave()
	s.poke()
}

func (s *Service) poke() {
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

// rebuild publishes a new state from the newest inputs.
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
		s.options.Logger.Error("control state not built", "err", err)
		return
	}
	s.state.Store(state)
	if until, ok := s.options.Config.ConfirmedUntil(); ok {
		s.options.Limits.ConfirmUntil(until)
	}
	s.progress.update(in, s.options.Pools, s.active(), s.options.Explain)
	s.options.Members.SetLocal(snapshot.Revision(), s.builder.loads)
}
