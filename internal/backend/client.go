// Package backend sends request attempts to backend servers over HTTP/1.1. It
// keeps a connection pool for each server, reports for every failed attempt
// whether the server may have executed it, and detects connections that no
// longer carry traffic although neither side closed them (silent connections).
//
// An attempt is reported as not run only with proof: no byte was passed to the
// kernel, the server refused the attempt, or the server process that it was sent
// to confirmed its cancellation before execution.
package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

const (
	// defaultSilence is Options.Silence when it is zero.
	defaultSilence = time.Second
	// defaultIdleTimeout is Options.IdleTimeout when it is zero.
	defaultIdleTimeout = 20 * time.Second
	// connReportInterval is the interval between updates of the gauge of open
	// connections.
	connReportInterval = time.Second
)

// Options configures a Client. Zero fields take defaults.
type Options struct {
	Logger *log.Logger
	Scope  tally.Scope
	// Silence is how long an attempt may make no progress on its connection
	// before its state is queried on a new connection. The default is 1 s.
	Silence time.Duration
	// PlainSilence is how long an idempotent attempt may make no progress at a
	// server without the control protocol before its connection counts as
	// silent. With zero, only the deadline and the kernel's timeouts apply.
	PlainSilence time.Duration
	// IdleTimeout is how long an unused connection is kept open. It must be
	// shorter than the idle timeout of the servers. The default is 20 s.
	IdleTimeout time.Duration
	// Dial opens a connection. The default dials TCP with keep-alive probes and
	// TCP_USER_TIMEOUT.
	Dial DialFunc
}

// DialFunc opens a connection to a server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Target identifies a backend server. Address is host:port.
type Target struct {
	ID      model.ServerID
	Address string
	// MaxConns is the number of connections that this client may open to the
	// server. Two of them are reserved for control requests.
	MaxConns int
}

// Request describes one attempt to execute a request.
type Request struct {
	Attempt model.AttemptID
	Method  string
	// Path is the path with the raw query. It must start with a slash.
	Path   string
	Header http.Header
	// Body is read until its end or until the attempt ends. A Read that is in
	// progress at that time may return after Do.
	Body io.Reader
	// ContentLength is the length of Body in bytes: zero without a body,
	// negative if unknown.
	ContentLength int64
	// Deadline ends the attempt. With the zero time, only the context does.
	Deadline   time.Time
	Idempotent bool
}

// Response is a server's response to an attempt.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of Body in bytes, negative if unknown.
	ContentLength int64
	// Body returns io.EOF only after the complete body; any other error is an
	// *Error. The caller must close it.
	Body io.ReadCloser
	// Trailer is complete once Body has returned io.EOF.
	Trailer http.Header
	// Draining is set if the server announced that it is draining.
	Draining bool
}

// Client sends attempts to backend servers. It is safe for concurrent use.
type Client struct {
	opts       Options
	metrics    *metrics
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu     sync.Mutex
	closed bool
	pools  map[model.ServerID]*pool
}

// New returns a Client. The caller must close it.
func New(opts Options) *Client {
	if opts.Logger == nil {
		opts.Logger = log.New(io.Discard)
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Silence == 0 {
		opts.Silence = defaultSilence
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	if opts.Dial == nil {
		opts.Dial = newDialer(opts.Silence).DialContext
	}
	c := &Client{opts: opts, metrics: newMetrics(opts.Scope), pools: make(map[model.ServerID]*pool)}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.goroutines.Go(c.reportConns)
	return c
}

// Do sends an attempt to a server and returns once the response headers have
// arrived. The error is always an *Error. A Response may be returned before the
// request body has been sent completely.
func (c *Client) Do(ctx context.Context, target Target, req *Request) (*Response, error) {
	c.metrics.attempts.Inc(1)
	resp, err := c.do(ctx, target, req)
	if err != nil {
		c.metrics.countFailure(err.Outcome, err.Reason)
		return nil, err
	}
	c.metrics.answers.Inc(1)
	return resp, nil
}

func (c *Client) do(ctx context.Context, target Target, req *Request) (*Response, *Error) {
	out, err := newHTTPRequest(target, req)
	if err != nil {
		return nil, notRun(model.ReasonMalformed, err)
	}
	p, err := c.pool(target)
	if err != nil {
		return nil, notRun(model.ReasonCancelled, err)
	}
	if !p.acquire() {
		return nil, notRun(model.ReasonConnect, ErrConnLimit)
	}
	return newExchange(ctx, c, p, req).do(out)
}

func notRun(reason model.Reason, err error) *Error {
	return &Error{Outcome: model.OutcomeNotRun, Reason: reason, Err: err}
}

// pool returns the connection pool of a server. It replaces the pool if the
// target's address or connection limit changed.
func (c *Client) pool(target Target) (*pool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	p, ok := c.pools[target.ID]
	if ok && p.target == target {
		return p, nil
	}
	if ok {
		p.retire()
	}
	p = newPool(target, c.opts)
	c.pools[target.ID] = p
	return p, nil
}

// Retain closes the pools of all servers that are not in targets. Attempts in
// flight continue.
func (c *Client) Retain(targets []model.ServerID) {
	keep := make(map[model.ServerID]bool, len(targets))
	for _, id := range targets {
		keep[id] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.pools {
		if keep[id] {
			continue
		}
		p.retire()
		delete(c.pools, id)
	}
}

// Close cancels all attempts and waits for the client's goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	pools := c.pools
	c.pools = nil
	c.mu.Unlock()
	c.stop()
	c.goroutines.Wait()
	for _, p := range pools {
		p.retire()
	}
}

// background runs f on a goroutine that Close waits for. It returns false if the
// client is closed.
func (c *Client) background(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.goroutines.Go(f)
	return true
}

func (c *Client) reportConns() {
	ticker := time.NewTicker(connReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			c.metrics.conns.Update(float64(c.openConns()))
		}
	}
}

func (c *Client) openConns() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n int64
	for _, p := range c.pools {
		n += p.openConns.Load()
	}
	return n
}
