package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/kernel"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/platform"
)

const (
	// stallProbability is the probability that a server stalls on a request.
	stallProbability = 0.02
	// stalledServiceTime and normalServiceTime are the times a server takes for
	// a request with and without a stall.
	stalledServiceTime = 300 * time.Millisecond
	normalServiceTime  = 5 * time.Millisecond
)

// BenchmarkHedge reports the median and 99th-percentile latency of requests to
// two servers that stall on 2 % of them. Urgent requests are hedged, normal
// ones are not.
func BenchmarkHedge(b *testing.B) {
	f := startTestFleet(b, 1)
	for _, id := range []string{"desk-1", "desk-2"} {
		f.replaceBackend(b, id)
	}
	for _, priority := range []string{"normal", "urgent"} {
		b.Run(priority, func(b *testing.B) {
			var latencies []time.Duration
			for b.Loop() {
				latencies = append(latencies, requestLatency(b, f.addresses[0], priority))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
		})
	}
}

// replaceBackend starts a server that stalls at random, lists it under id and
// waits until the daemon uses it.
func (f *testFleet) replaceBackend(b *testing.B, id string) {
	b.Helper()
	s, err := standin.Start(standin.Options{Slots: 3, ServiceTime: func(string) time.Duration {
		if rand.Float64() < stallProbability {
			return stalledServiceTime
		}
		return normalServiceTime
	}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Kill)
	f.store.SetVM(platform.VM{ID: id, Role: platform.RoleBackend, Zone: testZone, Address: s.Address(), Service: "desk", State: platform.VMLive})
	pools, err := kernel.Find[*owner.Pools](f.daemons[0].Kernel(), NamePools)
	if err != nil {
		b.Fatal(err)
	}
	f.await(b, id, func() bool {
		for _, targets := range pools.Targets() {
			for _, target := range targets {
				if target.Address == s.Address() {
					return true
				}
			}
		}
		return false
	})
}

func requestLatency(b *testing.B, address, priority string) time.Duration {
	b.Helper()
	start := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/v1/requests/desk/lookup", nil)
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set(header.Account, testAccount)
	r.Header.Set(header.Priority, priority)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return time.Since(start)
}
