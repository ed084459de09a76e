// Package share exchanges load between entry VMs: the requests that all of them have
// outstanding at each backend server, from which every VM estimates the queue of a
// server, their requests to servers that limit them, other cumulative counters, and the
// servers that leave. The messages also carry the position of replicas of the store, so
// that a VM with a stale replica notices.
//
// The VMs of a region form a tree, whose root exchanges sums with the roots of the other
// regions. docs/design/messages.md describes it.
package share

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/replica"
)

// Counts maps the hash of a server to a number of outstanding requests, or to a change
// of it.
type Counts map[uint64]int

// LimitReport is what a VM reports about a server that limits its requests.
type LimitReport struct {
	// Sent is the number of requests that have been sent since the sender learned of the
	// limit. It begins again with each process and each limit.
	Sent uint64
	// Stated reports that the remaining fields hold what the server itself said to a VM.
	Stated bool
	// Limited reports whether the server stated a limit, and PerSecond is its number
	// of requests per second from all VMs together.
	Limited   bool
	PerSecond float64
	// Age is the time since the server said so.
	Age time.Duration
}

// LimitReports maps the hash of a server to the report about it.
type LimitReports map[uint64]LimitReport

// LeavingReports maps the hash of a server that says that it leaves to the start of its
// process.
type LeavingReports map[uint64]int64

// SlownessUnit is the value of SpeedReport.Slowness for a server that takes e times as
// long as the others of its service.
const SlownessUnit = 100

// SpeedReport is what a VM found of the speed of a server lately.
type SpeedReport struct {
	// Slowness is the logarithm of how many times as long as the other servers of its
	// service the server takes, times SlownessUnit.
	Slowness int16
	// Age is the age of the evidence.
	Age time.Duration
}

// SpeedReports maps the hash of a server to the report about it.
type SpeedReports map[uint64]SpeedReport

// RemoteSpeed is the report of another VM about the server with a hash.
type RemoteSpeed struct {
	Server uint64
	// Origin distinguishes the VMs that report. Two VMs have the same one by chance in one
	// of 65,536 pairs; the later report then replaces the other.
	Origin uint16
	SpeedReport
}

// Feed maintains this VM's replica of the store.
type Feed interface {
	// Position returns the position of the replica.
	Position() replica.Position
	// ObservePosition reports that vm's replica is at position.
	ObservePosition(vm catalog.VM, position replica.Position, now time.Time)
}

// Fleet holds the outstanding requests of this VM and of other VMs.
type Fleet interface {
	// Outstanding returns this VM's outstanding requests at each server. The caller may
	// modify the result.
	Outstanding() Counts
	// AddRemoteCounts changes the outstanding requests of all other VMs together.
	AddRemoteCounts(changes Counts)
	// LimitReports returns this VM's reports about servers that limit their requests.
	LimitReports(now time.Time) LimitReports
	// SetRemoteLimits applies reports from vm: statements of servers that it passes on,
	// or the requests of all other VMs together.
	SetRemoteLimits(vm model.VMID, reports LimitReports, now time.Time)
	// Leaving returns this VM's reports about servers that leave.
	Leaving(now time.Time) LeavingReports
	// SetRemoteLeaving applies the reports of another VM.
	SetRemoteLeaving(reports LeavingReports, now time.Time)
	// SpeedReports returns this VM's reports about servers that are slower than usual, and
	// those that are not although other VMs say so.
	SpeedReports(now time.Time) SpeedReports
	// SetRemoteSpeeds applies reports of other VMs, each of them once.
	SetRemoteSpeeds(reports []RemoteSpeed, now time.Time)
}

// Service exchanges load with other VMs from Start to Stop. It is safe for concurrent use.
type Service struct {
	links   peer.Links
	liveVMs func() []catalog.VM

	mu       sync.Mutex
	exchange *exchange
	// timer fires when the exchange is due; nil unless the service runs.
	timer *time.Timer
}

// New returns a Service that starts sending when it is started, and registers it
// as the receiver of load messages on links. liveVMs returns the VMs that are
// believed to be alive. The counters are summed over all VMs; their order must be the
// same on all of them.
func New(self catalog.VM, fleet Fleet, feed Feed, links peer.Links, liveVMs func() []catalog.VM, rng *rand.Rand, counters ...Counter) *Service {
	s := &Service{links: links, liveVMs: liveVMs, exchange: newExchange(self, fleet, feed, counters, rng)}
	links.Handle(peer.KindLoads, s.receive)
	return s
}

// Start begins the exchange.
func (s *Service) Start(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(0, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.run(time.Now())
	})
	return nil
}

// Stop ends the exchange. Neighbours notice by the silence.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	return nil
}

func (s *Service) receive(_ context.Context, from model.VMID, body []byte) (any, error) {
	var data []byte
	if err := peer.Unmarshal(body, &data); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return nil, nil
	}
	now := time.Now()
	if err := s.exchange.receive(from, data, now); err != nil {
		return nil, err
	}
	s.run(now)
	return nil, nil
}

// run sends what is due and sets the timer. The caller holds mu.
func (s *Service) run(now time.Time) {
	if s.timer == nil {
		return
	}
	messages, next := s.exchange.run(now, s.liveVMs())
	for _, m := range messages {
		if m.to.Peer != "" {
			s.links.SetAddress(m.to.Name, m.to.Peer)
		}
		// A later message makes up for a lost one.
		_ = s.links.Send(m.to.Name, peer.KindLoads, m.body)
	}
	s.timer.Reset(next.Sub(now))
}
