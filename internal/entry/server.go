package entry

import (
	"context"
	"net/http"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/pace"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/retry"
	"fuchsiaspar/internal/steer"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Options configures a Server.
type Options struct {
	Self   model.VMID
	Zone   model.Zone
	Region model.Region
	// Instance names this process; it differs after each restart.
	Instance string
	// MaxHeaderBytes bounds the header of a caller's request.
	MaxHeaderBytes int
	// MaxReplayBytes bounds the request body kept for a retry.
	MaxReplayBytes int
	// MaxKeptAnswerBytes bounds one answer kept for repeats of a ticket.
	MaxKeptAnswerBytes int
	Source             Source
	Router             *steer.Router
	Pools              *owner.Pools
	Backends           *backend.Client
	Relays             *backend.Client
	Tickets            *once.Registry
	Attempts           *once.Attempts
	RetryBudget        *retry.Budget
	Links              peer.Links
	Caps               LinkCaps
	Explain            explain.Recorder
	Scope              tally.Scope
	Logger             *log.Logger
}

// LinkCaps returns the waiter of the link between two regions, or nil when no
// cap applies.
type LinkCaps interface {
	Waiter(from, to model.Region) *pace.Waiter
	// Open reports whether this VM may send over a link at all.
	Open(from, to model.Region) bool
}

// Server is the data path. It is safe for concurrent use.
type Server struct {
	options Options
	source  Source
	meter   meter
	active  activity
	tokens  once.Tokens
	hedges  hedges
}

// NewServer returns a data path with the given parts.
func NewServer(o Options) *Server {
	s := &Server{
		options: o,
		source:  o.Source,
		meter:   newMeter(o.Scope),
	}
	o.Links.Handle(peer.KindToken, s.giveToken)
	o.Links.Handle(peer.KindSeal, s.sealForPeer)
	return s
}

// Active returns the count of callers' requests and relays in flight.
func (s *Server) ActiveRequests() int64 { return s.active.count() }

// ServeRequest serves a caller's request under RequestPath.
func (s *Server) ServeRequest(w http.ResponseWriter, r *http.Request) {
	s.active.enter()
	defer s.active.leave()
	started := time.Now()
	q, f := s.parse(r)
	if f != nil {
		s.meter.offered(model.PriorityNormal)
		s.fail(w, nil, f)
		return
	}
	s.meter.offered(q.priority)
	w.Header().Set(header.Request, string(q.id))
	echoAttempt(w, r)
	if q.class.Idempotent {
		s.serveIdempotent(w, r, q)
	} else {
		s.serveOnce(w, r, q)
	}
	s.meter.took(q.priority, time.Since(started))
}

func (s *Server) serveIdempotent(w http.ResponseWriter, r *http.Request, q *request) {
	if err := q.body.fill(); err != nil {
		s.fail(w, q, refuse(http.StatusBadRequest, model.ReasonMalformed, "the request body ended early"))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	a, f := s.dispatch(ctx, q)
	if f != nil {
		s.fail(w, q, f)
		return
	}
	s.answer(ctx, w, q, a)
}

// fail answers with an outcome and its reason, and records both.
func (s *Server) fail(w http.ResponseWriter, q *request, f *Failure) {
	s.meter.failed(f)
	s.record(q, f)
	writeFailure(w, s.revision(), f)
}

func (s *Server) revision() model.Revision {
	state := s.source.State()
	if state == nil || state.Config == nil {
		return 0
	}
	return state.Config.Revision()
}

func (s *Server) record(q *request, f *Failure) {
	d := explain.Decision{
		At:       time.Now(),
		Kind:     explain.KindRefusal,
		Reason:   f.Reason,
		Revision: s.revision(),
		Detail:   f.Message,
	}
	if f.Outcome == model.OutcomeUnknown {
		d.Kind = explain.KindUnknownOutcome
	}
	if q != nil {
		d.Request = q.id
		d.Account = q.account
		d.Service = q.service
		d.Priority = q.priority
	}
	s.options.Explain.Record(d)
}
