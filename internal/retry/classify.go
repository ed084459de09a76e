// Package retry decides whether a failed attempt may be made again: by what is
// known of its outcome, by the time left, and by a budget that keeps retries
// and hedges a bounded share of first tries.
package retry

import (
	"time"

	"fuchsiaspar/internal/model"
)

// Retryable reports whether another attempt is safe and may help. It is safe
// when the attempt proved not to have run, or when the request is idempotent
// and has no answer; it may help when the cause lies with the server or entry
// VM that the attempt went to.
func Retryable(idempotent bool, outcome model.Outcome, reason model.Reason) bool {
	switch outcome {
	case model.OutcomeNotRun:
		return helpsElsewhere(reason)
	case model.OutcomeUnknown:
		return idempotent && lostAnswer(reason)
	default:
		return false
	}
}

// helpsElsewhere reports whether another server or owner may run a request
// that was refused or stopped for reason.
func helpsElsewhere(reason model.Reason) bool {
	switch reason {
	case model.ReasonConnect,
		model.ReasonShed,
		model.ReasonCancelled,
		model.ReasonSilentConnection,
		model.ReasonReset,
		model.ReasonTimeout,
		model.ReasonNoServer,
		model.ReasonNotOwner,
		model.ReasonIsolated,
		model.ReasonStopping,
		model.ReasonPlaceRamping,
		model.ReasonPlaceDraining,
		model.ReasonPeerUnreachable,
		model.ReasonPeerLost,
		model.ReasonPreempted,
		model.ReasonStaleToken,
		model.ReasonAttemptsFull,
		model.ReasonLinkCap:
		return true
	default:
		return false
	}
}

// Crowded reports whether a request was refused because too much work waits at
// one place, so that another place with free slots could run it.
func IsOverload(reason model.Reason) bool {
	switch reason {
	case model.ReasonQueueFull,
		model.ReasonDeadline,
		model.ReasonDisplaced,
		model.ReasonShedByAge:
		return true
	default:
		return false
	}
}

// lostAnswer reports whether reason means that an attempt ended without its
// whole answer.
func lostAnswer(reason model.Reason) bool {
	switch reason {
	case model.ReasonConnect,
		model.ReasonShed,
		model.ReasonCancelled,
		model.ReasonSilentConnection,
		model.ReasonReset,
		model.ReasonTruncated,
		model.ReasonTimeout,
		model.ReasonBadAnswer,
		model.ReasonCrossedAnswer,
		model.ReasonPeerLost,
		model.ReasonPeerUnreachable,
		model.ReasonPreempted:
		return true
	default:
		return false
	}
}

// Worth reports whether an attempt that takes about estimate can still answer
// before deadline. A zero deadline means none.
func FitsDeadline(now, deadline time.Time, estimate time.Duration) bool {
	if deadline.IsZero() {
		return true
	}
	return now.Add(estimate).Before(deadline)
}
