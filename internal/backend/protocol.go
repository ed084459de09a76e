package backend

import (
	"net/http"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"
)

// Headers of the protocol between entry VMs and backend servers.
const (
	// HeaderAttempt is the attempt ID of a request, echoed in its response.
	HeaderAttempt = header.Attempt
	// HeaderDeadline is the remaining time of a request in milliseconds.
	HeaderDeadline = header.DeadlineMS
	// HeaderNotStarted is "true" in a 503 response to a request that the server
	// has not started and never will.
	HeaderNotStarted = header.NotStarted
	// HeaderDraining is "true" in every response of a draining server.
	HeaderDraining = "Fuchsiaspar-Draining"
	// HeaderInstance identifies the process of a backend server. It changes with
	// every restart.
	HeaderInstance = "Fuchsiaspar-Instance"

	headerTrue = "true"
)

// Paths that a backend server reserves for the protocol.
const (
	// ControlPath is the prefix of every reserved path.
	ControlPath = "/.well-known/fuchsiaspar/"
	// HealthPath returns a HealthResponse on GET.
	HealthPath = ControlPath + "health"
	// AttemptsPath, followed by an attempt ID, returns a StateResponse on GET. On
	// DELETE it cancels the attempt and returns its StateResponse.
	AttemptsPath = ControlPath + "attempts/"
)

// AttemptState is the state of an attempt as a backend server reports it.
type AttemptState string

// The states of an attempt.
const (
	// StateNotStarted means that the server has not received the attempt or has
	// refused it. As the result of a cancellation it means that the server has
	// not started the attempt and never will.
	StateNotStarted AttemptState = "not-started"
	// StateWaiting means that the attempt has arrived and is queued.
	StateWaiting AttemptState = "waiting"
	// StateRunning means that the attempt is being executed.
	StateRunning AttemptState = "running"
	// StateStopped means that a cancellation stopped the attempt after its
	// start.
	StateStopped AttemptState = "stopped"
	// StateFinished means that the attempt ran to completion.
	StateFinished AttemptState = "finished"
)

// StateResponse is the JSON body of a response about an attempt.
type StateResponse struct {
	State AttemptState `json:"state"`
}

// HealthResponse is the JSON body of a health response. Load is the running and
// queued requests as a fraction of the server's slots.
type HealthResponse struct {
	Ready    bool    `json:"ready"`
	Draining bool    `json:"draining"`
	Load     float64 `json:"load"`
}

// outcome returns what the result of a cancellation proves if it comes from the
// instance that the attempt was sent to.
func (s AttemptState) outcome() model.Outcome {
	switch s {
	case StateNotStarted:
		return model.OutcomeNotRun
	case StateFinished:
		return model.OutcomeRan
	default:
		return model.OutcomeUnknown
	}
}

// protocolHeaders concern only the server and this client and are not forwarded.
var protocolHeaders = []string{HeaderAttempt, HeaderInstance, HeaderNotStarted, HeaderDraining}

// callerHeaders returns a copy of the response headers h without hop-by-hop and
// protocol headers.
func callerHeaders(h http.Header) http.Header {
	out := header.EndToEnd(h)
	for _, name := range protocolHeaders {
		delete(out, name)
	}
	return out
}
