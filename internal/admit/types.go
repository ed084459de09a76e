// Package admit decides which request runs next on the backend servers that
// one entry VM owns for one service. It ranks requests by priority, keeps a
// floor for each priority, shares a priority fairly between client accounts
// and refuses early what can't meet its deadline.
//
// A Queue is a pure state machine: the caller passes the time in, and carries
// out the starts, refusals and cancels that each call returns.
package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// Item is a request that asks for a slot of a backend server.
type Request struct {
	// ID is unique among the requests that the queue holds.
	ID      uint64
	Account model.AccountID
	// Priority counts as bulk when it is none that model names.
	Priority model.Priority
	// Deadline is the time at which the answer loses its use; zero means none.
	Deadline   time.Time
	Idempotent bool
	// Long marks a transfer that holds its slot for long.
	Long bool
	// Exclude names a server that must not run the request, such as the one
	// that failed an earlier attempt; empty excludes none.
	Exclude model.ServerID
}

// Server is a backend server with the count of requests that it may run at
// once now. A limit of zero gives it no new work.
type Server struct {
	ID    model.ServerID
	Limit int
}

// Start tells the caller to run a request on a server.
type Start struct {
	ID     uint64
	Server model.ServerID
}

// Refusal tells the caller that a request did not run, and what decided.
type Refusal struct {
	ID     uint64
	Reason model.Reason
	// Wait is how long the request has waited or, if it was refused when it
	// was offered, how long it was expected to wait.
	Wait time.Duration
	// Queued is the count of requests of its priority that waited.
	Queued int
}

// Result holds what the caller has to do after one call. Its slices are
// buffers that the next call on the same queue overwrites.
type Result struct {
	Starts   []Start
	Refusals []Refusal
	// Cancels lists running requests that the caller should cancel to make
	// room for urgent work. Their slots come free with Done.
	Cancels []uint64
}

// Stats describes the queue at one moment.
type Stats struct {
	// Slots is the sum of the servers' limits.
	Slots int
	// Busy is the count of running requests.
	Busy    int
	Queued  [model.NumPriorities]int
	Running [model.NumPriorities]int
}
