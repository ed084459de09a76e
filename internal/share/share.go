// Package share tells other entry VMs how many requests this one has at each
// backend server, so that each knows the queue that all of them make, and how
// new its copy of the store is, so that one that was left behind notices.
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
)

const (
	// period is the time between two messages: less than one request takes at
	// a server.
	period = 100 * time.Millisecond
	// introduceEvery is how often VMs that have not sent anything lately are
	// told as well, so that they learn of this one once they have traffic.
	introduceEvery = 10
	// activeFor is how long a VM is told after its last message.
	activeFor = 3 * time.Second
	// maxPeers bounds the VMs told at once, which keeps the traffic of a VM
	// the same however many there are.
	maxPeers = 24
)

// Counts are requests by the hash of their server.
type Counts map[uint64]int

// message is what a VM tells.
type message struct {
	// Revision is the store revision of the sender's copy.
	Revision uint64 `cbor:"1,keyasint"`
	Counts   Counts `cbor:"2,keyasint,omitempty"`
}

// Feed is the copy of the store.
type Feed interface {
	// Revision returns the revision of the copy.
	Revision() uint64
	// Hint tells of a VM's revision.
	ObserveRevision(vm catalog.VM, revision uint64, now time.Time)
}

// Fleet is the part of the state of servers that is shared.
type Fleet interface {
	// Outstanding returns this VM's requests at each server.
	Outstanding() Counts
	// SetRemote replaces what another VM has told.
	SetRemote(vm model.VMID, counts Counts, now time.Time)
	// ExpireRemote forgets what VMs told long ago.
	ExpireRemote(now time.Time)
}

// Service sends and receives counts.
type Service struct {
	*background.Periodic
	self  model.VMID
	fleet Fleet
	feed  Feed
	links peer.Links
	alive func() []catalog.VM

	mu     sync.Mutex
	active map[model.VMID]time.Time

	// The fields below belong to the sending goroutine.
	rounds int
	silent bool
	random *rand.Rand
}

// New returns a Service that sends from Start on.
func New(self model.VMID, fleet Fleet, feed Feed, links peer.Links, alive func() []catalog.VM, random *rand.Rand) *Service {
	s := &Service{
		self: self, fleet: fleet, feed: feed, links: links, alive: alive, random: random, active: map[model.VMID]time.Time{},
	}
	s.Periodic = background.NewPeriodic(period, s.round)
	links.Handle(peer.KindLoads, s.receive)
	return s
}

func (s *Service) receive(_ context.Context, from model.VMID, body []byte) (any, error) {
	var told message
	if err := peer.Unmarshal(body, &told); err != nil {
		return nil, err
	}
	now := time.Now()
	s.mu.Lock()
	s.active[from] = now
	s.mu.Unlock()
	s.fleet.SetRemote(from, told.Counts, now)
	for _, vm := range s.alive() {
		if vm.Name == from {
			s.feed.ObserveRevision(vm, told.Revision, now)
		}
	}
	return nil, nil
}

func (s *Service) round(now time.Time) {
	s.rounds++
	s.fleet.ExpireRemote(now)
	counts := s.fleet.Outstanding()
	if len(counts) == 0 && s.silent {
		return
	}
	s.silent = len(counts) == 0
	for _, vm := range s.targets(now, s.rounds%introduceEvery == 0) {
		s.links.SetAddress(vm.Name, vm.Peer)
		// The next message makes up for one that is lost.
		_ = s.links.Send(vm.Name, peer.KindLoads, message{Revision: s.feed.Revision(), Counts: counts})
	}
}

// targets returns the VMs to tell: those with traffic, and now and then all.
func (s *Service) targets(now time.Time, all bool) []catalog.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []catalog.VM
	for _, vm := range s.alive() {
		if vm.Name != s.self && (all || now.Sub(s.active[vm.Name]) < activeFor) {
			found = append(found, vm)
		}
	}
	for vm, at := range s.active {
		if now.Sub(at) >= activeFor {
			delete(s.active, vm)
		}
	}
	if len(found) > maxPeers {
		s.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
		found = found[:maxPeers]
	}
	slices.SortFunc(found, func(a, b catalog.VM) int { return cmp.Compare(a.Name, b.Name) })
	return found
}
