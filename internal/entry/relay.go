package entry

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"

	"github.com/pkg/errors"
)

// RelayPath is the prefix of the paths that entry VMs relay requests to; the
// service and the backend server's path follow.
const RelayPath = "/v1/relay/"

// relayTries is the count of tries at one relay when the token was stale.
const relayTries = 2

// relay runs the request at the entry VM that owns the backend servers.
func (s *Server) relay(ctx context.Context, q *request, t target, exclude model.ServerID) (*answer, *Failure) {
	var f *Failure
	for range relayTries {
		var a *answer
		a, f = s.relayOnce(ctx, q, t, exclude)
		if f == nil || f.Reason != model.ReasonStaleToken || !q.body.replayable() {
			return a, f
		}
	}
	return nil, f
}

func (s *Server) relayOnce(ctx context.Context, q *request, t target, exclude model.ServerID) (*answer, *Failure) {
	token, err := s.token(ctx, t.owner.VM, !q.body.whole)
	if err != nil {
		return nil, refuse(http.StatusServiceUnavailable, model.ReasonPeerUnreachable, err.Error())
	}
	id, err := once.NewAttemptID(token, rand.Reader)
	if err != nil {
		return nil, refuse(http.StatusServiceUnavailable, model.ReasonPeerUnreachable, err.Error())
	}
	body, length, err := q.body.reader()
	if err != nil {
		return nil, refuse(http.StatusServiceUnavailable, model.ReasonMalformed, err.Error())
	}
	response, err := s.options.Relays.Do(ctx, relayTarget(t.owner.VM, t.owner.Address), &backend.Request{
		Attempt:       id,
		Method:        q.method,
		Path:          RelayPath + string(q.service) + q.path,
		Header:        relayHeader(q, s.options, t, exclude),
		Body:          s.paced(ctx, body, s.options.Region, t.owner.Region, q.priority),
		ContentLength: length,
		Deadline:      q.deadline,
		Idempotent:    q.class.Idempotent,
	})
	if err != nil {
		return nil, s.relayFailure(t.owner.VM, err)
	}
	s.noteToken(t.owner.VM, response.Header)
	return relayAnswer(response)
}

func relayTarget(vm model.VMID, address string) backend.Target {
	return backend.Target{ID: model.ServerID(vm), Address: address, MaxConns: relayConns}
}

// relayFailure turns the error of a relay into a Failure. A refusal of the far
// side carries its own reason.
func (s *Server) relayFailure(vm model.VMID, err error) *Failure {
	f := backendFailure(err)
	var e *backend.Error
	if !errors.As(err, &e) || e.Header == nil {
		if f.Reason == model.ReasonReset {
			f.Reason = model.ReasonPeerLost
		}
		if f.Reason == model.ReasonConnect {
			f.Reason = model.ReasonPeerUnreachable
		}
		return f
	}
	s.noteToken(vm, e.Header)
	if reason := e.Header.Get(header.Reason); reason != "" {
		f.Reason = model.Reason(reason)
	}
	f.server = model.ServerID(e.Header.Get(header.Server))
	return f
}

// relayAnswer tells an answer of a backend server from a failure that the far
// side reports.
func relayAnswer(response *backend.Response) (*answer, *Failure) {
	outcome := response.Header.Get(header.Outcome)
	if outcome == model.OutcomeRan.String() && response.Header.Get(header.Reason) == "" {
		return &answer{
			status: response.Status,
			header: response.Header,
			length: response.ContentLength,
			server: model.ServerID(response.Header.Get(header.Server)),
			body:   response.Body,
		}, nil
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxFailureBytes))
	_ = response.Body.Close()
	f := &Failure{
		Outcome: model.OutcomeUnknown,
		Reason:  model.Reason(response.Header.Get(header.Reason)),
		Status:  response.Status,
		Message: "reported by the owner of the backend server",
		server:  model.ServerID(response.Header.Get(header.Server)),
	}
	if outcome == model.OutcomeNotRun.String() {
		f.Outcome = model.OutcomeNotRun
	}
	if f.Reason == model.ReasonNone {
		f.Reason = model.ReasonBadAnswer
		f.Status = http.StatusBadGateway
	}
	return nil, f
}

// maxFailureBytes bounds the body of a reported failure.
const maxFailureBytes = 4 << 10

// forward passes a request on to the entry VM that issued its ticket. Only
// that VM knows whether the request ran, so every failure to reach it leaves
// the outcome unknown.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, q *request, to model.VMID) {
	if r.Header.Get(header.ForwardedBy) != "" {
		s.fail(w, q, unknownTicket("the ticket belongs to a third entry VM"))
		return
	}
	member, ok := q.state.Members[to]
	if !ok {
		s.fail(w, q, unknownTicket("the entry VM that issued the ticket is gone"))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	a, f := s.forwardTo(ctx, q, to, member)
	if f != nil {
		s.fail(w, q, f)
		return
	}
	s.answer(ctx, w, q, a)
}

func unknownTicket(message string) *Failure {
	return &Failure{Outcome: model.OutcomeUnknown, Reason: model.ReasonTicketOwnerGone, Status: http.StatusConflict, Message: message}
}

func (s *Server) forwardTo(ctx context.Context, q *request, to model.VMID, member Member) (*answer, *Failure) {
	body, length, err := q.body.reader()
	if err != nil {
		return nil, unknownTicket(err.Error())
	}
	response, err := s.options.Relays.Do(ctx, relayTarget(to, member.Address), &backend.Request{
		Attempt:       q.id,
		Method:        q.method,
		Path:          RequestPath + string(q.service) + q.path,
		Header:        forwardHeader(q, s.options.Self),
		Body:          s.paced(ctx, body, s.options.Region, member.Region, q.priority),
		ContentLength: length,
		Deadline:      q.deadline,
	})
	if err != nil {
		return nil, forwardFailure(err)
	}
	a, f := relayAnswer(response)
	if f != nil && response.Header.Get(header.Outcome) == model.OutcomeRan.String() {
		f.Outcome = model.OutcomeRan
	}
	return a, f
}

func forwardFailure(err error) *Failure {
	f := backendFailure(err)
	var e *backend.Error
	if errors.As(err, &e) && e.Header != nil {
		f.Reason = model.Reason(e.Header.Get(header.Reason))
		return f
	}
	f.Outcome = model.OutcomeUnknown
	f.Reason = model.ReasonPeerLost
	f.Status = http.StatusBadGateway
	return f
}

func forwardHeader(q *request, self model.VMID) http.Header {
	h := make(http.Header, len(q.header)+5)
	for name, values := range q.header {
		h[name] = values
	}
	h.Set(header.ForwardedBy, string(self))
	h.Set(header.Account, string(q.account))
	h.Set(header.Priority, q.priority.String())
	h.Set(header.Ticket, q.ticket)
	h.Set(header.Client, q.client.String())
	return h
}
