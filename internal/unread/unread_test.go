package unread

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/wiretest"
)

// accept returns both sides of a connection. The client's receive buffer is small.
func accept(t *testing.T) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client = wiretest.DialWindow(t, listener.Addr().String(), 4<<10)
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return client, accepted.(*net.TCPConn)
}

// Guards against output that is lost since the connection was closed with unread input.
func TestOutputIsDeliveredBehindUnreadInput(t *testing.T) {
	for _, unread := range []int{0, 1, 4 << 10, 60_000} {
		client, server := accept(t)
		if _, err := io.WriteString(client, strings.Repeat("r", unread)); err != nil {
			t.Fatal(err)
		}
		const size = 20_000
		if _, err := io.WriteString(server, strings.Repeat("x", size)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		var input Input
		input.Discard(server)
		server.Close()
		if n, err := io.Copy(io.Discard, client); n != size || err != nil {
			t.Errorf("%d bytes unread: got %d bytes, %v, want %d", unread, n, err, size)
		}
	}
}

// Guards against a concurrent reader that takes bytes behind a gap for a request.
func TestNothingIsReadBehindDiscardedInput(t *testing.T) {
	client, server := accept(t)
	if _, err := io.WriteString(client, "first"); err != nil {
		t.Fatal(err)
	}
	var input Input
	buf := make([]byte, 100)
	if n, err := input.Read(server, buf[:2]); n != 2 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	read := make(chan int)
	input.Discard(server)
	go func() {
		n, _ := input.Read(server, buf)
		read <- n
	}()
	if _, err := io.WriteString(client, "second"); err != nil {
		t.Fatal(err)
	}
	if n := <-read; n != 0 {
		t.Errorf("read %q behind a gap", buf[:n])
	}
}
