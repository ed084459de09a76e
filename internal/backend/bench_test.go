package backend_test

import (
	"io"
	"net/http"
	"testing"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/backend/standin"
)

const (
	smallPath = "/w?bytes=256"
	largePath = "/w?bytes=8388608"
	largeSize = 8 << 20
)

func benchServer(b *testing.B) *standin.Server {
	b.Helper()
	server, err := standin.Start(standin.Options{ID: "bench"})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Kill)
	return server
}

func benchClient(b *testing.B, path string, size int64) {
	server := benchServer(b)
	client := backend.New(backend.Options{})
	b.Cleanup(client.Close)
	target := server.Target()
	b.SetBytes(size)
	b.ReportAllocs()
	for b.Loop() {
		resp, err := client.Do(b.Context(), target, lookup(path))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
	}
}

func benchDirect(b *testing.B, path string, size int64) {
	server := benchServer(b)
	transport := &http.Transport{DisableCompression: true}
	b.Cleanup(transport.CloseIdleConnections)
	b.SetBytes(size)
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+server.Address()+path, nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set(backend.HeaderAttempt, string(newAttempt()))
		resp, err := transport.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
	}
}

func BenchmarkDoSmall(b *testing.B)     { benchClient(b, smallPath, 0) }
func BenchmarkDirectSmall(b *testing.B) { benchDirect(b, smallPath, 0) }
func BenchmarkDo8MB(b *testing.B)       { benchClient(b, largePath, largeSize) }
func BenchmarkDirect8MB(b *testing.B)   { benchDirect(b, largePath, largeSize) }
