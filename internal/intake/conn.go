package intake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fuchsiaspar/internal/unread"
)

const (
	// writePiece is the size in bytes of the parts of a response after which the
	// client's progress is recorded.
	writePiece = 16 << 10
	// refusalWriteTimeout bounds the write of a refusal to a client that is evicted while
	// it sends a header. It fits an empty send buffer at once.
	refusalWriteTimeout = 5 * time.Millisecond
	// maxRefusing bounds the connections that are being refused for new ones at once.
	maxRefusing = 16
)

// evictionError is the error of reading from a client that has to go. net/http closes
// the connection without a response of its own for a timeout.
type evictionError struct{ message string }

// Error implements error.
func (e *evictionError) Error() string { return e.message }

// Timeout implements net.Error.
func (e *evictionError) Timeout() bool { return true }

// Temporary implements net.Error.
func (e *evictionError) Temporary() bool { return false }

var (
	// ErrEvicted is the error of reading from a client that was evicted so that others
	// can be served.
	ErrEvicted = &evictionError{"intake: evicted"}
	// errTooSlow is the error of reading from a client that takes too long.
	errTooSlow = &evictionError{"intake: too slow"}
)

// Conn is a connection of a client. Its methods may be called on nil, for requests that
// are not accounted.
type Conn struct {
	net.Conn
	guard  *Guard
	client *Client
	closed sync.Once
	input  unread.Input

	// mu orders deadlines, so that one set later does not undo an eviction.
	mu      sync.Mutex
	evicted *evictionError

	// The fields below are guarded by the mutex of guard.

	// headerEnded reports whether the header of the current request has been read.
	headerEnded bool
	// lineLength is the length of the header's last line so far.
	lineLength int
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.evictionErr(); err != nil {
		return 0, err
	}
	n, err := c.input.Read(c.Conn, p)
	if refusal := c.headerArrived(p[:n]); refusal != 0 {
		c.refuseHeader(refusal)
		return 0, ErrEvicted
	}
	if err != nil {
		if evicted := c.evictionErr(); evicted != nil {
			return n, evicted
		}
	}
	return n, err
}

// headerArrived accounts what was read of a header. It returns the status with which the
// request must be refused, or zero.
func (c *Conn) headerArrived(p []byte) int {
	if len(p) == 0 {
		return 0
	}
	c.guard.mu.Lock()
	if phase := c.client.phase; c.headerEnded || (phase != Idle && phase != Header) {
		c.guard.mu.Unlock()
		return 0
	}
	size, lines := c.scanHeader(p)
	legal := c.guard.table.HeaderArrived(c.client, size, lines, time.Now())
	if !legal {
		c.guard.count(c.client.listener, "refused", reasonFields)
	}
	c.guard.mu.Unlock()
	switch {
	case !legal:
		return http.StatusRequestHeaderFieldsTooLarge
	case !c.guard.reserve(c.client, int64(size+lines*fieldCost)):
		return http.StatusServiceUnavailable
	}
	return 0
}

// scanHeader returns how many bytes and lines of p belong to the header, and notes
// whether it ended with an empty line. net/http accepts none before the request line.
func (c *Conn) scanHeader(p []byte) (size, lines int) {
	for size < len(p) {
		end := bytes.IndexByte(p[size:], '\n')
		if end < 0 {
			c.lineLength += len(p) - size
			return len(p), lines
		}
		// A line of one byte is the carriage return before the line feed.
		blank := c.lineLength+end <= 1
		size += end + 1
		c.lineLength = 0
		lines++
		if blank {
			c.headerEnded = true
			return size, lines
		}
	}
	return size, lines
}

// refuseHeader sends a response for a request of which nothing was served. Nothing else
// writes to the connection while a header arrives.
func (c *Conn) refuseHeader(status int) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	// The connection is closed whether or not the client gets the response.
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+
		"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(written+writePiece, len(p))]
		c.transfer(func(now time.Time) { c.client.taken.start(now) })
		n, err := c.Conn.Write(piece)
		c.transfer(func(now time.Time) { c.client.taken.stop(n, now) })
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *Conn) transfer(record func(now time.Time)) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	record(time.Now())
}

// CloseWrite closes the writing side, which net/http uses to let a client read a
// response before the connection is reset.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		c.input.Discard(tcp)
	}
	err := c.Conn.Close()
	c.closed.Do(func() { c.guard.remove(c.client) })
	return err
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(at)
}

// SetReadDeadline implements net.Conn. It does nothing once the client is evicted.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

func (c *Conn) evictionErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted == nil {
		return nil
	}
	return c.evicted
}

// evict ends a connection that the table has evicted. A request of which nothing was
// sent to a server is refused by its handler, whose reading fails with cause.
func (c *Conn) evict(cause *evictionError) {
	c.guard.mu.Lock()
	phase, inHeader := c.client.phase, c.client.headerBytes > 0
	c.guard.mu.Unlock()
	switch {
	case phase == Body:
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.evicted == nil {
			c.evicted = cause
			// If this fails, so does reading.
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
		return
	case phase == Header && inHeader:
		c.refuseHeader(refusalStatus(cause))
	}
	c.closeNow()
}

// closeForAnother closes a connection that the table has removed for a new one. A request
// whose header is arriving is refused, in another goroutine, since a client that reads no
// responses may delay the write. Beyond maxRefusing of them, connections are closed
// without a refusal, so that their descriptors are not in use beside new ones.
func (c *Conn) closeForAnother() {
	c.guard.mu.Lock()
	inHeader := c.client.phase == Header
	c.guard.mu.Unlock()
	if !inHeader || c.guard.refusing.Add(1) > maxRefusing {
		if inHeader {
			c.guard.refusing.Add(-1)
		}
		c.closeNow()
		return
	}
	go func() {
		defer c.guard.refusing.Add(-1)
		c.refuseHeader(http.StatusServiceUnavailable)
		c.closeNow()
	}()
}

func refusalStatus(cause *evictionError) int {
	if cause == errTooSlow {
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// closeNow closes the connection. Its goroutine in net/http ends with its next use.
func (c *Conn) closeNow() { _ = c.Close() }

// enter starts a phase of the connection.
func (c *Conn) enter(phase Phase) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.Enter(c.client, phase, time.Now())
	if phase == Idle {
		c.headerEnded, c.lineLength = false, 0
	}
	c.guard.signalReleased()
}

// finish ends the serving of a request. What is left of its body is still read.
func (c *Conn) finish() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.Finish(c.client, time.Now())
	c.guard.signalReleased()
}

// begin starts the body of a request. It reports false if the client has been evicted:
// the request must not be served then, since it may have been refused.
func (c *Conn) begin() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.headerEnded = true
	if c.client.evicted {
		return false
	}
	c.guard.table.Begin(c.client, time.Now())
	return true
}
