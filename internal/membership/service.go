package membership

import (
	"context"
	"io"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// eventQueueSize is the capacity of the control goroutine's event queue.
const eventQueueSize = 4096

// ServiceOptions configures a Service. Rand, Logger, Scope and Explain are
// optional.
type ServiceOptions struct {
	Self      Self
	Seeds     []Seed
	Store     platform.Store
	VMs       platform.VMList
	Links     peer.Links
	Rand      *rand.Rand
	Logger    *log.Logger
	Scope     tally.Scope
	Explain   explain.Recorder
	Intervals Intervals
	// OnSuperseded, if not nil, is called once when another process has taken
	// over this VM's slot. The Service then does nothing more.
	OnSuperseded func(by model.Incarnation)
}

// Service runs a Node in a daemon. One control goroutine owns the Node. Calls
// to the store and the VM list run on their own goroutines and return their
// results as events.
type Service struct {
	opts      ServiceOptions
	intervals Intervals
	metrics   *metrics
	events    chan Event
	view      atomic.Pointer[View]
	clock     func() time.Time

	// requests wakes the control goroutine to read local and leave.
	requests chan struct{}
	local    atomic.Pointer[LocalUpdated]
	leave    atomic.Bool

	subscribersMu sync.Mutex
	subscribers   []func(*View)

	group background.Group
}

// NewService returns a Service and registers its message handlers with the
// links.
func NewService(opts ServiceOptions) *Service {
	if opts.Logger == nil {
		opts.Logger = log.New(io.Discard)
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewSource(int64(opts.Self.Incarnation)))
	}
	s := &Service{
		opts:      opts,
		intervals: opts.Intervals.withDefaults(),
		metrics:   newMetrics(opts.Scope),
		events:    make(chan Event, eventQueueSize),
		clock:     time.Now,

		requests: make(chan struct{}, 1),
	}
	s.view.Store(&View{Self: opts.Self.VM})
	s.registerHandlers()
	return s
}

func (s *Service) registerHandlers() {
	s.opts.Links.Handle(peer.KindHeartbeat, func(_ context.Context, from model.VMID, body []byte) (any, error) {
		e := HeartbeatReceived{From: from}
		return nil, s.receive(&e.Heartbeat, body, func() Event { return e })
	})
	s.opts.Links.Handle(peer.KindZoneDelta, func(_ context.Context, from model.VMID, body []byte) (any, error) {
		e := DeltaReceived{From: from}
		return nil, s.receive(&e.Delta, body, func() Event { return e })
	})
	s.opts.Links.Handle(peer.KindProbe, func(_ context.Context, from model.VMID, body []byte) (any, error) {
		e := ProbeReceived{From: from}
		return nil, s.receive(&e.Probe, body, func() Event { return e })
	})
}

// receive decodes a message and queues it as an event. A message is dropped
// and counted if the queue is full.
func (s *Service) receive(into any, body []byte, event func() Event) error {
	if err := peer.Unmarshal(body, into); err != nil {
		s.metrics.malformed.Inc(1)
		return errors.Wrap(err, "membership: decode message")
	}
	select {
	case s.events <- event():
	default:
		s.metrics.dropped.Inc(1)
	}
	return nil
}

// Start publishes the first view and starts the control goroutine.
func (s *Service) Start(ctx context.Context) error {
	if err := s.group.Start(ctx); err != nil {
		return errors.Wrap(err, "membership: start")
	}
	node := NewNode(NodeOptions{
		Self:      s.opts.Self,
		Seeds:     s.opts.Seeds,
		Rand:      s.opts.Rand,
		Intervals: s.intervals,
	}, s.clock())
	s.step(node, Tick{})
	s.group.Go(func(ctx context.Context) { s.run(ctx, node) })
	return nil
}

// Stop ends the control goroutine and the calls in progress, or returns an
// error when ctx ends. It does not announce that the VM leaves; see Leave.
func (s *Service) Stop(ctx context.Context) error {
	return errors.Wrap(s.group.Stop(ctx), "membership: stop")
}

// View returns the current view. It is never nil.
func (s *Service) View() *View { return s.view.Load() }

// Subscribe calls f with each new view on the control goroutine, but not with
// views published earlier. f must not block.
func (s *Service) Subscribe(f func(*View)) {
	s.subscribersMu.Lock()
	defer s.subscribersMu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// Leave makes this VM announce that it is leaving. It does not block.
func (s *Service) Leave() {
	s.leave.Store(true)
	s.wake()
}

// SetLocal sets the configuration revision in force at this VM and its load.
// The newest values replace earlier ones that were not yet processed.
func (s *Service) SetLocal(revision model.Revision, load []ServiceLoad) {
	s.local.Store(&LocalUpdated{Revision: revision, Load: load})
	s.wake()
}

// wake makes the control goroutine handle requests. It never blocks.
func (s *Service) wake() {
	select {
	case s.requests <- struct{}{}:
	default:
	}
}

func (s *Service) handleRequests(node *Node) {
	if local := s.local.Swap(nil); local != nil {
		s.step(node, *local)
	}
	if s.leave.Swap(false) {
		s.step(node, LeaveRequested{})
	}
}

func (s *Service) run(ctx context.Context, node *Node) {
	ticker := time.NewTicker(s.intervals.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			s.step(node, e)
		case <-s.requests:
			s.handleRequests(node)
		case <-ticker.C:
			s.step(node, Tick{})
		}
	}
}

// step applies one event to the Node and executes the resulting actions.
func (s *Service) step(node *Node, e Event) {
	for _, action := range node.Step(s.clock(), e) {
		s.execute(action)
	}
}

func (s *Service) execute(action Action) {
	switch a := action.(type) {
	case SendHeartbeat:
		s.send(a.To, peer.KindHeartbeat, a.Heartbeat)
	case SendDelta:
		s.send(a.To, peer.KindZoneDelta, a.Delta)
	case SendProbe:
		s.send(a.To, peer.KindProbe, a.Probe)
	case SetAddress:
		s.opts.Links.SetAddress(a.VM, a.Address)
	case DropLink:
		s.opts.Links.Drop(a.VM)
	case Publish:
		s.publish(a.View)
	case Superseded:
		s.handleSuperseded(a.By)
	default:
		s.callPlatform(action)
	}
}

func (s *Service) send(to model.VMID, kind peer.Kind, body any) {
	if err := s.opts.Links.Send(to, kind, body); err != nil {
		s.metrics.unsent.Inc(1)
	}
}

func (s *Service) handleSuperseded(by model.Incarnation) {
	s.opts.Logger.Error("slot taken over by another process", "vm", s.opts.Self.VM, "incarnation", by)
	if s.opts.OnSuperseded != nil {
		s.opts.OnSuperseded(by)
	}
}
