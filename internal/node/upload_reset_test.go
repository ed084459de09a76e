package node

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaspar/platform"

	"golang.org/x/sys/unix"
)

// upload is a request with a long body.
type upload struct {
	desc, head, body string
}

// uploads returns requests to path with bodies that are sent with a length or in chunks,
// and that the VM buffers or streams.
func uploads(path string) []upload {
	const buffered, streamed = 250 << 10, 6 << 20
	var list []upload
	for desc, size := range map[string]int{"buffered": buffered, "streamed": streamed} {
		data := strings.Repeat("x", size)
		list = append(list,
			upload{desc + " with a length", requestHead(http.MethodPost, path, fmt.Sprintf("Content-Length: %d\r\n", size)), data},
			upload{desc + " in chunks", requestHead(http.MethodPost, path, "Transfer-Encoding: chunked\r\n"), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, data)})
	}
	return list
}

// resetRepeats is how often each upload is sent. Whether the upload or the reading of the
// answer notices the reset is up to the scheduler.
const resetRepeats = 40

// Guards against the beginning of an answer without a length that reaches the client as
// the whole one, because the server reset the connection while the upload was being sent.
func TestResetDuringUploadIsNoEndOfTheAnswer(t *testing.T) {
	// The longer part is streamed to the client.
	const short, long = 100, 2 << 20
	byOption := func(_ *testing.T, c *net.TCPConn) { _ = c.SetLinger(0) }
	tests := map[string]struct {
		part int
		// reset makes the close that follows a reset.
		reset func(t *testing.T, c *net.TCPConn)
	}{
		"short part":                    {short, byOption},
		"long part":                     {long, byOption},
		"short part, closed with input": {short, awaitUnread},
		"long part, closed with input":  {long, awaitUnread},
	}
	for desc, tt := range tests {
		t.Run(desc, func(t *testing.T) {
			var requests atomic.Int64
			n := startVMWithBackend(t, func(c *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(c, answerHead(r, "200 OK", "")+strings.Repeat("y", tt.part))
				// Every second time, the upload waits for the server before the reset.
				time.Sleep(time.Duration(requests.Add(1)%2) * 2 * time.Millisecond)
				tt.reset(t, c)
			})
			for _, path := range []string{"/idempotent/x", "/non_idempotent/x"} {
				for _, u := range uploads(path) {
					complete := 0
					for range resetRepeats {
						if got := exchangeRaw(t, n.settings.Listen.Front, u.head, u.body); got.err == nil && got.status < http.StatusBadRequest {
							complete++
						}
					}
					if complete > 0 {
						t.Errorf("%s%s: the part was delivered as a complete answer in %d of %d requests", u.desc, path, complete, resetRepeats)
					}
				}
			}
			t.Logf("%d requests reached the server", requests.Load())
		})
	}
}

// awaitReceived waits until the other side has received all that was written to c.
func awaitReceived(t *testing.T, c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	for unsent := 1; unsent > 0; time.Sleep(time.Millisecond) {
		err := raw.Control(func(fd uintptr) {
			if unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
				unsent = 0
			}
		})
		if err != nil {
			return
		}
	}
}

// awaitUnread waits until c has input that nobody has read.
func awaitUnread(t *testing.T, c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	for unread := 0; unread == 0; {
		err := raw.Control(func(fd uintptr) {
			if unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ); err != nil {
				unread = 1
			}
		})
		if err != nil {
			return
		}
	}
}

// Guards against a whole answer without a length that counts as broken off, because the
// server ended the connection while the upload was being sent.
func TestEndOfConnectionDuringUploadEndsTheAnswer(t *testing.T) {
	const short, long = 100, 2 << 20
	readUpload := func(r *http.Request, bytes int64) { _, _ = io.CopyN(io.Discard, r.Body, bytes) }
	tests := map[string]struct {
		size int
		// end is what the server does after its end of the connection.
		end func(c *net.TCPConn, r *http.Request)
	}{
		"short, closed at once":      {short, func(*net.TCPConn, *http.Request) {}},
		"short, closed later":        {short, func(*net.TCPConn, *http.Request) { time.Sleep(20 * time.Millisecond) }},
		"short, upload read to end":  {short, func(_ *net.TCPConn, r *http.Request) { readUpload(r, math.MaxInt64) }},
		"long, closed once received": {long, func(c *net.TCPConn, _ *http.Request) { awaitReceived(t, c) }},
		"long, upload read to end":   {long, func(_ *net.TCPConn, r *http.Request) { readUpload(r, math.MaxInt64) }},
		"long, upload read in part": {long, func(c *net.TCPConn, r *http.Request) {
			readUpload(r, 1<<20)
			awaitReceived(t, c)
		}},
		"short, reset after the end": {short, func(c *net.TCPConn, _ *http.Request) {
			time.Sleep(20 * time.Millisecond)
			_ = c.SetLinger(0)
		}},
	}
	for desc, tt := range tests {
		t.Run(desc, func(t *testing.T) {
			n := startVMWithBackend(t, func(c *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(c, answerHead(r, "200 OK", "")+strings.Repeat("y", tt.size))
				_ = c.CloseWrite()
				tt.end(c, r)
			})
			for _, u := range uploads("/non_idempotent/x") {
				for range 5 {
					got := exchangeRaw(t, n.settings.Listen.Front, u.head, u.body)
					if got.err != nil || got.status != http.StatusOK || len(got.body) != tt.size || got.header.Get(platform.HeaderSeal) != "seal" {
						t.Errorf("%s: got %d with %d bytes, %v, want 200 with %d bytes", u.desc, got.status, len(got.body), got.err, tt.size)
					}
				}
			}
		})
	}
}
