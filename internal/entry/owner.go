package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
	"fuchsiaspar/internal/owner"

	"github.com/pkg/errors"
)

// defaultRelayTime is the time of a relay that names no deadline.
const defaultRelayTime = 5 * time.Second

// relayed is one attempt that another entry VM relays to this one.
type relayed struct {
	job
	origin model.VMID
}

// ServeRelay runs an attempt of another entry VM on a server that this VM
// owns. A relayed attempt is never relayed again.
func (s *Server) ServeRelay(w http.ResponseWriter, r *http.Request) {
	s.active.enter()
	defer s.active.leave()
	s.echoRelay(w, r)
	j, f := s.parseRelay(r)
	if f != nil {
		s.failRelay(w, nil, f)
		return
	}
	if to := s.regionOf(j.origin); !s.linkOpen(to) {
		s.failRelay(w, j, refuse(http.StatusServiceUnavailable, model.ReasonLinkCap, "this entry VM may not use the link to "+string(to)+" yet"))
		return
	}
	if err := s.options.Attempts.Accept(time.Now(), j.attempt, time.Until(j.deadline)); err != nil {
		s.failRelay(w, j, acceptFailure(err))
		return
	}
	s.runRelay(w, r, j)
}

func (s *Server) runRelay(w http.ResponseWriter, r *http.Request, j *relayed) {
	parent := r.Context()
	if !j.work.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, j.deadline)
	defer cancel()
	a, f := s.run(ctx, &j.job)
	if f != nil {
		s.options.Attempts.Finish(j.attempt, f.Outcome)
		s.failRelay(w, j, f)
		return
	}
	s.options.Attempts.Finish(j.attempt, model.OutcomeRan)
	s.answerRelay(ctx, w, j, a)
}

func (s *Server) answerRelay(ctx context.Context, w http.ResponseWriter, j *relayed, a *answer) {
	defer a.body.Close()
	body := s.paced(ctx, a.body, s.options.Region, s.regionOf(j.origin), j.work.Priority)
	writeHead(w, s.revision(), a)
	if err := transfer(w, body, a.length); err != nil {
		s.meter.truncated()
		panic(http.ErrAbortHandler)
	}
}

// regionOf returns the region of another entry VM, or this VM's own region
// when it is not known.
func (s *Server) regionOf(vm model.VMID) model.Region {
	state := s.source.State()
	if state == nil {
		return s.options.Region
	}
	if m, ok := state.Members[vm]; ok {
		return m.Region
	}
	return s.options.Region
}

func (s *Server) failRelay(w http.ResponseWriter, j *relayed, f *Failure) {
	s.meter.failed(f)
	if f.server != "" {
		w.Header().Set(header.Server, string(f.server))
	}
	writeFailure(w, s.revision(), f)
}

// echoAttempt names the attempt that an answer belongs to.
func echoAttempt(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get(header.Attempt); attempt != "" {
		w.Header().Set(header.Attempt, attempt)
	}
}

func (s *Server) echoRelay(w http.ResponseWriter, r *http.Request) {
	echoAttempt(w, r)
	h := w.Header()
	h.Set(backend.HeaderInstance, s.options.Instance)
	h.Set(header.RelayToken, string(s.options.Attempts.Token(time.Now())))
}

func acceptFailure(err error) *Failure {
	var e *once.Error
	if !errors.As(err, &e) {
		return refuse(http.StatusServiceUnavailable, model.ReasonMalformed, err.Error())
	}
	f := refuse(http.StatusServiceUnavailable, e.Reason, "the relayed attempt was not accepted")
	f.Outcome = e.Outcome
	if f.Outcome == model.OutcomeUnknown {
		f.Status = http.StatusConflict
	}
	return f
}

func (s *Server) parseRelay(r *http.Request) (*relayed, *Failure) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), RelayPath)
	service, path, ok := strings.Cut(rest, "/")
	attempt := r.Header.Get(header.Attempt)
	if !ok || attempt == "" {
		return nil, refuse(http.StatusBadRequest, model.ReasonMalformed, "a relay needs a service, a path and an attempt")
	}
	priority, err := model.ParsePriority(r.Header.Get(header.Priority))
	if err != nil {
		return nil, refuse(http.StatusBadRequest, model.ReasonMalformed, header.Priority+": "+err.Error())
	}
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	h := make(http.Header, len(r.Header))
	header.CopyEndToEnd(h, r.Header)
	j := &relayed{origin: model.VMID(r.Header.Get(header.RelayOrigin))}
	deadline := relayDeadline(r)
	j.job = job{
		attempt: model.AttemptID(attempt),
		key:     owner.PoolKey{Service: model.ServiceName(service), Zone: model.Zone(r.Header.Get(header.RelayZone))},
		work: owner.SlotRequest{
			Account:    model.AccountID(r.Header.Get(header.Account)),
			Priority:   priority,
			Deadline:   deadline,
			Idempotent: r.Header.Get(header.RelayIdempotent) == "true",
			Long:       r.Header.Get(header.RelayLong) == "true",
			Exclude:    model.ServerID(r.Header.Get(header.RelayExclude)),
		},
		method:   r.Method,
		path:     path,
		header:   h,
		body:     newReplayBody(r.Body, r.ContentLength, 0),
		deadline: deadline,
	}
	j.commit = func() bool { return s.options.Attempts.Started(j.attempt) }
	return j, nil
}

func relayDeadline(r *http.Request) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get(header.DeadlineMS), 10, 32)
	if err != nil || ms < 0 {
		return time.Now().Add(defaultRelayTime)
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

// ServeHealth answers a probe of another entry VM with the form that backend
// servers use.
func (s *Server) ServeHealth(w http.ResponseWriter, r *http.Request) {
	s.echoRelay(w, r)
	writeJSON(w, backend.HealthResponse{Ready: true})
}

// ServeAttempt tells what became of a relayed attempt, and revokes it on
// DELETE.
func (s *Server) ServeAttempt(w http.ResponseWriter, r *http.Request) {
	s.echoRelay(w, r)
	id := model.AttemptID(strings.TrimPrefix(r.URL.Path, backend.AttemptsPath))
	if r.Method == http.MethodDelete {
		revoked := s.options.Attempts.Revoke(time.Now(), id)
		writeJSON(w, backend.StateResponse{State: revokedState(revoked)})
		return
	}
	writeJSON(w, backend.StateResponse{State: attemptState(s.options.Attempts.State(id))})
}

func revokedState(r once.RevokeResult) backend.AttemptState {
	switch {
	case r.Outcome == model.OutcomeNotRun:
		return backend.StateNotStarted
	case r.Outcome == model.OutcomeRan:
		return backend.StateFinished
	case r.State == once.RevokedStarted:
		return backend.StateRunning
	default:
		return backend.StateStopped
	}
}

func attemptState(s once.AttemptState) backend.AttemptState {
	switch s {
	case once.AttemptPending:
		return backend.StateRunning
	case once.AttemptEnded:
		return backend.StateFinished
	default:
		return backend.StateNotStarted
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
