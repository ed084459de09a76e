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

// runs counts the runs of each request over all servers.
type runs struct {
	mu    sync.Mutex
	count map[string]int
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id]
}

// backend is a backend server behind a proxy. It may lose answers after a run
// and refuse without one.
type backend struct {
	service string
	server  *httptest.Server
	proxy   *proxy
	runs    *runs
	store   *storetest.Store

	mu sync.Mutex
	// id names the process and changes when it starts anew.
	id       string
	sequence int
	random   *rand.Rand
	// lose and refuse are shares of requests.
	lose, refuse float64
	// arrived is when the last request came that this process was meant to get.
	arrived time.Time
}

func startBackend(t *testing.T, store *storetest.Store, all *runs, service string, number int, seed uint64) *backend {
	b := &backend{
		service: service, runs: all, store: store, id: fmt.Sprintf("i-%s-%d", service, number),
		random: rand.New(rand.NewPCG(seed, uint64(number))),
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

// register writes the server's entry.
func (b *backend) register(state string) {
	b.mu.Lock()
	b.sequence++
	id, sequence := b.id, b.sequence
	b.mu.Unlock()
	b.store.Put(platform.PrefixServers+id, fmt.Appendf(nil,
		`{"address":%q,"info":{"service":%q,"version":"v1","zone":"z1","slots":3},"status":{"state":%q,"sequence":%d,"cold_left_ms":0}}`,
		b.proxy.address(), b.service, state, sequence))
}

// restart ends the process and starts another one at its address.
func (b *backend) restart(number int) {
	b.store.Delete(platform.PrefixServers + b.name())
	b.server.CloseClientConnections()
	b.mu.Lock()
	b.id = fmt.Sprintf("i-%s-new-%d", b.service, number)
	b.mu.Unlock()
	b.register("ready")
}

func (b *backend) name() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.id
}

func (b *backend) lastArrival() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrived
}

func (b *backend) misbehave(lose, refuse float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lose, b.refuse = lose, refuse
}

// draw decides how a request that arrives now is treated.
func (b *backend) draw(now time.Time) (lose, refuse bool, work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived = now
	return b.random.Float64() < b.lose, b.random.Float64() < b.refuse, time.Duration(5+b.random.IntN(60)) * time.Millisecond
}

// body is the whole answer to a request.
func body(id string) string { return "body of " + id + "\n" }

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	if expect := r.Header.Get(platform.HeaderExpectedInstance); expect != "" && expect != b.name() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	lose, refuse, work := b.draw(time.Now())
	if refuse {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.runs.add(id)
	time.Sleep(work)
	if lose {
		closeConn(w)
		return
	}
	w.Header().Set(platform.HeaderSeal, "seal of "+id)
	// The caller may be gone.
	_, _ = io.WriteString(w, body(id))
}

func closeConn(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
