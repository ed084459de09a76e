// Package pipeline lets requests that a client sends before the previous response run
// concurrently, in a server of net/http, which answers them in order. See README.md.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/background"
)

const (
	// maxStarted is the number of requests of one connection that are started early and
	// wait for their turn. Together they must not fill the queues of a service.
	maxStarted = 16
	// maxReadAheadBytes is the number of received bytes that one connection holds.
	maxReadAheadBytes = 16 << 10
	// maxHeadBytes is the size of the largest request head that is started early.
	maxHeadBytes = 8 << 10
	// maxHeldBytes is the number of response bytes that one connection holds for requests
	// whose turn has not come.
	maxHeldBytes = 128 << 10
	// HoldLimit is the number of bytes that the handler of a started request should keep
	// of its response before it writes them. They come on top of maxHeldBytes.
	HoldLimit = 32 << 10
	// minWriteTime is the least time to send a response that was held. Its own deadline
	// may have passed because of an earlier response; a failed write would cost the client
	// all responses behind it.
	minWriteTime = 2 * time.Second
	// drainPollInterval is how often Drain looks for started requests.
	drainPollInterval = 5 * time.Millisecond
)

// Reasons why no further request of a connection is started early.
const (
	// StopKind: the owner doesn't allow it, or not behind the current request.
	StopKind = "kind"
	// StopForm: the head is not of the accepted form, or announces a body.
	StopForm = "form"
	// StopDraining: the process is about to stop.
	StopDraining = "draining"
	// StopHeld: Hold forbids it.
	StopHeld = "held"
	// StopCount, StopBytes and StopResponses: a bound of the connection is reached, on
	// requests, received bytes or response bytes.
	StopCount     = "count"
	StopBytes     = "bytes"
	StopResponses = "response_bytes"
)

// Options configures a Handler. All fields but Hold are required.
type Options struct {
	// Handler serves the requests. It must not modify them. A started request has a
	// response writer that supports flushing and write deadlines.
	Handler http.Handler
	// MayStart reports whether a GET or HEAD request may run while others of its
	// connection do. It may be called while r is served.
	MayStart func(r *http.Request) bool
	// Hold, if not nil, is called with the context of the connection before a request is
	// started. It returns false if the request must not be started, and a function that is
	// called when the request has been answered or dropped.
	Hold func(ctx context.Context) (release func(), ok bool)
	// OnStart and OnStop report a started request, and why no further one is started. OnDrop
	// reports a started request that is not answered, and whether its response was complete.
	// They must return quickly.
	OnStart func()
	OnStop  func(reason string)
	OnDrop  func(finished bool)
}

// Handler is the http.Handler of a server that starts pipelined requests early. It is safe
// for concurrent use.
type Handler struct {
	opts     Options
	draining atomic.Bool
	pending  atomic.Int64
}

// NewHandler returns a Handler.
func NewHandler(opts Options) *Handler { return &Handler{opts: opts} }

type connKey struct{}

// Configure makes server serve the connections of Listener, which may be wrapped. It sets
// the hooks ConnContext and ConnState, which call those that were set before.
func (h *Handler) Configure(server *http.Server) {
	outerContext, outerState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if outerContext != nil {
			ctx = outerContext(ctx, conn)
		}
		c := connOf(conn)
		if c == nil {
			return ctx
		}
		c.base = ctx
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if outerState != nil {
			outerState(conn, state)
		}
		if c := connOf(conn); c != nil && state == http.StateIdle {
			c.idle()
		}
	}
}

// connOf returns the connection that conn is or wraps, or nil.
func connOf(conn net.Conn) *Conn {
	for {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// Listener returns a listener whose TCP connections start requests early.
func (h *Handler) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, handler: h}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		h.opts.Handler.ServeHTTP(w, r)
		return
	}
	s := c.begin(r)
	panicking := true
	defer func() { c.finish(w, panicking) }()
	if s != nil {
		defer s.release()
		s.answer(w, r)
	} else {
		h.opts.Handler.ServeHTTP(w, r)
	}
	panicking = false
}

// Pending returns the number of requests that were started early and whose turn has not
// come.
func (h *Handler) Pending() int64 { return h.pending.Load() }

// StopStarting makes further requests wait for the previous responses.
func (h *Handler) StopStarting() { h.draining.Store(true) }

// Drain waits until the turn of all started requests has come or ctx ends. No further ones
// are started. A shutdown of the server closes each connection after the current response,
// and would leave them without an answer.
func (h *Handler) Drain(ctx context.Context) {
	h.StopStarting()
	for h.Pending() > 0 && background.Sleep(ctx, drainPollInterval) {
	}
}
