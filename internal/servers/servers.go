// Package servers keeps the list of backend servers of one entry VM. One VM of
// each availability zone reads the platform's VM list and passes changes on,
// so that the platform's load grows with zones and not with VMs.
package servers

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// pollInterval is how often the reader of a zone reads the VM list.
	pollInterval = time.Second
	// announceInterval is how often the reader repeats the list's digest.
	announceInterval = 2 * time.Second
	// fallbackAfter is how long a VM waits for its zone's reader before it
	// reads the list itself.
	fallbackAfter = 5 * time.Second
	// callTimeout bounds one read of the list.
	callTimeout = 2 * time.Second
)

// Options configures a Service.
type Options struct {
	Self   model.VMID
	Zone   model.Zone
	VMs    platform.VMList
	Links  peer.Links
	View   func() *membership.View
	Logger *log.Logger
	Scope  tally.Scope
}

// Service keeps the list up to date while it runs.
type Service struct {
	options Options
	list    atomic.Pointer[List]
	// heard is when the reader last confirmed the list, as time since started.
	heard   atomic.Int64
	started time.Time
	changed chan struct{}
	group   background.Group

	reads    tally.Counter
	failures tally.Counter
}

// New returns a stopped service and registers its message handler.
func New(o Options) *Service {
	s := &Service{
		options:  o,
		started:  time.Now(),
		changed:  make(chan struct{}, 1),
		reads:    o.Scope.Counter("vm_list_reads"),
		failures: o.Scope.Counter("vm_list_failures"),
	}
	s.list.Store(&List{})
	o.Links.HandleSlow(peer.KindServers, s.receive)
	o.Links.Handle(peer.KindServerFetch, s.answerFetch)
	return s
}

// Current returns the newest list; it is never nil.
func (s *Service) Current() *List { return s.list.Load() }

// Changed receives a value after the list has changed.
func (s *Service) Changed() <-chan struct{} { return s.changed }

// Start reads the list once and keeps it up to date until Stop.
func (s *Service) Start(ctx context.Context) error {
	s.poll(ctx)
	if err := s.group.Start(ctx); err != nil {
		return err
	}
	s.group.Go(s.loop)
	return nil
}

// Stop ends the updates.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

func (s *Service) loop(ctx context.Context) {
	announced := time.Now()
	for background.Sleep(ctx, pollInterval+rand.N(pollInterval/10)) {
		if !s.mayRead(time.Now()) {
			continue
		}
		before := s.Current()
		s.poll(ctx)
		now := time.Now()
		if s.Current() != before || now.Sub(announced) >= announceInterval {
			s.announce(before)
			announced = now
		}
	}
}

// mayRead reports whether this VM reads the list now: it is its zone's reader,
// or the reader has been silent.
func (s *Service) mayRead(now time.Time) bool {
	if s.reader() == s.options.Self {
		return true
	}
	return now.Sub(s.started)-time.Duration(s.heard.Load()) > fallbackAfter
}

// reader returns the alive member in the middle of this zone by name. The first
// and the last one have other duties.
func (s *Service) reader() model.VMID {
	var alive []model.VMID
	for _, m := range s.options.View().Members {
		if m.Zone == s.options.Zone && m.State == membership.StateAlive {
			alive = append(alive, m.VM)
		}
	}
	if len(alive) == 0 {
		return s.options.Self
	}
	return alive[len(alive)/2]
}

func (s *Service) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.reads.Inc(1)
	vms, err := s.options.VMs.VMs(ctx)
	if err != nil {
		s.failures.Inc(1)
		s.options.Logger.Debug("VM list not read", "err", err)
		return
	}
	s.adopt(vms)
}

// adopt takes over a list, whose rows it sorts by name.
func (s *Service) adopt(vms []platform.VM) {
	next := newList(vms)
	if next.Digest == s.Current().Digest {
		return
	}
	s.list.Store(next)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// announce tells the other VMs of the zone what has changed since old.
func (s *Service) announce(old *List) {
	a := difference(old, s.Current())
	for _, m := range s.options.View().Members {
		if m.Zone != s.options.Zone || m.VM == s.options.Self || !m.CanOwn() {
			continue
		}
		_ = s.options.Links.Send(m.VM, peer.KindServers, a)
	}
}

// receive applies what has changed at the zone's reader. A VM that lacks the
// list which the changes start from asks the reader for all of it.
func (s *Service) receive(ctx context.Context, from model.VMID, body []byte) (any, error) {
	var a announcement
	if err := cbor.Unmarshal(body, &a); err != nil {
		return nil, errors.Wrap(err, "decode VM list")
	}
	vms, ok := a.apply(s.Current())
	if !ok {
		if err := s.fetch(ctx, from); err != nil {
			return nil, err
		}
	} else {
		s.adopt(vms)
	}
	s.heard.Store(int64(time.Since(s.started)))
	return nil, nil
}

// fetch asks another VM of the zone for its whole list.
func (s *Service) fetch(ctx context.Context, from model.VMID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var vms []platform.VM
	if err := s.options.Links.Call(ctx, from, peer.KindServerFetch, nil, &vms); err != nil {
		return errors.Wrap(err, "fetch VM list")
	}
	s.adopt(vms)
	return nil
}

func (s *Service) answerFetch(context.Context, model.VMID, []byte) (any, error) {
	return s.Current().VMs, nil
}
