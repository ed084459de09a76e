package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// fakeServer is a backend server that writes raw responses.
type fakeServer struct {
	listener net.Listener
	server   *catalog.Server
	conns    chan net.Conn
}

// newFakeServer starts a server that calls handle for each request. handle writes
// the raw response and reports whether the connection stays open.
func newFakeServer(t *testing.T, handle func(c net.Conn, r *http.Request) bool) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{
		listener: listener,
		server:   &catalog.Server{ID: "i-1", Address: listener.Addr().String()},
		conns:    make(chan net.Conn, 16),
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns <- c
			go serveConn(c, handle)
		}
	}()
	return s
}

func serveConn(c net.Conn, handle func(net.Conn, *http.Request) bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !handle(c, r) {
			return
		}
	}
}

func formatResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n\r\n%s",
		platform.HeaderRequestID, id, len(body), body)
}

func echo(c net.Conn, r *http.Request) bool {
	id := r.Header.Get(platform.HeaderRequestID)
	_, err := io.WriteString(c, formatResponse(id, "body of "+id))
	return err == nil
}

func newRequest(id string, within time.Duration) *Request {
	return &Request{
		ID: id, Method: http.MethodGet, URI: "/a/b?c=d", Host: "h.example",
		Header: http.Header{platform.HeaderRequestID: {id}}, Deadline: time.Now().Add(within),
	}
}

func do(t *testing.T, c *Client, s *fakeServer, req *Request) (string, error) {
	t.Helper()
	got, err := c.Do(context.Background(), s.server, req)
	if err != nil {
		return "", err
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return string(body), err
}

func TestConnectionOutlivesTheDeadlineOfItsLastExchange(t *testing.T) {
	s := newFakeServer(t, echo)
	c := NewClient(tally.NoopScope)
	defer c.Close()
	first := newRequest("one", 200*time.Millisecond)
	if _, err := do(t, c, s, first); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(first.Deadline) + 20*time.Millisecond)
	if body, err := do(t, c, s, newRequest("two", time.Minute)); err != nil || body != "body of two" {
		t.Fatalf("got %q, %v", body, err)
	}
	if opened := len(s.conns); opened != 1 {
		t.Errorf("%d connections were opened, want 1", opened)
	}
}

func TestRefusalKeepsTheConnection(t *testing.T) {
	tests := []struct {
		desc, body string
		length     int
		opened     int
	}{
		{"without a body", "", 0, 1},
		{"with a body", "full", 4, 1},
		{"with a body that never arrives", "", 4, 2},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := newFakeServer(t, func(c net.Conn, r *http.Request) bool {
				_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s",
					platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID), platform.HeaderNotExecuted, tt.length, tt.body)
				return err == nil
			})
			c := NewClient(tally.NoopScope)
			defer c.Close()
			for _, id := range []string{"one", "two"} {
				got, err := c.Do(context.Background(), s.server, newRequest(id, time.Minute))
				if err != nil {
					t.Fatal(err)
				}
				got.Body.Discard()
			}
			if opened := len(s.conns); opened != tt.opened {
				t.Errorf("%d connections were opened, want %d", opened, tt.opened)
			}
		})
	}
}

func TestOnlyTheMatchingResponseIsReturned(t *testing.T) {
	tests := []struct {
		desc   string
		handle func(c net.Conn, r *http.Request) bool
		want   string
		err    error
	}{
		{
			desc: "a late response to another request arrives first",
			handle: func(c net.Conn, r *http.Request) bool {
				_, _ = io.WriteString(c, formatResponse("other", "not yours"))
				return echo(c, r)
			},
			want: "body of one",
		},
		{
			desc: "only responses to other requests arrive",
			handle: func(c net.Conn, _ *http.Request) bool {
				for range maxUnrelated + 1 {
					_, _ = io.WriteString(c, formatResponse("other", "not yours"))
				}
				return true
			},
			err: ErrUnrelatedResponse,
		},
		{
			desc: "the body ends early",
			handle: func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, formatResponse("one", "whole body")[:len(formatResponse("one", "whole body"))-3])
				return false
			},
			err: ErrTruncated,
		},
		{
			desc: "invalid HTTP",
			handle: func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, "\x00\x01 nonsense\r\n\r\n")
				return false
			},
			err: ErrNoResponse,
		},
		{
			desc: "status 200 without a request id",
			handle: func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				return false
			},
			err: ErrNoResponse,
		},
		{
			desc: "a body without a length ends with the connection",
			handle: func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+platform.HeaderRequestID+": one\r\n\r\nwhole")
				return false
			},
			want: "whole",
		},
		{
			desc: "a body without a length is reset",
			handle: func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+platform.HeaderRequestID+": one\r\n\r\npart")
				// The client reads the part before the reset discards it.
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			},
			err: ErrTruncated,
		},
		{
			desc: "a chunked body ends without its last chunk",
			handle: func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+platform.HeaderRequestID+": one\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
				return false
			},
			err: ErrTruncated,
		},
		{
			desc: "a status without a body ends its response",
			handle: func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n"+platform.HeaderRequestID+": one\r\n\r\n")
				return true
			},
			want: "",
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := newFakeServer(t, tt.handle)
			c := NewClient(tally.NoopScope)
			defer c.Close()
			body, err := do(t, c, s, newRequest("one", time.Minute))
			if !errors.Is(err, tt.err) || (tt.err == nil && body != tt.want) {
				t.Errorf("got %q, %v; want %q, %v", body, err, tt.want, tt.err)
			}
		})
	}
}

func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	s := newFakeServer(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get(platform.HeaderRequestID)
		_, err := io.WriteString(c, formatResponse(id, "body of "+id)+formatResponse(id, "again"))
		return err == nil
	})
	c := NewClient(tally.NoopScope)
	defer c.Close()
	for _, id := range []string{"one", "two"} {
		if body, err := do(t, c, s, newRequest(id, time.Minute)); err != nil || body != "body of "+id {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	if opened := len(s.conns); opened != 2 {
		t.Errorf("%d connections were opened, want 2", opened)
	}
}

func TestFailureSaysWhetherTheRequestMayHaveRun(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		s := newFakeServer(t, echo)
		s.listener.Close()
		c := NewClient(tally.NoopScope)
		if _, err := do(t, c, s, newRequest("one", time.Minute)); !errors.Is(err, ErrConnect) {
			t.Errorf("got %v, want %v", err, ErrConnect)
		}
	})
	t.Run("closed without a response", func(t *testing.T) {
		s := newFakeServer(t, func(net.Conn, *http.Request) bool { return false })
		c := NewClient(tally.NoopScope)
		if _, err := do(t, c, s, newRequest("one", time.Minute)); !errors.Is(err, ErrNoResponse) {
			t.Errorf("got %v, want %v", err, ErrNoResponse)
		}
	})
	t.Run("no response until the deadline", func(t *testing.T) {
		s := newFakeServer(t, func(net.Conn, *http.Request) bool { return true })
		c := NewClient(tally.NoopScope)
		if _, err := do(t, c, s, newRequest("one", 50*time.Millisecond)); !errors.Is(err, ErrTimeout) {
			t.Errorf("got %v, want %v", err, ErrTimeout)
		}
	})
}

func TestCancelledContextClosesTheConnection(t *testing.T) {
	arrived := make(chan struct{})
	s := newFakeServer(t, func(net.Conn, *http.Request) bool { close(arrived); return true })
	c := NewClient(tally.NoopScope)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, s.server, newRequest("one", time.Minute))
		done <- err
	}()
	<-arrived
	cancel()
	if err := <-done; !errors.Is(err, ErrNoResponse) {
		t.Errorf("got %v, want %v", err, ErrNoResponse)
	}
	conn := <-s.conns
	// Read returns an error because the client closed the connection.
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open")
	}
}

// All VMs share a server's connection limit, so their idle connections together
// must stay below it.
func TestIdleConnectionsOfAllVMsFitTheServer(t *testing.T) {
	const accepts = 360
	for _, vms := range []int{1, 7, 33, 180} {
		c := NewClient(tally.NoopScope)
		c.SetIdleLimits(map[model.ServiceName]catalog.Service{"desk": {MaxConnections: accepts}}, vms)
		server := &catalog.Server{ID: "i-1", Service: "desk"}
		for range 2 * maxIdlePerServer {
			near, far := net.Pipe()
			far.Close()
			c.put(server, &conn{Conn: near})
		}
		kept := len(c.idle[server.ID].conns)
		if kept < 1 || kept > maxIdlePerServer || vms*kept > accepts {
			t.Errorf("%d VMs keep %d connections each of the %d that the server accepts", vms, kept, accepts)
		}
		c.Close()
	}
}
