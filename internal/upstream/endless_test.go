package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/wiretest"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// maxEndlessHeap is the growth of the heap that one server in trouble may cause. The
// smallest VM has 284 MB.
const maxEndlessHeap = 64 << 20

// flood writes start once and then part until the connection closes.
func flood(start, part string) func(net.Conn, *http.Request) bool {
	block := bytes.Repeat([]byte(part), max(1, (64<<10)/len(part)))
	return func(c net.Conn, _ *http.Request) bool {
		if _, err := io.WriteString(c, start); err != nil {
			return false
		}
		for {
			if _, err := c.Write(block); err != nil {
				return false
			}
		}
	}
}

// TestEndlessBytesOfAServer lets a server send bytes without end wherever the client
// reads. The exchange must fail, and must not fill the memory of the VM.
func TestEndlessBytesOfAServer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	own, other := platform.HeaderRequestID+": one\r\n", platform.HeaderRequestID+": other\r\n"
	// A body without end lasts until the deadline, everything else ends long before.
	const bodyTime, otherTime = time.Second, time.Minute
	tests := []struct {
		desc  string
		start string
		part  string
		want  error
	}{
		{"status line", "HTTP/1.1 200 ", "x", ErrOversized},
		{"no HTTP at all", "", "x", ErrOversized},
		{"header line", ok + "A: ", "x", ErrOversized},
		{"continued header line", ok + "A: b\r\n", " c\r\n", ErrOversized},
		{"header fields", ok, "A: b\r\n", ErrOversized},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", ErrOversized},
		{"body of a late response", ok + other + "\r\n", "x", ErrOversized},
		{"late responses", "", ok + other + "Content-Length: 1\r\n\r\nx", ErrUnrelatedResponse},
		{"body without a length", ok + own + "\r\n", "x", ErrTruncated},
		{"chunks", ok + own + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nwork\r\n", ErrTruncated},
		{"size of a chunk", ok + own + "Transfer-Encoding: chunked\r\n\r\n", "0", ErrTruncated},
		{"extension of a chunk", ok + own + "Transfer-Encoding: chunked\r\n\r\n4;a=", "x", ErrTruncated},
		{"trailer", ok + own + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", ErrTruncated},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := newFakeServer(t, flood(tt.start, tt.part))
			c := NewClient(tally.NoopScope)
			defer c.Close()
			within := otherTime
			if tt.want == ErrTruncated {
				within = bodyTime
			}
			var err error
			grown := wiretest.HeapGrowth(func() {
				var resp *Response
				if resp, err = c.Do(context.Background(), s.server, newRequest("one", within)); err != nil {
					return
				}
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
			})
			if !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
			if grown > maxEndlessHeap {
				t.Errorf("the heap grew by %d MB, bound %d MB", grown>>20, maxEndlessHeap>>20)
			}
			// The server sees the end of the connection.
			conn := <-s.conns
			if _, err := conn.Write([]byte(strings.Repeat("x", 1<<20))); err == nil {
				t.Error("the connection is still open")
			}
		})
	}
}
