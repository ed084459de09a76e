// Package retry decides whether a failed attempt at a request may be retried. The
// decision depends on whether the attempt may have run, on the time left until the
// deadline, and on a budget that bounds retries and hedges to a percentage of first
// attempts.
package retry

import (
	"time"

	"fuchsiaspar/internal/model"
)

// Retryable reports whether another attempt is safe and may succeed. It is safe if
// the attempt is known not to have run, or if the request is idempotent and its
// answer was lost. It may succeed if the failure was caused by the server or entry
// VM that the attempt went to.
func Retryable(idempotent bool, outcome model.Outcome, reason model.Reason) bool {
	switch outcome {
	case model.OutcomeNotRun:
		return retryableElsewhere(reason)
	case model.OutcomeUnknown:
		return idempotent && answerLost(reason)
	default:
		return false
	}
}

// retryableElsewhere reports whether another server or owner may be able to run a
// request that was refused or stopped for reason.
func retryableElsewhere(reason model.Reason) bool {
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

// IsOverload reports whether reason is a refusal because of overload at one place, in
// which case another place with free slots could run the request.
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

// answerLost reports whether reason means that an attempt ended without a complete
// answer.
func answerLost(reason model.Reason) bool {
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

// FitsDeadline reports whether an attempt that starts now and takes about estimate ends
// before deadline. A zero deadline means that there is none.
func FitsDeadline(now, deadline time.Time, estimate time.Duration) bool {
	if deadline.IsZero() {
		return true
	}
	return now.Add(estimate).Before(deadline)
}
