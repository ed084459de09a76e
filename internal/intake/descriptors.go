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

// hasUnread reports whether the kernel holds input of the connection. It is false if the
// connection has failed, or gives no access to its descriptor.
func (c *Conn) hasUnread() bool {
	if c == nil {
		return false
	}
	owner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = peekErr == nil && n > 0
	})
	return err == nil && unread
}
