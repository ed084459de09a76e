package entry

import (
	"errors"
	"net/http"
	"os"

	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/model"
)

// readBody buffers the body of a request, if it is short enough, and ends the time in
// which the client can be evicted without the request having run.
func readBody(r *http.Request, q *request) *Failure {
	err := q.body.buffer()
	switch {
	case intake.IsTooSlow(err) || errors.Is(err, os.ErrDeadlineExceeded):
		return notRun(http.StatusRequestTimeout, model.ReasonTooSlow, "the request body arrives too slowly")
	case errors.Is(err, intake.ErrNoMemory) || errors.Is(err, intake.ErrEvicted):
		return noMemory()
	case err != nil:
		return notRun(http.StatusBadRequest, model.ReasonMalformed, "the request body ended early")
	case !intake.FromContext(r.Context()).Dispatched():
		return noMemory()
	}
	return nil
}

func noMemory() *Failure {
	return notRun(http.StatusServiceUnavailable, model.ReasonMemory, "the entry VM has no memory for the request; try again later")
}
