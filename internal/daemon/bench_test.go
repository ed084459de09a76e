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

// benchmarkGet measures GET requests for url and the throughput of their
// response bodies.
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

// BenchmarkPath compares a request sent directly to a backend server with the
// same request through the entry VM that owns the server and through one that
// relays it to the owner.
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

// openTransfers is the number of transfers that BenchmarkOpenTransfer opens in
// each iteration.
const openTransfers = 60

// BenchmarkOpenTransfer reports the heap and stack memory, over the whole
// process, of one open 8 MB transfer whose caller does not read. It measures
// the client and the backend server alone (direct), with one entry VM (owner)
// and with two (relay); the differences are the cost of the entry VMs.
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
				b.ReportMetric(bytesPerTransfer(b, target.url), "B/transfer")
			}
		})
	}
}

// bytesPerTransfer opens transfers three at a time, the number of slots that
// the server has, lets them stall and returns the mean memory in use per transfer
// in bytes.
func bytesPerTransfer(b *testing.B, url string) float64 {
	b.Helper()
	const concurrent = 3
	var sum float64
	for range openTransfers / concurrent {
		before := memoryInUse()
		var open []*http.Response
		client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
		for range concurrent {
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
		time.Sleep(settleTime)
		sum += float64(memoryInUse()-before) / concurrent
		for _, resp := range open {
			resp.Body.Close()
		}
		client.CloseIdleConnections()
		time.Sleep(settleTime)
	}
	return sum / (openTransfers / concurrent)
}

// settleTime is how long buffers are given to fill or drain.
const settleTime = 30 * time.Millisecond

// memoryInUse returns the bytes of heap and stack in use after a garbage collection.
func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkRefusal measures a refused request end to end over HTTP, for
// comparison with the answered requests of BenchmarkPath.
func BenchmarkRefusal(b *testing.B) {
	f := startTestFleet(b, 1)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+f.addresses[0]+"/v1/requests/desk/lookup", nil)
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
