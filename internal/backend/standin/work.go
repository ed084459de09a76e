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
	// HeaderOrder names the order that a request stands for; it is echoed.
	HeaderOrder = "Order-Id"
	// HeaderDigest is the digest of an answer, in a header or a trailer.
	HeaderDigest = "Content-Digest"

	defaultAnswerBytes = 64
	blockBytes         = 64 << 10
)

// Values of the query parameter "fault", which spoils one answer.
const (
	FaultTruncate    = "truncate"     // the body ends before its declared length
	FaultCrossed     = "crossed"      // the answer names another attempt
	FaultResetBefore = "reset-before" // the connection is lost before the run
	FaultResetAfter  = "reset-after"  // the connection is lost after the run
	FaultNoLength    = "no-length"    // the end of the body is the end of the connection
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

// work handles one request: it waits for a slot, runs and answers.
func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(backend.HeaderAttempt)
	ctx, cancel := withDeadline(r)
	defer cancel()
	s.echo(w, r, id)
	if r.FormValue("fault") == FaultResetBefore {
		panic(http.ErrAbortHandler)
	}
	if !s.arrive(id, cancel) || s.tooLate() {
		s.shed(w, id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if !s.takeSlot(ctx) {
		s.shed(w, id)
		return
	}
	defer func() { <-s.slots }()
	s.listener.gate.wait()
	run, ok := s.begin(id, r.Header.Get(HeaderOrder))
	if !ok {
		s.shed(w, id)
		return
	}
	if !sleep(ctx, s.serviceTime(r.URL.Path, run)) {
		s.end(id, backend.StateStopped)
		panic(http.ErrAbortHandler)
	}
	if r.FormValue("fault") == FaultResetAfter {
		s.end(id, backend.StateFinished)
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r)
	s.end(id, backend.StateFinished)
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(backend.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func (s *Server) echo(w http.ResponseWriter, r *http.Request, id string) {
	switch {
	case s.opts.Plain:
	case r.FormValue("fault") == FaultCrossed:
		w.Header().Set(backend.HeaderAttempt, id+"-other")
	default:
		w.Header().Set(backend.HeaderAttempt, id)
	}
	w.Header().Set(HeaderOrder, r.Header.Get(HeaderOrder))
}

// tooLate counts and refuses requests after the grace of a drain.
func (s *Server) tooLate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainAt.IsZero() || time.Since(s.drainAt) < s.opts.DrainGrace {
		return false
	}
	s.counts.Late++
	return true
}

func (s *Server) shed(w http.ResponseWriter, id string) {
	s.seal(id)
	w.Header().Set(backend.HeaderNotStarted, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// takeSlot waits for a slot in a short queue.
func (s *Server) takeSlot(ctx context.Context) bool {
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

// serviceTime returns the time of the run with a number, counted from zero.
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

// answer writes as many bytes as the query parameter "bytes" asks for. With
// "chunked" the length is not declared and the digest is a trailer.
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
