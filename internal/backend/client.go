// Package backend carries attempts to backend servers over HTTP/1.1. It keeps
// a pool of connections to each server, says of every failed attempt whether
// it ran, and finds connections that have gone silent.
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
	// connReport is the interval at which the count of open connections is
	// reported.
	connReport = time.Second
)

// Options configures a Client.
type Options struct {
	Logger *log.Logger
	Scope  tally.Scope
	// Silence is how long an attempt may wait without progress on its
	// connection before the server is asked about it on a new connection.
	Silence time.Duration
	// PlainSilence is how long an idempotent attempt at a server without the
	// control protocol may wait without progress before its connection counts
	// as silent. Zero leaves it to the deadline and the kernel.
	PlainSilence time.Duration
	// IdleTimeout is how long an unused connection is kept. It must be shorter
	// than the servers' own idle timeout.
	IdleTimeout time.Duration
	// Dial opens a connection; nil takes TCP with keep-alive and user timeout.
	Dial DialFunc
}

// DialFunc opens a connection to a server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Target is a backend server.
type Target struct {
	ID      model.ServerID
	Address string
	// MaxConns is the count of connections that this client may have open to
	// the server. Some of them are kept for probes and cancellations.
	MaxConns int
}

// Request is one attempt at a request.
type Request struct {
	Attempt model.AttemptID
	Method  string
	// Path is the path with the raw query.
	Path   string
	Header http.Header
	// Body is read until its end or until the attempt ends. A Read in progress
	// may outlast Do.
	Body io.Reader
	// ContentLength is the length of Body, zero for none and negative when it
	// is not known.
	ContentLength int64
	// Deadline ends the attempt. Zero means that only the context does.
	Deadline   time.Time
	Idempotent bool
}

// Response is the answer to an attempt.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is negative when the length is not known.
	ContentLength int64
	// Body returns io.EOF only after the whole answer; any other end is an
	// *Error. It must be closed.
	Body io.ReadCloser
	// Trailer is complete once Body has returned io.EOF.
	Trailer http.Header
	// Draining says that the server told that it is leaving.
	Draining bool
}

// Client carries attempts to backend servers. It is safe for concurrent use.
type Client struct {
	opts    Options
	metrics *metrics
	ctx     context.Context
	stop    context.CancelFunc
	work    sync.WaitGroup

	mu     sync.Mutex
	closed bool
	pools  map[model.ServerID]*pool
}

// New returns a client without connections.
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
	c.work.Go(c.reportConns)
	return c
}

// Do carries an attempt to a server. The error is always an *Error. A Response
// may precede the end of the upload.
func (c *Client) Do(ctx context.Context, target Target, req *Request) (*Response, error) {
	c.metrics.attempts.Inc(1)
	resp, err := c.do(ctx, target, req)
	if err != nil {
		c.metrics.failure(err.Outcome, err.Reason)
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

// pool returns the pool of a server, with a new one when its address changed.
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

// Retain closes the pools of all servers that are not listed. Attempts in
// flight go on.
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

// Close ends all attempts and waits for background work.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	pools := c.pools
	c.pools = nil
	c.mu.Unlock()
	c.stop()
	c.work.Wait()
	for _, p := range pools {
		p.retire()
	}
}

// background runs f on a goroutine that Close waits for. It returns false when
// the client is closed.
func (c *Client) background(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.work.Go(f)
	return true
}

func (c *Client) reportConns() {
	ticker := time.NewTicker(connReport)
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
		n += p.open.Load()
	}
	return n
}
