// Package unread closes connections so that the peer gets all that was written. Linux resets
// a connection that is closed with unread input, and drops what it has not delivered.
package unread

import (
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// maxDiscarded bounds the bytes that Discard takes from one connection.
const maxDiscarded = 256 << 10

// Input is the input of a connection. The zero value is ready for use. It is safe for
// concurrent use.
type Input struct {
	closing atomic.Bool
}

// Read reads from the connection. It fails once Discard has been called, since bytes that
// arrive then follow a gap.
func (i *Input) Read(c net.Conn, p []byte) (int, error) {
	n, err := c.Read(p)
	if i.closing.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Discard takes what the kernel holds of the input of a connection that is about to be
// closed.
func (i *Input) Discard(c *net.TCPConn) {
	i.closing.Store(true)
	raw, err := c.SyscallConn()
	if err != nil {
		// The connection is closed.
		return
	}
	// An error means the same.
	_ = raw.Control(func(fd uintptr) {
		var part [4 << 10]byte
		for range maxDiscarded / len(part) {
			if n, _, err := unix.Recvfrom(int(fd), part[:], unix.MSG_DONTWAIT); err != nil || n < len(part) {
				return
			}
		}
	})
}
