package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"
)

// answer is a backend server's answer whose body may still be arriving.
type answer struct {
	status int
	header http.Header
	// length is the declared length of the body, negative when unknown.
	length int64
	server model.ServerID
	body   io.ReadCloser
}

// answer sends a to the caller. A body that ends early aborts the connection,
// so that it never looks complete.
func (s *Server) answer(ctx context.Context, w http.ResponseWriter, q *request, a *answer) {
	defer a.body.Close()
	writeHead(w, s.revision(), a)
	body := s.paced(ctx, a.body, s.options.Region, q.region, q.priority)
	if err := transfer(w, body, a.length); err != nil {
		s.meter.truncated()
		s.record(q, &Failure{Outcome: model.OutcomeRan, Reason: model.ReasonTruncated, Message: err.Error()})
		panic(http.ErrAbortHandler)
	}
	s.meter.answered(q.priority)
}

func writeHead(w http.ResponseWriter, revision model.Revision, a *answer) {
	h := w.Header()
	header.CopyEndToEnd(h, a.header)
	h.Set(header.Outcome, model.OutcomeRan.String())
	h.Set(header.Revision, strconv.FormatUint(uint64(revision), 10))
	h.Set(header.Server, string(a.server))
	if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
}

func writeFailure(w http.ResponseWriter, revision model.Revision, f *Failure) {
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
