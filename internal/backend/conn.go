package backend

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 2 * time.Second
	// keepAliveIdle is how long a connection is quiet before the kernel probes
	// it. It is long enough to keep the probes of unused connections few.
	keepAliveIdle = 5 * time.Second
	// keepAliveProbes is the count of unanswered TCP keep-alive probes after
	// which the kernel ends a connection.
	keepAliveProbes = 3
	// minUserTimeout is the shortest time that written data may stay
	// unacknowledged before the kernel ends a connection. It also bounds how
	// long a server may keep its receive window closed, so it must be longer
	// than a server takes to get to a waiting upload.
	minUserTimeout = 20 * time.Second
)

// abandonedBit marks a connection that takes no more writes.
const abandonedBit = 1 << 63

// trackedConn counts the traffic of one connection. It can be abandoned, after
// which no further byte is passed to the kernel.
type trackedConn struct {
	net.Conn
	// writes counts the calls of Write that were passed on; abandonedBit is
	// set once the connection is abandoned.
	writes atomic.Uint64
	// bytes counts bytes read and written.
	bytes   atomic.Uint64
	closed  atomic.Bool
	onClose func()
}

// Write passes p to the kernel unless the connection was abandoned.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.writes.Add(1)&abandonedBit != 0 {
		return 0, errAbandoned
	}
	n, err := c.Conn.Write(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// Read reads from the connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.onClose()
	}
	return c.Conn.Close()
}

// begun returns the count of writes begun so far.
func (c *trackedConn) begun() uint64 { return c.writes.Load() &^ abandonedBit }

// abandon closes the connection and returns the count of writes begun before.
// A write that begins later fails without passing a byte on, and the kernel
// drops what it has not sent yet, so that no request arrives long after its
// attempt was given up.
func (c *trackedConn) abandon() uint64 {
	begun := c.writes.Or(abandonedBit) &^ abandonedBit
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
	return begun
}

// newDialer returns a dialer whose connections the kernel ends by itself when
// the other end has been unreachable for long.
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

// dialTracked opens a connection and counts it until it is closed.
func dialTracked(ctx context.Context, dial DialFunc, address string, open *atomic.Int64) (net.Conn, error) {
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	open.Add(1)
	return &trackedConn{Conn: conn, onClose: func() { open.Add(-1) }}, nil
}
