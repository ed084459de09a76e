package once

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"
)

// AttemptOptions configures NewAttempts.
type AttemptOptions struct {
	// Incarnation identifies this process among the restarts of its VM.
	Incarnation model.Incarnation
	// TokenValidity is the maximum age of an accepted token. It must exceed the
	// interval at which origins receive tokens plus the transit time of a relayed
	// request.
	TokenValidity time.Duration
	// Retention is how long the record of an accepted attempt is kept after its
	// token has become invalid. Zero means TokenValidity.
	Retention time.Duration
	// MaxAccepted is the maximum number of records of accepted attempts.
	MaxAccepted int
	// MaxRejected is the maximum number of remembered attempts that were rejected
	// or revoked before they were accepted.
	MaxRejected int
}

// Attempts tracks relayed attempts at the VM that receives them. It orders the
// start of an attempt against its revocation, and it rejects copies that arrive
// late.
//
// A stalled connection can delay a copy for longer than any record of its
// revocation is kept. The identifier of an attempt therefore carries a token
// that this process issued, and a copy is accepted only while the token has not
// expired by this process's own clock. All copies of an attempt carry the same
// token, so a revocation has to be remembered only until the token expires. A
// restarted process rejects every token of its predecessor.
//
// When MaxRejected is reached, every token issued so far is invalidated. This
// rejects all remembered revocations permanently, so their records can be
// removed. Attempts in transit are then rejected as not run, and their origins
// retry with the new token that comes with the rejection.
//
// Attempts is safe for concurrent use.
type Attempts struct {
	opts AttemptOptions

	mu    sync.Mutex
	clock monotonicClock
	// tokenFloor is the issue time of the newest invalidated token, or -1.
	tokenFloor time.Duration
	accepted   map[model.AttemptID]*attemptRecord
	rejected   map[model.AttemptID]time.Duration // value: issue time of the token
	nextSweep  time.Duration
}

// attemptRecord is the record of an accepted attempt. Times are offsets of the
// clock of Attempts.
type attemptRecord struct {
	phase     attemptPhase
	outcome   model.Outcome
	tokenTime time.Duration
	deadline  time.Duration
}

type attemptPhase uint8

const (
	phaseAccepted attemptPhase = iota
	phaseRevoked
	phaseStarted
	phaseFinished
)

// RevokeState is the progress of an attempt at the time of its revocation.
type RevokeState uint8

// The states that Revoke reports.
const (
	// RevokedUnknown means that no record of the attempt is left, so that it may
	// have run.
	RevokedUnknown RevokeState = iota
	// RevokedNotRun means that the attempt did not start and never will.
	RevokedNotRun
	// RevokedStarted means that the attempt may have reached a backend server.
	RevokedStarted
	// RevokedFinished means that the attempt has finished.
	RevokedFinished
)

// RevokeResult is the result of Revoke.
type RevokeResult struct {
	State RevokeState
	// Outcome is OutcomeNotRun for RevokedNotRun, the attempt's outcome for
	// RevokedFinished and OutcomeUnknown otherwise.
	Outcome model.Outcome
}

// NewAttempts returns an empty Attempts.
func NewAttempts(opts AttemptOptions) *Attempts {
	if opts.Retention == 0 {
		opts.Retention = opts.TokenValidity
	}
	return &Attempts{
		opts:       opts,
		tokenFloor: -1,
		accepted:   make(map[model.AttemptID]*attemptRecord),
		rejected:   make(map[model.AttemptID]time.Duration),
	}
}

// Token issues a token that origins put into attempt identifiers.
func (a *Attempts) Token(now time.Time) Token {
	a.mu.Lock()
	defer a.mu.Unlock()
	issuedAt := max(a.clock.advance(now), a.tokenFloor+1)
	return newToken(a.opts.Incarnation, issuedAt)
}

// Accept records an attempt that has arrived and may wait up to ttl before it
// starts. Every error is an *Error and means that this copy does not run. An
// origin that sends each attempt exactly once may therefore treat every error as
// not run. The Outcome of the error is also correct for an origin whose transport
// may deliver duplicates: it is OutcomeNotRun only if no copy of the attempt has
// run or ever will.
func (a *Attempts) Accept(now time.Time, id model.AttemptID, ttl time.Duration) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	offset := a.clock.advance(now)
	a.removeExpired(offset)
	if rec, ok := a.accepted[id]; ok {
		return rec.duplicateError()
	}
	token, ok := a.validToken(id, offset)
	if !ok {
		return a.staleError(id, offset)
	}
	if _, ok := a.rejected[id]; ok {
		return ErrAttemptRevoked
	}
	if len(a.accepted) >= a.opts.MaxAccepted {
		a.reject(id, token, offset)
		return ErrAttemptsFull
	}
	a.accepted[id] = &attemptRecord{tokenTime: token, deadline: offset + ttl}
	return nil
}

func (rec *attemptRecord) duplicateError() error {
	if rec.phase == phaseRevoked {
		return ErrAttemptRevoked
	}
	return ErrDuplicateAttempt
}

// staleError returns the error for an attempt without a valid token. Its outcome
// is not run only if the attempt was certainly never accepted; otherwise an
// earlier process, or this one before the record expired, may have run it.
func (a *Attempts) staleError(id model.AttemptID, offset time.Duration) error {
	if _, _, hasToken := parseToken(id); hasToken && !a.neverAccepted(id, offset) {
		return ErrStaleToken
	}
	return errStaleNotRun
}

// validToken returns the issue time of an attempt's token and whether the token
// is valid at offset.
func (a *Attempts) validToken(id model.AttemptID, offset time.Duration) (time.Duration, bool) {
	incarnation, token, ok := parseToken(id)
	if !ok || incarnation != a.opts.Incarnation {
		return 0, false
	}
	if token <= a.tokenFloor || token > max(offset, a.tokenFloor+1) {
		return 0, false
	}
	return token, offset < token+a.opts.TokenValidity
}

// reject makes Accept reject all later copies of an attempt with a valid token.
// If MaxRejected is reached, it invalidates all tokens issued so far instead.
func (a *Attempts) reject(id model.AttemptID, token, offset time.Duration) {
	if len(a.rejected) >= a.opts.MaxRejected {
		a.tokenFloor = max(offset, token)
		clear(a.rejected)
		return
	}
	a.rejected[id] = token
}

// Start marks an accepted attempt as started. Call it immediately before the
// first byte is sent to a backend server, and send only if it returns true.
func (a *Attempts) Start(id model.AttemptID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	rec, ok := a.accepted[id]
	if !ok || rec.phase == phaseRevoked || rec.phase == phaseFinished {
		return false
	}
	rec.phase = phaseStarted
	return true
}

// Finish records the outcome of an accepted attempt. With OutcomeNotRun the
// attempt can no longer start.
func (a *Attempts) Finish(id model.AttemptID, outcome model.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rec, ok := a.accepted[id]
	if !ok || rec.phase == phaseRevoked {
		return
	}
	rec.phase = phaseFinished
	rec.outcome = outcome
}

// Revoke prevents an attempt that has not started from ever starting, and reports
// the attempt's progress. It is idempotent.
func (a *Attempts) Revoke(now time.Time, id model.AttemptID) RevokeResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	offset := a.clock.advance(now)
	a.removeExpired(offset)
	if rec, ok := a.accepted[id]; ok {
		return rec.revoke()
	}
	if token, ok := a.validToken(id, offset); ok {
		a.reject(id, token, offset)
		return RevokeResult{State: RevokedNotRun, Outcome: model.OutcomeNotRun}
	}
	if a.neverAccepted(id, offset) {
		return RevokeResult{State: RevokedNotRun, Outcome: model.OutcomeNotRun}
	}
	return RevokeResult{State: RevokedUnknown, Outcome: model.OutcomeUnknown}
}

func (at *attemptRecord) revoke() RevokeResult {
	switch at.phase {
	case phaseStarted:
		return RevokeResult{State: RevokedStarted, Outcome: model.OutcomeUnknown}
	case phaseFinished:
		return RevokeResult{State: RevokedFinished, Outcome: at.outcome}
	default:
		at.phase = phaseRevoked
		return RevokeResult{State: RevokedNotRun, Outcome: model.OutcomeNotRun}
	}
}

// neverAccepted reports whether an attempt without a record and without a valid
// token is known never to have been accepted. Records of accepted attempts are
// kept for Retention after their tokens expire, so until then a missing record
// proves it.
func (a *Attempts) neverAccepted(id model.AttemptID, offset time.Duration) bool {
	incarnation, token, ok := parseToken(id)
	if !ok || incarnation != a.opts.Incarnation || token > max(offset, a.tokenFloor+1) {
		return false
	}
	return offset < token+a.opts.TokenValidity+a.opts.Retention
}

// Expire removes the records whose retention has ended.
func (a *Attempts) Expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeExpired(a.clock.advance(now))
}

// sweepsPerValidity limits the full scans of all records to this number per
// TokenValidity.
const sweepsPerValidity = 8

func (a *Attempts) removeExpired(offset time.Duration) {
	if offset < a.nextSweep {
		return
	}
	a.nextSweep = offset + a.opts.TokenValidity/sweepsPerValidity
	for id, token := range a.rejected {
		if offset >= token+a.opts.TokenValidity {
			delete(a.rejected, id)
		}
	}
	for id, rec := range a.accepted {
		a.expireAccepted(id, rec, offset)
	}
}

func (a *Attempts) expireAccepted(id model.AttemptID, rec *attemptRecord, offset time.Duration) {
	if rec.phase == phaseAccepted && offset >= rec.deadline {
		rec.phase = phaseRevoked
	}
	if offset < rec.deadline || offset < rec.tokenTime+a.opts.TokenValidity+a.opts.Retention {
		return
	}
	delete(a.accepted, id)
}

// Len returns the numbers of records of accepted and of rejected attempts.
func (a *Attempts) Len() (accepted, rejected int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.accepted), len(a.rejected)
}
