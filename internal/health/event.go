package health

import (
	"time"

	"fuchsiaspar/internal/model"
)

// Change is the kind of an Event.
type Change string

// Kinds of changes.
const (
	ChangeEjected  Change = "ejected"
	ChangeProbing  Change = "probing"
	ChangeRestored Change = "restored"
	ChangePaused   Change = "paused"
	// ChangeUnreachable is the pause of a server that accepts no connections.
	ChangeUnreachable Change = "unreachable"
)

// Event is a change of how much a server is used, with the values that caused it.
type Event struct {
	At     time.Time
	Server model.ServerID
	Change Change
	// Failures is the number of consecutive failures.
	Failures int
	// Until is when an ejection or pause ends, and zero for other changes.
	Until time.Time
	// OutOfUse is the number of servers that are ejected or being probed after the
	// change, and InUse the number of all servers that are not draining.
	OutOfUse, InUse int
}

// maxEvents bounds the events that are kept until the next call of Events.
const maxEvents = 64

// Events returns and clears the events since the last call, oldest first. Only the
// newest maxEvents are kept. The returned slice is valid until the next call of any
// method of the tracker.
func (t *Tracker) Events() []Event {
	events := t.events
	t.events = t.events[:0]
	return events
}

// recordEvent stores an event about s and drops the oldest one if there are too
// many.
func (t *Tracker) recordEvent(now time.Time, s *server, change Change, until time.Time) {
	if len(t.events) == maxEvents {
		copy(t.events, t.events[1:])
		t.events = t.events[:maxEvents-1]
	}
	t.events = append(t.events, Event{
		At:       now,
		Server:   s.info.ID,
		Change:   change,
		Failures: s.consecutiveFailures,
		Until:    until,
		OutOfUse: t.ejectedCount,
		InUse:    t.countInUse(),
	})
}
