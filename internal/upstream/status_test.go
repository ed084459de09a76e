package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/platform"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// Guards against a response without a status of HTTP that reaches a client as an answer, or
// whose connection is used again.
func TestResponseWithoutAFinalStatus(t *testing.T) {
	const rest = "\r\n" + platform.HeaderRequestID + ": one\r\n" + platform.HeaderSeal + ": seal\r\nContent-Length: 0\r\n\r\n"
	answer := formatResponse("one", "late")
	tests := map[string]string{
		"000":                       "HTTP/1.1 000 Trouble" + rest,
		"000 before an answer":      "HTTP/1.1 000 Trouble" + rest + answer,
		"000 without a reason":      "HTTP/1.1 000" + rest,
		"000 that denies execution": "HTTP/1.1 000 Trouble\r\n" + platform.HeaderNotExecuted + ": 1" + rest,
		"099":                       "HTTP/1.1 099 Trouble" + rest + answer,
		"101 unasked":               "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other" + rest + answer,
		"600":                       "HTTP/1.1 600 Trouble" + rest,
		"999":                       "HTTP/1.1 999 Trouble" + rest,
		"20":                        "HTTP/1.1 20 OK" + rest,
		"2000":                      "HTTP/1.1 2000 OK" + rest,
		"+20":                       "HTTP/1.1 +20 OK" + rest + answer,
		"+200":                      "HTTP/1.1 +200 OK" + rest,
		"-20":                       "HTTP/1.1 -20 OK" + rest,
		"no number":                 "HTTP/1.1 OK" + rest,
		"another version":           "HTTP/2.0 200 OK" + rest,
		"1xx without end":           strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 4000),
	}
	for desc, bytes := range tests {
		t.Run(desc, func(t *testing.T) {
			s := newFakeServer(t, func(c net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(c, bytes)
				return err == nil
			})
			c := NewClient(tally.NoopScope)
			defer c.Close()
			req := newRequest("one", time.Second)
			if body, err := do(t, c, s, req); err == nil {
				t.Errorf("got a response with body %q", body)
			} else if errors.Is(err, ErrNotSent) || errors.Is(err, ErrConnect) || errors.Is(err, ErrUnnamedRefusal) {
				t.Errorf("got %v, which says that the request has not run", err)
			}
			if _, err := do(t, c, s, newRequest("one", time.Second)); err == nil {
				t.Error("got a response to a second request")
			}
			if opened := len(s.conns); opened != 2 {
				t.Errorf("%d connections were opened for two requests, want 2", opened)
			}
		})
	}
}
