package health

import (
	"time"

	"fuchsiaspar/internal/model"
)

// Change is a change of how much a server is used.
type Change string

// The changes of a server's use.
const (
	ChangeEjected  Change = "ejected"
	ChangeProbing  Change = "probing"
	ChangeRestored Change = "restored"
	ChangePaused   Change = "paused"
	// ChangeUnreachable is the pause of a server that accepts no connection.
	ChangeUnreachable Change = "unreachable"
)

// Event tells that a server's use changed, and what decided.
type Event struct {
	At     time.Time
	Server model.ServerID
	Change Change
	// Failures is the count of failures in a row.
	Failures int
	// Until is when an ejection or pause ends.
	Until time.Time
	// OutOfUse and InUse are the counts of servers ejected or probed, and of
	// all servers that are not draining, after the change.
	OutOfUse, InUse int
}

// maxEvents bounds the events that are kept for the next call of Events.
const maxEvents = 64

// Events returns the changes since the last call, oldest first, and forgets
// them. When nobody asks, only the newest are kept. The slice is a buffer that
// the next call on the tracker overwrites.
func (t *Tracker) Events() []Event {
	events := t.events
	t.events = t.events[:0]
	return events
}

// record keeps an event about s.
func (t *Tracker) record(now time.Time, s *server, change Change, until time.Time) {
	if len(t.events) == maxEvents {
		copy(t.events, t.events[1:])
		t.events = t.events[:maxEvents-1]
	}
	t.events = append(t.events, Event{
		At:       now,
		Server:   s.info.ID,
		Change:   change,
		Failures: s.failureRun,
		Until:    until,
		OutOfUse: t.ejected,
		InUse:    t.inUse(),
	})
}
