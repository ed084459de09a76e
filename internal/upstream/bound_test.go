package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

// TestConnectionsAreBounded guards against more connections to servers than the VM has
// descriptors for, also when idle ones fill the bound.
func TestConnectionsAreBounded(t *testing.T) {
	var servers []*catalog.Server
	for _, id := range []string{"a", "b", "c"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
			_, _ = io.WriteString(w, "ok")
		}))
		t.Cleanup(server.Close)
		servers = append(servers, &catalog.Server{ID: model.ServerID(id), Address: server.Listener.Addr().String()})
	}
	c := NewClient(tally.NoopScope)
	t.Cleanup(c.Close)
	c.SetMaxConnections(2)
	send := func(server *catalog.Server) (*Response, error) {
		return c.Do(context.Background(), server, &Request{
			ID: "r", Method: http.MethodGet, URI: "/", Host: "h",
			Header: http.Header{platform.HeaderRequestID: {"r"}}, Deadline: time.Now().Add(10 * time.Second),
		})
	}
	for range 3 {
		for _, server := range servers {
			resp, err := send(server)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			if open := c.open.Load(); open > 2 {
				t.Fatalf("%d connections", open)
			}
		}
	}
	for _, server := range servers[:2] {
		resp, err := send(server)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
	}
	if _, err := send(servers[2]); !errors.Is(err, ErrTooManyConnections) || !errors.Is(err, ErrConnect) {
		t.Errorf("third connection: %v", err)
	}
	c.Close()
}
