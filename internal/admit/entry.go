package admit

import "time"

// entry is a request inside the queue, waiting or running.
type entry struct {
	request Request
	// account is set while the request waits.
	account  *account
	enqueued time.Time
	links    [numLinkKinds]links
	// deadlineIndex is the position among the waiting deadlines.
	deadlineIndex int
	// server is set while the request runs.
	server    *server
	cancelled bool
}

// before orders entries by deadline.
func (e *entry) less(other *entry) bool {
	return e.request.Deadline.Before(other.request.Deadline)
}

func (e *entry) setIndex(i int) { e.deadlineIndex = i }

func (e *entry) running() bool { return e.server != nil }

// cancellable reports whether a running request may be cancelled to make room.
func (e *entry) cancellable() bool { return e.request.Long && e.request.Idempotent }
