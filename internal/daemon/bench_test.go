package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

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

// openTransfers is the count of transfers that BenchmarkOpenTransfer holds open.
const openTransfers = 60

// BenchmarkOpenTransfer reports the heap and stacks that one open transfer of
// 8 MB takes in the whole process while its caller doesn't read: callers and
// backend server alone (direct), with one entry VM (owner) and with two
// (relay). The differences are the cost of the entry VMs.
func BenchmarkOpenTransfer(b *testing.B) {
	f := startTestFleet(b, 2)
	server := f.backends[0]
	owner, other := f.ownerOf(b, server.Target().ID)
	path := "/lookup?bytes=8388608"
	targets := []struct{ name, url string }{
		{"direct", "http://" + server.Address() + path},
		{"owner", "http://" + owner + "/v1/requests/desk" + path},
		{"relay", "http://" + other + "/v1/requests/desk" + path},
	}
	for _, target := range targets {
		b.Run(target.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(transferBytes(b, target.url), "B/transfer")
			}
		})
	}
}

// transferBytes opens transfers three at a time, since the server has as many
// slots, lets them stall, and returns the bytes in use for each.
func transferBytes(b *testing.B, url string) float64 {
	b.Helper()
	const atOnce = 3
	var sum float64
	for range openTransfers / atOnce {
		before := inUse()
		var open []*http.Response
		client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
		for range atOnce {
			r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
			if err != nil {
				b.Fatal(err)
			}
			r.Header.Set(header.Account, testAccount)
			resp, err := client.Do(r)
			if err != nil {
				b.Fatal(err)
			}
			open = append(open, resp)
		}
		time.Sleep(stallTime)
		sum += float64(inUse()-before) / atOnce
		for _, resp := range open {
			resp.Body.Close()
		}
		client.CloseIdleConnections()
		time.Sleep(stallTime)
	}
	return sum / (openTransfers / atOnce)
}

// stallTime lets buffers fill or empty.
const stallTime = 30 * time.Millisecond

// inUse returns the bytes of heap and stacks after a collection.
func inUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkRefusal measures a whole refused request over HTTP, beside an
// answered one in BenchmarkPath.
func BenchmarkRefusal(b *testing.B) {
	f := startTestFleet(b, 1)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+f.address[0]+"/v1/requests/desk/lookup", nil)
		if err != nil {
			b.Fatal(err)
		}
		resp, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			b.Fatalf("status %d", resp.StatusCode)
		}
	}
}
