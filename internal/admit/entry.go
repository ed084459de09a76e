package admit

import "time"

// entry is a request inside the queue, waiting or running.
type entry struct {
	item Item
	// account is set while the request waits.
	account  *account
	enqueued time.Time
	links    [numLinks]links
	// deadlineIndex is the position among the waiting deadlines.
	deadlineIndex int
	// server is set while the request runs.
	server    *server
	cancelled bool
}

// before orders entries by deadline.
func (e *entry) before(other *entry) bool {
	return e.item.Deadline.Before(other.item.Deadline)
}

func (e *entry) setIndex(i int) { e.deadlineIndex = i }

func (e *entry) running() bool { return e.server != nil }

// cancellable reports whether a running request may be cancelled to make room.
func (e *entry) cancellable() bool { return e.item.Long && e.item.Idempotent }
