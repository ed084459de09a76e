package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/model"
)

// response is the response of a backend server. Its body may still be arriving.
type response struct {
	status int
	header http.Header
	// length is the declared length of the body in bytes, negative if unknown.
	length int64
	server model.ServerID
	body   io.ReadCloser
}

// writeResponse sends resp to the caller. If the body ends early, it aborts the
// connection, so that the caller never takes the response for complete.
func (s *Server) writeResponse(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request, resp *response) {
	defer resp.body.Close()
	writeResponseHead(w, s.revision(), resp)
	body := s.rateLimited(ctx, resp.body, s.options.Region, q.region, q.priority)
	if err := copyBody(w, body, resp.length); err != nil {
		s.metrics.truncated()
		s.recordDecision(q, &Failure{Outcome: model.OutcomeRan, Reason: model.ReasonTruncated, Message: err.Error()})
		intake.Abort(r)
	}
	s.metrics.answered(q.priority)
}

func writeResponseHead(w http.ResponseWriter, revision model.Revision, resp *response) {
	h := w.Header()
	header.CopyEndToEnd(h, resp.header)
	h.Set(header.Outcome, model.OutcomeRan.String())
	h.Set(header.Revision, strconv.FormatUint(uint64(revision), 10))
	h.Set(header.Server, string(resp.server))
	if resp.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.length, 10))
	}
	w.WriteHeader(resp.status)
}

func writeFailureResponse(w http.ResponseWriter, revision model.Revision, f *Failure) {
	h := w.Header()
	h.Set(header.Outcome, f.Outcome.String())
	h.Set(header.Reason, string(f.Reason))
	h.Set(header.Revision, strconv.FormatUint(uint64(revision), 10))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if f.Outcome == model.OutcomeNotRun {
		h.Set(header.NotStarted, "true")
	}
	w.WriteHeader(f.Status)
	_, _ = io.WriteString(w, f.Outcome.String()+": "+string(f.Reason)+": "+f.Message+"\n")
}
