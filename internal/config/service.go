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

// ServiceOptions configures a Service. Self, Zone, Store and Links are
// required.
type ServiceOptions struct {
	Self  model.VMID
	Zone  model.Zone
	Store platform.Store
	// VMs is the platform's VM list, which distinguishes a dead VM from one
	// that is partitioned off. It may be nil.
	VMs   platform.VMList
	Links peer.Links
	// View returns the current membership view. The function or its result may
	// be nil.
	View func() *membership.View
	Rand *rand.Rand
	// Now returns the current time. The default is time.Now.
	Now     func() time.Time
	Logger  *log.Logger
	Scope   tally.Scope
	Explain explain.Recorder
}

// Service agrees on configuration changes with the other entry VMs and keeps
// the latest configuration active. It is safe for concurrent use.
type Service struct {
	self      model.VMID
	zone      model.Zone
	links     peer.Links
	view      func() *membership.View
	vms       platform.VMList
	repo      *repository
	jitter    *jitter
	now       func() time.Time
	startedAt time.Time
	epoch     uint64
	log       *log.Logger
	scope     tally.Scope
	explain   explain.Recorder
	rules     rules

	current atomic.Pointer[Snapshot]
	// confirmedUntil is when the confirmation of the active revision ends, as
	// nanoseconds since startedAt, or zero if it was never confirmed.
	confirmedUntil atomic.Int64

	// adoptMu serializes adoptions and the calls of subscribers.
	adoptMu     sync.Mutex
	subscribers []func(*Snapshot)

	mu        sync.Mutex
	active    *version
	freshness freshness
	acks      *ackTable
	// pieces holds the pieces of large changes that are being proposed.
	pieces map[Hash][]byte
	// vmEvidence holds the state reported by other entry VMs, zoneEvidence the
	// evidence reported by the watchers of other zones, and peerStamps the
	// latest stamp of each peer.
	vmEvidence   map[model.VMID]evidence
	zoneEvidence map[model.Zone]zoneEvidence
	peerStamps   map[model.VMID]clockStamp

	pollNow chan struct{}
	tasks   background.Group
}

// rules are the decisions that tests replace, to check that the histories
// detect a wrong one.
type rules struct {
	// higher reports whether the revision next may replace the active one.
	higher func(active, next model.Revision) bool
	// accepted reports whether the answers allow a commit.
	accepted func(answers []proposeAnswer) bool
	// prepare builds the version that results from a change.
	prepare func(base *version, change Change) (*version, error)
}

func standardRules() rules {
	return rules{
		higher:   func(active, next model.Revision) bool { return next > active },
		accepted: allAcked,
		prepare:  prepare,
	}
}

// NewService returns a service and registers its handlers with opts.Links. The
// service is inactive until Start.
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
		startedAt:    opts.Now(),
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

// noopRecorder is a Recorder that discards decisions.
type noopRecorder struct{}

func (noopRecorder) Record(explain.Decision) {}

// Start starts following the latest configuration. Current returns nil until
// one has been read from the store or a peer.
func (s *Service) Start(ctx context.Context) error {
	if err := s.tasks.Start(ctx); err != nil {
		return err
	}
	s.tasks.Go(s.pollLoop)
	s.tasks.Go(s.watchLoop)
	s.tasks.Go(s.gcLoop)
	return nil
}

// Stop stops the service. It waits until its goroutines have returned or ctx is
// done.
func (s *Service) Stop(ctx context.Context) error { return s.tasks.Stop(ctx) }

// Current returns the active configuration, or nil before the first adoption.
func (s *Service) Current() *Snapshot { return s.current.Load() }

// Subscribe calls fn with the active configuration, if any, and with each one
// adopted later. Calls are sequential, in the order of revisions.
func (s *Service) Subscribe(fn func(*Snapshot)) {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	s.subscribers = append(s.subscribers, fn)
	if snapshot := s.Current(); snapshot != nil {
		fn(snapshot)
	}
}

// Confirmed reports whether the active configuration was known to be the latest
// within the last ConfirmationTTL. An entry VM that is not confirmed serves
// only its own zone and takes no part in shifts.
func (s *Service) Confirmed(now time.Time) bool {
	until := s.confirmedUntil.Load()
	return until != 0 && now.Sub(s.startedAt) <= time.Duration(until)
}

// ConfirmedUntil returns until when the active configuration counts as the
// latest, and false if it was never known to be.
func (s *Service) ConfirmedUntil() (time.Time, bool) {
	until := s.confirmedUntil.Load()
	return s.startedAt.Add(time.Duration(until)), until != 0
}

// publishFreshness updates confirmedUntil from freshness. The caller holds
// s.mu.
func (s *Service) publishFreshness() {
	if until, known := s.freshness.confirmedUntil(); known {
		s.confirmedUntil.Store(int64(until.Sub(s.startedAt)))
	}
}

// adopt activates v if its revision is above the active one. It reports whether
// the active revision is now at least that of v. source names the origin of v
// in logs.
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

// activeVersion returns the active version, or nil before the first adoption.
func (s *Service) activeVersion() *version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// recordAdoption logs, counts and explains an adoption.
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
