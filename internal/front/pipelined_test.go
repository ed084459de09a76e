package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/platform"
)

// awaited is a behaviour that responds with the request's id once the request has been
// released.
type awaited struct {
	arrived   chan string
	cancelled chan string
	release   chan struct{}
}

func newAwaited() *awaited {
	return &awaited{arrived: make(chan string, 64), cancelled: make(chan string, 64), release: make(chan struct{})}
}

func (a *awaited) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	a.arrived <- id
	if strings.Contains(r.URL.Path, "slow") {
		select {
		case <-a.release:
		case <-r.Context().Done():
			a.cancelled <- id
			return
		}
	}
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderSeal, "seal")
	_, _ = io.WriteString(w, id)
}

// arrivals waits for n requests at the server.
func (a *awaited) arrivals(t *testing.T, n int) map[string]bool {
	t.Helper()
	return collect(t, a.arrived, n)
}

func collect(t *testing.T, from <-chan string, n int) map[string]bool {
	t.Helper()
	ids := map[string]bool{}
	for range n {
		select {
		case id := <-from:
			ids[id] = true
		case <-time.After(10 * time.Second):
			t.Fatalf("got only %v", ids)
		}
	}
	return ids
}

func pipelinedRequest(method, path, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 5000\r\n\r\n",
		method, path, platform.HeaderRequestID, id, platform.HeaderDeadline)
}

func dialFront(t *testing.T, front *httptest.Server, requests ...string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, strings.Join(requests, "")); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func expectResponses(t *testing.T, reader *bufio.Reader, ids ...string) {
	t.Helper()
	for _, id := range ids {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response to %s: %v", id, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK || string(body) != id || resp.Header.Get(platform.HeaderRequestID) != id {
			t.Errorf("got %d %q of %q, %v, want %q", resp.StatusCode, body, resp.Header.Get(platform.HeaderRequestID), err, id)
		}
	}
}

// Guards against a slow read that delays the start of the reads behind it, and against an
// order that starts before all requests ahead of it are answered.
func TestPipelinedReadsRunConcurrentlyAndOrdersAlone(t *testing.T) {
	a := newAwaited()
	front, _ := newFrontWithTimeout(t, 5*time.Second, a.serve)
	_, reader := dialFront(t, front, pipelinedRequest("GET", "/read/slow", "1"), pipelinedRequest("GET", "/read/a", "2"),
		pipelinedRequest("GET", "/read/b", "3"), pipelinedRequest("GET", "/order/slow", "4"), pipelinedRequest("GET", "/read/c", "5"))
	if ids := a.arrivals(t, 3); !ids["1"] || !ids["2"] || !ids["3"] {
		t.Errorf("at first %v reached the server", ids)
	}
	time.Sleep(20 * time.Millisecond)
	if len(a.arrived) > 0 {
		t.Errorf("request %s reached the server too early", <-a.arrived)
	}
	close(a.release)
	expectResponses(t, reader, "1", "2", "3", "4", "5")
}

// Guards against a gap in a streamed body behind a request that was started early, and
// against bytes of the body that are taken for requests.
func TestUploadBehindPipelinedReads(t *testing.T) {
	a := newAwaited()
	front, b := newFrontWithTimeout(t, 5*time.Second, a.serve)
	body := strings.Repeat(pipelinedRequest("GET", "/read/in-body", "x"), (maxBufferedBody*2)/100)
	upload := strings.Replace(pipelinedRequest("POST", "/order/a", "3"), "\r\n\r\n", fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", len(body)), 1)
	conn, reader := dialFront(t, front, pipelinedRequest("GET", "/read/slow", "1"), pipelinedRequest("GET", "/read/a", "2"))
	a.arrivals(t, 2)
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, upload+body+pipelinedRequest("GET", "/read/a", "4"))
		sent <- err
	}()
	close(a.release)
	expectResponses(t, reader, "1", "2", "3", "4")
	if err := <-sent; err != nil {
		t.Error(err)
	}
	if got := b.count("x"); got != 0 {
		t.Errorf("%d requests within the body reached a server", got)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.longestBody != len(body) {
		t.Errorf("the server got %d bytes of %d", b.longestBody, len(body))
	}
}

// Guards against work that goes on at the servers for a client that has left.
func TestPipelinedReadsAreCancelledWhenTheClientLeaves(t *testing.T) {
	a := newAwaited()
	front, _ := newFrontWithTimeout(t, 5*time.Second, a.serve)
	conn, _ := dialFront(t, front, pipelinedRequest("GET", "/read/slow", "1"), pipelinedRequest("GET", "/read/slow", "2"))
	a.arrivals(t, 2)
	conn.Close()
	collect(t, a.cancelled, 2)
}

// Guards against a planned stop that closes a connection before it has answered what it
// has started, or forwards what follows a response that closes the connection.
func TestPlannedStopAnswersPipelinedReads(t *testing.T) {
	a := newAwaited()
	front, _ := newFrontWithTimeout(t, 5*time.Second, a.serve)
	server, ok := front.Config.Handler.(*Server)
	if !ok {
		t.Fatal("another handler")
	}
	conn, reader := dialFront(t, front, pipelinedRequest("GET", "/read/slow", "1"), pipelinedRequest("GET", "/read/slow", "2"))
	a.arrivals(t, 2)
	if got := server.ActiveRequests(); got != 2 {
		t.Errorf("%d active requests, want 2", got)
	}
	stopped := make(chan error, 1)
	go func() {
		server.FinishStarted(context.Background())
		stopped <- front.Config.Shutdown(context.Background())
	}()
	for !server.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	if _, err := io.WriteString(conn, pipelinedRequest("GET", "/read/a", "3")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if len(a.arrived) > 0 {
		t.Error("a request was started early while draining")
	}
	close(a.release)
	expectResponses(t, reader, "1", "2")
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	// The connection may end before the third one, which must not reach a server then.
	if rest, _ := io.ReadAll(reader); (len(rest) > 0) != (len(a.arrived) > 0) {
		t.Errorf("%d requests reached a server behind the responses, and the client got %q", len(a.arrived), rest)
	}
}

// Guards against a deadline that begins only when the responses ahead have been sent.
func TestDeadlineOfAPipelinedReadRunsFromItsArrival(t *testing.T) {
	a := newAwaited()
	front, _ := newFrontWithTimeout(t, 5*time.Second, a.serve)
	short := strings.Replace(pipelinedRequest("GET", "/read/slow", "2"), "5000", "300", 1)
	_, reader := dialFront(t, front, pipelinedRequest("GET", "/read/slow", "1"), short)
	if ids := collect(t, a.cancelled, 1); !ids["2"] {
		t.Errorf("%v ended first", ids)
	}
	close(a.release)
	expectResponses(t, reader, "1")
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got %v, %v, want 504", resp, err)
	}
}

// Guards against one log line for each request of a client that reaches a bound.
func TestLinesAboutBoundsAreLimited(t *testing.T) {
	var l boundLog
	now := time.Now()
	lines, times := 0, 0
	for i := range 1000 {
		if n := l.add("count", now.Add(time.Duration(i)*boundLogInterval/400)); n > 0 {
			lines++
			times += n
		}
	}
	if lines != 3 || times != 801 {
		t.Errorf("%d lines about %d times, want 3 about 801", lines, times)
	}
}
