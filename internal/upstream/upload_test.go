package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// newHeaderServer starts a server that reads only the header of each request
// before it calls handle. The request's body is unread.
func newHeaderServer(t *testing.T, handle func(c net.Conn, r *http.Request)) *catalog.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			// Small buffers, as the links of the platform have.
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
					handle(c, r)
				}
			}()
		}
	}()
	return &catalog.Server{ID: "i-1", Address: listener.Addr().String()}
}

// TestServerAnswersBeforeItHasReadTheBody sends bodies of which the server reads
// nothing, or a part. Its response must reach the caller long before the deadline.
func TestServerAnswersBeforeItHasReadTheBody(t *testing.T) {
	const size = 8 << 20
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + platform.HeaderRequestID + ": one\r\n" +
		platform.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
	bodies := []struct {
		desc string
		set  func(*Request)
	}{
		{"buffered", func(r *Request) { r.Body, r.Length = make([]byte, size), size }},
		{"streamed", func(r *Request) {
			r.Body, r.Stream, r.Length = make([]byte, 1<<10), bytes.NewReader(make([]byte, size)), size+1<<10
		}},
		{"streamed without a length", func(r *Request) {
			r.Body, r.Stream, r.Length = make([]byte, 1<<10), bytes.NewReader(make([]byte, size)), -1
		}},
	}
	servers := []struct {
		desc   string
		handle func(c net.Conn, r *http.Request)
		status int
		body   string
		err    error
	}{
		{"refuses and keeps the connection", func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, refusal)
			time.Sleep(time.Second)
		}, 503, "", nil},
		{"answers and keeps the connection", func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, formatResponse("one", "stored"))
			time.Sleep(time.Second)
		}, 200, "stored", nil},
		{"resets midway", func(c net.Conn, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
			_ = c.(*net.TCPConn).SetLinger(0)
		}, 0, "", ErrNoResponse},
	}
	for _, body := range bodies {
		for _, s := range servers {
			t.Run(body.desc+", "+s.desc, func(t *testing.T) {
				c := NewClient(tally.NoopScope)
				defer c.Close()
				req := newRequest("one", 10*time.Second)
				req.Method = http.MethodPost
				body.set(req)
				began := time.Now()
				resp, err := c.Do(context.Background(), newHeaderServer(t, s.handle), req)
				if took := time.Since(began); took > 5*time.Second {
					t.Errorf("the response took %v", took)
				}
				if !errors.Is(err, s.err) {
					t.Fatalf("got %v, want %v", err, s.err)
				}
				if err != nil {
					return
				}
				defer resp.Body.Close()
				if got, err := io.ReadAll(resp.Body); err != nil || resp.Status != s.status || string(got) != s.body {
					t.Errorf("got %d %q, %v; want %d %q", resp.Status, got, err, s.status, s.body)
				}
			})
		}
	}
}

// TestConnectionWithAnUnsentBodyIsNotReused checks that the rest of a body never
// precedes the next request on a connection.
func TestConnectionWithAnUnsentBodyIsNotReused(t *testing.T) {
	conns := make(chan net.Conn, 4)
	server := newHeaderServer(t, func(c net.Conn, _ *http.Request) {
		conns <- c
		_, _ = io.WriteString(c, formatResponse("one", "stored"))
		time.Sleep(300 * time.Millisecond)
	})
	c := NewClient(tally.NoopScope)
	defer c.Close()
	for range 2 {
		req := newRequest("one", 5*time.Second)
		req.Method, req.Body, req.Length = http.MethodPost, make([]byte, 8<<20), 8<<20
		resp, err := c.Do(context.Background(), server, req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Fatal(err)
		}
	}
	if opened := len(conns); opened != 2 {
		t.Errorf("%d connections were opened, want 2", opened)
	}
}
