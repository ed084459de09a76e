package pipeline

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// echo responds with all that net/http made of a request. Its body is read only if the
// path doesn't say otherwise.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	switch r.URL.Path {
	case "/none":
		return
	case "/204":
		w.WriteHeader(http.StatusNoContent)
		return
	case "/304":
		w.WriteHeader(http.StatusNotModified)
		_, _ = io.WriteString(w, "not allowed")
		return
	case "/500":
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case "/flush":
		// One write, since those before the turn become one chunk.
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		return
	case "/large":
		// Written at once, since the division into chunks is no part of the response.
		_, _ = w.Write([]byte(strings.Repeat("<html>", 4000)))
		return
	case "/trailer":
		w.Header().Set("Trailer", "X-End")
		_, _ = io.WriteString(w, "body")
		w.Header().Set("X-End", "1")
		return
	}
	var body []byte
	var err error
	if r.URL.Path != "/unread" {
		body, err = io.ReadAll(r.Body)
	}
	fmt.Fprintf(w, "%s %s %s %s %d %v %v %q %v\n", r.Method, r.RequestURI, r.Proto, r.Host, r.ContentLength, r.TransferEncoding, r.Close, body, err)
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		fmt.Fprintf(w, "%s: %q\n", name, r.Header[name])
	}
}

// dateField is in the responses that net/http makes itself, for example to OPTIONS *.
var dateField = regexp.MustCompile("Date: [^\r\n]*\r\n")

// outcome is all that a server sent, and the requests whose handlers were called, sorted.
type outcome struct {
	responses string
	served    []string
	// reset reports whether the server refused the stream before the client had sent all
	// of it. What it sent may be lost then.
	reset bool
}

// differs returns where an outcome differs from that of net/http alone, or an empty string.
func (o outcome) differs(want outcome) string {
	if want.reset || o.reset && strings.HasPrefix(want.responses, o.responses) {
		return ""
	}
	if !slices.Equal(o.served, want.served) {
		return fmt.Sprintf("served %q, want %q", o.served, want.served)
	}
	if o.responses == want.responses {
		return ""
	}
	at := 0
	for at < min(len(o.responses), len(want.responses)) && o.responses[at] == want.responses[at] {
		at++
	}
	from := max(at-80, 0)
	return fmt.Sprintf("at %d got %.200q, want %.200q", at, o.responses[from:], want.responses[from:])
}

// exchange sends the parts of a stream and the end of the client's direction.
func exchange(t testing.TB, s *server, parts ...string) outcome {
	t.Helper()
	conn, reader := s.dial(t)
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	for i, part := range parts {
		if i > 0 {
			time.Sleep(3 * time.Millisecond)
		}
		// The server may have refused the stream already.
		_, _ = io.WriteString(conn, part)
	}
	_ = conn.CloseWrite()
	all, err := io.ReadAll(reader)
	reset := errors.Is(err, syscall.ECONNRESET)
	if err != nil && !reset {
		t.Errorf("%q: %v, pending %d, got %q", parts, err, s.handler.Pending(), all)
	}
	eventually(t, "no request waits", func() bool { return s.handler.Pending() == 0 })
	s.mu.Lock()
	defer s.mu.Unlock()
	client := conn.LocalAddr().String()
	served := slices.Sorted(slices.Values(s.served[client]))
	delete(s.served, client)
	return outcome{dateField.ReplaceAllString(string(all), ""), served, reset}
}

// streams are byte streams for which the server must behave as without this package.
var streams = []string{
	get("/a"),
	get("/a") + get("/b") + get("/c"),
	get("/none") + get("/204") + get("/304") + get("/500") + get("/flush") + get("/large") + get("/trailer") + get("/z"),
	"HEAD /large HTTP/1.1\r\nHost: h\r\n\r\n" + get("/a") + "HEAD /none HTTP/1.1\r\nHost: h\r\n\r\n" + get("/b"),
	get("/a") + post("/b", "0123456789") + get("/c") + post("/d", "") + get("/e"),
	post("/a", "body") + "\r\n\r\n" + get("/b"),
	post("/unread", strings.Repeat("x", 3000)) + get("/b") + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nX-T: 1\r\n\r\n" + get("/c") + get("/d"),
	"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" + get("/b"),
	"GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/b"),
	get("/a") + "PUT /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok" + get("/c"),
	get("/a") + "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n" + get("/b") + get("/c"),
	"OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 56\r\n\r\n" + get("/a") + get("/b"),
	get("/a") + "GET /b HTTP/1.0\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\nConnection: close\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nConnection: Keep-Alive\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + get("/c"),
	get("/a") + "GET http://other/b HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c"),
	get("/a") + "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n" + get("/c"),
	// Incomplete.
	get("/a") + get("/b") + "GET /c HTT", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\n", post("/a", "abc")[:50], "GET", "\r\n", "",
	// Malformed.
	get("/a") + "GET /b HTTP/1.1\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: a b\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost : h\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX: \x00\r\n\r\n" + get("/c"),
	get("/a") + "GET  /b HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c"),
	get("/a") + "GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/9.9\r\nHost: h\r\n\r\n" + get("/c"),
	get("/a") + "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + get("/c"),
	get("/a") + "\r\n" + get("/b"), "\n\n" + get("/a"),
	"GET /a HTTP/1.1\nHost: h\n\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c"),
	"GET /a HTTP/1.1\r\nHost: h\r\n\n" + get("/b") + "GET /c HTTP/1.1\r\nHost: h\n\r\n" + get("/d"),
	// Smuggling: two lengths, a length and a coding, odd codings and lengths.
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nContent-Length: 34\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\tchunked\r\n\r\n0\r\n\r\n" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhello" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + get("/c"),
	// A body that looks like requests.
	post("/a", get("/in-body")+get("/in-body")) + get("/b"),
	post("/unread", get("/in-body")+get("/in-body")) + get("/b"),
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n22\r\n" + get("/in-body") + "\r\n0\r\n\r\n" + get("/b"),
}

// Guards against requests that are answered otherwise than by net/http alone, and against
// bytes that are served as a request although net/http doesn't take them for one.
func TestBehavesAsNetHTTPAlone(t *testing.T) {
	plain, wrapped := startServer(t, false, echo), startServer(t, true, echo)
	for _, stream := range streams {
		want := exchange(t, plain, stream)
		if want.reset {
			t.Errorf("%q: reset without this package", stream)
		}
		// In two pieces, since what has arrived decides what is read ahead.
		cuts := []int{0, len(stream) / 4, len(stream) / 2, max(len(stream)-3, 0)}
		for _, cut := range cuts {
			if diff := exchange(t, wrapped, stream[:cut], stream[cut:]).differs(want); diff != "" {
				t.Errorf("%q cut at %d: %s", stream, cut, diff)
			}
		}
	}
	if wrapped.starts.Load() == 0 {
		t.Error("no request was started early")
	}
}

// FuzzBehavesAsNetHTTPAlone compares streams of any bytes.
func FuzzBehavesAsNetHTTPAlone(f *testing.F) {
	for i, stream := range streams {
		f.Add(stream, uint16(i*13))
	}
	plain, wrapped := startServer(f, false, echo), startServer(f, true, echo)
	f.Fuzz(func(t *testing.T, stream string, cut uint16) {
		if len(stream) > 4000 {
			// Sent in two segments, of which the second may arrive late.
			t.Skip()
		}
		at := min(int(cut), len(stream))
		want := exchange(t, plain, stream[:at], stream[at:])
		if diff := exchange(t, wrapped, stream[:at], stream[at:]).differs(want); diff != "" {
			t.Error(diff)
		}
	})
}
