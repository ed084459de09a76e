package intake

import (
	"context"
	"io"
	"net/http"
	"time"
)

// discardTime is how long the rest of a body may take to arrive that is not needed.
const discardTime = time.Second

// KeepAliveBody is the length in bytes of a body up to which an answer that does not
// need the body keeps the connection.
const KeepAliveBody = 16 << 10

type connKey struct{}

// FromContext returns the connection of a request, or nil if it is not accounted.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Reserve accounts bytes that are held for the request until it ends, or until Release.
// It may evict other clients. It reports false if the request must be refused.
func (c *Conn) Reserve(bytes int) bool { return c == nil || c.guard.reserve(c.client, int64(bytes)) }

// TryReserve is like Reserve, but evicts nobody.
func (c *Conn) TryReserve(bytes int) bool {
	if c == nil {
		return true
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.table.TryReserve(c.client, int64(bytes))
}

// Hold accounts bytes that the request holds in any case, until Release.
func (c *Conn) Hold(bytes int) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.hold(c.client, int64(bytes))
}

// Release ends the accounting of bytes that the request no longer holds.
func (c *Conn) Release(bytes int) {
	if c == nil || bytes == 0 {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.Release(c.client, int64(bytes))
	c.guard.signalReleased()
}

// Dispatched records that the request is being sent to a server. It reports false if the
// client was evicted before; the request must be refused then.
func (c *Conn) Dispatched() bool {
	if c == nil {
		return true
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.client.evicted {
		return false
	}
	c.guard.table.Enter(c.client, Serving, time.Now())
	return true
}

// IsTooSlow reports whether reading failed because the client takes too long.
func IsTooSlow(err error) bool { return err == errTooSlow }

// Handler returns a handler that accounts the requests that inner serves.
func (g *Guard) Handler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			inner.ServeHTTP(w, r)
			return
		}
		if !c.begin() {
			panic(http.ErrAbortHandler)
		}
		defer c.finish()
		if r.ContentLength == 0 {
			inner.ServeHTTP(w, r)
			return
		}
		// net/http looks at the body of its own request to decide whether the client needs
		// time to read the response before the connection is reset.
		measured := *r
		measured.Body = &measuredBody{ReadCloser: r.Body, conn: c}
		inner.ServeHTTP(w, &measured)
	})
}

// Hold accounts a request that is started before net/http has read it, on the connection
// of ctx. It returns false if the connection is to be closed, and otherwise a function that
// ends the accounting.
func (g *Guard) Hold(ctx context.Context) (release func(), ok bool) {
	c := FromContext(ctx)
	if c == nil {
		return func() {}, true
	}
	if !c.begin() {
		return nil, false
	}
	return c.finish, true
}

// Abort ends the response to r, which is not complete, and its connection. A client of
// HTTP/1.0 knows the end of a response without a length only by that of the connection, which
// is therefore reset.
func Abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		FromContext(r.Context()).resetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes Close reset the connection.
func (c *Conn) resetOnClose() {
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// If this fails, the connection has failed.
		_ = tcp.SetLinger(0)
	}
}

// WithoutBody returns a handler for requests whose bodies mean nothing.
func WithoutBody(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		DiscardBody(w, r)
		inner.ServeHTTP(w, r)
	})
}

// DiscardBody prepares an answer to a request whose body is not read. net/http reads up
// to 256 KiB of it before it sends the answer, unless the connection is to be closed.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > KeepAliveBody {
		w.Header().Set("Connection", "close")
	}
	// If this fails, the connection has failed.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime))
}

// measuredBody records how long reading a body waits for the client.
type measuredBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *measuredBody) Read(p []byte) (int, error) {
	b.conn.transfer(func(now time.Time) { b.conn.client.sent.start(now) })
	n, err := b.ReadCloser.Read(p)
	b.conn.transfer(func(now time.Time) { b.conn.client.sent.stop(n, now) })
	return n, err
}
