// Package admit implements admission control for the backend servers that one
// entry VM owns for one service: which request runs next, which waits and which
// is refused. Requests are ordered by priority. Each priority has a floor, a
// guaranteed share of slot time, and shares its slots among client accounts by
// weight. Requests that cannot meet their deadline are refused early.
//
// A Queue is a deterministic state machine: the caller passes in the time and
// carries out the starts, refusals and cancellations that each call returns.
package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// Request is a request for a slot of a backend server.
type Request struct {
	// ID is unique among the requests that the queue holds.
	ID uint64
	// Account is the client account that the request is made for.
	Account model.AccountID
	// Priority is treated as bulk if it is not one of the priorities in model.
	Priority model.Priority
	// Deadline is the time after which the caller no longer needs the answer;
	// zero means no deadline.
	Deadline time.Time
	// Idempotent marks a request that may run more than once. A long one may
	// be cancelled while it runs.
	Idempotent bool
	// Long marks a transfer that is expected to hold its slot for a long time.
	Long bool
	// Exclude is a server that must not run the request, such as one that failed
	// an earlier attempt; empty excludes none.
	Exclude model.ServerID
}

// Server is a backend server and its current concurrency limit.
type Server struct {
	ID model.ServerID
	// Limit is the number of requests that the server may run at once. A server
	// with a limit of zero or less gets no new requests.
	Limit int
}

// Start tells the caller to run a request on a server.
type Start struct {
	ID     uint64
	Server model.ServerID
}

// Refusal tells the caller that a request was refused and has not run.
type Refusal struct {
	ID     uint64
	Reason model.Reason
	// Wait is how long the request has waited or, if it was refused on arrival,
	// how long it was expected to wait.
	Wait time.Duration
	// Queued is the number of waiting requests of the same priority, including
	// the refused one if it was waiting.
	Queued int
}

// Result holds the actions that the caller must carry out after a call. Its
// slices are reused: the next call on the same queue overwrites them.
type Result struct {
	Starts   []Start
	Refusals []Refusal
	// Cancels holds the IDs of running requests that the caller should cancel
	// to make room for urgent requests. Their slots stay in use until Done.
	Cancels []uint64
}

// Stats holds the counts of a queue at one point in time.
type Stats struct {
	// Slots is the sum of the servers' limits.
	Slots int
	// Busy is the number of running requests.
	Busy int
	// Queued is the number of waiting requests by priority.
	Queued [model.NumPriorities]int
	// Running is the number of running requests by priority.
	Running [model.NumPriorities]int
}
