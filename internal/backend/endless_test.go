package backend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/wiretest"
)

// maxEndlessHeap is the growth of the heap that a server in trouble may cause with the
// attempts that it is sent at once. The smallest VM has 284 MB.
const maxEndlessHeap = 64 << 20

// startEndlessServer runs a server that sends start to each request, then part again and
// again until it has sent full bytes, and then nothing until the caller closes. A full of
// zero is no bound.
func startEndlessServer(t *testing.T, start, part string, full int) backend.Target {
	t.Helper()
	var block strings.Builder
	for i := 0; block.Len() < 32<<10; i++ {
		block.WriteString(strings.ReplaceAll(part, "{n}", fmt.Sprintf("a%x", i)))
	}
	address := wiretest.Serve(t, func(c *net.TCPConn, r *http.Request) {
		_, err := io.WriteString(c, strings.ReplaceAll(start, "{attempt}", r.Header.Get(backend.HeaderAttempt)))
		for sent := 0; err == nil && (full == 0 || sent < full); sent += block.Len() {
			_, err = io.WriteString(c, block.String())
		}
		// The caller closes the connection.
		_, _ = io.Copy(io.Discard, c)
	})
	return backend.Target{ID: "server-1", Address: address, MaxConns: 100}
}

// Guards against a client that keeps what servers in trouble send without end, in a header
// or in a body.
func TestEndlessBytesOfAServer(t *testing.T) {
	const attempts, ok = 60, "HTTP/1.1 200 OK\r\n"
	const own = ok + backend.HeaderAttempt + ": {attempt}\r\n"
	// Just below the bound of a header.
	const nearBound = 200 << 10
	tests := map[string]struct {
		start, part string
		full        int
	}{
		"no HTTP":                 {"", "x", 0},
		"status line":             {"HTTP/1.1 200 ", "x", 0},
		"field value":             {ok + "A: ", "x", 0},
		"field value, stalled":    {ok + "A: ", "x", nearBound},
		"fields":                  {ok, "{n}:\r\n", 0},
		"fields, stalled":         {ok, "{n}:\r\n", nearBound},
		"equal fields, stalled":   {ok, "A: b\r\n", nearBound},
		"early hints":             {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
		"early hints, stalled":    {"", "HTTP/1.1 103 Early Hints\r\n\r\n", nearBound},
		"body without a length":   {own + "\r\n", "x", 0},
		"chunks":                  {own + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nwork\r\n", 0},
		"size of a chunk":         {own + "Transfer-Encoding: chunked\r\n\r\n", "0", 0},
		"extension of a chunk":    {own + "Transfer-Encoding: chunked\r\n\r\n4;a=", "x", 0},
		"trailer":                 {own + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "{n}: b\r\n", 0},
		"trailer, stalled":        {own + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "{n}: b\r\n", nearBound},
		"refusal with a body":     {"HTTP/1.1 503 Full\r\n" + backend.HeaderAttempt + ": {attempt}\r\n" + backend.HeaderNotStarted + ": true\r\n\r\n", "x", 0},
		"late answer with a body": {ok + backend.HeaderAttempt + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nwork\r\n", 0},
	}
	for desc, tt := range tests {
		t.Run(desc, func(t *testing.T) {
			target := startEndlessServer(t, tt.start, tt.part, tt.full)
			client := backend.New(backend.Options{Silence: longSilence, PlainSilence: longSilence})
			defer client.Close()
			grown := wiretest.HeapGrowth(func() {
				var running sync.WaitGroup
				for range attempts {
					running.Go(func() {
						req := order("/x")
						req.Deadline = time.Now().Add(time.Second)
						resp, err := client.Do(t.Context(), target, req)
						if err == nil {
							_, err = io.Copy(io.Discard, resp.Body)
							resp.Body.Close()
						}
						if err == nil {
							t.Error("got a complete response")
						}
					})
				}
				running.Wait()
			})
			t.Logf("the heap grew by %d MB", grown>>20)
			if grown > maxEndlessHeap {
				t.Errorf("the heap grew by %d MB, bound %d MB", grown>>20, maxEndlessHeap>>20)
			}
		})
	}
}
