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
// in its refusals: only the first one on a used connection may.
func TestServerThatRefusesWithoutAnIDGetsNewConnections(t *testing.T) {
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
	if _, err := do(t, c, s, newRequest("two", 200*time.Millisecond)); err == nil {
		t.Error("a refusal without an id was accepted on a used connection")
	}
	for range 3 {
		resp, err := c.Do(context.Background(), s.server, newRequest("more", time.Minute))
		if err != nil || resp.Status != http.StatusServiceUnavailable {
			t.Fatalf("got %+v, %v, want the refusal", resp, err)
		}
		resp.Body.Discard()
	}
}
