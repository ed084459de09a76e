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
	ErrTicketsExhausted = &Error{Reason: model.ReasonTicketsExhausted, Outcome: model.OutcomeNotRun}
	ErrTicketInvalid   = &Error{Reason: model.ReasonTicketInvalid, Outcome: model.OutcomeNotRun}
	ErrNotOwner  = &Error{Reason: model.ReasonNotOwner, Outcome: model.OutcomeUnknown}
	ErrTicketOwnerGone = &Error{Reason: model.ReasonTicketOwnerGone, Outcome: model.OutcomeUnknown}
	ErrTicketExpired   = &Error{Reason: model.ReasonTicketExpired, Outcome: model.OutcomeUnknown}
	ErrTicketSealed    = &Error{Reason: model.ReasonTicketSealed, Outcome: model.OutcomeNotRun}
	ErrTicketReused    = &Error{Reason: model.ReasonTicketReused, Outcome: model.OutcomeNotRun}
	ErrAttemptRevoked   = &Error{Reason: model.ReasonRevoked, Outcome: model.OutcomeNotRun}
	ErrStaleToken     = &Error{Reason: model.ReasonStaleToken, Outcome: model.OutcomeUnknown}
	ErrAttemptsFull      = &Error{Reason: model.ReasonAttemptsFull, Outcome: model.OutcomeNotRun}
	ErrDuplicateAttempt = &Error{Reason: model.ReasonDuplicate, Outcome: model.OutcomeUnknown}
)

var (
	// errExpiredUnused is ErrExpired for a ticket that is known not to have run.
	errExpiredNotRun = &Error{Reason: model.ReasonTicketExpired, Outcome: model.OutcomeNotRun}
	// errStaleUnused is ErrStale for an attempt that is known not to have run.
	errStaleNotRun = &Error{Reason: model.ReasonStaleToken, Outcome: model.OutcomeNotRun}
)
