package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/health"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"

	"github.com/pkg/errors"
)

// maxRelayConns is the maximum number of connections to each other entry VM.
const maxRelayConns = 1024

// job is one attempt as it runs at the entry VM that owns the backend server.
type job struct {
	attempt     model.AttemptID
	key         owner.PoolKey
	slotRequest owner.SlotRequest
	method      string
	path        string
	header      http.Header
	body        *replayableBody
	deadline    time.Time
	// mayStart is called immediately before the first byte is sent to a backend
	// server. It returns false if the origin has revoked the attempt.
	mayStart func() bool
	// slotAcquired, if not nil, is called with the server whose slot was acquired.
	slotAcquired func(model.ServerID)
}

// attempt makes one attempt at the request, here or at the entry VM that owns the
// backend servers.
func (s *Server) attempt(ctx context.Context, q *request, t target, id model.AttemptID, exclude model.ServerID) (*response, *Failure) {
	if t.owner.VM != s.options.Self {
		return s.relay(ctx, q, t, exclude)
	}
	j := &job{
		attempt: id,
		key:     owner.PoolKey{Service: q.service, Zone: t.zone},
		slotRequest: owner.SlotRequest{
			Account:    q.account,
			Priority:   q.priority,
			Deadline:   q.deadline,
			Idempotent: q.class.Idempotent,
			Long:       q.class.Long,
			Exclude:    exclude,
		},
		method:   q.method,
		path:     q.path,
		header:   q.header,
		body:     q.body,
		deadline: q.deadline,
		mayStart: func() bool { return true },
	}
	if s.canHedge(q, t) {
		return s.runHedged(ctx, q, j)
	}
	return s.run(ctx, j)
}

// run waits for a slot of a backend server that this VM owns and runs the job on it.
func (s *Server) run(ctx context.Context, j *job) (*response, *Failure) {
	pool := s.options.Pools.Find(j.key)
	if pool == nil {
		return nil, notRun(http.StatusServiceUnavailable, model.ReasonNotOwner, "this entry VM owns no server there")
	}
	slot, err := pool.Acquire(ctx, j.slotRequest)
	if err != nil {
		return nil, admissionFailure(err)
	}
	if j.slotAcquired != nil {
		j.slotAcquired(slot.Target.ID)
	}
	if !j.mayStart() {
		slot.Release(owner.Unused)
		return nil, notRun(http.StatusServiceUnavailable, model.ReasonRevoked, "the origin revoked the attempt")
	}
	body, length, err := j.body.open()
	if err != nil {
		slot.Release(owner.Unused)
		return nil, notRun(http.StatusServiceUnavailable, model.ReasonMalformed, err.Error())
	}
	region := s.zoneRegion(j.key.Zone)
	backendResp, err := s.options.Backends.Do(slot.Context, slot.Target, &backend.Request{
		Attempt:       j.attempt,
		Method:        j.method,
		Path:          j.path,
		Header:        j.header,
		Body:          s.rateLimited(ctx, body, s.options.Region, region, j.slotRequest.Priority),
		ContentLength: length,
		Deadline:      j.deadline,
		Idempotent:    j.slotRequest.Idempotent,
	})
	if err != nil {
		return nil, s.releaseFailed(slot, err)
	}
	slot.MarkAnswered()
	return &response{
		status: backendResp.Status,
		header: backendResp.Header,
		length: backendResp.ContentLength,
		server: slot.Target.ID,
		body:   s.limitedServerBody(ctx, j, region, backendResp.Body, slot),
	}, nil
}

// limitedServerBody returns the body of a server's response. It is rate limited if
// the server is in another region, and its Close releases the slot.
func (s *Server) limitedServerBody(ctx context.Context, j *job, from model.Region, body io.ReadCloser, slot *owner.Slot) io.ReadCloser {
	reader := s.rateLimited(ctx, body, from, s.options.Region, j.slotRequest.Priority)
	return &slotReleasingBody{ReadCloser: readCloser{Reader: reader, Closer: body}, slot: slot}
}

// zoneRegion returns the region of a zone, or this VM's region if the zone is
// unknown.
func (s *Server) zoneRegion(zone model.Zone) model.Region {
	state := s.source.State()
	if state == nil || state.Config == nil {
		return s.options.Region
	}
	if region, ok := state.Config.ZoneRegion(zone); ok {
		return region
	}
	return s.options.Region
}

func admissionFailure(err error) *Failure {
	var r *owner.Refusal
	if errors.As(err, &r) {
		return notRun(http.StatusServiceUnavailable, r.Reason, r.Error()+"; retry later")
	}
	return notRun(http.StatusServiceUnavailable, model.ReasonNoServer, err.Error())
}

// releaseFailed releases the slot and converts the error of a backend server to a
// Failure.
func (s *Server) releaseFailed(slot *owner.Slot, err error) *Failure {
	f := backendFailure(err)
	f.server = slot.Target.ID
	if errors.Is(context.Cause(slot.Context), owner.ErrPreempted) {
		f.Reason = model.ReasonPreempted
		slot.Release(owner.Unused)
		return f
	}
	slot.Release(slotUsage(slot.Context, f.Reason, err))
	return f
}

// slotUsage returns what a failed attempt tells about the health of its server.
// An attempt that was canceled or found no free connection tells nothing.
func slotUsage(ctx context.Context, r model.Reason, err error) owner.SlotUsage {
	switch r {
	case model.ReasonShed:
		return owner.Used(health.Shed)
	case model.ReasonSilentConnection:
		return owner.Used(health.Silent)
	}
	if ctx.Err() != nil || errors.Is(err, backend.ErrConnLimit) {
		return owner.Unused
	}
	if r == model.ReasonConnect {
		return owner.Used(health.Unreachable)
	}
	return owner.Used(health.Failed)
}

// backendFailure converts an error of backend.Client to a Failure.
func backendFailure(err error) *Failure {
	var e *backend.Error
	if !errors.As(err, &e) {
		return &Failure{Outcome: model.OutcomeUnknown, Reason: model.ReasonReset, Status: http.StatusBadGateway, Message: err.Error()}
	}
	f := &Failure{Outcome: e.Outcome, Reason: e.Reason, Status: http.StatusBadGateway, Message: e.Error()}
	if e.Outcome == model.OutcomeNotRun {
		f.Status = http.StatusServiceUnavailable
	}
	if e.Reason == model.ReasonTimeout || e.Reason == model.ReasonDeadline {
		f.Status = http.StatusGatewayTimeout
	}
	return f
}

// slotReleasingBody releases the slot when the response body is closed.
type slotReleasingBody struct {
	io.ReadCloser
	slot *owner.Slot
}

func (b *slotReleasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.slot.Release(owner.Used(health.Answered))
	return err
}

// relayHeaders returns the headers of a relayed attempt.
func relayHeaders(q *request, opts Options, t target, exclude model.ServerID) http.Header {
	h := make(http.Header, len(q.header)+8)
	for name, values := range q.header {
		h[name] = values
	}
	h.Set(header.RelayOrigin, string(opts.Self))
	h.Set(header.RelayZone, string(t.zone))
	h.Set(header.RelayIdempotent, strconv.FormatBool(q.class.Idempotent))
	h.Set(header.RelayLong, strconv.FormatBool(q.class.Long))
	h.Set(header.Account, string(q.account))
	h.Set(header.Priority, q.priority.String())
	if exclude != "" {
		h.Set(header.RelayExclude, string(exclude))
	}
	return h
}
