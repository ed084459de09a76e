package quota

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// Errors of a Service. Test for them with errors.Is.
var (
	// ErrBadRequest reports a grant request that cannot be decoded.
	ErrBadRequest = errors.New("quota: bad grant request")
	// ErrStarted reports a second Start.
	ErrStarted = errors.New("quota: service already started")
)

// Intervals of a Service.
const (
	// checkInterval is how often a watcher without demand tests the lender.
	checkInterval = time.Second
	// callTimeout bounds one request to a lender.
	callTimeout = 400 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
)

// ServiceOptions configures a Service. Timing, Rand, Logger, Scope and Now
// have defaults.
type ServiceOptions struct {
	Self   model.VMID
	Region model.Region
	Store  platform.Store
	Links  peer.Links
	Timing Timing
	// RequireConfirm lets nothing be spent or lent before the first
	// ConfirmUntil. Without it the caps hold only while no VM misses a
	// configuration for longer than Timing.Spread.
	RequireConfirm bool
	Rand           *rand.Rand
	Logger         *log.Logger
	Scope          tally.Scope
	// Explain keeps the changes of leases; nil keeps none.
	Explain explain.Recorder
	// Now returns the time with its monotonic reading.
	Now func() time.Time
}

func (o ServiceOptions) withDefaults() ServiceOptions {
	o.Timing = o.Timing.withDefaults()
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Service runs the ledger of one entry VM and, where it holds the lease of a
// lender, that lender.
type Service struct {
	opts    ServiceOptions
	ledger  *Limiter
	metrics *metrics
	// process tells this process from its predecessors at the lenders.
	process uint64

	// adopting serialises SetDocument.
	adopting sync.Mutex

	mu     sync.Mutex
	jitter jitter
	doc    *deployment
	// confirmed is the latest argument of ConfirmUntil.
	confirmed time.Time
	agents    map[lenderID]*agent
	group     background.Group
}

// NewService returns a service that is not started. It registers its handler
// with opts.Links.
func NewService(opts ServiceOptions) *Service {
	opts = opts.withDefaults()
	s := &Service{
		opts:    opts,
		ledger:  NewLimiter(opts.Self, LimiterOptions{Timing: opts.Timing, RequireConfirm: opts.RequireConfirm}),
		metrics: newMetrics(opts.Scope),
		jitter:  jitter{rand: opts.Rand},
		agents:  make(map[lenderID]*agent),
	}
	s.process = opts.Rand.Uint64()
	opts.Links.Handle(peer.KindGrantRequest, s.handle)
	return s
}

// Ledger returns what this VM may spend.
func (s *Service) Limiter() *Limiter { return s.ledger }

// Start begins to borrow and to compete for leases. It does not block.
func (s *Service) Start(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.group.Start(ctx); err != nil {
		return errors.Wrap(ErrStarted, err.Error())
	}
	for _, a := range s.agents {
		s.group.Go(a.run)
	}
	pace := s.jitter.fork()
	s.group.Go(func(ctx context.Context) { s.borrow(ctx, pace) })
	return nil
}

// Stop ends lending and borrowing, gives up leases and waits until ctx ends.
func (s *Service) Stop(ctx context.Context) error {
	if err := s.group.Stop(ctx); err != nil {
		return errors.Wrap(err, "quota: stop")
	}
	for _, a := range s.allAgents() {
		a.release(ctx)
	}
	return nil
}

// SetDocument adopts the caps of a configuration.
func (s *Service) SetDocument(doc *config.Document) {
	s.adopting.Lock()
	defer s.adopting.Unlock()
	d := readDocument(doc, s.opts.Self)
	now := s.opts.Now()
	s.ledger.SetCaps(now, d.slots, d.all())
	for _, a := range s.follow(d) {
		a.setCaps(now, d)
	}
	// Ledger and lenders hold the caps from here on.
	d.caps = nil
}

// follow takes over a deployment and returns the agents for its lenders and
// for earlier ones.
func (s *Service) follow(d *deployment) []*agent {
	s.mu.Lock()
	s.doc = d
	for _, id := range d.lenders() {
		if _, ok := s.agents[id]; !ok {
			s.addAgent(id)
		}
	}
	s.mu.Unlock()
	return s.allAgents()
}

// ConfirmUntil tells how long the adopted configuration may be trusted to be
// the newest. After that this VM neither spends nor lends, and when it is
// renewed later, its floors and lenders start anew.
func (s *Service) ConfirmUntil(until time.Time) {
	now := s.opts.Now()
	s.ledger.ConfirmUntil(now, until)
	s.mu.Lock()
	s.confirmed = until
	s.mu.Unlock()
	for _, a := range s.allAgents() {
		a.confirmUntil(now, until)
	}
}

// addAgent begins to watch over the lease of a lender. The caller holds s.mu.
func (s *Service) addAgent(id lenderID) {
	a := newAgent(s, id)
	if !s.confirmed.IsZero() {
		a.confirmUntil(s.opts.Now(), s.confirmed)
	}
	s.agents[id] = a
	s.group.Go(a.run)
}

// record keeps a change of a lease.
func (s *Service) record(detail string) {
	if s.opts.Explain == nil {
		return
	}
	s.opts.Explain.Record(explain.Decision{
		At:     s.opts.Now(),
		Kind:   explain.KindGrant,
		Detail: detail,
	})
}

func (s *Service) agent(id lenderID) *agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agents[id]
}

func (s *Service) allAgents() []*agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	agents := make([]*agent, 0, len(s.agents))
	for _, a := range s.agents {
		agents = append(agents, a)
	}
	return agents
}

// handle answers a grant request from another VM.
func (s *Service) handle(_ context.Context, from model.VMID, body []byte) (any, error) {
	var req GrantRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errors.WithMessage(ErrBadRequest, err.Error())
	}
	a := s.agent(req.Lender)
	if a == nil {
		return GrantReply{Status: GrantNotHolder}, nil
	}
	return a.lend(from, req), nil
}

// jitter spreads intervals at random. It is used by one goroutine.
type jitter struct {
	rand *rand.Rand
}

// fork returns a jitter for another goroutine.
func (j jitter) fork() jitter {
	return jitter{rand: rand.New(rand.NewPCG(j.rand.Uint64(), j.rand.Uint64()))}
}

// around returns a duration between half of d and one and a half times d.
func (j jitter) around(d time.Duration) time.Duration {
	return d/2 + time.Duration(j.rand.Int64N(int64(d)+1))
}
