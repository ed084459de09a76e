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

// relayConns bounds the connections to one other entry VM.
const relayConns = 1024

// job is one attempt as the owner of the backend server runs it.
type job struct {
	attempt  model.AttemptID
	key      owner.PoolKey
	work     owner.SlotRequest
	method   string
	path     string
	header   http.Header
	body     *replayBody
	deadline time.Time
	// commit is asked right before the first byte goes to a backend server. A
	// false answer means that the origin has revoked the attempt.
	commit func() bool
	// onSlot is told which server a slot was given on; nil tells nobody.
	onSlot func(model.ServerID)
}

// attempt runs the request once, here or at another owner.
func (s *Server) attempt(ctx context.Context, q *request, t target, id model.AttemptID, exclude model.ServerID) (*answer, *Failure) {
	if t.owner.VM != s.options.Self {
		return s.relay(ctx, q, t, exclude)
	}
	j := &job{
		attempt: id,
		key:     owner.PoolKey{Service: q.service, Zone: t.zone},
		work: owner.SlotRequest{
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
		commit:   func() bool { return true },
	}
	if s.hedgeable(q, t) {
		return s.runHedged(ctx, q, j)
	}
	return s.run(ctx, j)
}

// run admits the job to a server that this VM owns and runs it there.
func (s *Server) run(ctx context.Context, j *job) (*answer, *Failure) {
	pool := s.options.Pools.Find(j.key)
	if pool == nil {
		return nil, refuse(http.StatusServiceUnavailable, model.ReasonNotOwner, "this entry VM owns no server there")
	}
	slot, err := pool.Acquire(ctx, j.work)
	if err != nil {
		return nil, admissionFailure(err)
	}
	if j.onSlot != nil {
		j.onSlot(slot.Target.ID)
	}
	if !j.commit() {
		slot.Release(owner.Unused)
		return nil, refuse(http.StatusServiceUnavailable, model.ReasonRevoked, "the origin revoked the attempt")
	}
	body, length, err := j.body.reader()
	if err != nil {
		slot.Release(owner.Unused)
		return nil, refuse(http.StatusServiceUnavailable, model.ReasonMalformed, err.Error())
	}
	region := s.zoneRegion(j.key.Zone)
	response, err := s.options.Backends.Do(slot.Context, slot.Target, &backend.Request{
		Attempt:       j.attempt,
		Method:        j.method,
		Path:          j.path,
		Header:        j.header,
		Body:          s.paced(ctx, body, s.options.Region, region, j.work.Priority),
		ContentLength: length,
		Deadline:      j.deadline,
		Idempotent:    j.work.Idempotent,
	})
	if err != nil {
		return nil, s.serverFailure(slot, err)
	}
	slot.MarkAnswered()
	return &answer{
		status: response.Status,
		header: response.Header,
		length: response.ContentLength,
		server: slot.Target.ID,
		body:   s.serverBody(ctx, j, region, response.Body, slot),
	}, nil
}

// serverBody reads an answer at the pace of the link when the server is in
// another region, and gives the slot back at its end.
func (s *Server) serverBody(ctx context.Context, j *job, from model.Region, body io.ReadCloser, slot *owner.Slot) io.ReadCloser {
	reader := s.paced(ctx, body, from, s.options.Region, j.work.Priority)
	return &slotBody{ReadCloser: joinedBody{Reader: reader, Closer: body}, slot: slot}
}

// zoneRegion returns the region of a zone, this VM's own when not known.
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
		return refuse(http.StatusServiceUnavailable, r.Reason, r.Error()+"; retry later")
	}
	return refuse(http.StatusServiceUnavailable, model.ReasonNoServer, err.Error())
}

// serverFailure releases the slot and turns the error of a backend server into
// a Failure.
func (s *Server) serverFailure(slot *owner.Slot, err error) *Failure {
	f := backendFailure(err)
	f.server = slot.Target.ID
	if errors.Is(context.Cause(slot.Context), owner.ErrPreempted) {
		f.Reason = model.ReasonPreempted
		slot.Release(owner.Unused)
		return f
	}
	slot.Release(ending(slot.Context, f.Reason, err))
	return f
}

func ending(ctx context.Context, r model.Reason, err error) owner.SlotUsage {
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

// slotBody gives the slot back when the answer's body has ended.
type slotBody struct {
	io.ReadCloser
	slot *owner.Slot
}

func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.slot.Release(owner.Used(health.Answered))
	return err
}

func relayHeader(q *request, o Options, t target, exclude model.ServerID) http.Header {
	h := make(http.Header, len(q.header)+8)
	for name, values := range q.header {
		h[name] = values
	}
	h.Set(header.RelayOrigin, string(o.Self))
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
