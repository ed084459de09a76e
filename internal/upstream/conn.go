package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the set-up of a connection. The farthest region is
	// 70 ms away and back, and a server that has queues takes some more; one lost
	// packet costs a second, in which another server has answered.
	dialTimeout = 300 * time.Millisecond
	// readBuffer holds the head and, mostly, the body of an answer.
	readBuffer = 8 << 10
	// defaultIdle is how long a connection is reused when the server does not
	// say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time for which a server says that it keeps a
	// connection: twice the longest way plus a late timer.
	idleMargin = 500 * time.Millisecond
	// userTimeout ends a connection whose bytes stay unacknowledged: under the
	// shortest time of a route (0.8 s), so that a request at a server that is gone
	// without a sign can be repeated, and over the time in which a lost packet is
	// sent once more.
	userTimeout = 600 * time.Millisecond
)

// conn is one connection to a server. One exchange uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	raw    syscall.RawConn
	// usableUntil is when the connection is too old to be reused.
	usableUntil time.Time
}

func dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without raw access the connection is used without the look at
		// waiting bytes.
		out.raw, _ = tcp.SyscallConn()
	}
	return out, nil
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

// quiet says that nothing has arrived on an idle connection, neither bytes of
// nobody's answer nor its end.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	var one [1]byte
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (c *conn) usable(now time.Time) bool { return now.Before(c.usableUntil) && c.quiet() }

// rest marks the connection as idle. keep is how long the server keeps it, or
// zero when it did not say.
func (c *conn) rest(now time.Time, keep time.Duration) {
	if keep == 0 {
		keep = defaultIdle
	}
	// A deadline that passes while the connection rests would make it look
	// broken. A connection that refuses this fails its next use.
	_ = c.SetDeadline(time.Time{})
	c.usableUntil = now.Add(keep - idleMargin)
}
