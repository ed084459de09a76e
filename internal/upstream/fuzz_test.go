package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

// scriptedConn is a connection whose other end has sent all of its bytes and closed.
type scriptedConn struct {
	net.Conn
	input io.Reader
}

func (c scriptedConn) Read(p []byte) (int, error)  { return c.input.Read(p) }
func (c scriptedConn) Write(p []byte) (int, error) { return len(p), nil }
func (c scriptedConn) Close() error                { return nil }
func (c scriptedConn) SetDeadline(time.Time) error { return nil }

// FuzzResponse feeds arbitrary bytes to an exchange. Whatever it returns must belong to
// the request, and a body that ends without an error must be whole.
func FuzzResponse(f *testing.F) {
	id := platform.HeaderRequestID + ": one\r\n"
	for _, seed := range []string{
		formatResponse("one", "body"),
		formatResponse("other", "late") + formatResponse("one", "body"),
		"HTTP/1.1 103 Early Hints\r\n\r\n" + formatResponse("one", ""),
		"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + id + "\r\nno length",
		"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 9\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 503 x\r\n" + platform.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\n" + id + "\r\nold",
		"HTTP/1.1 204 No Content\r\n" + id + "\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n" + id + "\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		client := NewClient(tally.NoopScope)
		defer client.Close()
		source := scriptedConn{input: bytes.NewReader(data)}
		input := &boundedInput{source: source}
		ex := &exchange{
			client: client, server: &catalog.Server{ID: "i-1"}, req: newRequest("one", time.Minute),
			conn: &conn{Conn: source, input: input, reader: bufio.NewReaderSize(input, readBufferSize)},
			ctx:  context.Background(), stop: func() bool { return true },
		}
		resp, err := ex.readResponse()
		if err != nil {
			return
		}
		if got := resp.Header.Get(platform.HeaderRequestID); got != "one" && !platform.NotExecuted(resp.StatusCode, resp.Header) {
			t.Errorf("returned a response to request %q", got)
		}
		body := &Body{ex: ex, resp: resp}
		n, err := io.Copy(io.Discard, body)
		if err == nil && resp.ContentLength >= 0 && n != resp.ContentLength && resp.StatusCode != http.StatusNoContent &&
			resp.StatusCode != http.StatusNotModified {
			t.Errorf("%d bytes of a body of %d without an error", n, resp.ContentLength)
		}
		if n > int64(len(data)) {
			t.Errorf("%d bytes of body from %d bytes", n, len(data))
		}
	})
}
