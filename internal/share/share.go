// Package share exchanges load between entry VMs. Each VM periodically sends the
// others its number of outstanding requests at each backend server, so that every
// VM can estimate the queue of a server from the requests of all VMs, and reports its
// requests to servers that limit them and the servers that leave. The messages
// also carry the position of the sender's replica of the store, so that a VM with a
// stale replica notices.
package share

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/replica"
)

const (
	// sendInterval is the time between two messages. It is shorter than the
	// duration of a request at a server.
	sendInterval = 100 * time.Millisecond
	// broadcastEvery is the number of rounds after which a message also goes to
	// VMs that have sent nothing lately, so that they learn of this VM before they
	// have traffic.
	broadcastEvery = 10
	// activeTimeout is how long messages go to a VM after its last message.
	activeTimeout = 3 * time.Second
	// maxRecipients bounds the VMs that get one message, so that the traffic of a
	// VM does not grow with the number of VMs.
	maxRecipients = 24
)

// Counts maps the hash of a server to its number of outstanding requests.
type Counts map[uint64]int

// LimitReport is what a VM reports about a server that limits its requests.
type LimitReport struct {
	// Sent is the number of requests that the VM has sent since it learned of the
	// limit. It begins again with each process and each limit.
	Sent uint64 `cbor:"1,keyasint,omitempty"`
	// Stated reports that the remaining fields hold what the server itself said to
	// the VM.
	Stated bool `cbor:"2,keyasint,omitempty"`
	// Limited reports whether the server stated a limit, and PerSecond is its number
	// of requests per second from all VMs together.
	Limited   bool    `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since the server said so.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
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
	_ struct{} `cbor:",toarray"`
	// Slowness is the logarithm of how many times as long as the other servers of its
	// service the server takes, times SlownessUnit.
	Slowness int16
	// AgeMillis is the age of the evidence in milliseconds.
	AgeMillis uint16
}

// SpeedReports maps the hash of a server to the report about it.
type SpeedReports map[uint64]SpeedReport

// message is the message that VMs send each other.
type message struct {
	// Revision and Era are the position of the sender's replica of the store.
	Revision uint64 `cbor:"1,keyasint"`
	Era      uint64 `cbor:"4,keyasint,omitempty"`
	// Counts are the sender's outstanding requests.
	Counts Counts `cbor:"2,keyasint,omitempty"`
	// Limits are the sender's reports about servers that limit their requests.
	Limits LimitReports `cbor:"3,keyasint,omitempty"`
	// Leaving are the servers that said to the sender that they leave.
	Leaving LeavingReports `cbor:"5,keyasint,omitempty"`
	// Speeds holds servers that are slower than usual, and those of which others say so wrongly.
	Speeds SpeedReports `cbor:"6,keyasint,omitempty"`
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
	// Outstanding returns this VM's outstanding requests at each server.
	Outstanding() Counts
	// SetRemoteCounts replaces the outstanding requests of another VM.
	SetRemoteCounts(vm model.VMID, counts Counts, now time.Time)
	// LimitReports returns this VM's reports about servers that limit their requests.
	LimitReports(now time.Time) LimitReports
	// SetRemoteLimits applies the reports of another VM.
	SetRemoteLimits(vm model.VMID, reports LimitReports, now time.Time)
	// Leaving returns this VM's reports about servers that leave.
	Leaving(now time.Time) LeavingReports
	// SetRemoteLeaving applies the reports of another VM.
	SetRemoteLeaving(reports LeavingReports, now time.Time)
	// SpeedReports returns this VM's reports about servers that are slower than usual.
	SpeedReports(now time.Time) SpeedReports
	// SetRemoteSpeeds applies the reports of another VM.
	SetRemoteSpeeds(vm model.VMID, reports SpeedReports, now time.Time)
	// ExpireRemoteCounts removes the counts of VMs that stopped sending.
	ExpireRemoteCounts(now time.Time)
}

// Service sends this VM's counts to other VMs and receives theirs.
type Service struct {
	*background.Periodic
	self    model.VMID
	fleet   Fleet
	feed    Feed
	links   peer.Links
	liveVMs func() []catalog.VM

	mu sync.Mutex
	// lastReceived is the time of the last message from each active VM.
	lastReceived map[model.VMID]time.Time

	// The fields below are used only by the sending goroutine.
	rounds int
	// lastSentEmpty reports that the last message had a position only. Further ones of
	// that kind are not sent.
	lastSentEmpty bool
	rng           *rand.Rand
}

// New returns a Service that starts sending when it is started, and registers it
// as the receiver of load messages on links. liveVMs returns the VMs that are
// believed to be alive.
func New(self model.VMID, fleet Fleet, feed Feed, links peer.Links, liveVMs func() []catalog.VM, rng *rand.Rand) *Service {
	s := &Service{
		self: self, fleet: fleet, feed: feed, links: links, liveVMs: liveVMs, rng: rng, lastReceived: map[model.VMID]time.Time{},
	}
	s.Periodic = background.NewPeriodic(sendInterval, s.sendRound)
	links.Handle(peer.KindLoads, s.receive)
	return s
}

func (s *Service) receive(_ context.Context, from model.VMID, body []byte) (any, error) {
	var msg message
	if err := peer.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	now := time.Now()
	s.mu.Lock()
	s.lastReceived[from] = now
	s.mu.Unlock()
	s.fleet.SetRemoteCounts(from, msg.Counts, now)
	s.fleet.SetRemoteLimits(from, msg.Limits, now)
	s.fleet.SetRemoteLeaving(msg.Leaving, now)
	s.fleet.SetRemoteSpeeds(from, msg.Speeds, now)
	for _, vm := range s.liveVMs() {
		if vm.Name == from {
			s.feed.ObservePosition(vm, replica.Position{Era: msg.Era, Revision: msg.Revision}, now)
		}
	}
	return nil, nil
}

func (s *Service) sendRound(now time.Time) {
	s.rounds++
	s.fleet.ExpireRemoteCounts(now)
	position := s.feed.Position()
	msg := message{
		Revision: position.Revision, Era: position.Era,
		Counts: s.fleet.Outstanding(), Limits: s.fleet.LimitReports(now), Leaving: s.fleet.Leaving(now),
		Speeds: s.fleet.SpeedReports(now),
	}
	empty := len(msg.Counts) == 0 && len(msg.Limits) == 0 && len(msg.Leaving) == 0 && len(msg.Speeds) == 0
	if empty && s.lastSentEmpty {
		return
	}
	s.lastSentEmpty = empty
	for _, vm := range s.recipients(now, s.rounds%broadcastEvery == 0) {
		s.links.SetAddress(vm.Name, vm.Peer)
		// A lost message needs no retry: the next one replaces it.
		_ = s.links.Send(vm.Name, peer.KindLoads, msg)
	}
}

// recipients returns the VMs to send to, sorted by name: those that sent a message
// within activeTimeout, or all live VMs if broadcast is set. If there are more than
// maxRecipients, it returns a random selection of them.
func (s *Service) recipients(now time.Time, broadcast bool) []catalog.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var selected []catalog.VM
	for _, vm := range s.liveVMs() {
		if vm.Name != s.self && (broadcast || now.Sub(s.lastReceived[vm.Name]) < activeTimeout) {
			selected = append(selected, vm)
		}
	}
	for vm, receivedAt := range s.lastReceived {
		if now.Sub(receivedAt) >= activeTimeout {
			delete(s.lastReceived, vm)
		}
	}
	if len(selected) > maxRecipients {
		s.rng.Shuffle(len(selected), func(i, j int) { selected[i], selected[j] = selected[j], selected[i] })
		selected = selected[:maxRecipients]
	}
	slices.SortFunc(selected, func(a, b catalog.VM) int { return cmp.Compare(a.Name, b.Name) })
	return selected
}
