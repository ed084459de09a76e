// Package overload decides when a client whose request was refused may come back, and which
// requests a VM that stops refuses.
// Its decisions depend on their arguments only.
package overload

import "time"

// Cause says why a request was refused.
type Cause uint8

const (
	// Full means that the servers for the request, or this VM, have no room for it.
	Full Cause = iota
	// Shed means that servers refused the request although they reported a free
	// slot.
	Shed
	// Yielded means that the request tolerates latency and made way for more
	// urgent ones.
	Yielded
	// Paused means that all servers for the request want none for a time.
	Paused
	// Stopping means that this VM is about to stop. Others can serve the request.
	Stopping
)

const (
	// fullWait is the time in which a full server is expected to have a free slot.
	fullWait = 300 * time.Millisecond
	// fullSpread is the part of fullWait, to both sides, over which clients are
	// spread, so that those refused together do not return together.
	fullSpread = 0.33
	// shedWait keeps a client from returning before its refusal is logged. A
	// longer wait would not make the next attempt more likely to succeed, and
	// would cost the client its latency objective.
	shedWait = 10 * time.Millisecond
	// stoppingWait is short, since the client comes back to another VM.
	stoppingWait = 10 * time.Millisecond
)

// Refusal describes a refused request.
type Refusal struct {
	Cause Cause
	// Objective is the latency objective of the request's route.
	Objective time.Duration
	// PauseLeft is the time until the first of the paused servers is back.
	PauseLeft time.Duration
}

// RetryAfter returns when the client of a refused request may come back. draw is a
// random number from 0 to 1 that differs between clients.
func RetryAfter(r Refusal, draw float64) time.Duration {
	switch r.Cause {
	case Yielded:
		// A burst of urgent requests may have passed by then.
		return r.Objective
	case Shed:
		return shedWait
	case Stopping:
		return stoppingWait
	case Paused:
		// The servers are not sure to have room for all clients at once.
		return r.PauseLeft + time.Duration(float64(fullWait)*fullSpread*2*draw)
	default:
		return time.Duration(float64(fullWait) * (1 + fullSpread*(2*draw-1)))
	}
}
