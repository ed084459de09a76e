package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"fuchsiaspar/platform"
	"fuchsiaspar/platform/storetest"
)

// executionCounter counts how often each request was executed, over all backend
// servers.
type executionCounter struct {
	mu sync.Mutex
	// counts is keyed by request ID.
	counts map[string]int
}

func (c *executionCounter) increment(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[id]++
}

func (c *executionCounter) get(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[id]
}

// backend is a backend server behind a fault-injecting proxy. It can drop the
// response of an executed request and refuse requests without executing them.
type backend struct {
	service    string
	server     *httptest.Server
	proxy      *proxy
	executions *executionCounter
	store      *storetest.Store

	mu sync.Mutex
	// instanceID identifies the simulated process and changes on each restart.
	instanceID string
	// sequence is the sequence number of the last store entry.
	sequence int
	random   *rand.Rand
	// dropResponseRate and refusalRate are fractions of requests, from 0 to 1.
	dropResponseRate, refusalRate float64
	// lastRequestAt is when the last request arrived. Requests that expect another
	// instance do not count.
	lastRequestAt time.Time
}

// startBackend starts a backend server and its proxy, and registers it as ready.
func startBackend(t *testing.T, store *storetest.Store, executions *executionCounter, service string, index int, seed uint64) *backend {
	b := &backend{
		service: service, executions: executions, store: store, instanceID: fmt.Sprintf("i-%s-%d", service, index),
		random: rand.New(rand.NewPCG(seed, uint64(index))),
	}
	b.server = httptest.NewServer(b)
	t.Cleanup(func() {
		b.server.CloseClientConnections()
		b.server.Close()
	})
	b.proxy = startProxy(t, b.server.Listener.Addr().String())
	b.register("ready")
	return b
}

// register writes the server's entry with the given state to the store.
func (b *backend) register(state string) {
	b.mu.Lock()
	b.sequence++
	instanceID, sequence := b.instanceID, b.sequence
	b.mu.Unlock()
	b.store.Put(platform.PrefixServers+instanceID, fmt.Appendf(nil,
		`{"address":%q,"info":{"service":%q,"version":"v1","zone":"z1","slots":3},"status":{"state":%q,"sequence":%d,"cold_left_ms":0}}`,
		b.proxy.address(), b.service, state, sequence))
}

// restart simulates a process restart: the entry is deleted, all connections are
// closed, and a new instance registers at the same address.
func (b *backend) restart(generation int) {
	b.store.Delete(platform.PrefixServers + b.currentInstance())
	b.server.CloseClientConnections()
	b.mu.Lock()
	b.instanceID = fmt.Sprintf("i-%s-new-%d", b.service, generation)
	b.mu.Unlock()
	b.register("ready")
}

// currentInstance returns the ID of the running instance.
func (b *backend) currentInstance() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instanceID
}

// lastRequestTime returns when the last request for this server arrived.
func (b *backend) lastRequestTime() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastRequestAt
}

// setFaultRates sets which fractions of requests, from 0 to 1, lose their response
// or are refused.
func (b *backend) setFaultRates(dropResponseRate, refusalRate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropResponseRate, b.refusalRate = dropResponseRate, refusalRate
}

// drawOutcome records a request that arrived at now and randomly decides whether
// its response is dropped, whether it is refused, and how long it takes.
func (b *backend) drawOutcome(now time.Time) (dropResponse, refuse bool, processingTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastRequestAt = now
	return b.random.Float64() < b.dropResponseRate, b.random.Float64() < b.refusalRate, time.Duration(5+b.random.IntN(60)) * time.Millisecond
}

// responseBody returns the complete response body expected for a request.
func responseBody(requestID string) string { return "body of " + requestID + "\n" }

// ServeHTTP executes a request, unless it expects another instance or is refused.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, requestID)
	if expect := r.Header.Get(platform.HeaderExpectedInstance); expect != "" && expect != b.currentInstance() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	dropResponse, refuse, processingTime := b.drawOutcome(time.Now())
	if refuse {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.executions.increment(requestID)
	time.Sleep(processingTime)
	if dropResponse {
		resetConn(w)
		return
	}
	w.Header().Set(platform.HeaderSeal, "seal of "+requestID)
	// A write error means that the client has disconnected.
	_, _ = io.WriteString(w, responseBody(requestID))
}

// resetConn closes the connection of a request with a TCP reset instead of a
// response.
func resetConn(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
