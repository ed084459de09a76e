package once

import "fuchsiaspar/internal/model"

// AttemptState says where a relayed attempt stands at the far side.
type AttemptState uint8

// The states of a relayed attempt.
const (
	// AttemptAbsent means that no record of the attempt exists, or that it was
	// revoked.
	AttemptAbsent AttemptState = iota
	// AttemptPending means that the attempt waits or runs.
	AttemptPending
	// AttemptEnded means that the attempt has ended.
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
