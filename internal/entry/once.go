package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"

	"github.com/pkg/errors"
)

// joinPatience bounds how long a repeat waits for the run that it joined past
// the request's own deadline.
const joinPatience = 100 * time.Millisecond

// serveOnce serves a non-idempotent request, which must carry a ticket. Only
// the process that issued the ticket may run it.
func (s *Server) serveOnce(w http.ResponseWriter, r *http.Request, q *request) {
	if q.ticket == "" {
		s.fail(w, q, refuse(http.StatusUnprocessableEntity, model.ReasonTicketMissing, "this request is not idempotent; take a ticket first"))
		return
	}
	info, err := once.Parse(q.ticket)
	if err != nil {
		s.fail(w, q, refuse(http.StatusUnprocessableEntity, model.ReasonTicketInvalid, "the ticket can't be read; take a new one"))
		return
	}
	if err := q.body.fill(); err != nil {
		s.fail(w, q, refuse(http.StatusBadRequest, model.ReasonMalformed, "the request body ended early"))
		return
	}
	if info.Owner != s.options.Self {
		s.forward(w, r, q, info.Owner)
		return
	}
	s.claim(w, r, q)
}

func (s *Server) claim(w http.ResponseWriter, r *http.Request, q *request) {
	claim, err := s.options.Tickets.Begin(time.Now(), q.ticket, once.Fingerprint{
		Account:    q.account,
		Service:    q.service,
		Method:     q.method,
		Path:       q.path,
		BodyDigest: string(q.body.digest()),
	})
	if err != nil {
		s.fail(w, q, ticketFailure(err))
		return
	}
	switch claim.Kind {
	case once.ClaimRun:
		s.runOnce(w, r, q, claim.ID)
	case once.ClaimJoin:
		s.join(w, r, q, claim)
	default:
		s.replay(w, r, q, claim.Result)
	}
}

func ticketFailure(err error) *Failure {
	var e *once.Error
	if !errors.As(err, &e) {
		return refuse(http.StatusUnprocessableEntity, model.ReasonTicketInvalid, err.Error())
	}
	f := &Failure{Outcome: e.Outcome, Reason: e.Reason, Status: http.StatusUnprocessableEntity, Message: "the ticket was not accepted"}
	if e.Outcome == model.OutcomeUnknown {
		f.Message = "the ticket's record is gone; an earlier copy may have run"
		f.Status = http.StatusConflict
	}
	return f
}

// runOnce runs the request to its end even when the caller goes away, since a
// repeat may come for the answer.
func (s *Server) runOnce(w http.ResponseWriter, r *http.Request, q *request, id once.TicketID) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), q.deadline)
	defer cancel()
	a, f := s.dispatch(ctx, q)
	if f != nil {
		s.options.Tickets.Finish(id, once.Result{Outcome: f.Outcome, Reason: f.Reason, Status: f.Status})
		s.fail(w, q, f)
		return
	}
	s.keepAnswer(w, r, q, id, a)
}

// keepAnswer keeps a small answer for repeats before it goes to the caller. A
// larger one is streamed and only its outcome is kept.
func (s *Server) keepAnswer(w http.ResponseWriter, r *http.Request, q *request, id once.TicketID, a *answer) {
	limit := int64(s.options.MaxKeptAnswerBytes)
	body, err := io.ReadAll(io.LimitReader(a.body, limit+1))
	result := once.Result{Outcome: model.OutcomeRan, Status: a.status}
	switch {
	case err != nil:
		_ = a.body.Close()
		result.Reason = model.ReasonTruncated
		s.options.Tickets.Finish(id, result)
		s.fail(w, q, &Failure{Outcome: model.OutcomeRan, Reason: model.ReasonTruncated, Status: http.StatusBadGateway, Message: "the request ran; its answer was cut off"})
		return
	case int64(len(body)) > limit:
		result.Reason = model.ReasonAnswerNotKept
		a.body = joinedBody{Reader: io.MultiReader(bytes.NewReader(body), a.body), Closer: a.body}
	default:
		_ = a.body.Close()
		result.Body = body
		result.Header = a.header.Clone()
		result.Header.Set(header.Server, string(a.server))
		result.Kept = true
		a.length = int64(len(body))
		a.body = io.NopCloser(bytes.NewReader(body))
	}
	s.options.Tickets.Finish(id, result)
	s.answer(r.Context(), w, q, a)
}

type joinedBody struct {
	io.Reader
	io.Closer
}

// join waits for the run of an earlier copy of the request.
func (s *Server) join(w http.ResponseWriter, r *http.Request, q *request, claim once.Claim) {
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline.Add(joinPatience))
	defer cancel()
	result, err := claim.Wait(ctx)
	if err != nil {
		s.fail(w, q, &Failure{Outcome: model.OutcomeUnknown, Reason: model.ReasonTimeout, Status: http.StatusGatewayTimeout, Message: "an earlier copy is still running; ask again with the same ticket"})
		return
	}
	s.replay(w, r, q, result)
}

// replay answers from the record of an earlier copy.
func (s *Server) replay(w http.ResponseWriter, r *http.Request, q *request, result once.Result) {
	if !result.Kept {
		s.fail(w, q, keptFailure(result))
		return
	}
	s.answer(r.Context(), w, q, &answer{
		status: result.Status,
		header: result.Header,
		length: int64(len(result.Body)),
		server: model.ServerID(result.Header.Get(header.Server)),
		body:   io.NopCloser(bytes.NewReader(result.Body)),
	})
}

func keptFailure(result once.Result) *Failure {
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
