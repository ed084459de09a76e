package front

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
	"testing"
	"time"

	"fuchsiaspar/internal/accountlimit"
	"fuchsiaspar/internal/allow"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/upstream"
	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

// behaviour is the handler of a test backend server.
type behaviour func(w http.ResponseWriter, r *http.Request)

// backends records the requests that the test servers received.
type backends struct {
	mu sync.Mutex
	// received counts requests by request id.
	received   map[string]int
	lastHeader http.Header
	lastBody   string
	// longestBody is the length in bytes of the longest request body.
	longestBody int
}

func (b *backends) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received[id]
}

func serveOK(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderSeal, "seal")
	_, _ = io.WriteString(w, "whole body")
}

func serveStatus(status int, notRun bool) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		if notRun {
			w.Header().Set(platform.HeaderNotExecuted, "1")
		} else {
			w.Header().Set(platform.HeaderSeal, "seal")
		}
		w.WriteHeader(status)
	}
}

func resetConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

func truncateResponse(w http.ResponseWriter, r *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: 10\r\n\r\nwho",
		platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID), platform.HeaderSeal)
	conn.Close()
}

// unsealed responds with status 200 but without the seal that proves that a
// backend server made the response.
func unsealed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	_, _ = io.WriteString(w, "not from the backend")
}

func neverRespond(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// newFront starts an entry VM with one backend server for each behaviour.
func newFront(t *testing.T, behaviours ...behaviour) (*httptest.Server, *backends) {
	t.Helper()
	return newFrontWithTimeout(t, 400*time.Millisecond, behaviours...)
}

// newFrontWithTimeout is newFront with another timeout of all routes.
func newFrontWithTimeout(t *testing.T, timeout time.Duration, behaviours ...behaviour) (*httptest.Server, *backends) {
	t.Helper()
	b := &backends{received: map[string]int{}}
	var servers []*catalog.Server
	for i, behave := range behaviours {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			b.mu.Lock()
			b.received[r.Header.Get(platform.HeaderRequestID)]++
			b.lastHeader, b.lastBody = r.Header.Clone(), string(body)
			b.longestBody = max(b.longestBody, len(body))
			b.mu.Unlock()
			behave(w, r)
		}))
		t.Cleanup(server.Close)
		servers = append(servers, &catalog.Server{
			ID: model.ServerID(fmt.Sprint("i-", i)), Service: "desk", Address: server.Listener.Addr().String(), Slots: 3,
		})
	}
	config := &catalog.Config{Version: 3, Services: map[model.ServiceName]catalog.Service{"desk": {}}}
	for _, route := range []catalog.Route{
		{Name: "read", Prefix: "/read/", Kind: catalog.Idempotent},
		{Name: "order", Prefix: "/order/", Kind: catalog.NonIdempotent},
		{Name: "nested", Prefix: "/read/nested/", Kind: catalog.NonIdempotent},
	} {
		route.Host, route.MaxAttempts, route.Timeout = "h.example", 2, timeout
		route.Targets = []catalog.WeightedService{{Service: "desk", Weight: 1}}
		config.Routes = append(config.Routes, route)
	}
	// The sync route has eight times the latency objective of the read route, so
	// its requests yield to those of the read route.
	config.Routes[0].TargetLatency = 50 * time.Millisecond
	sync := config.Routes[0]
	sync.Name, sync.Prefix, sync.TargetLatency, sync.Rank = "sync", "/sync/", 400*time.Millisecond, 2
	config.Routes = append(config.Routes, sync)
	config.Limits.MaxBodyBytes = 1 << 20
	return startFront(t, catalog.NewSnapshot(9, config, servers, nil, nil)), b
}

func startFront(t *testing.T, snapshot *catalog.Snapshot) *httptest.Server {
	return startFrontWithAge(t, snapshot, 0)
}

// startFrontWithAge is startFront with a snapshot of an age.
func startFrontWithAge(t *testing.T, snapshot *catalog.Snapshot, age time.Duration) *httptest.Server {
	return startFrontWith(t, func() *catalog.Snapshot { return snapshot }, age)
}

// startFrontWith starts an entry VM with the servers of the first snapshot.
func startFrontWith(t *testing.T, snapshot func() *catalog.Snapshot, age time.Duration) *httptest.Server {
	return startFrontWithLimits(t, snapshot, age, nil)
}

// startFrontWithLimits is startFrontWith with limits of client accounts.
func startFrontWithLimits(t *testing.T, snapshot func() *catalog.Snapshot, age time.Duration, limits *accountlimit.Limiter) *httptest.Server {
	fleet := pick.NewFleet(pick.Options{Self: "vm-0"})
	fleet.SetSnapshot(snapshot(), time.Now())
	repeats := allow.NewRetryBudget(0.2, 60)
	client := upstream.NewClient(tally.NoopScope)
	t.Cleanup(client.Close)
	server := NewServer(Options{
		Snapshot: snapshot,
		Age:      func(time.Time) time.Duration { return age },
		Fleet:    fleet, Client: client, RetryBudget: repeats, Limits: limits, Log: decisions.Discard(), Scope: tally.NoopScope,
	})
	front := httptest.NewUnstartedServer(server)
	server.Configure(front.Config)
	front.Listener = server.Listener(front.Listener)
	front.Start()
	t.Cleanup(front.Close)
	return front
}

func sendRequest(t *testing.T, front *httptest.Server, method, path, body string) (int, string, http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, front.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set(platform.HeaderRequestID, "id-1")
	req.Header.Set(platform.HeaderDeadline, "5000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err.Error(), resp.Header
	}
	return resp.StatusCode, string(respBody), resp.Header
}

func TestOutcomes(t *testing.T) {
	full := serveStatus(http.StatusServiceUnavailable, true)
	failing := serveStatus(http.StatusInternalServerError, false)
	tests := []struct {
		desc       string
		method     string
		path       string
		behaviours []behaviour
		status     int
		arrivals   int
	}{
		{"served", "GET", "/read/a", []behaviour{serveOK}, 200, 1},
		{"order served", "POST", "/order/a", []behaviour{serveOK}, 200, 1},
		{"longest prefix wins: no retry", "POST", "/read/nested/a", []behaviour{resetConnection, resetConnection}, 502, 1},
		{"no route", "GET", "/elsewhere", []behaviour{serveOK}, 404, 0},
		{"no server", "GET", "/read/a", nil, 503, 0},
		{"full: refused, not run", "POST", "/order/a", []behaviour{full}, 503, 1},
		{"full everywhere: two attempts, no more", "GET", "/read/a", []behaviour{full, full, full}, 503, 2},
		{"order on a closed connection may have run", "POST", "/order/a", []behaviour{resetConnection, resetConnection}, 502, 1},
		{"read on a closed connection is retried", "GET", "/read/a", []behaviour{resetConnection, resetConnection, resetConnection}, 502, 2},
		{"a server error is forwarded", "POST", "/order/a", []behaviour{failing}, 500, 1},
		{"errors of two servers", "GET", "/read/a", []behaviour{failing, failing}, 500, 2},
		{"order with a truncated response may have run", "POST", "/order/a", []behaviour{truncateResponse, truncateResponse}, 502, 1},
		{"an unsealed 200 is not forwarded", "POST", "/order/a", []behaviour{unsealed, unsealed}, 502, 1},
		{"unsealed 200 from two servers", "GET", "/read/a", []behaviour{unsealed, unsealed}, 502, 2},
		{"no response until the route's timeout", "POST", "/order/a", []behaviour{neverRespond}, 504, 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			front, b := newFront(t, tt.behaviours...)
			status, body, h := sendRequest(t, front, tt.method, tt.path, "")
			if status != tt.status || b.count("id-1") != tt.arrivals {
				t.Errorf("got %d %q after %d requests received, want %d after %d", status, body, b.count("id-1"), tt.status, tt.arrivals)
			}
			if status == http.StatusServiceUnavailable && h.Get("Retry-After") == "" {
				t.Error("a refusal has no Retry-After header")
			}
			if sealed := h.Get(platform.HeaderSeal) != ""; sealed != (status == 200 || status == 500) {
				t.Errorf("status %d: sealed is %v", status, sealed)
			}
		})
	}
}

// TestOneWorkingServerIsFound checks that reads succeed while one of two servers
// fails every request.
func TestOneWorkingServerIsFound(t *testing.T) {
	for name, bad := range map[string]behaviour{
		"full": serveStatus(http.StatusServiceUnavailable, true), "closed connection": resetConnection, "truncated": truncateResponse, "unsealed": unsealed,
		"failing": serveStatus(http.StatusInternalServerError, false),
	} {
		t.Run(name, func(t *testing.T) {
			front, _ := newFront(t, bad, serveOK)
			for i := range 5 {
				if status, body, _ := sendRequest(t, front, "GET", fmt.Sprint("/read/", i), ""); status != 200 || body != "whole body" {
					t.Errorf("got %d %q", status, body)
				}
			}
		})
	}
}

func TestRequestIsPassedOnUnchanged(t *testing.T) {
	front, b := newFront(t, serveOK)
	if status, _, _ := sendRequest(t, front, "POST", "/order/a%2Fb?x=%20y", "the order"); status != 200 {
		t.Fatalf("got %d", status)
	}
	if b.lastBody != "the order" {
		t.Errorf("the server got body %q", b.lastBody)
	}
	left, err := strconv.Atoi(b.lastHeader.Get(platform.HeaderDeadline))
	if err != nil || left <= 0 || left > 400 {
		t.Errorf("the server got a deadline of %q ms, want at most the route's 400", b.lastHeader.Get(platform.HeaderDeadline))
	}
	if b.lastHeader.Get(platform.HeaderExpectedInstance) != "i-0" {
		t.Errorf("the request expects the server process %q, want i-0", b.lastHeader.Get(platform.HeaderExpectedInstance))
	}
}

func TestBodyOverTheLimit(t *testing.T) {
	front, b := newFront(t, serveOK)
	status, _, _ := sendRequest(t, front, "POST", "/order/a", strings.Repeat("x", 2<<20))
	if status != http.StatusRequestEntityTooLarge || b.count("id-1") != 0 {
		t.Errorf("got %d after %d requests received", status, b.count("id-1"))
	}
}

func TestLargeBodyIsStreamedWhole(t *testing.T) {
	front, b := newFront(t, serveOK)
	body := strings.Repeat("0123456789", 60_000)
	if status, _, _ := sendRequest(t, front, "POST", "/order/a", body); status != 200 || b.lastBody != body {
		t.Errorf("got %d, the server got %d bytes of %d", status, len(b.lastBody), len(body))
	}
}

func TestRequestWithoutConfigurationIsRefused(t *testing.T) {
	front := startFront(t, catalog.NewSnapshot(0, nil, nil, nil, nil))
	if status, _, h := sendRequest(t, front, "GET", "/read/a", ""); status != 503 || h.Get("Retry-After") == "" {
		t.Errorf("got %d", status)
	}
}

// The response is too large to buffer, so part of it has been forwarded when the
// server's connection closes. The client must not take it for complete.
func TestTruncatedLargeResponseIsNotCompletedForTheClient(t *testing.T) {
	front, _ := newFront(t, func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: id-1\r\n%s: seal\r\nContent-Length: %d\r\n\r\n",
			platform.HeaderRequestID, platform.HeaderSeal, 2*maxBufferedResponse)
		_, _ = conn.Write(make([]byte, maxBufferedResponse))
		conn.Close()
	})
	if status, body, _ := sendRequest(t, front, "GET", "/read/a", ""); status == 200 && len(body) >= maxBufferedResponse {
		t.Errorf("a truncated response reached the client as complete with %d bytes", len(body))
	}
}

func TestClientDisconnectCancelsTheServersRequest(t *testing.T) {
	stopped := make(chan struct{})
	front, _ := newFront(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(stopped)
	})
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "GET /read/a HTTP/1.1\r\nHost: h.example\r\n%s: id-1\r\n\r\n", platform.HeaderRequestID)
	time.Sleep(50 * time.Millisecond)
	conn.Close()
	<-stopped
}

func TestTolerantRequestIsRefusedUnsentWhileItsServerIsBusy(t *testing.T) {
	front, b := newFront(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderLoad, "3,4,3")
		serveOK(w, r)
	})
	if status, _, _ := sendRequest(t, front, "GET", "/read/a", ""); status != 200 {
		t.Fatalf("got %d", status)
	}
	status, _, h := sendRequest(t, front, "GET", "/sync/a", "")
	if status != 503 || h.Get("Retry-After") != "0.4" || b.count("id-1") != 1 {
		t.Errorf("got %d, Retry-After %q, %d requests received", status, h.Get("Retry-After"), b.count("id-1"))
	}
	if status, _, _ := sendRequest(t, front, "GET", "/read/a", ""); status != 200 {
		t.Errorf("an urgent request got %d", status)
	}
}

func TestDrainingVMClosesClientConnections(t *testing.T) {
	config := &catalog.Config{}
	server := NewServer(Options{
		Snapshot: func() *catalog.Snapshot { return catalog.NewSnapshot(1, config, nil, nil, nil) },
		Age:      func(time.Time) time.Duration { return 0 }, Log: decisions.Discard(), Scope: tally.NoopScope,
	})
	server.DrainConnections()
	front := httptest.NewServer(server)
	defer front.Close()
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /a HTTP/1.1\r\nHost: h\r\n%s: id-1\r\n\r\n", platform.HeaderRequestID)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || !resp.Close {
		t.Errorf("got %+v, %v; want Connection: close", resp, err)
	}
}

// A server that did not respond may have disappeared without closing its
// connections. Requests sent on its idle connections would be lost too.
func TestIdleConnectionsAreNotReusedAfterALostResponse(t *testing.T) {
	var mu sync.Mutex
	from := map[string]int{}
	together := make(chan struct{}, 2)
	front, _ := newFront(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		from[r.RemoteAddr]++
		mu.Unlock()
		switch r.URL.Path {
		case "/order/together":
			together <- struct{}{}
			for len(together) < 2 {
				time.Sleep(time.Millisecond)
			}
			serveOK(w, r)
		case "/order/lost":
			resetConnection(w, r)
		default:
			serveOK(w, r)
		}
	})
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() { sendRequest(t, front, "POST", "/order/together", "") })
	}
	both.Wait()
	sendRequest(t, front, "POST", "/order/lost", "")
	// Wait until the ejection of the server, which lasts 0.3 s, has ended.
	time.Sleep(400 * time.Millisecond)
	if status, _, _ := sendRequest(t, front, "POST", "/order/next", ""); status != http.StatusOK {
		t.Errorf("got %d after the ejection", status)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(from) != 3 {
		t.Errorf("requests came over %d connections, want a third one after the lost response: %v", len(from), from)
	}
}

// stallingClient sends the head of a request with a body of a megabyte and stalls
// after part of the body. It returns the connection.
func stallingClient(t *testing.T, front *httptest.Server, path string, part int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: id-1\r\n%s: 60000\r\nContent-Length: 1000000\r\n\r\n%s",
		path, platform.HeaderRequestID, platform.HeaderDeadline, strings.Repeat("x", part))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// A client that stalls in the middle of its body gets an answer by its deadline:
// 408 states that the request has not run, which holds only while no server has
// been sent any of it.
func TestClientThatStallsInItsBody(t *testing.T) {
	tests := []struct {
		desc   string
		part   int
		status int
	}{
		{"before a server is chosen", 1000, http.StatusRequestTimeout},
		{"while the body is streamed", maxBufferedBody + 1000, http.StatusGatewayTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			const timeout = 2 * time.Second
			front, _ := newFrontWithTimeout(t, timeout, serveOK)
			conn := stallingClient(t, front, "/order/a", tt.part)
			if err := conn.SetReadDeadline(time.Now().Add(timeout + 5*time.Second)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != tt.status {
				t.Errorf("status %d, want %d", resp.StatusCode, tt.status)
			}
		})
	}
}

// A client that does not read a large answer must not hold the request for longer
// than its deadline allows.
func TestClientThatDoesNotRead(t *testing.T) {
	ended := make(chan struct{})
	front, _ := newFront(t, func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderSeal, "seal")
		block := make([]byte, 1<<20)
		for range 256 {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET /read/a HTTP/1.1\r\nHost: h.example\r\n%s: id-1\r\n\r\n", platform.HeaderRequestID); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(2*responseGrace + time.Second):
		t.Error("the server is still sending")
	}
}

// The limits of one request must not end the next one on the same connection.
func TestKeptConnectionOutlivesTheLimitsOfItsLastRequest(t *testing.T) {
	front, _ := newFront(t, serveOK)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for range 2 {
		for _, path := range []string{"/order/a", "/elsewhere"} {
			req, err := http.NewRequest("POST", front.URL+path, strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set(platform.HeaderRequestID, "id-1")
			req.Header.Set(platform.HeaderDeadline, "100")
			resp, err := client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		time.Sleep(100*time.Millisecond + responseGrace)
	}
}

// TestLimitOfAServerIsKept guards against a server that gets every request although its
// answers limit them, and against limits that another process states.
func TestLimitOfAServerIsKept(t *testing.T) {
	const sent, few = 12, 4
	limited := func(limit string, respond behaviour) behaviour {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(platform.HeaderRequestLimit, limit)
			w.Header().Set(platform.HeaderLoad, "0,0,3")
			respond(w, r)
		}
	}
	tests := []struct {
		desc    string
		respond behaviour
		kept    bool
	}{
		{"in an answer", limited("0", serveOK), true},
		{"in a refusal", limited("0", serveStatus(http.StatusServiceUnavailable, true)), true},
		{"in a failure", limited("0", serveStatus(http.StatusInternalServerError, false)), true},
		{"ample", limited("1000", serveOK), false},
		{"malformed", limited("some", serveOK), false},
		{"of another server at the address", limited("0", serveStatus(http.StatusMisdirectedRequest, true)), false},
		{"without the server's seal", limited("0", unsealed), false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			front, b := newFront(t, tt.respond)
			for range sent {
				sendRequest(t, front, "POST", "/order/a", "")
			}
			if got := b.count("id-1"); tt.kept != (got <= few) {
				t.Errorf("%d of %d requests reached the server", got, sent)
			}
		})
	}
}
