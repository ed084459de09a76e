package once

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"
)

// AttemptOptions configures an Attempts.
type AttemptOptions struct {
	// Incarnation is that of this process.
	Incarnation model.Incarnation
	// TokenValidity is the age up to which a token is accepted. It must exceed
	// the interval at which tokens reach the origins plus the time that a
	// relayed request is on its way.
	TokenValidity time.Duration
	// Retain is how long the state of an accepted attempt is kept after its
	// token has become invalid. Zero means TokenValidity.
	Retention time.Duration
	// MaxAccepted bounds the accepted attempts that are remembered.
	MaxAccepted int
	// MaxSealed bounds the attempts that are remembered as refused.
	MaxSealed int
}

// Attempts holds the state of relayed attempts at the far side of the relay. It
// decides between the start of an attempt and its revocation, and it refuses
// copies that arrive late.
//
// A copy can be held on a silent connection for longer than any record of its
// revocation is kept. Therefore an attempt's identifier carries a token that
// this process handed out, and a copy is accepted only while that token is
// young by this process's own clock. All copies of an attempt carry the same
// token, so a revocation needs to be remembered only until the token becomes
// invalid. A restarted process refuses every token of its predecessor.
//
// When the room for revocations is used up, the floor is raised: every token
// handed out so far becomes invalid, which refuses all remembered revocations
// for good and lets them be dropped. Attempts on their way are then refused as
// not run, and their origins try again with the fresh token of the refusal.
//
// Attempts is safe for concurrent use.
type Attempts struct {
	opts AttemptOptions

	mu       sync.Mutex
	clock    monotonicClock
	tokenFloor    time.Duration
	accepted map[model.AttemptID]*attemptRecord
	rejected   map[model.AttemptID]time.Duration // by instant of the token
	nextSweep  time.Duration
}

// attempt is the state of an accepted attempt.
type attemptRecord struct {
	phase    attemptPhase
	outcome  model.Outcome
	tokenTime    time.Duration
	deadline time.Duration
}

type attemptPhase uint8

const (
	phaseAccepted attemptPhase = iota
	phaseRevoked
	phaseStarted
	phaseFinished
)

// RevokeState says how far an attempt had come when it was revoked.
type RevokeState uint8

// The answers to a revocation.
const (
	// RevokedUnknown means that nothing is known of the attempt any more.
	RevokedUnknown RevokeState = iota
	// RevokedNotRun means that the attempt did not start and never will.
	RevokedNotRun
	// RevokedStarted means that the attempt may have reached a backend server.
	RevokedStarted
	// RevokedFinished means that the attempt has ended.
	RevokedFinished
)

// RevokeResult is the answer to a revocation.
type RevokeResult struct {
	State RevokeState
	// Outcome is OutcomeNotRun for RevokedNotRun, the attempt's outcome for
	// RevokedFinished and OutcomeUnknown otherwise.
	Outcome model.Outcome
}

// NewAttempts returns an Attempts without records.
func NewAttempts(opts AttemptOptions) *Attempts {
	if opts.Retention == 0 {
		opts.Retention = opts.TokenValidity
	}
	return &Attempts{
		opts:     opts,
		tokenFloor:    -1,
		accepted: make(map[model.AttemptID]*attemptRecord),
		rejected:   make(map[model.AttemptID]time.Duration),
	}
}

// Token returns a token for origins to use in attempt identifiers.
func (a *Attempts) Token(now time.Time) Token {
	a.mu.Lock()
	defer a.mu.Unlock()
	issuedAt := max(a.clock.advance(now), a.tokenFloor+1)
	return newToken(a.opts.Incarnation, issuedAt)
}

// Accept records an attempt that has arrived and may wait up to ttl before it
// starts. Every error is an *Error and means that this copy does not run. An
// origin that sends each attempt exactly once may therefore count any refusal as
// not run. The Outcome of the error also holds for an origin whose transport may
// deliver copies twice: it is OutcomeNotRun only when no copy of the attempt has
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

// staleError tells attempts that no process has ever accepted from those that
// an earlier process, or this one long ago, may have run.
func (a *Attempts) staleError(id model.AttemptID, offset time.Duration) error {
	if _, _, hasToken := parseToken(id); hasToken && !a.neverAccepted(id, offset) {
		return ErrStaleToken
	}
	return errStaleNotRun
}

// usable reports whether the token of an attempt is valid at offset.
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

// seal refuses all later copies of an attempt with a usable token.
func (a *Attempts) reject(id model.AttemptID, token, offset time.Duration) {
	if len(a.rejected) >= a.opts.MaxSealed {
		a.tokenFloor = max(offset, token)
		clear(a.rejected)
		return
	}
	a.rejected[id] = token
}

// Started marks the start of an accepted attempt. Call it right before the
// first byte goes to a backend server, and only go on when it returns true.
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

// Finish records the outcome of an accepted attempt. OutcomeNotRun means that
// it will not start any more.
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

// Revoke makes sure that an attempt which has not started never will, and tells
// how far it had come. It is idempotent.
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

// neverAccepted reports whether an attempt without a record and without a
// usable token is known never to have been accepted: records of accepted
// attempts are kept for Retain after their tokens have become invalid.
func (a *Attempts) neverAccepted(id model.AttemptID, offset time.Duration) bool {
	incarnation, token, ok := parseToken(id)
	if !ok || incarnation != a.opts.Incarnation || token > max(offset, a.tokenFloor+1) {
		return false
	}
	return offset < token+a.opts.TokenValidity+a.opts.Retention
}

// Expire drops the records that have been kept long enough.
func (a *Attempts) Expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeExpired(a.clock.advance(now))
}

// sweepsPerValidity bounds how often all records are looked through.
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

// Len returns the counts of accepted and of sealed attempts that are kept.
func (a *Attempts) Len() (accepted, sealed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.accepted), len(a.rejected)
}
