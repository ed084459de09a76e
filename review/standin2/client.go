package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	method, host, path, id string
	header                 map[string]string
	deadline               time.Duration
}

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err tells why the answer is incomplete or missing.
	err error
}

// connection is a kept connection of a client.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func connect(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{conn, bufio.NewReader(conn)}, nil
}

// send sends a request and waits for its answer until its deadline.
func (c *connection) send(r request) answer {
	a := answer{err: c.write(r)}
	if a.err == nil {
		a = c.read(r.method)
	}
	record("client gets for %s: status %d, %d bytes, seal %q, error %v", r.id, a.status, len(a.body), a.header.Get(headerSeal), a.err)
	return a
}

// write sends requests at once. The connection ends at the deadline of the last one.
func (c *connection) write(requests ...request) error {
	var text strings.Builder
	for _, r := range requests {
		record("client sends %s (%s %s)", r.id, r.method, r.path)
		_ = c.SetDeadline(time.Now().Add(r.deadline))
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Fuchsiaspar-Deadline-Ms: %d\r\n", r.method, r.path, r.host, headerID, r.id, r.deadline.Milliseconds())
		for name, value := range r.header {
			text.WriteString(name + ": " + value + "\r\n")
		}
		if r.method == http.MethodPost {
			text.WriteString("Content-Length: 0\r\n")
		}
		text.WriteString("\r\n")
	}
	_, err := io.WriteString(c, text.String())
	return err
}

func (c *connection) read(method string) answer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, body, err}
}

// pause waits for a time, or until ctx ends, which it reports by false.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
