package pipeline

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// BenchmarkOrdinaryConnection sends one request after another on one connection.
func BenchmarkOrdinaryConnection(b *testing.B) {
	for _, wrapped := range []bool{false, true} {
		b.Run(benchmarkName(wrapped), func(b *testing.B) { benchmark(b, wrapped, 1) })
	}
}

// BenchmarkPipelinedRequests sends eight requests at a time on one connection.
func BenchmarkPipelinedRequests(b *testing.B) {
	for _, wrapped := range []bool{false, true} {
		b.Run(benchmarkName(wrapped), func(b *testing.B) { benchmark(b, wrapped, 8) })
	}
}

// BenchmarkOverhead alternates between ordinary connections with and without the wrapper,
// so that other load on the machine meets both, and reports the median ratio of rounds.
func BenchmarkOverhead(b *testing.B) {
	const round = 200
	clients := [2]*benchmarkClient{newBenchmarkClient(b, false, 1), newBenchmarkClient(b, true, 1)}
	var ratios []float64
	for first := 0; b.Loop(); first = 1 - first {
		var took [2]time.Duration
		for _, i := range []int{first, 1 - first} {
			begin := time.Now()
			for range round {
				clients[i].exchange(b)
			}
			took[i] = time.Since(begin)
		}
		ratios = append(ratios, took[1].Seconds()/took[0].Seconds())
	}
	slices.Sort(ratios)
	b.ReportMetric(ratios[len(ratios)/2], "wrapped/plain")
}

func benchmarkName(wrapped bool) string {
	if wrapped {
		return "wrapped"
	}
	return "plain"
}

func benchmark(b *testing.B, wrapped bool, depth int) {
	client := newBenchmarkClient(b, wrapped, depth)
	b.ReportAllocs()
	for b.Loop() {
		client.exchange(b)
	}
}

// benchmarkClient sends a number of requests at a time and reads the responses.
type benchmarkClient struct {
	conn     io.Writer
	reader   *bufio.Reader
	request  string
	response []byte
}

func newBenchmarkClient(b *testing.B, wrapped bool, depth int) *benchmarkClient {
	s := startServer(b, wrapped, func(http.ResponseWriter, *http.Request) {})
	// Without the test's records.
	s.handler.opts.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})
	conn, reader := s.dial(b)
	_ = conn.SetDeadline(time.Time{})
	const request = "GET /object HTTP/1.1\r\nHost: h.example\r\nX-Fuchsiaspar-Request-Id: 0123456789abcdef\r\n" +
		"X-Fuchsiaspar-Deadline-Ms: 4000\r\nAccept-Encoding: gzip\r\n\r\n"
	const response = "HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 22:00:00 GMT\r\nContent-Length: 2\r\n" +
		"Content-Type: text/plain; charset=utf-8\r\n\r\nok"
	return &benchmarkClient{conn, reader, strings.Repeat(request, depth), make([]byte, depth*len(response))}
}

func (c *benchmarkClient) exchange(b *testing.B) {
	if _, err := io.WriteString(c.conn, c.request); err != nil {
		b.Fatal(err)
	}
	if _, err := io.ReadFull(c.reader, c.response); err != nil {
		b.Fatal(err)
	}
}
