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

// bench measures get, which sends a request to target and returns the response
// body.
func bench(b *testing.B, size int64, get func(target backend.Target) (io.ReadCloser, error)) {
	server, err := standin.Start(standin.Options{ID: "bench"})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Kill)
	target := server.Target()
	b.SetBytes(size)
	b.ReportAllocs()
	for b.Loop() {
		body, err := get(target)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, body); err != nil {
			b.Fatal(err)
		}
		body.Close()
	}
}

func benchClient(b *testing.B, path string, size int64) {
	client := backend.New(backend.Options{})
	b.Cleanup(client.Close)
	bench(b, size, func(target backend.Target) (io.ReadCloser, error) {
		resp, err := client.Do(b.Context(), target, lookup(path))
		if err != nil {
			return nil, err
		}
		return resp.Body, nil
	})
}

func benchDirect(b *testing.B, path string, size int64) {
	transport := &http.Transport{DisableCompression: true}
	b.Cleanup(transport.CloseIdleConnections)
	bench(b, size, func(target backend.Target) (io.ReadCloser, error) {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+target.Address+path, nil)
		if err != nil {
			return nil, err
		}
		req.Header.Set(backend.HeaderAttempt, string(newAttempt()))
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return nil, err
		}
		return resp.Body, nil
	})
}

func BenchmarkDoSmall(b *testing.B)     { benchClient(b, smallPath, 0) }
func BenchmarkDirectSmall(b *testing.B) { benchDirect(b, smallPath, 0) }
func BenchmarkDo8MB(b *testing.B)       { benchClient(b, largePath, largeSize) }
func BenchmarkDirect8MB(b *testing.B)   { benchDirect(b, largePath, largeSize) }
