package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fuchsiaspar/internal/header"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 2 * time.Second
	// keepAliveIdle is how long a connection is idle before the kernel sends
	// keep-alive probes. A longer time means fewer probes on unused connections.
	keepAliveIdle = 5 * time.Second
	// keepAliveProbes is the number of unanswered TCP keep-alive probes after
	// which the kernel closes a connection.
	keepAliveProbes = 3
	// minUserTimeout is the lower bound of TCP_USER_TIMEOUT, the time that sent
	// data may stay unacknowledged before the kernel closes a connection. It
	// also bounds how long a server may keep its receive window closed, so it
	// must exceed the time until a server reads a queued upload.
	minUserTimeout = 20 * time.Second
)

// abandonedBit marks a connection that rejects further writes.
const abandonedBit = 1 << 63

// trackedConn counts the writes and bytes of one connection. After abandon, no
// further byte is passed to the kernel.
type trackedConn struct {
	net.Conn
	// writes counts the calls of Write that reached the kernel; abandonedBit is
	// set once the connection is abandoned.
	writes atomic.Uint64
	// bytes counts the bytes read and written.
	bytes   atomic.Uint64
	closed  atomic.Bool
	onClose func()

	mu sync.Mutex
	// head checks the header of the response that is being read.
	head header.HeadScanner
}

// Write writes p unless the connection was abandoned.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.writes.Add(1)&abandonedBit != 0 {
		return 0, errAbandoned
	}
	n, err := c.Conn.Write(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// Read reads from the connection, counts the bytes and checks those of a header. It fails
// once a header has too many fields. The bytes up to there count as read, since
// http.Transport would take a failure without any for a connection that had been closed
// before the request, and would send the request again.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(uint64(n))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Scan(p[:n]); c.head.Oversized() {
		return n, errTooManyFields
	}
	return n, err
}

// beginHead makes Read check the header that arrives next.
func (c *trackedConn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Reset()
}

// headError returns why the header must not be used, or nil.
func (c *trackedConn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.head.Invalid():
		return errInvalidField
	case c.head.Oversized():
		return errTooManyFields
	}
	return nil
}

// Close closes the connection and calls onClose once.
func (c *trackedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.onClose()
	}
	return c.Conn.Close()
}

// writesBegun returns the number of writes begun so far.
func (c *trackedConn) writesBegun() uint64 { return c.writes.Load() &^ abandonedBit }

// abandon closes the connection and returns the number of writes begun before.
// Later writes fail without passing a byte to the kernel, and zero linger makes
// the kernel discard unsent data, so that no request reaches the server long
// after its attempt has ended.
func (c *trackedConn) abandon() uint64 {
	begun := c.writes.Or(abandonedBit) &^ abandonedBit
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
	return begun
}

// newDialer returns a dialer whose connections the kernel closes after the
// remote host has been unreachable for a while.
func newDialer(silence time.Duration) *net.Dialer {
	userTimeout := max(minUserTimeout, (keepAliveProbes+1)*silence)
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     max(keepAliveIdle, silence),
			Interval: silence,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, userTimeout)
		},
	}
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// dialTracked opens a connection and counts it in open until it is closed.
func dialTracked(ctx context.Context, dial DialFunc, address string, open *atomic.Int64) (net.Conn, error) {
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	open.Add(1)
	return &trackedConn{Conn: conn, onClose: func() { open.Add(-1) }}, nil
}
