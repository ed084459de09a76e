package admit

import "time"

// entry is a waiting or running request of a queue.
type entry struct {
	request Request
	// account is nil unless the request waits.
	account  *account
	enqueued time.Time
	links    [numLinkKinds]links
	// deadlineIndex is the position in Queue.deadlines, or notInHeap.
	deadlineIndex int
	// server is nil unless the request runs.
	server *server
	// cancelled is set once the cancellation of the running request has been
	// requested.
	cancelled bool
}

// less orders entries by deadline, earliest first.
func (e *entry) less(other *entry) bool {
	return e.request.Deadline.Before(other.request.Deadline)
}

func (e *entry) setIndex(i int) { e.deadlineIndex = i }

func (e *entry) running() bool { return e.server != nil }

// cancellable reports whether the request may be cancelled while it runs, to
// free its slot for urgent work.
func (e *entry) cancellable() bool { return e.request.Long && e.request.Idempotent }
