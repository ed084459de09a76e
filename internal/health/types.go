// Package health tracks the backend servers that one entry VM owns and limits
// their load. From the results of the VM's own requests it adapts a concurrency
// limit for each server, ejects a bounded share of failing servers, and ramps up
// cold servers slowly. Servers also report their own state. Such reports may be old
// or wrong, so results of requests take precedence over them.
//
// A Tracker is a deterministic state machine: the caller passes in the time.
package health

import (
	"time"

	"fuchsiaspar/internal/model"
)

// Class classifies the result of one attempt at a server.
type Class uint8

// Classes of results.
const (
	// Answered means that the server sent a complete answer.
	Answered Class = iota
	// Shed means that the server refused the request because of its load.
	Shed
	// Failed means a reset or a timeout.
	Failed
	// Silent means that the connection made no progress.
	Silent
	// Unreachable means that no connection could be opened.
	Unreachable
)

// ServerInfo describes a server that the entry VM owns.
type ServerInfo struct {
	ID model.ServerID
	// Slots is the number of requests that the server can run at once.
	Slots int
	// ColdStart is how long a cold server needs to reach full speed.
	ColdStart time.Duration
	// Cold marks a server that starts without warm caches. It only has an effect
	// when the server is first listed.
	Cold bool
	// Draining marks a server that must get no new requests.
	Draining bool
}

// Report is a server's statement about its own state, or a measurement of it.
type Report struct {
	// Load is the fraction of the server's capacity in use; 1 is full.
	Load  float64
	Ready bool
	// Age is the age of the statement on arrival.
	Age time.Duration
}

// Options configures a Tracker.
type Options struct {
	// MaxEjectedShare is the largest fraction of the servers that may be ejected
	// at once. One of two or more servers may always be ejected.
	MaxEjectedShare float64
	// ConsecutiveFailures is the number of consecutive failures that ejects a
	// server.
	ConsecutiveFailures int
	// BaseEjectionTime is the duration of a first ejection. Each further one
	// doubles it, up to MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// ProbeSuccesses is the number of consecutive answers, after the ejection time
	// has passed, that returns a server to normal use.
	ProbeSuccesses int
	// ConsecutiveConnectFailures is the number of consecutive failed connection
	// attempts after which a server gets no requests. The share of such servers is
	// not bounded: sending requests to a server that accepts no connections does
	// not relieve the others.
	ConsecutiveConnectFailures int
	// LatencyRatio is the ratio of the recent latency to both the server's
	// baseline and its peers' median above which the server's limit is decreased.
	LatencyRatio float64
	// MaxReportAge is the age from which a report is ignored.
	MaxReportAge time.Duration
}

// Values of DefaultOptions.
const (
	defaultMaxEjectedShare     = 0.34
	defaultConsecutiveFailures = 4
	defaultConnectFailures     = 2
	defaultBaseEjectionTime    = 2 * time.Second
	defaultMaxEjectionTime     = 30 * time.Second
	defaultProbeSuccesses      = 3
	defaultLatencyRatio        = 2.5
	defaultMaxReportAge        = 2 * time.Second
)

// DefaultOptions returns the options used unless configured otherwise.
func DefaultOptions() Options {
	return Options{
		MaxEjectedShare:            defaultMaxEjectedShare,
		ConsecutiveFailures:        defaultConsecutiveFailures,
		ConsecutiveConnectFailures: defaultConnectFailures,
		BaseEjectionTime:           defaultBaseEjectionTime,
		MaxEjectionTime:            defaultMaxEjectionTime,
		ProbeSuccesses:             defaultProbeSuccesses,
		LatencyRatio:               defaultLatencyRatio,
		MaxReportAge:               defaultMaxReportAge,
	}
}
