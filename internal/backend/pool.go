package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"fuchsiaspar/internal/model"
)

const (
	// controlConns is the number of connections reserved for state queries,
	// health checks and cancellations.
	controlConns = 2
	// maxResponseHeaderBytes bounds the headers of a response.
	maxResponseHeaderBytes = 256 << 10
)

// pool holds the connections to one server. Attempts reuse connections. Control
// requests always open a new one, so that they never wait on a silent
// connection.
type pool struct {
	target    Target
	data      *http.Transport
	control   *http.Transport
	limit     int64
	busy      atomic.Int64
	openConns atomic.Int64
	retired   atomic.Bool

	mu       sync.Mutex
	instance string
	active   map[model.AttemptID]*exchange
}

func newPool(target Target, opts Options) *pool {
	p := &pool{
		target: target,
		limit:  int64(max(target.MaxConns-controlConns, 1)),
		active: make(map[model.AttemptID]*exchange),
	}
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return dialTracked(ctx, opts.Dial, address, &p.openConns)
	}
	p.data = &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxConnsPerHost:        int(p.limit),
		MaxIdleConnsPerHost:    int(p.limit),
		IdleConnTimeout:        opts.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	p.control = &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxConnsPerHost:        controlConns,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return p
}

// acquire reserves a connection for an attempt. It returns false at the limit.
func (p *pool) acquire() bool {
	if p.busy.Add(1) <= p.limit {
		return true
	}
	p.busy.Add(-1)
	return false
}

func (p *pool) release() {
	p.busy.Add(-1)
	if p.retired.Load() {
		p.data.CloseIdleConnections()
	}
}

// retire closes idle connections now and the others when their attempts end.
func (p *pool) retire() {
	p.retired.Store(true)
	p.data.CloseIdleConnections()
}

// recordInstance stores the instance that sent a response with headers h.
func (p *pool) recordInstance(h http.Header) {
	instance := h.Get(HeaderInstance)
	if instance == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instance = instance
}

func (p *pool) knownInstance() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance
}

func (p *pool) add(ex *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[ex.req.Attempt] = ex
}

func (p *pool) remove(ex *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active[ex.req.Attempt] == ex {
		delete(p.active, ex.req.Attempt)
	}
}

// attemptInstance returns the instance that an active attempt was sent to, empty
// if the attempt is not active or the instance is unknown.
func (p *pool) attemptInstance(attempt model.AttemptID) string {
	p.mu.Lock()
	ex := p.active[attempt]
	p.mu.Unlock()
	if ex == nil {
		return ""
	}
	return ex.targetInstance()
}
