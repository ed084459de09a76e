// Package servers keeps the list of backend servers of one entry VM. One VM of
// each availability zone reads the platform's VM list and passes changes on,
// so that the platform's load grows with zones and not with VMs.
package servers

import (
	"context"
	"hash/fnv"
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

// List is an immutable list of VMs.
type List struct {
	// Digest tells two lists apart.
	Digest uint64
	VMs    []platform.VM
}

// announcement tells the VMs of a zone which list its reader has.
type announcement struct {
	Digest uint64        `cbor:"1,keyasint"`
	VMs    []platform.VM `cbor:"2,keyasint,omitempty"`
}

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
	o.Links.Handle(peer.KindServers, s.receive)
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
		before := s.Current().Digest
		s.poll(ctx)
		now := time.Now()
		if s.Current().Digest != before || now.Sub(announced) >= announceInterval {
			s.announce(s.Current().Digest != before)
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

// reader returns the alive member of this zone with the lowest name.
func (s *Service) reader() model.VMID {
	for _, m := range s.options.View().Members {
		if m.Zone == s.options.Zone && m.State == membership.StateAlive {
			return m.VM
		}
	}
	return s.options.Self
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

func (s *Service) adopt(vms []platform.VM) {
	digest := digestOf(vms)
	if digest == s.Current().Digest {
		return
	}
	s.list.Store(&List{Digest: digest, VMs: vms})
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func digestOf(vms []platform.VM) uint64 {
	h := fnv.New64a()
	for _, vm := range vms {
		for _, part := range []string{vm.ID, string(vm.Role), string(vm.Zone), vm.Address, string(vm.Service), string(vm.State)} {
			_, _ = h.Write([]byte(part))
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}

func (s *Service) announce(whole bool) {
	a := announcement{Digest: s.Current().Digest}
	if whole {
		a.VMs = s.Current().VMs
	}
	for _, m := range s.options.View().Members {
		if m.Zone != s.options.Zone || m.VM == s.options.Self || !m.CanOwn() {
			continue
		}
		_ = s.options.Links.Send(m.VM, peer.KindServers, a)
	}
}

// receive adopts the list of the zone's reader. A digest without its list that
// differs from ours makes this VM read the list itself.
func (s *Service) receive(_ context.Context, _ model.VMID, body []byte) (any, error) {
	var a announcement
	if err := cbor.Unmarshal(body, &a); err != nil {
		return nil, errors.Wrap(err, "decode VM list")
	}
	if a.VMs != nil {
		s.adopt(a.VMs)
	}
	if a.Digest == s.Current().Digest {
		s.heard.Store(int64(time.Since(s.started)))
	} else {
		s.heard.Store(-int64(fallbackAfter))
	}
	return nil, nil
}
