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

// RelayPath is the path prefix of attempts that other entry VMs relay. The service
// and the path at the backend server follow.
const RelayPath = "/v1/relay/"

// maxRelayTries is the maximum number of tries to relay an attempt if its token is
// stale.
const maxRelayTries = 2

// relay makes one attempt at the entry VM that owns the backend servers. It tries
// again with the new token if the first one was stale.
func (s *Server) relay(ctx context.Context, q *request, t target, exclude model.ServerID) (*response, *Failure) {
	var f *Failure
	for range maxRelayTries {
		var resp *response
		resp, f = s.relayOnce(ctx, q, t, exclude)
		if f == nil || f.Reason != model.ReasonStaleToken || !q.body.replayable() {
			return resp, f
		}
	}
	return nil, f
}

func (s *Server) relayOnce(ctx context.Context, q *request, t target, exclude model.ServerID) (*response, *Failure) {
	token, err := s.relayToken(ctx, t.owner.VM, !q.body.complete)
	if err != nil {
		return nil, notRun(http.StatusServiceUnavailable, model.ReasonPeerUnreachable, err.Error())
	}
	id, err := once.NewAttemptID(token, rand.Reader)
	if err != nil {
		return nil, notRun(http.StatusServiceUnavailable, model.ReasonPeerUnreachable, err.Error())
	}
	body, length, err := q.body.open()
	if err != nil {
		return nil, notRun(http.StatusServiceUnavailable, model.ReasonMalformed, err.Error())
	}
	backendResp, err := s.options.Relays.Do(ctx, relayTarget(t.owner.VM, t.owner.Address), &backend.Request{
		Attempt:       id,
		Method:        q.method,
		Path:          RelayPath + string(q.service) + q.path,
		Header:        relayHeaders(q, s.options, t, exclude),
		Body:          s.rateLimited(ctx, body, s.options.Region, t.owner.Region, q.priority),
		ContentLength: length,
		Deadline:      q.deadline,
		Idempotent:    q.class.Idempotent,
	})
	if err != nil {
		return nil, s.relayFailure(t.owner.VM, err)
	}
	s.storeToken(t.owner.VM, backendResp.Header)
	return relayResponse(backendResp)
}

func relayTarget(vm model.VMID, address string) backend.Target {
	return backend.Target{ID: model.ServerID(vm), Address: address, MaxConns: maxRelayConns}
}

// relayFailure converts the error of a relay to a Failure. If the owner rejected the
// attempt, its response provides the reason.
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
	s.storeToken(vm, e.Header)
	if reason := e.Header.Get(header.Reason); reason != "" {
		f.Reason = model.Reason(reason)
	}
	f.server = model.ServerID(e.Header.Get(header.Server))
	return f
}

// relayResponse distinguishes a backend server's response from a failure that the
// owner reports. It closes the body of a reported failure.
func relayResponse(backendResp *backend.Response) (*response, *Failure) {
	outcome := backendResp.Header.Get(header.Outcome)
	if outcome == model.OutcomeRan.String() && backendResp.Header.Get(header.Reason) == "" {
		return &response{
			status: backendResp.Status,
			header: backendResp.Header,
			length: backendResp.ContentLength,
			server: model.ServerID(backendResp.Header.Get(header.Server)),
			body:   backendResp.Body,
		}, nil
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(backendResp.Body, maxFailureBodyBytes))
	_ = backendResp.Body.Close()
	f := &Failure{
		Outcome: model.OutcomeUnknown,
		Reason:  model.Reason(backendResp.Header.Get(header.Reason)),
		Status:  backendResp.Status,
		Message: "reported by the owner of the backend server",
		server:  model.ServerID(backendResp.Header.Get(header.Server)),
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

// maxFailureBodyBytes is the maximum number of bytes read from the body of a reported
// failure.
const maxFailureBodyBytes = 4 << 10

// forward forwards a request to the entry VM that issued its ticket. Only that VM
// knows whether the request ran, so any failure to reach it leaves the outcome
// unknown.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, q *request, to model.VMID) {
	if r.Header.Get(header.ForwardedBy) != "" {
		s.writeFailure(w, q, ticketOwnerGone("the ticket belongs to a third entry VM"))
		return
	}
	member, ok := q.state.Members[to]
	if !ok {
		s.writeFailure(w, q, ticketOwnerGone("the entry VM that issued the ticket is gone"))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	resp, f := s.forwardTo(ctx, q, to, member)
	if f != nil {
		s.writeFailure(w, q, f)
		return
	}
	s.writeResponse(ctx, w, r, q, resp)
}

func ticketOwnerGone(message string) *Failure {
	return &Failure{Outcome: model.OutcomeUnknown, Reason: model.ReasonTicketOwnerGone, Status: http.StatusConflict, Message: message}
}

func (s *Server) forwardTo(ctx context.Context, q *request, to model.VMID, member Member) (*response, *Failure) {
	body, length, err := q.body.open()
	if err != nil {
		return nil, ticketOwnerGone(err.Error())
	}
	backendResp, err := s.options.Relays.Do(ctx, relayTarget(to, member.Address), &backend.Request{
		Attempt:       q.id,
		Method:        q.method,
		Path:          RequestPath + string(q.service) + q.path,
		Header:        forwardHeaders(q, s.options.Self),
		Body:          s.rateLimited(ctx, body, s.options.Region, member.Region, q.priority),
		ContentLength: length,
		Deadline:      q.deadline,
	})
	if err != nil {
		return nil, forwardFailure(err)
	}
	resp, f := relayResponse(backendResp)
	if f != nil && backendResp.Header.Get(header.Outcome) == model.OutcomeRan.String() {
		f.Outcome = model.OutcomeRan
	}
	return resp, f
}

func forwardFailure(err error) *Failure {
	f := backendFailure(err)
	var e *backend.Error
	if errors.As(err, &e) && e.Header != nil {
		f.Reason = model.ParseReason(e.Header.Get(header.Reason))
		return f
	}
	f.Outcome = model.OutcomeUnknown
	f.Reason = model.ReasonPeerLost
	f.Status = http.StatusBadGateway
	return f
}

// forwardHeaders returns the headers of a forwarded request.
func forwardHeaders(q *request, self model.VMID) http.Header {
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
