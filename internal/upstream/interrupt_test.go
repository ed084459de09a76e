package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

// Guards against an exchange that closes its connection when that has become another's.
func TestInterruptAfterTheEndSparesTheConnection(t *testing.T) {
	arrived := make(chan struct{})
	interrupted := make(chan struct{})
	s := newFakeServer(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get(platform.HeaderRequestID)
		if id == "two" {
			close(arrived)
			<-interrupted
		}
		_, err := io.WriteString(c, formatResponse(id, "body of "+id))
		return err == nil
	})
	c := NewClient(tally.NoopScope)
	defer c.Close()
	first, err := c.Do(t.Context(), s.server, newRequest("one", time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(first.Body); err != nil {
		t.Fatal(err)
	}
	go func() {
		<-arrived
		first.Body.Interrupt()
		close(interrupted)
	}()
	if body, err := do(t, c, s, newRequest("two", time.Minute)); err != nil || body != "body of two" {
		t.Errorf("got %q, %v for the second request on the connection", body, err)
	}
}
