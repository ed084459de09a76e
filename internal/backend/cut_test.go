package backend_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/wiretest"
)

// cutHeadServer answers each request with the beginning of a response head, up to the byte
// that the path names by its length, and closes the connection.
func cutHeadServer(t *testing.T, head string) string {
	t.Helper()
	return listenRaw(t, func(r *http.Request) string {
		return strings.ReplaceAll(head, "{attempt}", r.Header.Get(backend.HeaderAttempt))[:len(r.URL.Path)]
	})
}

// rawServer answers each request with the bytes of a response and closes the connection.
func rawServer(t *testing.T, response string) string {
	t.Helper()
	return listenRaw(t, func(*http.Request) string { return response })
}

// listenRaw answers each request with the bytes that answer returns and closes the
// connection.
func listenRaw(t *testing.T, answer func(r *http.Request) string) string {
	t.Helper()
	return wiretest.Serve(t, func(c *net.TCPConn, r *http.Request) { _, _ = io.WriteString(c, answer(r)) })
}

// Guards against a response that is taken for whole although its server closed the
// connection in the middle of its head.
func TestHeadThatEndsEarlyIsNoResponse(t *testing.T) {
	heads := map[string]string{
		"with a length":  "HTTP/1.1 200 OK\r\n" + backend.HeaderAttempt + ": {attempt}\r\nContent-Length: 4000\r\n\r\n",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"without a body": "HTTP/1.1 204 No Content\r\n" + backend.HeaderAttempt + ": {attempt}\r\n\r\n",
	}
	for desc, head := range heads {
		t.Run(desc, func(t *testing.T) {
			address := cutHeadServer(t, head)
			client := backend.New(backend.Options{Silence: longSilence, PlainSilence: longSilence})
			defer client.Close()
			for cut := 1; cut < len(head); cut++ {
				req := order("/" + strings.Repeat("x", cut-1))
				req.Deadline = time.Now().Add(time.Second)
				resp, err := client.Do(t.Context(), backend.Target{ID: "server-1", Address: address}, req)
				if err == nil {
					t.Errorf("a head cut to %q was taken for a response of %d", head[:cut], resp.Status)
					resp.Body.Close()
				}
			}
		})
	}
}
