package backend

import (
	"context"
	"io"
	"net/http"
	"syscall"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// Error is the end of an attempt without a whole answer.
type Error struct {
	// Outcome is OutcomeNotRun when the server did not run the attempt and
	// never will, and OutcomeUnknown when it may have run.
	Outcome model.Outcome
	Reason  model.Reason
	// Draining says that the server told that it is leaving.
	Draining bool
	// Header holds the end-to-end headers of an answer that refused the attempt
	// before its start, nil for other ends.
	Header http.Header
	Err    error
}

// Error returns the reason, the outcome and the cause as text.
func (e *Error) Error() string {
	text := "backend: " + string(e.Reason) + " (" + e.Outcome.String() + ")"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Causes that an Error carries. Test for them with errors.Is.
var (
	// ErrConnLimit reports that the pool has no connection to spare.
	ErrConnLimit = errors.New("connection limit reached")
	// ErrClosed reports that the client has been closed.
	ErrClosed = errors.New("client closed")
	// ErrReservedPath reports a request for a path of the control protocol.
	ErrReservedPath = errors.New("reserved path")
	// ErrUnsupported reports a server without the control protocol.
	ErrUnsupported = errors.New("server does not know attempts")

	errControl        = errors.New("control request failed")
	errAbandoned      = errors.New("connection abandoned")
	errRepeat         = errors.New("repeat of a written request prevented")
	errSilent         = errors.New("connection is silent")
	errServerLost     = errors.New("server does not answer on new connections")
	errNoLength       = errors.New("answer has neither length nor chunked encoding")
	errSwitch         = errors.New("server switched protocols")
	errCallerBody     = errors.New("request body ended early")
	errNotRequestPath = errors.New("path must start with a slash")
)

// reasonOf returns the reason for a failed exchange from its error and the
// cause that its context was cancelled with.
func reasonOf(err, cause error) model.Reason {
	for _, e := range []error{cause, err} {
		if reason := knownReason(e); reason != model.ReasonNone {
			return reason
		}
	}
	return model.ReasonReset
}

func knownReason(err error) model.Reason {
	switch {
	case err == nil:
		return model.ReasonNone
	case errors.Is(err, errSilent), errors.Is(err, errServerLost):
		return model.ReasonSilentConnection
	case errors.Is(err, errRepeat):
		return model.ReasonReset
	case errors.Is(err, errCallerBody):
		return model.ReasonCallerGone
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return model.ReasonTimeout
	case errors.Is(err, context.Canceled), errors.Is(err, ErrClosed):
		return model.ReasonCancelled
	case errors.Is(err, io.ErrUnexpectedEOF):
		return model.ReasonTruncated
	default:
		return model.ReasonNone
	}
}
