// Package wiretest runs test servers that send raw bytes, and measures what a client keeps
// of them. Only tests import it.
package wiretest

import (
	"bufio"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
)

// Serve runs a server that reads the head of a request on each connection, writes what
// answer does, and closes the connection. It returns the server's address. The body of the
// request is unread; answer may read it from the request.
func Serve(t testing.TB, answer func(c *net.TCPConn, r *http.Request)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	serve := func(c *net.TCPConn) {
		defer c.Close()
		// A long upload does not fit into the buffers of the connection.
		_ = c.SetReadBuffer(64 << 10)
		if r, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
			answer(c, r)
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// heapInterval is the time between two looks at the heap.
const heapInterval = 5 * time.Millisecond

// HeapGrowth runs f and returns by how many bytes the heap grew at most meanwhile.
func HeapGrowth(f func()) uint64 {
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	runtime.GC()
	before := heap()
	var peak atomic.Uint64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			peak.Store(max(peak.Load(), heap()))
			select {
			case <-stop:
				return
			case <-time.After(heapInterval):
			}
		}
	}()
	f()
	close(stop)
	<-stopped
	return peak.Load() - min(peak.Load(), before)
}
