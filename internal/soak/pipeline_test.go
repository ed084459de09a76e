package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/platform"
)

const (
	// maxAhead is the largest number of requests that a pipelined client sends at once.
	maxAhead = 6
	// aheadTimeout bounds the time for their responses.
	aheadTimeout = 4 * time.Second
	// wrongKeyOdds is one in how many pipelined requests has a wrong key.
	wrongKeyOdds = 10
)

// pipelinedConn is a connection on which requests are sent before earlier responses.
type pipelinedConn struct {
	net.Conn
	reader *bufio.Reader
}

// sendAhead sends several idempotent requests on one connection before it reads the first
// response. The connection stays in use until it fails or the VM closes it.
func (c *client) sendAhead(prefix string) []requestResult {
	results := make([]requestResult, 2+c.random.IntN(maxAhead-1))
	var text strings.Builder
	for i := range results {
		r := requestResult{requestID: fmt.Sprintf("%s-%d", prefix, i), key: c.chooseKey(), sentAt: time.Now()}
		if c.random.IntN(wrongKeyOdds) == 0 {
			r.key = wrongKeys[c.random.IntN(len(wrongKeys))]
		}
		results[i] = r
		fmt.Fprintf(&text, "GET /read/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s: 3000\r\n%s: Bearer %s\r\n\r\n",
			platform.HeaderRequestID, r.requestID, platform.HeaderObject, c.random.IntN(30), platform.HeaderDeadline, platform.HeaderKey, r.key)
	}
	split := c.random.IntN(text.Len())
	if err := c.connect(); err != nil {
		results[0].failure = err.Error()
		return results
	}
	err := c.conn.SetDeadline(time.Now().Add(aheadTimeout))
	for _, part := range []string{text.String()[:split], text.String()[split:]} {
		if err == nil {
			_, err = io.WriteString(c.conn, part)
		}
	}
	for i := range results {
		if closed := readResponse(c.conn.reader, &results[i]); closed || err != nil {
			c.conn.Close()
			c.conn = nil
			break
		}
	}
	return results
}

// connect opens a connection to an entry VM unless one is open.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	addresses := c.resolve()
	if len(addresses) == 0 {
		return fmt.Errorf("lookup failed at every directory tried")
	}
	conn, err := net.DialTimeout("tcp", addresses[c.random.IntN(len(addresses))], aheadTimeout)
	if err == nil {
		c.conn = &pipelinedConn{conn, bufio.NewReader(conn)}
	}
	return err
}

// readResponse reads the next response into result and checks that it belongs to it. It
// reports whether the connection can't be used any more.
func readResponse(reader *bufio.Reader, result *requestResult) (closed bool) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		result.failure = err.Error()
		return true
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		result.failure = err.Error()
		return true
	}
	result.status = resp.StatusCode
	id, seal := resp.Header.Get(platform.HeaderRequestID), resp.Header.Get(platform.HeaderSeal)
	switch served := result.status == http.StatusOK; {
	case served && (string(got) != responseBody(result.requestID) || seal != "seal of "+result.requestID):
		result.failure = fmt.Sprintf("MIXED: 200 response with seal %q and body %q", seal, got)
	case id != result.requestID:
		result.failure = fmt.Sprintf("ORDER: response %d with the ID %q", result.status, id)
	}
	return resp.Close
}

// TestResponsesOutOfOrder checks that swapped responses on one connection are reported.
func TestResponsesOutOfOrder(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + platform.HeaderRequestID + ": %s\r\nContent-Length: 0\r\n\r\n"
	for _, tt := range []struct{ first, second, want string }{
		{wholeResponse("a"), fmt.Sprintf(refusal, "b"), ""},
		{wholeResponse("b"), wholeResponse("a"), "MIXED"},
		{fmt.Sprintf(refusal, "b"), fmt.Sprintf(refusal, "a"), "ORDER"},
	} {
		reader := bufio.NewReader(strings.NewReader(tt.first + tt.second))
		for _, id := range []string{"a", "b"} {
			result := requestResult{requestID: id}
			readResponse(reader, &result)
			if label, _, _ := strings.Cut(result.failure, ":"); label != tt.want {
				t.Errorf("response to %q: got %q, want %q", id, result.failure, tt.want)
			}
		}
	}
}
