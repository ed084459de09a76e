package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/fullduplex"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
	"fuchsiaspar/internal/owner"

	"github.com/pkg/errors"
)

// defaultRelayTimeout applies to a relayed attempt without a valid deadline.
const defaultRelayTimeout = 5 * time.Second

// relayedAttempt is an attempt that another entry VM relays to this one.
type relayedAttempt struct {
	job
	origin model.VMID
}

// ServeRelay runs an attempt of another entry VM, under RelayPath, on a backend
// server that this VM owns. It never relays the attempt again.
func (s *Server) ServeRelay(w http.ResponseWriter, r *http.Request) {
	s.inFlight.enter()
	defer s.inFlight.leave()
	s.setRelayHeaders(w, r)
	if !intake.FromContext(r.Context()).Dispatched() {
		s.writeRelayFailure(w, nil, noMemory())
		return
	}
	w, upload := fullduplex.Wrap(w, r.Body)
	j, f := s.parseRelay(r, upload)
	if f != nil {
		s.writeRelayFailure(w, nil, f)
		return
	}
	if to := s.regionOf(j.origin); !s.mayUseLink(to) {
		s.writeRelayFailure(w, j, notRun(http.StatusServiceUnavailable, model.ReasonLinkCap, "this entry VM may not use the link to "+string(to)+" yet"))
		return
	}
	if err := s.options.Attempts.Accept(time.Now(), j.attempt, time.Until(j.deadline)); err != nil {
		s.writeRelayFailure(w, j, acceptFailure(err))
		return
	}
	s.runRelay(w, r, j)
}

// runRelay runs an accepted attempt and records its outcome. A non-idempotent attempt
// runs to completion even if the origin disconnects.
func (s *Server) runRelay(w http.ResponseWriter, r *http.Request, j *relayedAttempt) {
	parent := r.Context()
	if !j.slotRequest.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, j.deadline)
	defer cancel()
	resp, f := s.run(ctx, &j.job)
	if f != nil {
		s.options.Attempts.Finish(j.attempt, f.Outcome)
		s.writeRelayFailure(w, j, f)
		return
	}
	s.options.Attempts.Finish(j.attempt, model.OutcomeRan)
	s.writeRelayResponse(ctx, w, j, resp)
}

func (s *Server) writeRelayResponse(ctx context.Context, w http.ResponseWriter, j *relayedAttempt, resp *response) {
	defer resp.body.Close()
	body := s.rateLimited(ctx, resp.body, s.options.Region, s.regionOf(j.origin), j.slotRequest.Priority)
	writeResponseHead(w, s.revision(), resp)
	if err := copyBody(w, body, resp.length); err != nil {
		s.metrics.truncated()
		panic(http.ErrAbortHandler)
	}
}

// regionOf returns the region of an entry VM, or this VM's region if the entry VM is
// unknown.
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

func (s *Server) writeRelayFailure(w http.ResponseWriter, j *relayedAttempt, f *Failure) {
	s.metrics.failed(f)
	if f.server != "" {
		w.Header().Set(header.Server, string(f.server))
	}
	writeFailureResponse(w, s.revision(), f)
}

// echoAttempt copies the attempt identifier of the request to the response.
func echoAttempt(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get(header.Attempt); attempt != "" {
		w.Header().Set(header.Attempt, attempt)
	}
}

// setRelayHeaders sets the headers of every response to another entry VM: the attempt,
// the instance of this process and a new token for relayed attempts.
func (s *Server) setRelayHeaders(w http.ResponseWriter, r *http.Request) {
	echoAttempt(w, r)
	h := w.Header()
	h.Set(backend.HeaderInstance, s.options.Instance)
	h.Set(header.RelayToken, string(s.options.Attempts.Token(time.Now())))
}

func acceptFailure(err error) *Failure {
	var e *once.Error
	if !errors.As(err, &e) {
		return notRun(http.StatusServiceUnavailable, model.ReasonMalformed, err.Error())
	}
	f := notRun(http.StatusServiceUnavailable, e.Reason, "the relayed attempt was not accepted")
	f.Outcome = e.Outcome
	if f.Outcome == model.OutcomeUnknown {
		f.Status = http.StatusConflict
	}
	return f
}

func (s *Server) parseRelay(r *http.Request, upload *fullduplex.Body) (*relayedAttempt, *Failure) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), RelayPath)
	service, path, ok := strings.Cut(rest, "/")
	attempt := r.Header.Get(header.Attempt)
	if !ok || attempt == "" {
		return nil, notRun(http.StatusBadRequest, model.ReasonMalformed, "a relay needs a service, a path and an attempt")
	}
	priority, err := model.ParsePriority(r.Header.Get(header.Priority))
	if err != nil {
		return nil, notRun(http.StatusBadRequest, model.ReasonMalformed, header.Priority+": "+err.Error())
	}
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	h := make(http.Header, len(r.Header))
	header.CopyEndToEnd(h, r.Header)
	j := &relayedAttempt{origin: model.VMID(r.Header.Get(header.RelayOrigin))}
	deadline := relayDeadline(r)
	j.job = job{
		attempt: model.AttemptID(attempt),
		key:     owner.PoolKey{Service: model.ServiceName(service), Zone: model.Zone(r.Header.Get(header.RelayZone))},
		slotRequest: owner.SlotRequest{
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
		body:     newReplayableBody(upload, intake.FromContext(r.Context()), r.ContentLength, 0, upload.Forward),
		deadline: deadline,
	}
	j.mayStart = func() bool { return s.options.Attempts.Start(j.attempt) }
	return j, nil
}

func relayDeadline(r *http.Request) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get(header.DeadlineMS), 10, 32)
	if err != nil || ms < 0 {
		return time.Now().Add(defaultRelayTimeout)
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

// ServeHealth responds to a health probe of another entry VM in the format that
// backend servers use.
func (s *Server) ServeHealth(w http.ResponseWriter, r *http.Request) {
	s.setRelayHeaders(w, r)
	writeJSON(w, backend.HealthResponse{Ready: true})
}

// ServeAttempt responds with the state of a relayed attempt. DELETE revokes the
// attempt first.
func (s *Server) ServeAttempt(w http.ResponseWriter, r *http.Request) {
	s.setRelayHeaders(w, r)
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
