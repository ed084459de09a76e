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
	// controlConns is the count of connections kept for probes, health checks
	// and cancellations.
	controlConns = 2
	// maxResponseHeaderBytes bounds the headers of an answer.
	maxResponseHeaderBytes = 256 << 10
)

// pool holds the connections to one server. Attempts reuse connections;
// control requests always open a new one, so that they never wait on a
// connection that has gone silent.
type pool struct {
	target  Target
	data    *http.Transport
	control *http.Transport
	limit   int64
	busy    atomic.Int64
	open    atomic.Int64
	retired atomic.Bool

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
		return dialTracked(ctx, opts.Dial, address, &p.open)
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

// acquire takes one connection of the limit for an attempt.
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

// retire closes the idle connections now and the others after their attempts.
func (p *pool) retire() {
	p.retired.Store(true)
	p.data.CloseIdleConnections()
}

// sawInstance notes which process of the server answered.
func (p *pool) sawInstance(h http.Header) {
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

// sentTo returns the process that an active attempt was sent to.
func (p *pool) sentTo(attempt model.AttemptID) string {
	p.mu.Lock()
	ex := p.active[attempt]
	p.mu.Unlock()
	if ex == nil {
		return ""
	}
	return ex.sentTo()
}
