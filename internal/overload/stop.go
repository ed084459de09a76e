package overload

import "time"

// stopReserve is the time before the end of a planned stop that is left for sending the last
// responses.
const stopReserve = 200 * time.Millisecond

// PlannedStop decides which requests a VM that stops still passes on, and when it gives up
// those that are in progress.
type PlannedStop struct {
	// Last is the time up to which every request is passed on: clients with an outdated
	// look-up still come, and most requests end long before their deadlines.
	Last time.Time
	// End is the time at which the connections are closed.
	End time.Time
}

// MayPassOn reports whether a request with a deadline may be passed on. After Last, one that
// could still run at the end is refused instead, since it would end without an answer, and
// its client could not know whether it has run.
func (s PlannedStop) MayPassOn(now, deadline time.Time) bool {
	return !now.After(s.Last) || !deadline.After(s.GiveUp())
}

// GiveUp returns the time from which the VM no longer waits for servers. A request that is
// given up gets an answer of its own, since the responses to later requests of its connection
// wait for it.
func (s PlannedStop) GiveUp() time.Time { return s.End.Add(-stopReserve) }
