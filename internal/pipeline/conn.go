package pipeline

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"fuchsiaspar/internal/unread"
)

// phase is what net/http does with the bytes that the connection delivers.
type phase uint8

const (
	// phaseHead: the next byte belongs to a request head, or starts one.
	phaseHead phase = iota
	// phaseServe: a head has been delivered completely and nothing behind it, so that
	// net/http has no buffered bytes. Until the handler is called, it may have a body.
	phaseServe
	// phaseBody: the next bytes, as many as are left, are the body of a request.
	phaseBody
	// phaseLost: what net/http does with the next byte is not known, for example within
	// a chunked body. All bytes are passed on.
	phaseLost
)

// Conn is a connection of a client. It delivers the received bytes to net/http unchanged
// and in order, but at most one request head at a time, so that the position of a request
// in the stream is known when its handler is called.
//
// A method that reads is called by one goroutine at a time, as net/http does.
type Conn struct {
	*net.TCPConn
	handler *Handler
	// base is the context of the connection, without cancellation.
	base context.Context

	mu sync.Mutex
	// buf holds bytes that were received and have not been delivered. Only the goroutine
	// that reads changes it.
	buf readBuffer
	// position is the offset in the stream of the next byte to deliver.
	position int64
	phase    phase
	// scanner finds the end of the head in phaseHead.
	scanner headScanner
	// headStart and boundary are the offsets of the current request and of what follows it.
	headStart, boundary int64
	// handed is the byte behind boundary, if net/http has read it while serving.
	handed byte
	// bodyLeft is the number of bytes left in phaseBody.
	bodyLeft int64
	// readSize is the size of net/http's read buffer: that of its first read.
	readSize int
	// resync is the progress of finding the start of a request after phaseLost.
	resync       resync
	readDeadline time.Time

	ahead readAhead
	input unread.Input
}

// resync orders the calls that net/http makes between two requests. A read of its whole
// buffer that follows directly begins at the start of a request.
type resync uint8

const (
	resyncNone resync = iota
	resyncIdle
	resyncDeadlineSet
)

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return c.input.Read(c.TCPConn, p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readSize == 0 {
		c.readSize = len(p)
	}
	if c.phase == phaseLost {
		if c.resync == resyncDeadlineSet && len(p) == c.readSize {
			c.beginHead(c.position)
		}
		c.resync = resyncNone
	}
	if c.atBoundary() {
		if len(p) == 1 {
			return c.readBackground(p)
		}
		c.lose()
	}
	if c.buf.len() > 0 {
		if !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		n := c.deliver(p[:copy(p, c.buf.bytes())])
		c.buf.drop(n)
		return n, nil
	}
	c.buf.release()
	p = p[:min(len(p), c.readLimit())]
	c.mu.Unlock()
	n, err := c.input.Read(c.TCPConn, p)
	c.mu.Lock()
	if n > 0 {
		delivered := c.deliver(p[:n])
		c.buf.append(p[delivered:n])
		n = delivered
	}
	return n, err
}

// readLimit returns how much to read at once, so that what is received beyond the current
// request fits into the buffer.
func (c *Conn) readLimit() int {
	switch c.phase {
	case phaseHead:
		return maxReadAheadBytes
	case phaseBody:
		return int(max(c.bodyLeft, int64(min(c.readSize, maxReadAheadBytes))))
	}
	return int(^uint(0) >> 1)
}

// deliver returns how many of the next bytes of the stream net/http gets now.
func (c *Conn) deliver(p []byte) int {
	n := len(p)
	switch c.phase {
	case phaseHead:
		if end := c.scanner.end(p); end >= 0 {
			n = end
			c.phase = phaseServe
			c.scanner = headScanner{}
			c.boundary = c.position + int64(n)
			c.ahead.begun, c.ahead.stopped = false, false
		}
	case phaseBody:
		n = int(min(c.bodyLeft, int64(n)))
		c.bodyLeft -= int64(n)
	case phaseServe, phaseLost:
	}
	c.position += int64(n)
	return n
}

// atBoundary reports whether net/http has read the current request completely and nothing
// behind it, or at most one byte.
func (c *Conn) atBoundary() bool {
	return c.phase == phaseServe || c.phase == phaseBody && c.bodyLeft == 0
}

func (c *Conn) beginHead(start int64) {
	c.phase = phaseHead
	c.headStart = start
}

// lose stops following what net/http does until the start of a request is found again.
func (c *Conn) lose() {
	c.phase = phaseLost
	c.resync = resyncNone
	c.ahead.eligible = false
	c.cancelStarted()
}

// idle is called when net/http has sent a response and is about to wait for the next
// request.
func (c *Conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.atBoundary() {
		c.beginHead(c.boundary)
		return
	}
	c.lose()
	c.resync = resyncIdle
}

// readBackground is the read of one byte by which net/http notices, while a request is
// served, that the client disconnects. It reads ahead if that is allowed. Like the read of
// a plain connection, it returns on an error, or a byte if reading ahead has stopped.
func (c *Conn) readBackground(p []byte) (int, error) {
	for {
		if c.buf.len() > 0 && c.canReadAhead() {
			space := c.buf.space()
			c.mu.Unlock()
			n, err := c.input.Read(c.TCPConn, space)
			c.mu.Lock()
			c.buf.grow(n)
			if err != nil {
				c.readFailed(err)
				return 0, err
			}
			c.startAhead()
			continue
		}
		c.mu.Unlock()
		n, err := c.input.Read(c.TCPConn, p[:1])
		c.mu.Lock()
		if n == 0 {
			c.readFailed(err)
			return 0, err
		}
		if c.canReadAhead() {
			c.buf.append(p[:1])
			c.startAhead()
			continue
		}
		if c.buf.len() > 0 {
			next := p[0]
			p[0] = c.buf.bytes()[0]
			c.buf.drop(1)
			c.buf.append([]byte{next})
		}
		c.scanner.end(p[:1])
		c.handed = p[0]
		c.position++
		return 1, nil
	}
}

// readFailed cancels the started requests unless err is a timeout, by which net/http ends
// its background read.
func (c *Conn) readFailed(err error) {
	// net returns this type unwrapped. errors.As would allocate for each request.
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return
	}
	c.ahead.ended = true
	for _, s := range c.ahead.queue {
		s.cancel()
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.noteReadDeadline(t)
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.noteReadDeadline(t)
	return c.TCPConn.SetDeadline(t)
}

func (c *Conn) noteReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	switch c.resync {
	case resyncIdle:
		c.resync = resyncDeadlineSet
	case resyncDeadlineSet, resyncNone:
		c.resync = resyncNone
	}
}

// WriteTo implements io.WriterTo by Read, so that the buffered bytes are not skipped.
func (c *Conn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// Close implements net.Conn. It cancels the requests that were started early, and discards
// unread ones, so that the client gets the responses that were sent.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.ahead.ended = true
	c.cancelStarted()
	c.mu.Unlock()
	c.input.Discard(c.TCPConn)
	return c.TCPConn.Close()
}

// begin is called when net/http calls the handler for a request. It returns the started
// request that this is, or nil.
func (c *Conn) begin(r *http.Request) *started {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.ahead
	if c.phase != phaseServe || a.begun {
		// After phaseLost, net/http may have the rest of this request buffered.
		c.lose()
		return nil
	}
	s := c.takeStarted(r)
	a.begun, a.current, a.checked = true, r, false
	a.eligible = false
	switch {
	case r.ContentLength > 0 && len(r.TransferEncoding) == 0:
		c.phase, c.bodyLeft = phaseBody, r.ContentLength
		c.boundary += r.ContentLength
	case r.ContentLength != 0 || len(r.TransferEncoding) > 0:
		c.lose()
	default:
		a.eligible = (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.ProtoAtLeast(1, 1) && !r.Close &&
			r.Header.Get("Upgrade") == "" && r.Header.Get("Expect") == ""
		c.startAhead()
	}
	return s
}

// finish is called when the handler has returned or panicked. Nothing is started until the
// next one is called.
func (c *Conn) finish(w http.ResponseWriter, panicking bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.current = nil
	if len(c.ahead.queue) == 0 {
		// Header would copy the header that has been written.
		return
	}
	if panicking || w.Header().Get("Connection") == "close" {
		c.ahead.ended = true
		c.cancelStarted()
	}
}

// listener wraps accepted connections.
type listener struct {
	net.Listener
	handler *Handler
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &Conn{TCPConn: tcp, handler: l.handler}, nil
	}
	return conn, nil
}
