package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaspar/platform"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// formatRefusal returns a response that states that a request did not run. It names no
// request if id is empty.
func formatRefusal(id string) string {
	if id != "" {
		id = platform.HeaderRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", id, platform.HeaderNotExecuted)
}

// Guards against a request that counts as not run because a server repeated an earlier
// refusal on the connection before it ran the request.
func TestRepeatedRefusalIsNotOneOfTheNextRequest(t *testing.T) {
	for _, refused := range []string{"", "one"} {
		t.Run(fmt.Sprintf("refusal of %q", refused), func(t *testing.T) {
			s := newFakeServer(t, func(c net.Conn, r *http.Request) bool {
				if r.Header.Get(platform.HeaderRequestID) == "one" {
					_, err := io.WriteString(c, formatRefusal("one"))
					return err == nil
				}
				_, _ = io.WriteString(c, formatRefusal(refused))
				return echo(c, r)
			})
			c := NewClient(tally.NoopScope)
			defer c.Close()
			if _, err := do(t, c, s, newRequest("one", time.Minute)); err != nil {
				t.Fatal(err)
			}
			if body, err := do(t, c, s, newRequest("two", time.Minute)); err != nil || body != "body of two" {
				t.Errorf("got %q, %v, want the response to the second request", body, err)
			}
			if opened := len(s.conns); opened != 1 {
				t.Errorf("%d connections were opened, want 1", opened)
			}
		})
	}
}

// Guards against requests that wait for their deadlines at a server that names no request
// in its refusals: at most the first one that may run only once does.
func TestServerThatRefusesWithoutAnID(t *testing.T) {
	tests := []struct {
		desc       string
		repeatable bool
		// first is the result of the first refusal, which comes on a used connection.
		first error
	}{
		{"requests that may run again", true, ErrUnnamedRefusal},
		{"requests that may run once", false, ErrTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var requests atomic.Int64
			s := newFakeServer(t, func(c net.Conn, r *http.Request) bool {
				if requests.Add(1) == 1 {
					return echo(c, r)
				}
				_, err := io.WriteString(c, formatRefusal(""))
				return err == nil
			})
			c := NewClient(tally.NoopScope)
			defer c.Close()
			if _, err := do(t, c, s, newRequest("one", time.Minute)); err != nil {
				t.Fatal(err)
			}
			told := 0
			attempt := func() (*Response, error) {
				req := newRequest("two", 300*time.Millisecond)
				req.Repeatable = tt.repeatable
				req.OnUnnamedRefusal = func(status int, _ http.Header) { told += status }
				return c.Do(context.Background(), s.server, req)
			}
			if _, err := attempt(); !errors.Is(err, tt.first) || told != http.StatusServiceUnavailable {
				t.Errorf("got %v, told of %d; want %v", err, told, tt.first)
			}
			for range 3 {
				resp, err := attempt()
				if err != nil || resp.Status != http.StatusServiceUnavailable {
					t.Fatalf("got %+v, %v, want the refusal", resp, err)
				}
				resp.Body.Discard()
			}
		})
	}
}
