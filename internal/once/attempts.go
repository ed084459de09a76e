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
	Retain time.Duration
	// MaxAccepted bounds the accepted attempts that are remembered.
	MaxAccepted int
	// MaxSealed bounds the attempts that are remembered as refused.
	MaxRejected int
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
	clock    clock
	floor    time.Duration
	accepted map[model.AttemptID]*attempt
	sealed   map[model.AttemptID]time.Duration // by instant of the token
	sweepAt  time.Duration
}

// attempt is the state of an accepted attempt.
type attempt struct {
	state    attemptState
	outcome  model.Outcome
	token    time.Duration
	deadline time.Duration
}

type attemptState uint8

const (
	attemptAccepted attemptState = iota
	attemptRevoked
	attemptStarted
	attemptFinished
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
	if opts.Retain == 0 {
		opts.Retain = opts.TokenValidity
	}
	return &Attempts{
		opts:     opts,
		floor:    -1,
		accepted: make(map[model.AttemptID]*attempt),
		sealed:   make(map[model.AttemptID]time.Duration),
	}
}

// Token returns a token for origins to use in attempt identifiers.
func (a *Attempts) Token(now time.Time) Token {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := max(a.clock.advance(now), a.floor+1)
	return newToken(a.opts.Incarnation, at)
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
	a.sweep(offset)
	if known, ok := a.accepted[id]; ok {
		return known.duplicateError()
	}
	token, ok := a.usable(id, offset)
	if !ok {
		return a.staleError(id, offset)
	}
	if _, ok := a.sealed[id]; ok {
		return ErrRevoked
	}
	if len(a.accepted) >= a.opts.MaxAccepted {
		a.seal(id, token, offset)
		return ErrFull
	}
	a.accepted[id] = &attempt{token: token, deadline: offset + ttl}
	return nil
}

func (at *attempt) duplicateError() error {
	if at.state == attemptRevoked {
		return ErrRevoked
	}
	return ErrDuplicate
}

// staleError tells attempts that no process has ever accepted from those that
// an earlier process, or this one long ago, may have run.
func (a *Attempts) staleError(id model.AttemptID, offset time.Duration) error {
	if _, _, hasToken := tokenOf(id); hasToken && !a.neverAccepted(id, offset) {
		return ErrStale
	}
	return errStaleUnused
}

// usable reports whether the token of an attempt is valid at offset.
func (a *Attempts) usable(id model.AttemptID, offset time.Duration) (time.Duration, bool) {
	incarnation, token, ok := tokenOf(id)
	if !ok || incarnation != a.opts.Incarnation {
		return 0, false
	}
	if token <= a.floor || token > max(offset, a.floor+1) {
		return 0, false
	}
	return token, offset < token+a.opts.TokenValidity
}

// seal refuses all later copies of an attempt with a usable token.
func (a *Attempts) seal(id model.AttemptID, token, offset time.Duration) {
	if len(a.sealed) >= a.opts.MaxRejected {
		a.floor = max(offset, token)
		clear(a.sealed)
		return
	}
	a.sealed[id] = token
}

// Started marks the start of an accepted attempt. Call it right before the
// first byte goes to a backend server, and only go on when it returns true.
func (a *Attempts) Started(id model.AttemptID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.accepted[id]
	if !ok || at.state == attemptRevoked || at.state == attemptFinished {
		return false
	}
	at.state = attemptStarted
	return true
}

// Finish records the outcome of an accepted attempt. OutcomeNotRun means that
// it will not start any more.
func (a *Attempts) Finish(id model.AttemptID, outcome model.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.accepted[id]
	if !ok || at.state == attemptRevoked {
		return
	}
	at.state = attemptFinished
	at.outcome = outcome
}

// Revoke makes sure that an attempt which has not started never will, and tells
// how far it had come. It is idempotent.
func (a *Attempts) Revoke(now time.Time, id model.AttemptID) RevokeResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	offset := a.clock.advance(now)
	a.sweep(offset)
	if at, ok := a.accepted[id]; ok {
		return at.revoke()
	}
	if token, ok := a.usable(id, offset); ok {
		a.seal(id, token, offset)
		return RevokeResult{State: RevokedNotRun, Outcome: model.OutcomeNotRun}
	}
	if a.neverAccepted(id, offset) {
		return RevokeResult{State: RevokedNotRun, Outcome: model.OutcomeNotRun}
	}
	return RevokeResult{State: RevokedUnknown, Outcome: model.OutcomeUnknown}
}

func (at *attempt) revoke() RevokeResult {
	switch at.state {
	case attemptStarted:
		return RevokeResult{State: RevokedStarted, Outcome: model.OutcomeUnknown}
	case attemptFinished:
		return RevokeResult{State: RevokedFinished, Outcome: at.outcome}
	default:
		at.state = attemptRevoked
		return RevokeResult{State: RevokedNotRun, Outcome: model.OutcomeNotRun}
	}
}

// neverAccepted reports whether an attempt without a record and without a
// usable token is known never to have been accepted: records of accepted
// attempts are kept for Retain after their tokens have become invalid.
func (a *Attempts) neverAccepted(id model.AttemptID, offset time.Duration) bool {
	incarnation, token, ok := tokenOf(id)
	if !ok || incarnation != a.opts.Incarnation || token > max(offset, a.floor+1) {
		return false
	}
	return offset < token+a.opts.TokenValidity+a.opts.Retain
}

// Expire drops the records that have been kept long enough.
func (a *Attempts) Expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(a.clock.advance(now))
}

// sweepsPerValidity bounds how often all records are looked through.
const sweepsPerValidity = 8

func (a *Attempts) sweep(offset time.Duration) {
	if offset < a.sweepAt {
		return
	}
	a.sweepAt = offset + a.opts.TokenValidity/sweepsPerValidity
	for id, token := range a.sealed {
		if offset >= token+a.opts.TokenValidity {
			delete(a.sealed, id)
		}
	}
	for id, at := range a.accepted {
		a.sweepAccepted(id, at, offset)
	}
}

func (a *Attempts) sweepAccepted(id model.AttemptID, at *attempt, offset time.Duration) {
	if at.state == attemptAccepted && offset >= at.deadline {
		at.state = attemptRevoked
	}
	if offset < at.deadline || offset < at.token+a.opts.TokenValidity+a.opts.Retain {
		return
	}
	delete(a.accepted, id)
}

// Len returns the counts of accepted and of sealed attempts that are kept.
func (a *Attempts) Len() (accepted, sealed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.accepted), len(a.sealed)
}
