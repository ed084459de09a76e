package intake

import (
	"math"
	"syscall"

	"golang.org/x/sys/unix"
)

// UsableDescriptors returns the smaller of the stated number of descriptors and that
// which the system allows the process; zero if neither is limited.
func UsableDescriptors(stated int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return stated
	}
	if stated <= 0 || int(limit.Cur) < stated {
		return int(limit.Cur)
	}
	return stated
}

// maxDiscarded bounds the bytes that discardUnread takes from one connection.
const maxDiscarded = 256 << 10

// hasUnread reports whether the kernel holds input of the connection. It is false if the
// connection has failed, or gives no access to its descriptor.
func (c *Conn) hasUnread() bool {
	if c == nil {
		return false
	}
	unread := false
	c.control(func(fd int) {
		var one [1]byte
		n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// discardUnread takes what the kernel holds of the connection's input. If a connection is
// closed with unread input, as that of a client that has sent further requests, the kernel
// resets it and drops the part of the responses that has not been delivered.
func (c *Conn) discardUnread() {
	c.control(func(fd int) {
		var part [4 << 10]byte
		for range maxDiscarded / len(part) {
			if n, _, err := unix.Recvfrom(fd, part[:], unix.MSG_DONTWAIT); err != nil || n < len(part) {
				return
			}
		}
	})
}

// control calls use with the descriptor of the connection. It does nothing if the connection
// is closed, or gives no access to its descriptor.
func (c *Conn) control(use func(fd int)) {
	owner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) { use(int(fd)) })
}
