package pipeline

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkOrdinaryConnection sends one request after another on one connection.
func BenchmarkOrdinaryConnection(b *testing.B) {
	for _, wrapped := range []bool{false, true} {
		name := "plain"
		if wrapped {
			name = "wrapped"
		}
		b.Run(name, func(b *testing.B) { benchmark(b, wrapped, 1) })
	}
}

// BenchmarkPipelinedRequests sends eight requests at a time on one connection.
func BenchmarkPipelinedRequests(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmark(b, false, 8) })
	b.Run("wrapped", func(b *testing.B) { benchmark(b, true, 8) })
}

func benchmark(b *testing.B, wrapped bool, depth int) {
	s := startServer(b, wrapped, func(http.ResponseWriter, *http.Request) {})
	// Without the test's records.
	s.handler.opts.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})
	conn, _ := s.dial(b)
	reader := bufio.NewReader(conn)
	request := strings.Repeat("GET /object HTTP/1.1\r\nHost: h.example\r\nX-Fuchsiaspar-Request-Id: 0123456789abcdef\r\n"+
		"X-Fuchsiaspar-Deadline-Ms: 4000\r\nAccept-Encoding: gzip\r\n\r\n", depth)
	// The response has one line for the status, three fields and the body.
	response := make([]byte, depth*len("HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 22:00:00 GMT\r\nContent-Length: 2\r\nContent-Type: text/plain; charset=utf-8\r\n\r\nok"))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(conn, request); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(reader, response); err != nil {
			b.Fatal(err)
		}
	}
}
