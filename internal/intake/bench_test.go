package intake

import (
	"io"
	"net"
	"net/http"
	"testing"

	"fuchsiaspar/internal/decisions"

	"github.com/uber-go/tally/v4"
)

// BenchmarkRequest measures one request after the other on a kept connection, without
// and with a guard that 1,000 idle connections use too.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	for _, guarded := range []bool{false, true} {
		name := "plain"
		if guarded {
			name = "guarded"
		}
		b.Run(name, func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: handler}
			if guarded {
				guard := NewGuard(NewLimits(536, 8192), decisions.Discard(), tally.NoopScope)
				for range 1000 {
					guard.table.Admit(Front, here, start, allRead)
				}
				server.Handler = guard.Handler(handler)
				guard.Configure(server)
				inner = guard.Listen(inner, Front)
			}
			go func() { _ = server.Serve(inner) }()
			defer server.Close()
			c, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			buffer := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nX-Two: 2\r\n\r\n"); err != nil {
					b.Fatal(err)
				}
				if _, err := c.Read(buffer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
