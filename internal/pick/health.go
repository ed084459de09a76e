package pick

import "time"

const (
	// failureWeight is the weight of the newest outcome in the moving average of
	// failures, so about the last eight requests determine it.
	failureWeight = 0.12
	// failureCost is the cost of a server that fails every request. A cost of 1
	// equals the load of a server whose slots are all in use.
	failureCost = 6
	// minEjection and maxEjection bound how long a server that accepts no
	// connection or does not answer gets no requests.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
	// restartThreshold is the number of consecutive unanswered requests after
	// which a server is assumed to have restarted, and is therefore treated as
	// cold once it is available again.
	restartThreshold = 2
	// failureHalfLife is how long it takes for the failure rate of a server
	// without requests to halve, so that a failed server is tried again.
	failureHalfLife = 3 * time.Second
)

// health tracks the failures of one server, as seen by this VM.
type health struct {
	// failureRate is the moving average of failures at updatedAt.
	failureRate float64
	updatedAt   time.Time
	// unanswered counts the requests without an answer since the last answer.
	unanswered   int
	ejectedUntil time.Time
}

// currentFailureRate returns the failure rate decayed to now.
func (h *health) currentFailureRate(now time.Time) float64 {
	rate := h.failureRate
	for age := now.Sub(h.updatedAt); age > failureHalfLife && rate > failureWeight; age -= failureHalfLife {
		rate /= 2
	}
	return rate
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) recordOutcome(failed bool, now time.Time) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	rate := h.currentFailureRate(now)
	h.failureRate = rate + failureWeight*(outcome-rate)
	h.updatedAt = now
}

// recordAnswer records an answer, which ends an ejection. failed reports whether
// the answer shows a failure of the server.
func (h *health) recordAnswer(failed bool, now time.Time) {
	h.recordOutcome(failed, now)
	h.recordContact()
}

// recordContact records that the server answers, whatever it says.
func (h *health) recordContact() {
	h.unanswered = 0
	h.ejectedUntil = time.Time{}
}

// recordNoAnswer records an unanswered request and ejects the server for a time
// that doubles with each further one.
func (h *health) recordNoAnswer(now time.Time) {
	h.recordOutcome(true, now)
	h.unanswered++
	duration := minEjection << min(h.unanswered-1, 8)
	h.ejectedUntil = now.Add(min(duration, maxEjection))
}
