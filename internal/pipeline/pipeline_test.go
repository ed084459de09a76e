package pipeline

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

var discardLog = log.New(io.Discard, "", 0)

// Guards against a slow request that delays the start of those behind it, and against
// responses in another order than the requests.
func TestRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	for _, parts := range []string{"in one piece", "one by one"} {
		t.Run(parts, func(t *testing.T) {
			g := newGate()
			s := startServer(t, true, g.serve)
			conn, reader := s.dial(t)
			requests := []string{get("/hold"), get("/a"), get("/hold-2"), get("/b")}
			if parts == "in one piece" {
				requests = []string{strings.Join(requests, "")}
			}
			for _, request := range requests {
				send(t, conn, request)
				time.Sleep(10 * time.Millisecond)
			}
			eventually(t, "all run", func() bool { return g.ran("/a") && g.ran("/hold-2") && g.ran("/b") })
			if got := s.handler.Pending(); got != 3 {
				t.Errorf("%d requests wait for their turn, want 3", got)
			}
			g.release("/hold-2")
			g.release("/hold")
			receiveAll(t, reader, "/hold", "/a", "/hold-2", "/b")
			if got := s.handler.Pending(); got != 0 {
				t.Errorf("%d requests wait for their turn after all have been answered", got)
			}
			send(t, conn, get("/later"))
			receiveAll(t, reader, "/later")
		})
	}
}

// Guards against a request that may run only once and starts while others run, and against
// requests that start while it runs.
func TestRequestThatMayRunOnlyOnceRunsAlone(t *testing.T) {
	for _, once := range []string{get("/once/hold"), post("/once/hold", "body"), post("/hold", "0123456789"), post("/hold", "")} {
		g := newGate()
		s := startServer(t, true, g.serve)
		conn, reader := s.dial(t)
		path := strings.Fields(once)[1]
		send(t, conn, get("/hold-1")+get("/a")+once+get("/hold-2")+get("/b"))
		eventually(t, "the next one runs", func() bool { return g.ran("/a") })
		time.Sleep(20 * time.Millisecond)
		if g.ran(path) || g.ran("/hold-2") {
			t.Errorf("%q: a request ran too early", once)
		}
		g.release("/hold-1")
		receiveAll(t, reader, "/hold-1", "/a")
		eventually(t, "its turn", func() bool { return g.ran(path) })
		time.Sleep(20 * time.Millisecond)
		if g.ran("/hold-2") {
			t.Errorf("%q: a request ran behind one that may run only once", once)
		}
		g.release(path)
		eventually(t, "those behind it run concurrently", func() bool { return g.ran("/b") })
		g.release("/hold-2")
		receiveAll(t, reader, path, "/hold-2", "/b")
	}
}

// Guards against a connection that never reads ahead again after a chunked body.
func TestReadingAheadResumesBehindAChunkedBody(t *testing.T) {
	g := newGate()
	s := startServer(t, true, g.serve)
	conn, reader := s.dial(t)
	send(t, conn, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"+get("/b"))
	receiveAll(t, reader, "/a", "/b")
	time.Sleep(10 * time.Millisecond)
	send(t, conn, get("/hold")+get("/c"))
	eventually(t, "the next one runs", func() bool { return g.ran("/c") })
	g.release("/hold")
	receiveAll(t, reader, "/hold", "/c")
}

// Guards against requests that are served although the client had ended the connection
// before them.
func TestNothingIsStartedBehindAClosingRequest(t *testing.T) {
	g := newGate()
	s := startServer(t, true, g.serve)
	conn, reader := s.dial(t)
	send(t, conn, get("/hold")+"GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+get("/behind"))
	eventually(t, "the first one runs", func() bool { return g.ran("/hold") })
	time.Sleep(20 * time.Millisecond)
	g.release("/hold")
	receiveAll(t, reader, "/hold", "/last")
	expectEnd(t, reader)
	if g.ran("/behind") {
		t.Error("a request behind the one that closes the connection ran")
	}
}

// Guards against started requests that go on running, or are answered, behind a response
// that closes the connection.
func TestRequestsBehindAClosingResponseAreCancelled(t *testing.T) {
	g := newGate()
	s := startServer(t, true, g.serve)
	conn, reader := s.dial(t)
	send(t, conn, get("/hold-close")+get("/hold-2")+get("/hold-3"))
	eventually(t, "all run", func() bool { return g.ran("/hold-3") })
	g.release("/hold-close")
	receiveAll(t, reader, "/hold-close")
	expectEnd(t, reader)
	eventually(t, "the others are cancelled", func() bool { return g.cancelled.Load() == 2 && s.handler.Pending() == 0 })
}

// Guards against finished responses that are dropped without a trace.
func TestDroppedRequestsAreReported(t *testing.T) {
	g := newGate()
	s := startServer(t, true, g.serve)
	conn, reader := s.dial(t)
	send(t, conn, get("/hold-close")+get("/a")+get("/hold-3"))
	eventually(t, "all run", func() bool { return g.ran("/hold-3") })
	// The second one ends on its own.
	time.Sleep(50 * time.Millisecond)
	g.release("/hold-close")
	receiveAll(t, reader, "/hold-close")
	expectEnd(t, reader)
	eventually(t, "one finished and one unfinished request reported", func() bool { return s.dropped(true) == 1 && s.dropped(false) == 1 })
}

// Guards against requests that occupy servers after their client has disconnected.
func TestAllRequestsAreCancelledWhenTheClientDisconnects(t *testing.T) {
	g := newGate()
	s := startServer(t, true, g.serve)
	conn, _ := s.dial(t)
	send(t, conn, get("/hold-1"))
	eventually(t, "the first one runs", func() bool { return g.ran("/hold-1") })
	send(t, conn, get("/hold-2")+get("/hold-3"))
	eventually(t, "all run", func() bool { return g.ran("/hold-3") })
	conn.Close()
	eventually(t, "all are cancelled", func() bool { return g.cancelled.Load() == 3 && s.handler.Pending() == 0 })
}

// Guards against a graceful shutdown that leaves started requests without a response.
func TestShutdownAnswersStartedRequests(t *testing.T) {
	g := newGate()
	s := startServer(t, true, g.serve)
	conn, reader := s.dial(t)
	send(t, conn, get("/hold-1")+get("/hold-2"))
	eventually(t, "both run", func() bool { return g.ran("/hold-2") })
	stopped := make(chan error, 1)
	go func() {
		s.handler.Drain(context.Background())
		stopped <- s.Config.Shutdown(context.Background())
	}()
	eventually(t, "draining", s.handler.draining.Load)
	send(t, conn, get("/late"))
	time.Sleep(20 * time.Millisecond)
	if g.ran("/late") {
		t.Error("a request was started early while draining")
	}
	g.release("/hold-1")
	receiveAll(t, reader, "/hold-1")
	g.release("/hold-2")
	receiveAll(t, reader, "/hold-2")
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against an aborted response that the client takes for complete.
func TestAbortEndsTheConnection(t *testing.T) {
	g := newGate()
	s := startServer(t, true, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "abc")
			panic(http.ErrAbortHandler)
		}
		g.serve(w, r)
	})
	conn, reader := s.dial(t)
	send(t, conn, get("/hold")+get("/abort")+get("/behind"))
	eventually(t, "all run", func() bool { return g.ran("/behind") })
	g.release("/hold")
	receiveAll(t, reader, "/hold")
	resp, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	if err == nil {
		t.Error("the aborted response looks complete")
	}
}

// Guards against a response that is held without bound before its turn, and against one
// that is lost because it is larger than the bound.
func TestLargeResponsesWaitForTheirTurn(t *testing.T) {
	g := newGate()
	var written atomic.Int64
	s := startServer(t, true, func(w http.ResponseWriter, r *http.Request) {
		if !IsStarted(w) {
			g.serve(w, r)
			return
		}
		g.serve(countingWriter{w, &written}, r)
	})
	conn, reader := s.dial(t)
	const size = 1 << 20
	send(t, conn, get("/hold")+get(fmt.Sprint("/size/", size))+get(fmt.Sprint("/size/", size))+get("/a"))
	eventually(t, "the bound is reached", func() bool { return written.Load() > maxHeldBytes-2048 })
	time.Sleep(20 * time.Millisecond)
	if got := written.Load(); got > maxHeldBytes {
		t.Errorf("%d bytes are held, want at most %d", got, maxHeldBytes)
	}
	g.release("/hold")
	receiveAll(t, reader, "/hold", strings.Repeat("x", size), strings.Repeat("x", size), "/a")
}

type countingWriter struct {
	http.ResponseWriter
	written *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.written.Add(int64(n))
	return n, err
}

// Guards against one connection that occupies any number of slots or any amount of memory.
func TestPipelinedFlood(t *testing.T) {
	const requests = 400
	g := newGate()
	s := startServer(t, true, g.serve)
	conn, reader := s.dial(t)
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, get("/hold")+strings.Repeat(get("/hold-behind?"+strings.Repeat("q", 200)), requests))
		sent <- err
	}()
	eventually(t, "the bound is reported", func() bool { return s.stopped(StopCount) > 0 })
	time.Sleep(50 * time.Millisecond)
	if got := s.starts.Load(); got != maxStarted {
		t.Errorf("%d requests were started, want %d", got, maxStarted)
	}
	g.release("/hold-behind")
	g.release("/hold")
	receiveAll(t, reader, "/hold")
	for range requests {
		receiveAll(t, reader, "/hold-behind")
	}
	if err := <-sent; err != nil {
		t.Error(err)
	}
	other, otherReader := s.dial(t)
	send(t, other, get("/a"))
	receiveAll(t, otherReader, "/a")
}

// Guards against a burst that fills the buffer before the handler of its first request is
// called, after which nothing would be started until the next request.
func TestRequestsAreStartedWhenNetHTTPHasTheFirstByte(t *testing.T) {
	server := startServer(t, true, func(http.ResponseWriter, *http.Request) {})
	for _, handed := range []bool{false, true} {
		conn, _ := server.dial(t)
		c := &Conn{handler: server.handler, base: context.Background(), TCPConn: conn}
		first := get("/a")
		if n := c.deliver([]byte(first)); n != len(first) {
			t.Fatalf("delivered %d bytes", n)
		}
		behind := get("/b") + get("/c")
		if handed {
			c.handed, behind = behind[0], behind[1:]
			c.position++
		}
		c.buf.append([]byte(behind))
		c.begin(parsed(t, first))
		if len(c.ahead.queue) != 2 || c.ahead.queue[0].request.URL.Path != "/b" || c.ahead.queue[1].offset != int64(len(first)+len(get("/b"))) {
			t.Errorf("first byte handed %v: %d requests were started, want 2", handed, len(c.ahead.queue))
		}
		c.finish(nil, true)
	}
}

// Guards against a head without an end that is collected without bound or never refused.
func TestEndlessHeadIsLeftToNetHTTP(t *testing.T) {
	g := newGate()
	s := startServer(t, true, g.serve)
	conn, reader := s.dial(t)
	send(t, conn, get("/hold"))
	go func() {
		_, _ = io.WriteString(conn, "GET /b HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 2*http.DefaultMaxHeaderBytes))
	}()
	eventually(t, "the bound is reported", func() bool { return s.stopped(StopBytes) > 0 })
	g.release("/hold")
	receiveAll(t, reader, "/hold")
	if status, _ := receive(t, reader); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %d for a head over the limit", status)
	}
}

// Guards against a started request whose response goes to another request.
func TestAnotherRequestCancelsTheStartedOne(t *testing.T) {
	for _, tt := range []struct {
		desc  string
		start int64
		head  string
		taken bool
	}{
		{"same", 7, get("/a"), true},
		{"another position", 8, get("/a"), false},
		{"another path", 7, get("/b"), false},
		{"another header", 7, "GET /a HTTP/1.1\r\nHost: h\r\nX: 1\r\n\r\n", false},
		{"another host", 7, "GET /a HTTP/1.1\r\nHost: i\r\n\r\n", false},
		{"another method", 7, "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n", false},
	} {
		started := &started{release: func() {}, offset: 7, request: parsed(t, get("/a")), cancel: func() {}, dropped: make(chan struct{})}
		c := &Conn{handler: NewHandler(Options{OnDrop: func(bool) {}}), headStart: tt.start}
		c.handler.pending.Store(1)
		c.ahead.queue = append(c.ahead.queue, started)
		if got := c.takeStarted(parsed(t, tt.head)); (got == started) != tt.taken {
			t.Errorf("%s: taken %v, want %v", tt.desc, got != nil, tt.taken)
		}
		if c.handler.Pending() != 0 || len(c.ahead.queue) != 0 {
			t.Errorf("%s: the request is still pending", tt.desc)
		}
	}
}

func parsed(t *testing.T, head string) *http.Request {
	t.Helper()
	r, ok := parseHead([]byte(head))
	if !ok {
		t.Fatalf("not accepted: %q", head)
	}
	return r
}

// Guards against deadlines that don't hold for bytes that were read ahead.
func TestHeaderTimeoutOfAnIncompleteHeadThatWasReadAhead(t *testing.T) {
	var ends []string
	for _, wrapped := range []bool{false, true} {
		g := newGate()
		s := startServerWith(t, wrapped, g.serve, 100*time.Millisecond)
		conn, reader := s.dial(t)
		send(t, conn, get("/hold"))
		eventually(t, "it runs", func() bool { return g.ran("/hold") })
		send(t, conn, "GET /b HTTP/1.1\r\nHo")
		time.Sleep(20 * time.Millisecond)
		g.release("/hold")
		receiveAll(t, reader, "/hold")
		rest, err := io.ReadAll(reader)
		if err != nil {
			t.Errorf("wrapped %v: the connection stays open: %v", wrapped, err)
		}
		ends = append(ends, string(rest))
	}
	if ends[0] != ends[1] {
		t.Errorf("got %q, want %q", ends[1], ends[0])
	}
}

// Guards against a write deadline that was set before the turn and cuts the response off.
func TestHeldResponseHasTimeToBeSent(t *testing.T) {
	g := newGate()
	s := startServer(t, true, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(30 * time.Millisecond))
		if !IsStarted(w) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		}
		g.serve(w, r)
	})
	conn, reader := s.dial(t)
	send(t, conn, get("/hold")+get("/a")+get("/b"))
	eventually(t, "all run", func() bool { return g.ran("/b") })
	time.Sleep(60 * time.Millisecond)
	g.release("/hold")
	receiveAll(t, reader, "/hold", "/a", "/b")
}
