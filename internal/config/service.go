package config

import (
	"context"
	"io"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// ServiceOptions configure a Service.
type ServiceOptions struct {
	Self  model.VMID
	Zone  model.Zone
	Store platform.Store
	// VMs is the platform's VM list. It tells a dead VM from one that is cut
	// off; nil when not known.
	VMs   platform.VMList
	Links peer.Links
	// View returns the members as membership knows them; it may return nil.
	View func() *membership.View
	Rand *rand.Rand
	// Now is the clock; nil takes time.Now.
	Now     func() time.Time
	Logger  *log.Logger
	Scope   tally.Scope
	Explain explain.Recorder
}

// Service agrees on configuration with the other entry VMs and keeps the
// newest one in force here. It is safe for concurrent use.
type Service struct {
	self    model.VMID
	zone    model.Zone
	links   peer.Links
	view    func() *membership.View
	vms     platform.VMList
	repo    *repository
	jitter  *jitter
	now     func() time.Time
	started time.Time
	epoch   uint64
	log     *log.Logger
	scope   tally.Scope
	explain explain.Recorder
	rules   rules

	current atomic.Pointer[Snapshot]
	// confirmedUntil is when the revision in force stops being confirmed, as
	// time since the start; zero when it never was.
	confirmedUntil atomic.Int64

	// adopting serialises adoptions and the calls of subscribers.
	adoptMu     sync.Mutex
	subscribers []func(*Snapshot)

	mu        sync.Mutex
	active    *version
	freshness freshness
	acks      *ackTable
	// bodies holds the pieces of large proposals that are under way.
	pieces map[Hash][]byte
	// reports holds what entry VMs tell this one of themselves, others what
	// the watchers of other zones pass on, echoes the newest stamp of each peer.
	vmEvidence   map[model.VMID]evidence
	zoneEvidence map[model.Zone]zoneEvidence
	peerStamps   map[model.VMID]clockStamp

	pollNow chan struct{}
	tasks   background.Group
}

// rules are the decisions that tests replace to prove that they are noticed.
type rules struct {
	// higher decides whether next may replace the revision in force.
	higher func(inForce, next model.Revision) bool
	// unanimous decides whether answers allow a commit.
	accepted func(answers []proposeAnswer) bool
	// prepare builds the version that a change leads to.
	prepare func(base *version, change Change) (*version, error)
}

func standardRules() rules {
	return rules{
		higher:   func(inForce, next model.Revision) bool { return next > inForce },
		accepted: allAcked,
		prepare:  prepare,
	}
}

// NewService returns a service and registers its handlers with the links. It
// does nothing until Start.
func NewService(opts ServiceOptions) *Service {
	opts = withDefaults(opts)
	j := &jitter{rand: opts.Rand}
	s := &Service{
		self:         opts.Self,
		zone:         opts.Zone,
		links:        opts.Links,
		view:         opts.View,
		vms:          opts.VMs,
		repo:         &repository{store: opts.Store, jitter: j},
		jitter:       j,
		now:          opts.Now,
		started:      opts.Now(),
		epoch:        j.uint64(),
		log:          opts.Logger,
		scope:        opts.Scope,
		explain:      opts.Explain,
		rules:        standardRules(),
		acks:         newAckTable(opts.Now()),
		pieces:       make(map[Hash][]byte),
		vmEvidence:   make(map[model.VMID]evidence),
		zoneEvidence: make(map[model.Zone]zoneEvidence),
		peerStamps:   make(map[model.VMID]clockStamp),
		pollNow:      make(chan struct{}, 1),
	}
	s.links.HandleSlow(peer.KindConfigPropose, s.handlePropose)
	s.links.HandleSlow(peer.KindConfigAnnounce, s.handleAnnounce)
	s.links.HandleSlow(peer.KindConfigFetch, s.handleFetch)
	return s
}

func withDefaults(opts ServiceOptions) ServiceOptions {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewSource(rand.Int63()))
	}
	if opts.View == nil {
		opts.View = func() *membership.View { return nil }
	}
	if opts.Logger == nil {
		opts.Logger = log.New(io.Discard)
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Explain == nil {
		opts.Explain = noopRecorder{}
	}
	return opts
}

// discard is a Recorder that keeps nothing.
type noopRecorder struct{}

func (noopRecorder) Record(explain.Decision) {}

// Start begins to follow the newest configuration. Current stays nil until one
// has been found at the store or a peer.
func (s *Service) Start(ctx context.Context) error {
	if err := s.tasks.Start(ctx); err != nil {
		return err
	}
	s.tasks.Go(s.pollLoop)
	s.tasks.Go(s.watchLoop)
	s.tasks.Go(s.gcLoop)
	return nil
}

// Stop ends following. It waits for the service's goroutines or for ctx.
func (s *Service) Stop(ctx context.Context) error { return s.tasks.Stop(ctx) }

// Current returns the configuration in force, nil before the first adoption.
func (s *Service) Current() *Snapshot { return s.current.Load() }

// Subscribe calls fn with each configuration that comes into force, one at a
// time in the order of revisions, and at once with the present one if any.
func (s *Service) Subscribe(fn func(*Snapshot)) {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	s.subscribers = append(s.subscribers, fn)
	if snapshot := s.Current(); snapshot != nil {
		fn(snapshot)
	}
}

// Confirmed reports whether the configuration in force was known to be the
// newest within the last seconds. An entry VM that is not confirmed serves its
// own place and takes part in no shift.
func (s *Service) Confirmed(now time.Time) bool {
	until := s.confirmedUntil.Load()
	return until != 0 && now.Sub(s.started) <= time.Duration(until)
}

// ConfirmedUntil returns until when the configuration in force counts as the
// newest, and false when it never was known to be.
func (s *Service) ConfirmedUntil() (time.Time, bool) {
	until := s.confirmedUntil.Load()
	return s.started.Add(time.Duration(until)), until != 0
}

// publishFreshness makes what fresh tells visible to Confirmed. The caller
// holds the lock.
func (s *Service) publishFreshness() {
	if until, known := s.freshness.confirmedUntil(); known {
		s.confirmedUntil.Store(int64(until.Sub(s.started)))
	}
}

// adopt puts v in force if its revision is higher than the one in force, and
// reports whether the revision in force is now at least that of v.
func (s *Service) adopt(v *version, source string) bool {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	before := s.activeVersion()
	if !s.rules.higher(before.revision(), v.revision()) {
		return before.revision() >= v.revision()
	}
	if v.snapshot == nil {
		v.snapshot = NewSnapshot(v.doc)
	}
	s.setActive(v)
	s.current.Store(v.snapshot)
	s.recordAdoption(before, v, source)
	for _, fn := range s.subscribers {
		fn(v.snapshot)
	}
	return true
}

func (s *Service) setActive(v *version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = v
	s.freshness.adopt(v.revision())
	s.publishFreshness()
	s.acks.closeDecided(v.revision())
}

// installed returns the version in force, nil before the first adoption.
func (s *Service) activeVersion() *version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// note logs, counts and explains an adoption.
func (s *Service) recordAdoption(before, after *version, source string) {
	s.scope.Counter("config_adoptions").Inc(1)
	s.scope.Gauge("config_revision").Update(float64(after.revision()))
	s.log.Info("configuration adopted", "revision", after.revision(), "before", before.revision(), "source", source)
	s.explain.Record(explain.Decision{
		At:       s.now(),
		VM:       s.self,
		Kind:     explain.KindAdoption,
		Revision: after.revision(),
		Zone:     s.zone,
		Detail:   adoptionDetail(before, after, source),
	})
}
