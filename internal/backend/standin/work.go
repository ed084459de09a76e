package standin

import (
	"context"
	"encoding/base64"
	"hash"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/background"
)

const (
	// HeaderOrder is the order ID of a request, echoed in the response. Retries
	// of a request carry the same ID.
	HeaderOrder = "Order-Id"
	// HeaderDigest is the digest of a response body, in a header or a trailer.
	HeaderDigest = "Content-Digest"

	defaultAnswerBytes = 64
	blockBytes         = 64 << 10
)

// Values of the query parameter "fault", which injects a fault into one response.
const (
	FaultTruncate    = "truncate"     // the body ends before its declared length
	FaultCrossed     = "crossed"      // the response echoes another attempt ID
	FaultResetBefore = "reset-before" // the connection is lost before the run
	FaultResetAfter  = "reset-after"  // the connection is lost after the run
	FaultNoLength    = "no-length"    // the body is delimited by the end of the connection
	FaultEarly       = "early"        // the response begins before the request body is read, and ends with its digest
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Digest reads r to its end and returns the value of HeaderDigest for it.
func Digest(r io.Reader) (string, error) {
	sum := crc32.New(castagnoli)
	_, err := io.Copy(sum, r)
	return digestOf(sum), err
}

func digestOf(sum hash.Hash) string {
	return "crc32c=:" + base64.StdEncoding.EncodeToString(sum.Sum(nil)) + ":"
}

// work handles one application request: it waits for a slot, runs and responds.
func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(backend.HeaderAttempt)
	ctx, cancel := withDeadline(r)
	defer cancel()
	s.setResponseHeaders(w, r, id)
	if r.FormValue("fault") == FaultResetBefore {
		panic(http.ErrAbortHandler)
	}
	if !s.register(id, cancel) || s.rejectLate() {
		s.shed(w, id)
		return
	}
	if r.FormValue("fault") == FaultEarly {
		answerEarly(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if !s.acquireSlot(ctx) {
		s.shed(w, id)
		return
	}
	defer func() { <-s.slots }()
	s.listener.gate.wait()
	run, ok := s.startRun(id, r.Header.Get(HeaderOrder))
	if !ok {
		s.shed(w, id)
		return
	}
	if !sleep(ctx, s.serviceTime(r.URL.Path, run)) {
		s.endRun(id, backend.StateStopped)
		panic(http.ErrAbortHandler)
	}
	if r.FormValue("fault") == FaultResetAfter {
		s.endRun(id, backend.StateFinished)
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r)
	s.endRun(id, backend.StateFinished)
}

// answerEarly writes a part of the response, reads the request body, and ends the
// response with its digest.
func answerEarly(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.EnableFullDuplex() != nil || writeContent(w, r.Header.Get(HeaderOrder), blockBytes) != nil || control.Flush() != nil {
		panic(http.ErrAbortHandler)
	}
	digest, err := Digest(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// A write error means that the caller disconnected.
	_, _ = io.WriteString(w, digest)
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(backend.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func (s *Server) setResponseHeaders(w http.ResponseWriter, r *http.Request, id string) {
	switch {
	case s.opts.Plain:
	case r.FormValue("fault") == FaultCrossed:
		w.Header().Set(backend.HeaderAttempt, id+"-other")
	default:
		w.Header().Set(backend.HeaderAttempt, id)
	}
	w.Header().Set(HeaderOrder, r.Header.Get(HeaderOrder))
}

// rejectLate reports whether a request arrived after the grace period of a drain,
// and counts it.
func (s *Server) rejectLate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainAt.IsZero() || time.Since(s.drainAt) < s.opts.DrainGrace {
		return false
	}
	s.counts.Late++
	return true
}

func (s *Server) shed(w http.ResponseWriter, id string) {
	s.reject(id)
	w.Header().Set(backend.HeaderNotStarted, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// acquireSlot waits for a slot in a bounded queue. It returns false if the queue is
// full or ctx ends.
func (s *Server) acquireSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if !s.enqueue() {
		return false
	}
	defer s.dequeue()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= queuePerSlot*s.opts.Slots {
		return false
	}
	s.waiting++
	return true
}

func (s *Server) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// serviceTime returns the duration of a run; run is its number, counted from zero.
func (s *Server) serviceTime(path string, run int) time.Duration {
	base := s.opts.ServiceTime(path)
	if run >= s.opts.ColdWork || s.opts.ColdFactor <= 1 {
		return base
	}
	cold := 1 - float64(run)/float64(s.opts.ColdWork)
	return time.Duration(float64(base) * (1 + (s.opts.ColdFactor-1)*cold))
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return background.Sleep(ctx, d)
}

// answer writes a response body of the size given by the query parameter "bytes".
// With "chunked", no length is declared and the digest is sent as a trailer.
func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.FormValue("bytes"), 10, 64)
	if err != nil {
		size = defaultAnswerBytes
	}
	order, fault := r.Header.Get(HeaderOrder), r.FormValue("fault")
	sum := crc32.New(castagnoli)
	_ = writeContent(sum, order, size)
	switch {
	case r.FormValue("chunked") != "":
		w.Header().Set("Trailer", HeaderDigest)
		defer w.Header().Set(HeaderDigest, digestOf(sum))
	case fault == FaultNoLength:
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity")
	default:
		w.Header().Set(HeaderDigest, digestOf(sum))
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	if fault == FaultTruncate {
		_ = writeContent(w, order, size/2)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_ = writeContent(w, order, size)
}
