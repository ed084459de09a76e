// Package servers maintains the list of backend servers of one entry VM. Only one
// VM per availability zone, the reader, polls the platform's VM list. It sends
// changes to the other VMs of its zone, so that the load on the platform grows
// with the number of zones rather than VMs.
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
	// pollInterval is how often a zone's reader polls the VM list, plus up to 10 %
	// of jitter.
	pollInterval = time.Second
	// announceInterval is how often the reader sends the digest of an unchanged
	// list.
	announceInterval = 2 * time.Second
	// fallbackAfter is how long a VM waits for an announcement of its zone's reader
	// before it polls the list itself.
	fallbackAfter = 5 * time.Second
	// callTimeout limits one read of the list, from the platform or from a peer.
	callTimeout = 2 * time.Second
)

// Options configures a Service. Every field is required.
type Options struct {
	// Self and Zone identify this entry VM.
	Self model.VMID
	Zone model.Zone
	VMs  platform.VMList
	// Links carries messages to other entry VMs.
	Links peer.Links
	// View returns the current membership.
	View   func() *membership.View
	Logger *log.Logger
	Scope  tally.Scope
}

// Service keeps the list up to date between Start and Stop.
type Service struct {
	options Options
	list    atomic.Pointer[List]
	// confirmedAt is when the reader last confirmed the list, as the time since
	// started in ns.
	confirmedAt atomic.Int64
	started     time.Time
	changed     chan struct{}
	group       background.Group

	reads    tally.Counter
	failures tally.Counter
}

// New registers the message handlers and returns a service that is not started.
func New(o Options) *Service {
	s := &Service{
		options:  o,
		started:  time.Now(),
		changed:  make(chan struct{}, 1),
		reads:    o.Scope.Counter("vm_list_reads"),
		failures: o.Scope.Counter("vm_list_failures"),
	}
	s.list.Store(&List{})
	o.Links.HandleSlow(peer.KindServers, s.handleAnnouncement)
	o.Links.Handle(peer.KindServerFetch, s.handleFetch)
	return s
}

// Current returns the newest list. It is empty at first and never nil.
func (s *Service) Current() *List { return s.list.Load() }

// Changed returns a channel that receives a value after the list has changed.
// Changes in quick succession may be reported once.
func (s *Service) Changed() <-chan struct{} { return s.changed }

// Start reads the list from the platform once and then keeps it up to date until
// Stop. A failed first read is no error.
func (s *Service) Start(ctx context.Context) error {
	s.poll(ctx)
	if err := s.group.Start(ctx); err != nil {
		return err
	}
	s.group.Go(s.run)
	return nil
}

// Stop ends the updates.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

func (s *Service) run(ctx context.Context) {
	announced := time.Now()
	for background.Sleep(ctx, pollInterval+rand.N(pollInterval/10)) {
		if !s.shouldPoll(time.Now()) {
			continue
		}
		before := s.Current()
		if !s.poll(ctx) {
			continue
		}
		now := time.Now()
		if s.Current() != before || now.Sub(announced) >= announceInterval {
			s.announce(before)
			announced = now
		}
	}
}

// shouldPoll reports whether this VM polls the list now: it is its zone's reader,
// or has not heard from the reader for fallbackAfter.
func (s *Service) shouldPoll(now time.Time) bool {
	if s.reader() == s.options.Self {
		return true
	}
	return now.Sub(s.started)-time.Duration(s.confirmedAt.Load()) > fallbackAfter
}

// reader returns the middle one of the alive members of this zone, sorted by
// name. The first and the last have other duties.
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

// poll reads the list from the platform and reports whether it could. A list that was not
// read must not be announced, or the other VMs of the zone would take it for current.
func (s *Service) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.reads.Inc(1)
	vms, err := s.options.VMs.VMs(ctx)
	if err != nil {
		s.failures.Inc(1)
		s.options.Logger.Debug("reading the VM list failed", "err", err)
		return false
	}
	s.setVMs(vms)
	return true
}

// setVMs replaces the list, unless it is unchanged.
func (s *Service) setVMs(vms []platform.VM) {
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

// announce sends the changes since old to the other VMs of the zone. A lost
// announcement is made up for by a fetch after the next one.
func (s *Service) announce(old *List) {
	a := diff(old, s.Current())
	for _, m := range s.options.View().Members {
		if m.Zone != s.options.Zone || m.VM == s.options.Self || !m.CanOwn() {
			continue
		}
		_ = s.options.Links.Send(m.VM, peer.KindServers, a)
	}
}

// handleAnnouncement applies the changes sent by the zone's reader. A VM whose
// list is not the base of the changes fetches the complete list from the reader.
func (s *Service) handleAnnouncement(ctx context.Context, from model.VMID, body []byte) (any, error) {
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
		s.setVMs(vms)
	}
	s.confirmedAt.Store(int64(time.Since(s.started)))
	return nil, nil
}

// fetch replaces the list by that of another VM of the zone.
func (s *Service) fetch(ctx context.Context, from model.VMID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var vms []platform.VM
	if err := s.options.Links.Call(ctx, from, peer.KindServerFetch, nil, &vms); err != nil {
		return errors.Wrap(err, "fetch VM list")
	}
	s.setVMs(vms)
	return nil
}

func (s *Service) handleFetch(context.Context, model.VMID, []byte) (any, error) {
	return s.Current().VMs, nil
}
