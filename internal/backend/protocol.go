package backend

import (
	"net/http"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"
)

// Headers of the protocol towards backend servers.
const (
	// HeaderAttempt names the attempt in a request and is echoed in its answer.
	HeaderAttempt = header.Attempt
	// HeaderDeadline is the remaining time for a request in milliseconds.
	HeaderDeadline = header.DeadlineMS
	// HeaderNotStarted is "true" in a 503 answer to a request that the server
	// did not start and never will.
	HeaderNotStarted = header.NotStarted
	// HeaderDraining is "true" in any answer of a server that is leaving.
	HeaderDraining = "Fuchsiaspar-Draining"
	// HeaderInstance names the process of a backend server. It differs after
	// each restart.
	HeaderInstance = "Fuchsiaspar-Instance"

	headerTrue = "true"
)

// Paths that a backend server reserves for the protocol.
const (
	// ControlPath starts every reserved path.
	ControlPath = "/.well-known/fuchsiaspar/"
	// HealthPath answers a HealthAnswer to GET.
	HealthPath = ControlPath + "health"
	// AttemptsPath, followed by an attempt, answers a StateAnswer to GET and
	// cancels the attempt on DELETE.
	AttemptsPath = ControlPath + "attempts/"
)

// AttemptState is what a backend server says of an attempt.
type AttemptState string

// The states of an attempt.
const (
	// StateNotStarted means that the server does not know the attempt or has
	// refused it. In the answer to a cancellation it means that the server has
	// not started the attempt and never will.
	StateNotStarted AttemptState = "not-started"
	// StateWaiting means that the attempt has arrived and waits for its start.
	StateWaiting AttemptState = "waiting"
	// StateRunning means that the attempt runs.
	StateRunning AttemptState = "running"
	// StateStopped means that a cancellation stopped the attempt after its
	// start.
	StateStopped AttemptState = "stopped"
	// StateFinished means that the attempt ran to its end.
	StateFinished AttemptState = "finished"
)

// StateAnswer is the JSON body of the answer about an attempt.
type StateResponse struct {
	State AttemptState `json:"state"`
}

// HealthAnswer is the JSON body of the answer about a server's health.
type HealthResponse struct {
	Ready    bool    `json:"ready"`
	Draining bool    `json:"draining"`
	Load     float64 `json:"load"`
}

// outcome returns what the answer to a cancellation proves when the answering
// process is the one that the attempt was sent to.
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

// answerHeaders are between the server and this client and are not passed on.
var answerHeaders = []string{HeaderAttempt, HeaderInstance, HeaderNotStarted, HeaderDraining}

// forCaller returns a copy of the headers of an answer that its caller may see.
func forCaller(h http.Header) http.Header {
	out := header.EndToEnd(h)
	for _, name := range answerHeaders {
		delete(out, name)
	}
	return out
}
