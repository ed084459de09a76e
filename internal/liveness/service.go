package liveness

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
)

const (
	// gossipInterval is the time between two rounds of gossip.
	gossipInterval = 400 * time.Millisecond
	// fanout is the number of live VMs of its region that a VM sends to in a round. With
	// three, a state reaches 300 VMs in about seven rounds.
	fanout = 3
	// maxStates bounds the full states of a message to about 6 KB.
	maxStates = 48
	// maxHeartbeats bounds the heartbeats with process IDs of a message to about 5 KB.
	maxHeartbeats = 400
)

// Service runs the gossip from Start to Stop and publishes the live VMs. It is
// safe for concurrent use.
type Service struct {
	*background.Periodic
	links peer.Links
	log   *decisions.Log

	mu     sync.Mutex
	table  *Table
	random *rand.Rand
	// lastAlive holds the VMs that were alive at the last update.
	lastAlive map[model.VMID]bool
	// wantHeartbeats holds the VMs that could not tell apart the heartbeats of the last
	// message.
	wantHeartbeats map[model.VMID]bool

	alive atomic.Pointer[[]catalog.VM]
}

// NewService returns a service that receives messages at once and sends them
// once started.
func NewService(self catalog.VM, links peer.Links, random *rand.Rand, log *decisions.Log) *Service {
	s := &Service{links: links, log: log, table: NewTable(self), random: random, lastAlive: map[model.VMID]bool{}, wantHeartbeats: map[model.VMID]bool{}}
	s.Periodic = background.NewPeriodic(gossipInterval, s.gossipRound)
	s.updateAlive(time.Now())
	links.Handle(peer.KindGossip, s.handleGossip)
	return s
}

// Alive returns the live VMs, ordered by name. The slice is shared and must not
// be modified.
func (s *Service) Alive() []catalog.VM { return *s.alive.Load() }

// Self returns this VM's record.
func (s *Service) Self() catalog.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Self()
}

// Record returns the record of another VM, alive or not, and false if there is none.
func (s *Service) Record(vm model.VMID) (catalog.VM, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Record(vm)
}

// States returns the states to hand to a VM that starts.
func (s *Service) States() []MemberState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.States(maxStates, time.Now())
}

// MergeStates merges states that were not received by gossip.
func (s *Service) MergeStates(states []MemberState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.table.MergeStates(states, now)
	s.updateAlive(now)
}

// SetStoreRecords sets which VMs have a record in the store.
func (s *Service) SetStoreRecords(vms map[model.VMID]catalog.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.table.SetStoreRecords(vms, now)
	s.updateAlive(now)
}

// Leave marks this VM as leaving and runs a round of gossip at once.
func (s *Service) Leave() {
	s.mu.Lock()
	s.table.Leave()
	s.updateAlive(time.Now())
	s.mu.Unlock()
	s.gossipRound(time.Now())
}

func (s *Service) handleGossip(_ context.Context, from model.VMID, body []byte) (any, error) {
	var msg Message
	if err := peer.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if msg.WantHeartbeats {
		s.wantHeartbeats[from] = true
	}
	if !s.table.MergeMessage(msg, now) {
		// A lost answer is repeated after the next message.
		_ = s.links.Send(from, peer.KindGossip, Message{WantHeartbeats: true})
	}
	if msg.hasNews() {
		s.updateAlive(now)
	}
	return nil, nil
}

func (s *Service) gossipRound(now time.Time) {
	s.mu.Lock()
	msg := s.table.NextMessage(maxStates, maxHeartbeats, false, now, s.random)
	targets := s.table.Targets(fanout, now, s.random)
	explicit := msg
	if len(s.wantHeartbeats) > 0 {
		explicit = s.table.message(maxStates, maxHeartbeats, true, now, s.random)
	}
	wanted := s.wantHeartbeats
	s.wantHeartbeats = map[model.VMID]bool{}
	regionMsg, regionTargets := s.table.RegionMessage(maxStates, maxHeartbeats, now, s.random)
	s.updateAlive(now)
	s.mu.Unlock()
	for _, vm := range targets {
		if wanted[vm.Name] {
			s.send(vm, explicit)
		} else {
			s.send(vm, msg)
		}
	}
	for _, vm := range regionTargets {
		s.send(vm, regionMsg)
	}
}

func (s *Service) send(vm catalog.VM, msg Message) {
	s.links.SetAddress(vm.Name, vm.Peer)
	// The next round makes up for a lost message.
	_ = s.links.Send(vm.Name, peer.KindGossip, msg)
}

// updateAlive publishes the live VMs and logs the differences to the last
// update. The caller holds mu, except in NewService.
func (s *Service) updateAlive(now time.Time) {
	alive := s.table.Alive(now)
	if last := s.alive.Load(); last != nil && slices.Equal(*last, alive) {
		return
	}
	s.alive.Store(&alive)
	current := make(map[model.VMID]bool, len(alive))
	for _, vm := range alive {
		current[vm.Name] = true
		if !s.lastAlive[vm.Name] {
			s.log.Event("vm alive", "peer", vm.Name, "zone", vm.Zone, "started", vm.Started)
		}
	}
	for name := range s.lastAlive {
		if !current[name] {
			s.log.Event("vm gone", "peer", name)
		}
	}
	s.lastAlive = current
}
