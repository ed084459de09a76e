package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"fuchsiaspar/internal/header"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits connection setup. The round trip to the farthest region
	// takes 70 ms, and a busy server adds to that. A lost packet is retransmitted
	// only after 1 s, in which another server has responded.
	dialTimeout = 300 * time.Millisecond
	// readBufferSize is in bytes. The header and the body of most responses fit.
	readBufferSize = 8 << 10
	// defaultIdleTimeout is the idle timeout assumed for a server that does not
	// announce one.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from a server's idle timeout, so that a connection
	// is not reused while the server closes it. It covers two times the longest
	// network delay and a timer that fires late.
	idleMargin = 500 * time.Millisecond
	// userTimeout closes a connection whose sent data stays unacknowledged. It is
	// below the shortest route timeout (0.8 s), so that a request to a server that
	// disappeared without closing its connections can still be retried, and above
	// the time in which a lost packet is retransmitted once.
	userTimeout = 600 * time.Millisecond
)

// conn is a connection to a server, used by at most one exchange at a time.
type conn struct {
	net.Conn
	input  *boundedInput
	reader *bufio.Reader
	raw    syscall.RawConn
	// used reports whether the connection has carried an earlier exchange. What arrives
	// on it without naming a request may then belong to that one.
	used bool
	// onClose is called when the connection is closed, once or more often.
	onClose func()
	// reusableUntil is the time after which the idle connection is not reused.
	reusableUntil time.Time

	// writing is held during each write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// dial opens a connection with TCP_USER_TIMEOUT set to userTimeout.
func dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	input := &boundedInput{source: c}
	out := &conn{Conn: c, input: input, reader: bufio.NewReaderSize(input, readBufferSize)}
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without raw access the connection is still usable; noInputPending then
		// checks only the read buffer.
		out.raw, _ = tcp.SyscallConn()
	}
	return out, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if c.onClose != nil {
		c.onClose()
	}
	return err
}

// beginHead makes the input check the header that is read next. A part of it may have been
// buffered.
func (c *conn) beginHead() {
	c.input.head.Reset()
	// Peeking at what is buffered does not fail.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.input.head.Scan(buffered)
}

// Write implements net.Conn. It keeps the first error for endError.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endError returns why the end of the input, which has been read, is not the server's end
// of the connection, or nil if it is.
//
// The kernel reports a reset or a timeout of a connection to one system call only. If that
// is a write, reading finds an end of the input as if the server had closed the connection.
// A write to a connection that the server had closed before fails with EPIPE instead.
func (c *conn) endError() error {
	if !c.isDown() {
		return nil
	}
	// Since the connection is down, a write in progress returns at once.
	c.writing.Lock()
	defer c.writing.Unlock()
	var code syscall.Errno
	if errors.As(c.writeErr, &code) && code != syscall.EPIPE {
		return c.writeErr
	}
	return nil
}

// isDown reports whether the connection can carry no data in either direction, or whether
// that is unknown. After the server's end of the connection alone, it still can in one.
func (c *conn) isDown() bool {
	if c.raw == nil {
		return true
	}
	down := true
	// An error means that the connection was closed here.
	_ = c.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			down = info.State == unix.BPF_TCP_CLOSE
		}
	})
	return down
}

// boundedInput fails once more bytes are read than allowed. A server in trouble may
// send bytes without end where a response header is due, and the HTTP parser
// would keep all of them.
type boundedInput struct {
	source  io.Reader
	allowed int
	// head checks the header that is being read.
	head header.HeadScanner
}

// allow sets the number of bytes that may be read from now on.
func (b *boundedInput) allow(bytes int) { b.allowed = bytes }

// exhausted reports whether no more bytes may be read.
func (b *boundedInput) exhausted() bool { return b.allowed <= 0 || b.head.Oversized() }

// Read implements io.Reader.
func (b *boundedInput) Read(p []byte) (int, error) {
	if b.exhausted() {
		return 0, errTooManyBytes
	}
	n, err := b.source.Read(p[:min(len(p), b.allowed)])
	b.allowed -= n
	b.head.Scan(p[:n])
	return n, err
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// noInputPending reports whether an idle connection has received nothing: neither
// data, which would be an unexpected response, nor the end of the connection.
func (c *conn) noInputPending() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	empty := false
	var one [1]byte
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

// reusable reports whether a request can be sent on the idle connection.
func (c *conn) reusable(now time.Time) bool { return now.Before(c.reusableUntil) && c.noInputPending() }

// markIdle prepares the connection for reuse. idleTimeout is how long the server
// keeps it open, or zero if the server did not announce that.
func (c *conn) markIdle(now time.Time, idleTimeout time.Duration) {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	// A deadline that passes while the connection is idle would make the check
	// in noInputPending fail. If clearing it fails, so does the next use.
	_ = c.SetDeadline(time.Time{})
	c.used = true
	c.reusableUntil = now.Add(idleTimeout - idleMargin)
}
