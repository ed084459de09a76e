package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"fuchsiaspar/internal/wiretest"
)

// maxEndlessHeap is the growth of the heap that one address may cause that sends without
// end. The smallest VM has 284 MB.
const maxEndlessHeap = 64 << 20

// Guards against a VM that keeps what comes without end from the address of another VM,
// which may be that of a faulty process by now, and against a dial that does not end.
func TestEndlessBytesInPlaceOfAnotherVM(t *testing.T) {
	const switched = "HTTP/1.1 101 Switching Protocols\r\n"
	for desc, start := range map[string]string{
		"no HTTP": "", "status line": "HTTP/1.1 101 ", "field": switched + "A: ", "body": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(desc, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, err = io.WriteString(c, start)
				for block := bytes.Repeat([]byte("x"), 64<<10); err == nil; {
					_, err = c.Write(block)
				}
			}()
			mesh := New(Options{Self: "a", Incarnation: 1, SilenceAfter: time.Second})
			grown := wiretest.HeapGrowth(func() {
				if _, _, err := mesh.connect(context.Background(), "b", listener.Addr().String()); err == nil {
					t.Error("a link was made")
				}
			})
			if grown > maxEndlessHeap {
				t.Errorf("the heap grew by %d MB, bound %d MB", grown>>20, maxEndlessHeap>>20)
			}
			// The other side sees the end of the connection.
			<-ended
		})
	}
}
