package liveness

import (
	"context"
	"math/rand/v2"
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
	// period is the time between two rounds of gossip.
	period = 400 * time.Millisecond
	// fanout is the count of VMs told in a round. Three reach 1,400 VMs in
	// seven rounds.
	fanout = 3
	// maxRows bounds the whole rows of a message to about 6 KB.
	maxRows = 48
	// maxBeats bounds the heartbeats of a message to about 5 KB. Each of 1,400
	// VMs is then told of every other about twice a second.
	maxBeats = 400
)

// Service gossips from Start to Stop and publishes which VMs are alive.
type Service struct {
	*background.Periodic
	links peer.Links
	log   *decisions.Log

	mu     sync.Mutex
	table  *Table
	random *rand.Rand
	known  map[model.VMID]bool

	alive atomic.Pointer[[]catalog.VM]
}

// NewService returns a service that starts to gossip at Start.
func NewService(self catalog.VM, links peer.Links, random *rand.Rand, log *decisions.Log) *Service {
	s := &Service{links: links, log: log, table: NewTable(self), random: random, known: map[model.VMID]bool{}}
	s.Periodic = background.NewPeriodic(period, s.round)
	s.publish(time.Now())
	links.Handle(peer.KindGossip, s.receive)
	return s
}

// Alive returns the VMs that serve, ordered by name. The slice is shared.
func (s *Service) Alive() []catalog.VM { return *s.alive.Load() }

// Self returns this VM's record.
func (s *Service) Self() catalog.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Self()
}

// Rows returns rows for a VM that asks.
func (s *Service) Rows() []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Rows(maxRows, time.Now())
}

// Merge takes in rows that came by another way than gossip.
func (s *Service) Merge(rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.table.Merge(rows, now)
	s.publish(now)
}

// SetListed tells which VMs have a record in the store.
func (s *Service) SetListed(vms map[model.VMID]catalog.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.table.SetListed(vms, now)
	s.publish(now)
}

// Leave tells the others at once that this VM is leaving.
func (s *Service) Leave() {
	s.mu.Lock()
	s.table.Leave()
	s.publish(time.Now())
	s.mu.Unlock()
	s.round(time.Now())
}

func (s *Service) receive(_ context.Context, _ model.VMID, body []byte) (any, error) {
	var news News
	if err := peer.Unmarshal(body, &news); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.table.MergeNews(news, now)
	s.publish(now)
	return nil, nil
}

func (s *Service) round(now time.Time) {
	s.mu.Lock()
	news := s.table.News(maxRows, maxBeats, now, s.random)
	targets := s.table.Targets(fanout, now, s.random)
	s.publish(now)
	s.mu.Unlock()
	for _, vm := range targets {
		s.links.SetAddress(vm.Name, vm.Peer)
		// A lost round is made up by the next one.
		_ = s.links.Send(vm.Name, peer.KindGossip, news)
	}
}

// publish holds mu, except before Start.
func (s *Service) publish(now time.Time) {
	alive := s.table.Alive(now)
	s.alive.Store(&alive)
	seen := make(map[model.VMID]bool, len(alive))
	for _, vm := range alive {
		seen[vm.Name] = true
		if !s.known[vm.Name] {
			s.log.Event("vm alive", "peer", vm.Name, "zone", vm.Zone, "started", vm.Started)
		}
	}
	for name := range s.known {
		if !seen[name] {
			s.log.Event("vm gone", "peer", name)
		}
	}
	s.known = seen
}
