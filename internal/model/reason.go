package model

import "strings"

// Reason is the cause of a refusal, a retry or an unknown outcome. Its text is
// the value of the Fuchsiaspar-Reason header and of the reason tag of counters.
type Reason string

// maxReasonLength is the length in bytes of the longest reason, with a margin.
const maxReasonLength = 40

// ParseReason returns the reason in a header of another process, or ReasonMalformed
// if the text has not the form of a reason. Reasons become labels of metrics.
func ParseReason(text string) Reason {
	valid := len(text) <= maxReasonLength && strings.Trim(text, "abcdefghijklmnopqrstuvwxyz_") == ""
	if !valid {
		return ReasonMalformed
	}
	return Reason(text)
}

// Reasons for refusing a request before admission. ReasonNone means that there
// is no reason to report.
const (
	ReasonNone      Reason = ""
	ReasonMalformed Reason = "malformed"
	ReasonTooLarge  Reason = "too_large"
	// ReasonTooSlow refuses a request whose body arrives below the minimum rate.
	ReasonTooSlow Reason = "too_slow"
	// ReasonMemory refuses a request for which the entry VM has no memory.
	ReasonMemory           Reason = "memory"
	ReasonUnknownAccount   Reason = "unknown_account"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonNoConfig         Reason = "no_config"
	ReasonTicketMissing    Reason = "ticket_missing"
	ReasonTicketInvalid    Reason = "ticket_invalid"
	ReasonTicketExpired    Reason = "ticket_expired"
	ReasonTicketSealed     Reason = "ticket_sealed"
	ReasonTicketReused     Reason = "ticket_reused"
	ReasonTicketOwnerGone  Reason = "ticket_owner_gone"
	ReasonTicketsExhausted Reason = "tickets_exhausted"
)

// Reasons for refusing a request or a relayed attempt at admission.
const (
	ReasonQueueFull       Reason = "queue_full"
	ReasonDeadline        Reason = "deadline"
	ReasonShedByAge       Reason = "shed_by_age"
	ReasonDisplaced       Reason = "displaced"
	ReasonNoServer        Reason = "no_server"
	ReasonShiftCap        Reason = "shift_cap"
	ReasonLinkCap         Reason = "link_cap"
	ReasonIsolated        Reason = "isolated"
	ReasonStopping        Reason = "stopping"
	ReasonNotOwner        Reason = "not_owner"
	ReasonRevoked         Reason = "revoked"
	ReasonPlaceRamping    Reason = "place_ramping"
	ReasonPlaceDraining   Reason = "place_draining"
	ReasonCallerGone      Reason = "caller_gone"
	ReasonPeerUnreachable Reason = "peer_unreachable"
	ReasonPreempted       Reason = "preempted"
	// ReasonStaleToken refuses a relayed attempt whose token is missing, expired
	// or issued by another process.
	ReasonStaleToken Reason = "stale_token"
	// ReasonDuplicateAttempt refuses a second copy of a relayed attempt.
	ReasonDuplicateAttempt Reason = "duplicate_attempt"
	// ReasonAttemptsFull refuses a relayed attempt because the table of attempt
	// records is full.
	ReasonAttemptsFull Reason = "attempts_full"
)

// Reasons why an attempt at a backend server or a relay failed, or why its
// answer can't be delivered.
const (
	ReasonConnect          Reason = "connect"
	ReasonShed             Reason = "shed"
	ReasonCancelled        Reason = "cancelled"
	ReasonSilentConnection Reason = "silent_connection"
	ReasonReset            Reason = "reset"
	ReasonTruncated        Reason = "truncated"
	ReasonTimeout          Reason = "timeout"
	ReasonBadAnswer        Reason = "bad_answer"
	ReasonCrossedAnswer    Reason = "crossed_answer"
	ReasonPeerLost         Reason = "peer_lost"
	ReasonAnswerNotKept    Reason = "answer_not_kept"
)
