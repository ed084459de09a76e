// Package health judges the backend servers that one entry VM owns. From the
// entry VM's own traffic it adapts how many requests each server may run at
// once, ejects a bounded share of servers that fail, and starts cold servers
// slowly. Reports that servers give of themselves may be old or wrong: they
// count only where no traffic contradicts them.
//
// A Tracker is a pure state machine: the caller passes the time in.
package health

import (
	"time"

	"fuchsiaspar/internal/model"
)

// Class is the kind of result that one attempt at a server had.
type Class uint8

// The kinds of results.
const (
	// Answered means that the server gave a whole answer.
	Answered Class = iota
	// Shed means that the server refused the request because of its load.
	Shed
	// Failed means a reset or a timeout.
	Failed
	// Silent means that the connection showed no progress.
	Silent
	// Unreachable means that no connection could be opened.
	Unreachable
)

// ServerInfo describes a server that the entry VM owns.
type ServerInfo struct {
	ID    model.ServerID
	Slots int
	// ColdStart is how long a cold server needs to reach full speed.
	ColdStart time.Duration
	// Cold marks a server that starts without warm caches. It counts when the
	// server is first listed.
	Cold bool
	// Draining marks a server that is to get no new work.
	Draining bool
}

// Report is what a server, or a measurement of it, says about its state.
type Report struct {
	// Load is the share of the server's capacity in use; 1 is full.
	Load  float64
	Ready bool
	// Age is how old the statement was when it arrived.
	Age time.Duration
}

// Options are the settings of a Tracker.
type Options struct {
	// EjectShare is the largest share of servers ejected at once; one of two
	// or more may always be.
	EjectShare float64
	// FailureRun is the count of failures in a row that ejects a server.
	FailureRun int
	// EjectBase is the time of a first ejection. Each further one doubles it,
	// up to EjectMax.
	EjectBase time.Duration
	EjectMax  time.Duration
	// ProbeAnswers is the count of answers in a row that ends an ejection
	// whose time has passed.
	ProbeAnswers int
	// UnreachableRun is the count of failed connects in a row after which a
	// server gets no work. This needs no bound on the share of servers: a
	// server that accepts no connection can't be saved from too much load by
	// sending it more.
	UnreachableRun int
	// LatencyRatio is how far the recent latency may rise over the usual one
	// before the limit shrinks.
	LatencyRatio float64
	// MaxReportAge is the age from which a report counts for nothing.
	MaxReportAge time.Duration
}

// Default options.
const (
	defaultEjectShare   = 0.34
	defaultFailureRun   = 4
	defaultUnreachable  = 2
	defaultEjectBase    = 2 * time.Second
	defaultEjectMax     = 30 * time.Second
	defaultProbeAnswers = 3
	defaultLatencyRatio = 2.5
	defaultMaxReportAge = 2 * time.Second
)

// DefaultOptions returns the options used where an operator sets none.
func DefaultOptions() Options {
	return Options{
		EjectShare:     defaultEjectShare,
		FailureRun:     defaultFailureRun,
		UnreachableRun: defaultUnreachable,
		EjectBase:      defaultEjectBase,
		EjectMax:       defaultEjectMax,
		ProbeAnswers:   defaultProbeAnswers,
		LatencyRatio:   defaultLatencyRatio,
		MaxReportAge:   defaultMaxReportAge,
	}
}
