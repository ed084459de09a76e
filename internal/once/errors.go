package once

import "fuchsiaspar/internal/model"

// Error refuses a ticket or a relayed attempt. The refused copy has not run.
// Outcome says what is known of the whole request: OutcomeNotRun is final,
// OutcomeUnknown means that another copy may have run.
type Error struct {
	Reason  model.Reason
	Outcome model.Outcome
}

// Error returns the reason and the outcome as text.
func (e *Error) Error() string {
	return "once: " + string(e.Reason) + " (" + e.Outcome.String() + ")"
}

// Is reports whether target is an Error with the same reason, so that
// errors.Is works with the variables below whatever the outcome is.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Reason == e.Reason
}

// Errors to test for with errors.Is. The returned error may carry another
// outcome than the variable.
var (
	ErrExhausted = &Error{Reason: model.ReasonTicketsExhausted, Outcome: model.OutcomeNotRun}
	ErrInvalid   = &Error{Reason: model.ReasonTicketInvalid, Outcome: model.OutcomeNotRun}
	ErrNotOwner  = &Error{Reason: model.ReasonNotOwner, Outcome: model.OutcomeUnknown}
	ErrOwnerGone = &Error{Reason: model.ReasonTicketOwnerGone, Outcome: model.OutcomeUnknown}
	ErrExpired   = &Error{Reason: model.ReasonTicketExpired, Outcome: model.OutcomeUnknown}
	ErrSealed    = &Error{Reason: model.ReasonTicketSealed, Outcome: model.OutcomeNotRun}
	ErrReused    = &Error{Reason: model.ReasonTicketReused, Outcome: model.OutcomeNotRun}
	ErrRevoked   = &Error{Reason: model.ReasonRevoked, Outcome: model.OutcomeNotRun}
	ErrStale     = &Error{Reason: model.ReasonStaleToken, Outcome: model.OutcomeUnknown}
	ErrFull      = &Error{Reason: model.ReasonAttemptsFull, Outcome: model.OutcomeNotRun}
	ErrDuplicate = &Error{Reason: model.ReasonDuplicateAttempt, Outcome: model.OutcomeUnknown}
)

var (
	// errExpiredUnused is ErrExpired for a ticket that is known not to have run.
	errExpiredUnused = &Error{Reason: model.ReasonTicketExpired, Outcome: model.OutcomeNotRun}
	// errStaleUnused is ErrStale for an attempt that is known not to have run.
	errStaleUnused = &Error{Reason: model.ReasonStaleToken, Outcome: model.OutcomeNotRun}
)
