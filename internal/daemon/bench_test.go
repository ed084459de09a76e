package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"fuchsiaspar/internal/header"
)

// benchmarkGet measures one answer of a size through path, which takes place
// at address.
func benchmarkGet(b *testing.B, client *http.Client, url string, account string) {
	b.Helper()
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
		if err != nil {
			b.Fatal(err)
		}
		r.Header.Set(header.Account, account)
		resp, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatalf("status %d after %d bytes: %v", resp.StatusCode, n, err)
		}
		b.SetBytes(n)
	}
}

// BenchmarkPath compares a request straight to a backend server with the same
// one through an entry VM that owns the server and through one that relays.
func BenchmarkPath(b *testing.B) {
	f := startTestFleet(b, 2)
	server := f.backends[0]
	owner, other := f.ownerOf(b, server.Target().ID)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	for _, size := range []int{600, 8 << 20} {
		path := fmt.Sprintf("/lookup?bytes=%d", size)
		b.Run(fmt.Sprintf("direct/%d", size), func(b *testing.B) {
			benchmarkGet(b, client, "http://"+server.Address()+path, testAccount)
		})
		b.Run(fmt.Sprintf("owner/%d", size), func(b *testing.B) {
			benchmarkGet(b, client, "http://"+owner+"/v1/requests/desk"+path, testAccount)
		})
		b.Run(fmt.Sprintf("relay/%d", size), func(b *testing.B) {
			benchmarkGet(b, client, "http://"+other+"/v1/requests/desk"+path, testAccount)
		})
	}
}
