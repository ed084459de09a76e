package upstream

import (
	"bufio"
	"context"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

// Guards against a response that is taken for whole although its server closed the
// connection in the middle of its head.
func TestHeadThatEndsEarlyIsNoResponse(t *testing.T) {
	const seal = platform.HeaderSeal + ": seal\r\n"
	heads := map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": one\r\n" + seal + "Content-Length: 4000\r\nKeep-Alive: timeout=10\r\n\r\n",
		"chunked":          "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": one\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": one\r\n" + seal + "Connection: close\r\n\r\n",
		"without a body":   "HTTP/1.1 204 No Content\r\n" + platform.HeaderRequestID + ": one\r\n" + seal + "\r\n",
		"bare line feeds":  "HTTP/1.1 200 OK\n" + platform.HeaderRequestID + ": one\n" + seal + "Content-Length: 4000\n\n",
		"early hints":      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": one\r\n" + seal + "\r\n",
	}
	for desc, head := range heads {
		t.Run(desc, func(t *testing.T) {
			for cut := range head {
				source := scriptedConn{input: strings.NewReader(head[:cut])}
				input := &boundedInput{source: source}
				client := NewClient(tally.NoopScope)
				ex := &exchange{
					client: client, server: &catalog.Server{ID: "i-1"}, req: newRequest("one", time.Minute),
					conn: &conn{Conn: source, input: input, reader: bufio.NewReaderSize(input, readBufferSize)},
					ctx:  context.Background(), stop: func() bool { return true },
				}
				if resp, err := ex.readResponse(); err == nil {
					t.Errorf("a head cut to %q was taken for a response of %d", head[:cut], resp.StatusCode)
				}
				client.Close()
			}
		})
	}
}
