package front

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/allow"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/upstream"
	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

// newGuardedFront starts an entry VM with pipelining and a guard with so much memory, as a
// node does, and one server. It returns the address for clients.
func newGuardedFront(t *testing.T, memory int64, serve http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	servers := []*catalog.Server{{ID: "i-0", Service: "desk", Address: server.Listener.Addr().String(), Slots: 300}}
	config := &catalog.Config{Services: map[model.ServiceName]catalog.Service{"desk": {}}}
	for prefix, kind := range map[string]catalog.Kind{"/read": catalog.Idempotent, "/order": catalog.NonIdempotent} {
		config.Routes = append(config.Routes, catalog.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, MaxAttempts: 2, Timeout: 20 * time.Second,
			Targets: []catalog.WeightedService{{Service: "desk", Weight: 1}},
		})
	}
	snapshot := catalog.NewSnapshot(9, config, servers, nil, nil)
	fleet := pick.NewFleet(pick.Options{Self: "vm-0"})
	fleet.SetSnapshot(snapshot, time.Now())
	client := upstream.NewClient(tally.NoopScope)
	t.Cleanup(client.Close)
	limits := intake.NewLimits(0, 0)
	limits.Memory = memory
	guard := intake.NewGuard(limits, decisions.Discard(), tally.NoopScope)
	front := NewServer(Options{
		Snapshot: func() *catalog.Snapshot { return snapshot }, Age: func(time.Time) time.Duration { return 0 },
		Fleet: fleet, Client: client, RetryBudget: allow.NewRetryBudget(0.2, 60), ServerBytes: intake.NewServerBytes(), Guard: guard,
		Log: decisions.Discard(), Scope: tally.NoopScope,
	})
	httpServer := &http.Server{Handler: front}
	guard.Configure(httpServer)
	front.Configure(httpServer)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = httpServer.Serve(guard.Listen(front.Listener(listener), intake.Front)) }()
	t.Cleanup(func() { httpServer.Close() })
	return listener.Addr().String()
}

func dialGuarded(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// sendOrder sends an order with a body of so many bytes and returns the status.
func sendOrder(t *testing.T, address string, bytes int) int {
	t.Helper()
	conn, reader := dialGuarded(t, address)
	_, err := fmt.Fprintf(conn, "POST /order HTTP/1.1\r\nHost: h.example\r\n%s: order\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderRequestID, bytes, strings.Repeat("x", bytes))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func sealResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderSeal, "seal")
}

// Guards against a client that leaves before it has read a response and thereby cuts off
// the request of another client, on the connection on which that response had arrived.
func TestOrderIsNotCutOffByAClientThatLeaves(t *testing.T) {
	const long = 1 << 20
	bigSent, atServer, left := make(chan struct{}), make(chan struct{}), make(chan struct{})
	address := newGuardedFront(t, 64<<20, func(w http.ResponseWriter, r *http.Request) {
		sealResponse(w, r)
		switch {
		case strings.Contains(r.URL.Path, "slow"):
			<-r.Context().Done()
		case strings.Contains(r.URL.Path, "big"):
			w.Header().Set("Content-Length", strconv.Itoa(long))
			_, _ = w.Write(make([]byte, long))
			close(bigSent)
		default:
			close(atServer)
			<-left
			// The VM notices that the client has left.
			time.Sleep(100 * time.Millisecond)
		}
	})
	conn, _ := dialGuarded(t, address)
	if _, err := io.WriteString(conn, pipelinedRequest("GET", "/read/slow", "1")+pipelinedRequest("GET", "/read/big", "2")); err != nil {
		t.Fatal(err)
	}
	<-bigSent
	// The VM reads the rest of the response.
	time.Sleep(100 * time.Millisecond)
	go func() {
		<-atServer
		conn.Close()
		close(left)
	}()
	if status := sendOrder(t, address, 0); status != http.StatusOK {
		t.Errorf("got %d for an order that the server ran", status)
	}
}

// Guards against memory that stays accounted for responses that have been sent, on a
// connection that always has a request in progress.
func TestPipelinedResponsesReleaseTheirMemory(t *testing.T) {
	const requests = 800
	address := newGuardedFront(t, 2<<20, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		sealResponse(w, r)
		time.Sleep(time.Duration(5+rand.IntN(15)) * time.Millisecond)
		_, _ = w.Write(make([]byte, 2000))
	})
	conn, reader := dialGuarded(t, address)
	go func() {
		for i := range requests {
			if _, err := io.WriteString(conn, pipelinedRequest("GET", "/read/a", strconv.Itoa(i))); err != nil {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	}()
	for i := range requests {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %d: %d, %v", i, resp.StatusCode, err)
		}
		if i != requests-10 {
			continue
		}
		if status := sendOrder(t, address, 100_000); status != http.StatusOK {
			t.Errorf("got %d for an order beside a connection with %d answered requests", status, i)
		}
	}
}
