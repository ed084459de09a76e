package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// server is a test server with or without the wrapper of this package.
type server struct {
	*httptest.Server
	handler *Handler

	mu sync.Mutex
	// served lists the requests whose handler was called, by client address.
	served map[string][]string
	stops  map[string]int
	// drops counts requests without an answer, by whether their responses were complete.
	drops  map[bool]int
	starts atomic.Int64
}

// startServer starts a server that starts GET and HEAD requests early, except under /once.
func startServer(t testing.TB, wrapped bool, handler http.HandlerFunc) *server {
	t.Helper()
	return startServerWith(t, wrapped, handler, 0)
}

// startServerWith is startServer with a limit on the time to read a request header.
func startServerWith(t testing.TB, wrapped bool, handler http.HandlerFunc, headerTimeout time.Duration) *server {
	t.Helper()
	s := &server{served: map[string][]string{}, stops: map[string]int{}, drops: map[bool]int{}}
	s.handler = NewHandler(Options{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			s.served[r.RemoteAddr] = append(s.served[r.RemoteAddr], r.Method+" "+r.RequestURI)
			s.mu.Unlock()
			handler(w, r)
		}),
		MayStart: func(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/once") },
		OnStart:  func() { s.starts.Add(1) },
		OnStop: func(reason string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.stops[reason]++
		},
		OnDrop: func(finished bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.drops[finished]++
		},
	})
	s.Server = httptest.NewUnstartedServer(s.handler)
	s.Config.ErrorLog = discardLog
	s.Config.ReadHeaderTimeout = headerTimeout
	if wrapped {
		s.handler.Configure(s.Config)
		s.Listener = s.handler.Listener(s.Listener)
	}
	s.Start()
	t.Cleanup(func() {
		if t.Failed() {
			// Close would wait for requests that the test holds.
			s.Listener.Close()
			return
		}
		s.Close()
	})
	return s
}

func (s *server) dropped(finished bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drops[finished]
}

func (s *server) stopped(reason string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stops[reason]
}

func (s *server) dial(t testing.TB) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Config.Addr+s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn.(*net.TCPConn), bufio.NewReader(conn)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func send(t testing.TB, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// receive reads one response to a GET request.
func receive(t testing.TB, reader *bufio.Reader) (status int, body string) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// receiveAll expects responses with the given bodies.
func receiveAll(t testing.TB, reader *bufio.Reader, bodies ...string) {
	t.Helper()
	for _, want := range bodies {
		if status, body := receive(t, reader); status != http.StatusOK || body != want {
			t.Errorf("got %d %q, want %q", status, body, want)
		}
	}
}

// expectEnd expects that the connection ends without further bytes.
func expectEnd(t testing.TB, reader *bufio.Reader) {
	t.Helper()
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		t.Errorf("got %q behind the last response", rest)
	}
}

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting: %s", what)
}

// gate is a handler that responds with the path of the request. Requests with "hold" in
// their path wait until they are released or cancelled.
type gate struct {
	mu       sync.Mutex
	running  map[string]bool
	released map[string]chan struct{}
	// cancelled counts requests that ended because of their context.
	cancelled atomic.Int64
}

func newGate() *gate {
	return &gate{running: map[string]bool{}, released: map[string]chan struct{}{}}
}

func (g *gate) channel(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.released[path] == nil {
		g.released[path] = make(chan struct{})
	}
	return g.released[path]
}

func (g *gate) release(path string) { close(g.channel(path)) }

func (g *gate) ran(path string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[path]
}

func (g *gate) serve(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	g.mu.Lock()
	g.running[path] = true
	g.mu.Unlock()
	if strings.Contains(path, "hold") {
		select {
		case <-g.channel(path):
		case <-r.Context().Done():
			g.cancelled.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
	if n, ok := strings.CutPrefix(path, "/size/"); ok {
		size, _ := strconv.Atoi(n)
		for range size / 1024 {
			if _, err := io.WriteString(w, strings.Repeat("x", 1024)); err != nil {
				return
			}
		}
		return
	}
	if strings.Contains(path, "close") {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, path)
}
