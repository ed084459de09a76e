package once

import "fuchsiaspar/internal/model"

// Error reports that a ticket or a relayed attempt was rejected. The rejected copy
// has not run. Outcome applies to the request as a whole: OutcomeNotRun is final,
// OutcomeUnknown means that another copy may have run.
type Error struct {
	Reason  model.Reason
	Outcome model.Outcome
}

// Error returns the reason and the outcome as text.
func (e *Error) Error() string {
	return "once: " + string(e.Reason) + " (" + e.Outcome.String() + ")"
}

// Is reports whether target is an *Error with the same reason, so that errors.Is
// matches the variables below regardless of the outcome.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Reason == e.Reason
}

// Errors for use with errors.Is. The outcome of a returned error may differ from
// that of the variable.
var (
	// ErrTicketsExhausted: Issue has reached MaxRecords or MaxAccountRecords.
	ErrTicketsExhausted = &Error{Reason: model.ReasonTicketsExhausted, Outcome: model.OutcomeNotRun}
	// ErrTicketInvalid: the ticket is malformed or forged, or belongs to another
	// account or service.
	ErrTicketInvalid = &Error{Reason: model.ReasonTicketInvalid, Outcome: model.OutcomeNotRun}
	// ErrNotOwner: another VM issued the ticket.
	ErrNotOwner = &Error{Reason: model.ReasonNotOwner, Outcome: model.OutcomeUnknown}
	// ErrTicketOwnerGone: an earlier process of this VM issued the ticket.
	ErrTicketOwnerGone = &Error{Reason: model.ReasonTicketOwnerGone, Outcome: model.OutcomeUnknown}
	// ErrTicketExpired: the ticket has expired.
	ErrTicketExpired = &Error{Reason: model.ReasonTicketExpired, Outcome: model.OutcomeUnknown}
	// ErrTicketSealed: the ticket was sealed, or its request did not run.
	ErrTicketSealed = &Error{Reason: model.ReasonTicketSealed, Outcome: model.OutcomeNotRun}
	// ErrTicketReused: the ticket was used for a different request.
	ErrTicketReused = &Error{Reason: model.ReasonTicketReused, Outcome: model.OutcomeNotRun}
	// ErrAttemptRevoked: the attempt was revoked, or rejected before.
	ErrAttemptRevoked = &Error{Reason: model.ReasonRevoked, Outcome: model.OutcomeNotRun}
	// ErrStaleToken: the token of the attempt is missing or no longer valid.
	ErrStaleToken = &Error{Reason: model.ReasonStaleToken, Outcome: model.OutcomeUnknown}
	// ErrAttemptsFull: MaxAccepted is reached.
	ErrAttemptsFull = &Error{Reason: model.ReasonAttemptsFull, Outcome: model.OutcomeNotRun}
	// ErrDuplicateAttempt: another copy of the attempt was accepted.
	ErrDuplicateAttempt = &Error{Reason: model.ReasonDuplicateAttempt, Outcome: model.OutcomeUnknown}
)

var (
	// errExpiredNotRun is ErrTicketExpired for a ticket that is known not to have run.
	errExpiredNotRun = &Error{Reason: model.ReasonTicketExpired, Outcome: model.OutcomeNotRun}
	// errStaleNotRun is ErrStaleToken for an attempt that is known not to have run.
	errStaleNotRun = &Error{Reason: model.ReasonStaleToken, Outcome: model.OutcomeNotRun}
)
