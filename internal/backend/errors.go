package backend

import (
	"context"
	"io"
	"net/http"
	"syscall"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// Error describes an attempt that ended without a complete response.
type Error struct {
	// Outcome is OutcomeNotRun if the server did not execute the attempt and
	// never will, and OutcomeUnknown if it may have executed it.
	Outcome model.Outcome
	Reason  model.Reason
	// Draining is set if the server announced that it is draining.
	Draining bool
	// Header holds the end-to-end headers of a response that refused the attempt
	// before execution, and is nil otherwise.
	Header http.Header
	Err    error
}

// Error formats the reason, the outcome and the cause.
func (e *Error) Error() string {
	text := "backend: " + string(e.Reason) + " (" + e.Outcome.String() + ")"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Causes that an Error wraps. Test for them with errors.Is.
var (
	// ErrConnLimit reports that all connections to the server are in use.
	ErrConnLimit = errors.New("connection limit reached")
	// ErrClosed reports that the client is closed.
	ErrClosed = errors.New("client closed")
	// ErrReservedPath reports a request path that belongs to the control protocol.
	ErrReservedPath = errors.New("reserved path")
	// ErrUnsupported reports a server without the control protocol.
	ErrUnsupported = errors.New("server does not know attempts")

	errControl        = errors.New("control request failed")
	errAbandoned      = errors.New("connection abandoned")
	errRetryPrevented = errors.New("repeat of a written request prevented")
	errSilent         = errors.New("connection is silent")
	errServerLost     = errors.New("server does not answer on new connections")
	errNoLength       = errors.New("answer has neither length nor chunked encoding")
	errInvalidStatus  = errors.New("server responded with an invalid status")
	errInvalidField   = errors.New("server responded with an invalid field name")
	errTooManyFields  = errors.New("server responded with too many fields")
	errProtocolSwitch = errors.New("server switched protocols")
	errRequestBody    = errors.New("request body ended early")
	errInvalidPath    = errors.New("path must start with a slash")
)

// reasonOf returns the reason of a failed exchange. The cancellation cause of its
// context takes precedence over err; other errors count as a connection reset.
func reasonOf(err, cause error) model.Reason {
	for _, e := range []error{cause, err} {
		if reason := classifyError(e); reason != model.ReasonNone {
			return reason
		}
	}
	return model.ReasonReset
}

func classifyError(err error) model.Reason {
	switch {
	case err == nil:
		return model.ReasonNone
	case errors.Is(err, errSilent), errors.Is(err, errServerLost):
		return model.ReasonSilentConnection
	case errors.Is(err, errRetryPrevented):
		return model.ReasonReset
	case errors.Is(err, errRequestBody):
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
