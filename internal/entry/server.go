package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/fullduplex"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
	"fuchsiaspar/internal/overload"
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
	// Self, Zone and Region identify this entry VM and its location.
	Self   model.VMID
	Zone   model.Zone
	Region model.Region
	// Instance identifies this process. It is different after each restart.
	Instance string
	// MaxHeaderBytes is the maximum size of the header of a caller's request.
	MaxHeaderBytes int
	// MaxReplayBytes is the maximum size of a request body kept for retries.
	MaxReplayBytes int
	// MaxKeptAnswerBytes is the maximum size of a response kept for repeats with the
	// same ticket.
	MaxKeptAnswerBytes int
	Source             Source
	Router             *steer.Router
	// Pools holds the backend servers that this VM owns.
	Pools *owner.Pools
	// Backends is the client for backend servers, Relays that for other entry VMs.
	Backends *backend.Client
	Relays   *backend.Client
	// Tickets holds the tickets that this VM issued, Attempts the attempts that
	// other entry VMs relay to it.
	Tickets     *once.Registry
	Attempts    *once.Attempts
	RetryBudget *retry.Budget
	Links       peer.Links
	Caps        LinkCaps
	Explain     explain.Recorder
	Scope       tally.Scope
	Logger      *log.Logger
}

// LinkCaps limits the traffic on links between regions.
type LinkCaps interface {
	// Waiter returns the rate limiter of the link between two regions, or nil if
	// the link has no cap.
	Waiter(from, to model.Region) *pace.Waiter
	// Open reports whether this VM may use the link.
	Open(from, to model.Region) bool
}

// Server implements the HTTP handlers of the data path. It is safe for concurrent
// use.
type Server struct {
	options  Options
	source   Source
	metrics  metrics
	inFlight inFlightCounter
	tokens   once.TokenCache
	hedges   hedgeTimers
	// stop is nil unless the VM stops as planned.
	stop atomic.Pointer[overload.PlannedStop]
}

// NewServer returns a Server and registers its handlers of peer messages with
// o.Links.
func NewServer(o Options) *Server {
	s := &Server{
		options: o,
		source:  o.Source,
		metrics: newMetrics(o.Scope),
	}
	o.Links.Handle(peer.KindToken, s.handleTokenRequest)
	o.Links.Handle(peer.KindSeal, s.handleSealRequest)
	return s
}

// PlanStop announces when the VM stops. Requests that it could not end are refused.
func (s *Server) PlanStop(stop overload.PlannedStop) { s.stop.Store(&stop) }

// ActiveRequests returns the number of callers' requests and relayed attempts in
// flight.
func (s *Server) ActiveRequests() int64 { return s.inFlight.count() }

// ServeRequest serves a caller's request under RequestPath.
func (s *Server) ServeRequest(w http.ResponseWriter, r *http.Request) {
	s.inFlight.enter()
	defer s.inFlight.leave()
	started := time.Now()
	w, upload := fullduplex.Wrap(w, r.Body)
	q, f := s.parseRequest(r, upload)
	if f != nil {
		intake.DiscardBody(w, r)
		s.metrics.offered(model.PriorityNormal)
		s.writeFailure(w, nil, f)
		return
	}
	s.metrics.offered(q.priority)
	w.Header().Set(header.Request, string(q.id))
	echoAttempt(w, r)
	if q.class.Idempotent {
		s.serveIdempotent(w, r, q)
	} else {
		s.serveTicketed(w, r, q)
	}
	s.metrics.observeLatency(q.priority, time.Since(started))
}

func (s *Server) serveIdempotent(w http.ResponseWriter, r *http.Request, q *request) {
	if f := readBody(r, q); f != nil {
		intake.DiscardBody(w, r)
		s.writeFailure(w, q, f)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	resp, f := s.dispatch(ctx, q)
	if f != nil {
		s.writeFailure(w, q, f)
		return
	}
	s.writeResponse(ctx, w, r, q, resp)
}

// checkStop refuses a request that could outlast the planned stop of this VM.
func (s *Server) checkStop(q *request) *Failure {
	if stop := s.stop.Load(); stop != nil && !stop.MayPassOn(time.Now(), q.deadline) {
		return notRun(http.StatusServiceUnavailable, model.ReasonStopping, "this entry VM stops before the deadline; try another")
	}
	return nil
}

// writeFailure responds with a failure, counts it and records it for explain.
func (s *Server) writeFailure(w http.ResponseWriter, q *request, f *Failure) {
	s.metrics.failed(f)
	s.recordDecision(q, f)
	writeFailureResponse(w, s.revision(), f)
}

func (s *Server) revision() model.Revision {
	state := s.source.State()
	if state == nil || state.Config == nil {
		return 0
	}
	return state.Config.Revision()
}

// recordDecision records the failure of a request for explain. q is nil if the
// request could not be parsed.
func (s *Server) recordDecision(q *request, f *Failure) {
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
