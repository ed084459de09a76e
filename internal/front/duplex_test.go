package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/platform"
)

// earlyServer starts a backend server that sends the first early bytes of a response
// before it reads the body of the request, and late bytes after it. It returns its
// address, and what it received as the body of each request.
func earlyServer(t *testing.T, early, late int) (address string, received <-chan receivedBody) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	bodies := make(chan receivedBody, 8)
	serve := func(c net.Conn) {
		defer c.Close()
		for reader := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: %d\r\n\r\n%s", platform.HeaderRequestID,
				r.Header.Get(platform.HeaderRequestID), platform.HeaderSeal, early+late, strings.Repeat("r", early))
			body, err := io.ReadAll(r.Body)
			_, _ = io.WriteString(c, strings.Repeat("r", late))
			bodies <- receivedBody{string(body), err}
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().String(), bodies
}

// receivedBody is a request body as a server received it. err is not nil if it had no
// proper end.
type receivedBody struct {
	text string
	err  error
}

// sendSlowly sends text over a few hundred milliseconds, so that its end is sent after the
// response has begun.
func sendSlowly(conn net.Conn, text string) {
	const part = 32 << 10
	for len(text) > 0 {
		n := min(part, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(10 * time.Millisecond)
	}
}

// numberedLines returns size bytes in which no part is repeated.
func numberedLines(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%08d\n", n)
	}
	return b.String()[:size]
}

// Guards against a gap in a long request body whose server begins its response before
// it has read the body.
func TestServerThatAnswersEarlyGetsTheWholeBody(t *testing.T) {
	const early = maxBufferedResponse + 64<<10
	body := numberedLines(1 << 20)
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
		maxBufferedBody+1000, body[:maxBufferedBody+1000], len(body)-maxBufferedBody-1000, body[maxBufferedBody+1000:])
	withLength := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	tests := []struct {
		desc, message string
		late          int
	}{
		{"chunked, the response ends after the body", chunked, 64 << 10},
		{"with a length, the response ends after the body", withLength, 64 << 10},
		{"chunked, the response ends before the body", chunked, 0},
		{"with a length, the response ends before the body", withLength, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			address, received := earlyServer(t, early, tt.late)
			servers := []*catalog.Server{{ID: "i-0", Service: "desk", Address: address, Slots: 3}}
			front := startFront(t, catalog.NewSnapshot(9, uploadConfig(), servers, nil, nil))
			conn, err := net.Dial("tcp", front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go sendSlowly(conn, fmt.Sprintf("POST /order/a HTTP/1.1\r\nHost: h.example\r\n%s: id-1\r\n%s", platform.HeaderRequestID, tt.message))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || len(got) != early+tt.late {
				t.Errorf("the client got %d with %d bytes, %v", resp.StatusCode, len(got), err)
			}
			if !resp.Close {
				t.Error("the client may send a request behind a body that has not been read")
			}
			select {
			case got := <-received:
				if got.err != nil || got.text != body {
					t.Errorf("the server got %d bytes of %d, %v", len(got.text), len(body), got.err)
				}
			case <-time.After(5 * time.Second):
				t.Error("the body did not reach the server")
			}
		})
	}
}

// uploadConfig has a route on which requests take a few seconds.
func uploadConfig() *catalog.Config {
	config := &catalog.Config{Version: 3, Routes: []catalog.Route{{
		Name: "order", Host: "h.example", Prefix: "/order/", Kind: catalog.NonIdempotent, MaxAttempts: 2, Timeout: 3 * time.Second,
		Targets: []catalog.WeightedService{{Service: "desk", Weight: 1}},
	}}}
	config.Limits.MaxBodyBytes = 8 << 20
	return config
}
