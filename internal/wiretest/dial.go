package wiretest

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// dialedLifetime bounds the use of a connection of DialWindow.
const dialedLifetime = 40 * time.Second

// DialWindow connects to a server. Unless window is zero, the client has a receive buffer of
// about that many bytes, so that the rest of what it doesn't read stays at the server.
func DialWindow(t testing.TB, address string, window int) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		if window == 0 {
			return nil
		}
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(dialedLifetime))
	return conn
}
