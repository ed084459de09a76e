package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"

	"github.com/pkg/errors"
)

// joinGrace is how long after its own deadline a repeat still waits for the execution
// that it joined.
const joinGrace = 100 * time.Millisecond

// serveTicketed serves a non-idempotent request, which must carry a ticket. Only the
// process that issued the ticket may execute it, so other VMs forward the request.
func (s *Server) serveTicketed(w http.ResponseWriter, r *http.Request, q *request) {
	if q.ticket == "" {
		intake.DiscardBody(w, r)
		s.writeFailure(w, q, notRun(http.StatusUnprocessableEntity, model.ReasonTicketMissing, "this request is not idempotent; take a ticket first"))
		return
	}
	info, err := once.Parse(q.ticket)
	if err != nil {
		intake.DiscardBody(w, r)
		s.writeFailure(w, q, notRun(http.StatusUnprocessableEntity, model.ReasonTicketInvalid, "the ticket can't be read; take a new one"))
		return
	}
	if f := readBody(r, q); f != nil {
		intake.DiscardBody(w, r)
		s.writeFailure(w, q, f)
		return
	}
	if info.Owner != s.options.Self {
		s.forward(w, r, q, info.Owner)
		return
	}
	s.claim(w, r, q)
}

// claim begins the execution of a request whose ticket this VM issued, joins a
// running one, or responds with the result of a finished one.
func (s *Server) claim(w http.ResponseWriter, r *http.Request, q *request) {
	claim, err := s.options.Tickets.Begin(time.Now(), q.ticket, once.Fingerprint{
		Account:    q.account,
		Service:    q.service,
		Method:     q.method,
		Path:       q.path,
		BodyDigest: string(q.body.digest()),
	})
	if err != nil {
		s.writeFailure(w, q, ticketFailure(err))
		return
	}
	switch claim.Kind {
	case once.ClaimRun:
		s.runTicketed(w, r, q, claim.ID)
	case once.ClaimJoin:
		s.join(w, r, q, claim)
	default:
		s.replayResult(w, r, q, claim.Result)
	}
}

func ticketFailure(err error) *Failure {
	var e *once.Error
	if !errors.As(err, &e) {
		return notRun(http.StatusUnprocessableEntity, model.ReasonTicketInvalid, err.Error())
	}
	f := &Failure{Outcome: e.Outcome, Reason: e.Reason, Status: http.StatusUnprocessableEntity, Message: "the ticket was not accepted"}
	if e.Outcome == model.OutcomeUnknown {
		f.Message = "the ticket's record is gone; an earlier copy may have run"
		f.Status = http.StatusConflict
	}
	return f
}

// runTicketed runs the request to completion even if the caller disconnects, since a
// repeat may ask for the response.
func (s *Server) runTicketed(w http.ResponseWriter, r *http.Request, q *request, id once.TicketID) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), q.deadline)
	defer cancel()
	resp, f := s.dispatch(ctx, q)
	if f != nil {
		s.options.Tickets.Finish(id, once.Result{Outcome: f.Outcome, Reason: f.Reason, Status: f.Status})
		s.writeFailure(w, q, f)
		return
	}
	s.storeResponse(w, r, q, id, resp)
}

// storeResponse stores a response of up to MaxKeptAnswerBytes for repeats before it
// sends it to the caller. A larger response is streamed, and only its outcome is
// stored.
func (s *Server) storeResponse(w http.ResponseWriter, r *http.Request, q *request, id once.TicketID, resp *response) {
	limit := int64(s.options.MaxKeptAnswerBytes)
	body, err := io.ReadAll(io.LimitReader(resp.body, limit+1))
	result := once.Result{Outcome: model.OutcomeRan, Status: resp.status}
	switch {
	case err != nil:
		_ = resp.body.Close()
		result.Reason = model.ReasonTruncated
		s.options.Tickets.Finish(id, result)
		s.writeFailure(w, q, &Failure{Outcome: model.OutcomeRan, Reason: model.ReasonTruncated, Status: http.StatusBadGateway, Message: "the request ran; its answer was cut off"})
		return
	case int64(len(body)) > limit:
		result.Reason = model.ReasonAnswerNotKept
		resp.body = readCloser{Reader: io.MultiReader(bytes.NewReader(body), resp.body), Closer: resp.body}
	default:
		_ = resp.body.Close()
		result.Body = body
		result.Header = resp.header.Clone()
		result.Header.Set(header.Server, string(resp.server))
		result.Complete = true
		resp.length = int64(len(body))
		resp.body = io.NopCloser(bytes.NewReader(body))
	}
	s.options.Tickets.Finish(id, result)
	s.writeResponse(r.Context(), w, r, q, resp)
}

// readCloser combines a Reader and a Closer.
type readCloser struct {
	io.Reader
	io.Closer
}

// join waits for the execution that an earlier copy of the request began, and
// responds with its result.
func (s *Server) join(w http.ResponseWriter, r *http.Request, q *request, claim once.Claim) {
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline.Add(joinGrace))
	defer cancel()
	result, err := claim.Wait(ctx)
	if err != nil {
		s.writeFailure(w, q, &Failure{Outcome: model.OutcomeUnknown, Reason: model.ReasonTimeout, Status: http.StatusGatewayTimeout, Message: "an earlier copy is still running; ask again with the same ticket"})
		return
	}
	s.replayResult(w, r, q, result)
}

// replayResult responds with the recorded result of an earlier copy.
func (s *Server) replayResult(w http.ResponseWriter, r *http.Request, q *request, result once.Result) {
	if !result.Complete {
		s.writeFailure(w, q, resultFailure(result))
		return
	}
	s.writeResponse(r.Context(), w, r, q, &response{
		status: result.Status,
		header: result.Header,
		length: int64(len(result.Body)),
		server: model.ServerID(result.Header.Get(header.Server)),
		body:   io.NopCloser(bytes.NewReader(result.Body)),
	})
}

// resultFailure returns the Failure for a recorded result without a response.
func resultFailure(result once.Result) *Failure {
	f := &Failure{Outcome: result.Outcome, Reason: result.Reason, Status: result.Status, Message: "the earlier copy ended so"}
	if result.Outcome == model.OutcomeRan {
		f.Status = http.StatusGone
		f.Message = "the request ran; its answer is no longer kept"
	}
	if f.Status < http.StatusBadRequest {
		f.Status = http.StatusBadGateway
	}
	return f
}
