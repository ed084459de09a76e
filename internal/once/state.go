package once

import "fuchsiaspar/internal/model"

// AttemptState is the state of a relayed attempt at the VM that receives it.
type AttemptState uint8

// The states of a relayed attempt.
const (
	// AttemptAbsent means that the attempt has no record or was revoked.
	AttemptAbsent AttemptState = iota
	// AttemptPending means that the attempt is waiting or running.
	AttemptPending
	// AttemptEnded means that the attempt has finished.
	AttemptEnded
)

// State returns the state of an attempt without changing it.
func (a *Attempts) State(id model.AttemptID) AttemptState {
	a.mu.Lock()
	defer a.mu.Unlock()
	rec, ok := a.accepted[id]
	switch {
	case !ok, rec.phase == phaseRevoked:
		return AttemptAbsent
	case rec.phase == phaseFinished:
		return AttemptEnded
	default:
		return AttemptPending
	}
}
