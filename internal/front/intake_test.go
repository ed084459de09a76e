package front

import (
	"bufio"
	"bytes"
	"io"
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

// startGuardedFront starts an entry VM with the given memory for clients, wired as in a
// node, and a backend server for each handler. Host h takes orders at every path, host
// h.example has a route of either kind.
func startGuardedFront(t *testing.T, memory int64, handlers ...http.HandlerFunc) (address string, bytes *intake.ServerBytes) {
	t.Helper()
	var servers []*catalog.Server
	for i, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		servers = append(servers, &catalog.Server{
			ID: model.ServerID("i-" + strconv.Itoa(i)), Service: "desk", Address: server.Listener.Addr().String(), Slots: 300,
		})
	}
	config := &catalog.Config{Version: 3, Services: map[model.ServiceName]catalog.Service{"desk": {}}}
	for _, route := range []catalog.Route{
		{Host: "h", Prefix: "/", Kind: catalog.NonIdempotent},
		{Host: "h.example", Prefix: "/order", Kind: catalog.NonIdempotent},
		{Host: "h.example", Prefix: "/read", Kind: catalog.Idempotent},
	} {
		route.Name, route.MaxAttempts, route.Timeout = route.Host+route.Prefix, 2, 20*time.Second
		route.Targets = []catalog.WeightedService{{Service: "desk", Weight: 1}}
		config.Routes = append(config.Routes, route)
	}
	snapshot := catalog.NewSnapshot(9, config, servers, nil, nil)
	fleet := pick.NewFleet(pick.Options{Self: "vm-0"})
	fleet.SetSnapshot(snapshot, time.Now())
	client := upstream.NewClient(tally.NoopScope)
	t.Cleanup(client.Close)
	bytes = intake.NewServerBytes()
	limits := intake.NewLimits(0, 0)
	limits.Memory = memory
	guard := intake.NewGuard(limits, decisions.Discard(), tally.NoopScope)
	server := NewServer(Options{
		Snapshot: func() *catalog.Snapshot { return snapshot },
		Age:      func(time.Time) time.Duration { return 0 },
		Fleet:    fleet, Client: client, RetryBudget: allow.NewRetryBudget(0.2, 60), ServerBytes: bytes, Guard: guard,
		Log: decisions.Discard(), Scope: tally.NoopScope,
	})
	front := httptest.NewUnstartedServer(server)
	front.Listener = guard.Listen(server.Listener(front.Listener), intake.Front)
	// httptest replaces ConnState by one that calls this.
	guard.Configure(front.Config)
	server.Configure(front.Config)
	front.Start()
	t.Cleanup(front.Close)
	return front.Listener.Addr().String(), bytes
}

func sealed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderSeal, "seal")
}

// longResponse is more than the socket buffers between server and client hold.
const longResponse = 24 << 20

func serveLong(done chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sealed(w, r)
		w.Header().Set("Content-Length", strconv.Itoa(longResponse))
		part := bytes.Repeat([]byte("0123456789abcdef"), 1<<10)
		for range longResponse / len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
		close(done)
	}
}

// requestLong sends a request and returns the connection without reading the response.
func requestLong(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n"+platform.HeaderRequestID+": id-1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return c
}

func readLong(t *testing.T, c net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || len(body) != longResponse || !bytes.HasPrefix(body[longResponse-16:], []byte("0123456789abcdef")) {
		t.Errorf("%d bytes, error %v", len(body), err)
	}
}

// TestUnreadResponseFreesItsServer guards against a client that doesn't read and thereby
// occupies a slot of a server while the VM has memory for the response.
func TestUnreadResponseFreesItsServer(t *testing.T) {
	done := make(chan struct{})
	address, _ := startGuardedFront(t, 64<<20, serveLong(done))
	c := requestLong(t, address)
	select {
	case <-done:
	case <-time.After(15 * time.Second):
		t.Fatal("the server can't send its response")
	}
	readLong(t, c)
}

// TestLongResponseWithoutMemory guards against responses that are cut off or never
// forwarded when the VM has no memory to hold a part of them.
func TestLongResponseWithoutMemory(t *testing.T) {
	address, _ := startGuardedFront(t, 44<<10, serveLong(make(chan struct{})))
	readLong(t, requestLong(t, address))
}

func post(t *testing.T, address, body string) (int, string, bool) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/a", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(platform.HeaderRequestID, "id-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(answer), resp.Close
}

// TestNoMemoryForABody guards against a refusal for lack of memory that is not one, or
// that leaves the rest of the body on the connection.
func TestNoMemoryForABody(t *testing.T) {
	address, _ := startGuardedFront(t, 60<<10, func(http.ResponseWriter, *http.Request) { t.Error("the request ran") })
	status, answer, closed := post(t, address, strings.Repeat("x", 200<<10))
	if status != http.StatusServiceUnavailable || !strings.Contains(answer, reasonMemory) || !closed {
		t.Errorf("status %d, answer %s, closed: %v", status, answer, closed)
	}
}

// TestBodiesAtOneServerAreBounded guards against sending a server more than it can hold:
// the request goes to another one, or is refused without having run.
func TestBodiesAtOneServerAreBounded(t *testing.T) {
	answer := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			sealed(w, r)
			_, _ = io.WriteString(w, name)
		}
	}
	address, sent := startGuardedFront(t, 64<<20, answer("first"), answer("second"))
	sent.Add("i-0", 64<<20)
	for range 20 {
		if status, name, _ := post(t, address, "body"); status != http.StatusOK || name != "second" {
			t.Fatalf("status %d from %s", status, name)
		}
	}
	sent.Add("i-1", 64<<20)
	if status, text, _ := post(t, address, "body"); status != http.StatusServiceUnavailable || !strings.Contains(text, reasonServerBytes) {
		t.Errorf("status %d, %s", status, text)
	}
	sent.Remove("i-1", 64<<20)
	if status, _, _ := post(t, address, "body"); status != http.StatusOK {
		t.Errorf("status %d after the bodies ended", status)
	}
}
