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

// Errors of a Service, to be tested with errors.Is.
var (
	// ErrBadRequest is returned for a grant request that cannot be decoded.
	ErrBadRequest = errors.New("quota: invalid grant request")
	// ErrStarted is returned by a second Start.
	ErrStarted = errors.New("quota: service already started")
)

// Intervals of a Service.
const (
	// checkInterval is how often a watcher without demand checks the lender.
	checkInterval = time.Second
	// callTimeout limits one request to a lender.
	callTimeout = 400 * time.Millisecond
	// storeTimeout limits one call to the store.
	storeTimeout = time.Second
)

// ServiceOptions configures a Service. Self, Store and Links are required.
type ServiceOptions struct {
	Self   model.VMID
	Region model.Region
	Store  platform.Store
	Links  peer.Links
	Timing Timing
	// RequireConfirm disallows use and lending until the first ConfirmUntil.
	// Without it, caps are guaranteed only while no VM misses a configuration
	// for longer than Timing.MaxPropagation.
	RequireConfirm bool
	Rand           *rand.Rand
	Logger         *log.Logger
	Scope          tally.Scope
	// Explain records the changes of leases, if not nil.
	Explain explain.Recorder
	// Now returns the time with a monotonic clock reading.
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

// Service runs the limiter of one entry VM, and each lender whose lease the VM
// holds. It is safe for concurrent use.
type Service struct {
	opts    ServiceOptions
	limiter *Limiter
	metrics *metrics
	// processID distinguishes this process from earlier ones of the same VM.
	processID uint64

	// setDocumentMu serializes SetDocument.
	setDocumentMu sync.Mutex

	mu         sync.Mutex
	jitter     jitter
	deployment *deployment
	// confirmedUntil is the latest argument of ConfirmUntil.
	confirmedUntil time.Time
	agents         map[lenderID]*lenderAgent
	group          background.Group
}

// NewService returns a service that is not started. It registers the handler of
// grant requests with opts.Links.
func NewService(opts ServiceOptions) *Service {
	opts = opts.withDefaults()
	s := &Service{
		opts:    opts,
		limiter: NewLimiter(opts.Self, LimiterOptions{Timing: opts.Timing, RequireConfirm: opts.RequireConfirm}),
		metrics: newMetrics(opts.Scope),
		jitter:  jitter{rand: opts.Rand},
		agents:  make(map[lenderID]*lenderAgent),
	}
	s.processID = opts.Rand.Uint64()
	opts.Links.Handle(peer.KindGrantRequest, s.handle)
	return s
}

// Limiter returns the limiter of this VM.
func (s *Service) Limiter() *Limiter { return s.limiter }

// Start starts borrowing and competing for leases until ctx or Stop ends it. It
// does not block. A second call returns ErrStarted.
func (s *Service) Start(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.group.Start(ctx); err != nil {
		return errors.Wrap(ErrStarted, err.Error())
	}
	for _, a := range s.agents {
		s.group.Go(a.run)
	}
	j := s.jitter.fork()
	s.group.Go(func(ctx context.Context) { s.borrowLoop(ctx, j) })
	return nil
}

// Stop ends lending and borrowing, waits for that until ctx ends, and then
// releases the leases.
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
	s.setDocumentMu.Lock()
	defer s.setDocumentMu.Unlock()
	d := newDeployment(doc, s.opts.Self)
	now := s.opts.Now()
	s.limiter.SetCaps(now, d.slotCount, d.allCaps())
	for _, a := range s.setDeployment(d) {
		a.setCaps(now, d)
	}
	// The limiter and the lenders keep the caps; this frees the copy.
	d.capsByLender = nil
}

// setDeployment adopts a deployment, adds agents for its new lenders and returns
// all agents, including those of lenders that are no longer configured.
func (s *Service) setDeployment(d *deployment) []*lenderAgent {
	s.mu.Lock()
	s.deployment = d
	for _, id := range d.lenders() {
		if _, ok := s.agents[id]; !ok {
			s.addAgent(id)
		}
	}
	s.mu.Unlock()
	return s.allAgents()
}

// ConfirmUntil records that the adopted configuration counts as the newest until
// the given time. After that this VM neither uses nor lends any units. If a
// confirmation comes later than that, floors and lending are withheld for one
// Timing.Changeover. See Limiter.ConfirmUntil.
func (s *Service) ConfirmUntil(until time.Time) {
	now := s.opts.Now()
	s.limiter.ConfirmUntil(now, until)
	s.mu.Lock()
	s.confirmedUntil = until
	s.mu.Unlock()
	for _, a := range s.allAgents() {
		a.confirmUntil(now, until)
	}
}

// addAgent adds and starts the agent of a lender. The caller holds s.mu.
func (s *Service) addAgent(id lenderID) {
	a := newLenderAgent(s, id)
	if !s.confirmedUntil.IsZero() {
		a.confirmUntil(s.opts.Now(), s.confirmedUntil)
	}
	s.agents[id] = a
	s.group.Go(a.run)
}

// recordLeaseChange records a change of a lease with Explain.
func (s *Service) recordLeaseChange(detail string) {
	if s.opts.Explain == nil {
		return
	}
	s.opts.Explain.Record(explain.Decision{
		At:     s.opts.Now(),
		Kind:   explain.KindGrant,
		Detail: detail,
	})
}

func (s *Service) agentFor(id lenderID) *lenderAgent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agents[id]
}

func (s *Service) allAgents() []*lenderAgent {
	s.mu.Lock()
	defer s.mu.Unlock()
	agents := make([]*lenderAgent, 0, len(s.agents))
	for _, a := range s.agents {
		agents = append(agents, a)
	}
	return agents
}

// handle handles a grant request from another VM.
func (s *Service) handle(_ context.Context, from model.VMID, body []byte) (any, error) {
	var req GrantRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errors.WithMessage(ErrBadRequest, err.Error())
	}
	a := s.agentFor(req.Lender)
	if a == nil {
		return GrantReply{Status: GrantNotHolder}, nil
	}
	return a.serve(from, req), nil
}

// jitter randomizes intervals. It is not safe for concurrent use.
type jitter struct {
	rand *rand.Rand
}

// fork returns a jitter for another goroutine.
func (j jitter) fork() jitter {
	return jitter{rand: rand.New(rand.NewPCG(j.rand.Uint64(), j.rand.Uint64()))}
}

// around returns a random duration between 0.5 and 1.5 times d.
func (j jitter) around(d time.Duration) time.Duration {
	return d/2 + time.Duration(j.rand.Int64N(int64(d)+1))
}
