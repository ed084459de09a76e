package pipeline

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errDropped is the error of writing the response to a request that is not answered.
var errDropped = errors.New("pipeline: the connection ends before the response")

// started is a request that was started before net/http read it. It is the response
// writer of its handler: it holds the response until net/http calls the handler for the
// same request, and forwards what is written after that.
type started struct {
	conn *Conn
	// offset is the position of the request in the stream.
	offset  int64
	request *http.Request
	cancel  context.CancelFunc
	// release is called when the request has been answered or dropped.
	release func()
	// held is the number of bytes reserved for the response, guarded by conn.mu.
	held int

	mu sync.Mutex
	// target is the writer of net/http, once attached is closed.
	target   http.ResponseWriter
	attached chan struct{}
	// dropped is closed if net/http will not call the handler for the request.
	dropped chan struct{}
	// header belongs to the handler; sent is its copy when the status was written.
	header, sent  http.Header
	status        int
	body          []byte
	flushed       bool
	writeDeadline time.Time

	// done is closed when the handler has returned. panicked is what it panicked with.
	done     chan struct{}
	panicked any
}

// MayClose reports whether the response to r may close its connection: no request has been
// started behind it. After StopStarting, none will be.
func MayClose(w http.ResponseWriter, r *http.Request) bool {
	if IsStarted(w) {
		// Others may have been started behind this one.
		return false
	}
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead.queue) == 0
}

// IsStarted reports whether w is the response writer of a request that was started before
// the previous response of its connection.
func IsStarted(w http.ResponseWriter) bool {
	_, ok := w.(*started)
	return ok
}

// run calls the handler. A panic is repeated by answer.
func (s *started) run() {
	defer close(s.done)
	defer func() { s.panicked = recover() }()
	s.conn.handler.opts.Handler.ServeHTTP(s, s.request)
}

// finished reports whether the handler has returned.
func (s *started) finished() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// answer sends the response, when net/http has called the handler for the same request.
func (s *started) answer(w http.ResponseWriter, r *http.Request) {
	stop := context.AfterFunc(r.Context(), s.cancel)
	defer stop()
	defer s.cancel()
	s.attach(w)
	<-s.done
	if s.panicked != nil {
		panic(s.panicked)
	}
	// For a handler that wrote nothing, and for trailers.
	maps.Copy(w.Header(), s.header)
}

// attach sends what is held, and lets the handler write to w from now on.
func (s *started) attach(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(s.attached)
	if !s.writeDeadline.IsZero() {
		at := time.Now().Add(minWriteTime)
		if s.writeDeadline.After(at) {
			at = s.writeDeadline
		}
		// If this fails, the connection has failed, which the write shows.
		_ = http.NewResponseController(w).SetWriteDeadline(at)
	}
	s.target = w
	if s.status != 0 {
		maps.Copy(w.Header(), s.sent)
		w.WriteHeader(s.status)
	}
	if len(s.body) > 0 {
		// After an error, later writes fail as well, and net/http closes the connection.
		_, _ = w.Write(s.body)
	}
	s.body = nil
	if s.flushed {
		_ = http.NewResponseController(w).Flush()
	}
	s.conn.unreserve(s)
}

// Header implements http.ResponseWriter.
func (s *started) Header() http.Header { return s.header }

// WriteHeader implements http.ResponseWriter. Informational responses are not held.
func (s *started) WriteHeader(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeHeader(status)
}

// writeHeader is WriteHeader with s.mu locked.
func (s *started) writeHeader(status int) {
	if s.status == 0 {
		if status >= http.StatusOK {
			s.status = status
		}
		if s.target != nil {
			maps.Copy(s.target.Header(), s.header)
		} else if s.status != 0 {
			s.sent = s.header.Clone()
		}
	}
	if s.target != nil {
		s.target.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter. It waits for the request's turn if the connection
// holds too much already.
func (s *started) Write(p []byte) (int, error) {
	s.mu.Lock()
	if s.status == 0 {
		s.writeHeader(http.StatusOK)
	}
	if s.target == nil {
		switch {
		case s.status == http.StatusNoContent || s.status == http.StatusNotModified:
			s.mu.Unlock()
			if len(p) == 0 {
				return 0, nil
			}
			return 0, http.ErrBodyNotAllowed
		case s.conn.reserve(s, len(p)):
			s.body = append(s.body, p...)
			s.mu.Unlock()
			return len(p), nil
		}
	}
	s.mu.Unlock()
	if err := s.awaitTurn(); err != nil {
		return 0, err
	}
	return s.target.Write(p)
}

// awaitTurn waits until net/http calls the handler for the request. Like a write to a
// plain connection, it doesn't end with the context of the request. That ends the current
// request as well, and then the turn comes or the connection is closed.
func (s *started) awaitTurn() error {
	select {
	case <-s.attached:
		return nil
	case <-s.dropped:
		return errDropped
	}
}

// FlushError implements the method that http.ResponseController looks for. What is held
// can't be sent yet.
func (s *started) FlushError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status == 0 {
		s.writeHeader(http.StatusOK)
	}
	if s.target == nil {
		s.flushed = true
		return nil
	}
	return http.NewResponseController(s.target).Flush()
}

// SetWriteDeadline implements the method that http.ResponseController looks for. The
// deadline is set when the response is sent.
func (s *started) SetWriteDeadline(at time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.target == nil {
		s.writeDeadline = at
		return nil
	}
	return http.NewResponseController(s.target).SetWriteDeadline(at)
}
