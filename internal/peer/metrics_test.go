package peer

import (
	"context"
	"testing"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/uber-go/tally/v4"
)

// TestMessagesAreCountedByDistance guards against counters that don't tell what crosses
// zones and regions, whose bytes differ in cost.
func TestMessagesAreCountedByDistance(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	c := newCluster(t)
	a := c.add("a", 1, func(o *Options) {
		o.Scope = scope
		o.Distance = func(vm model.VMID) Distance {
			return map[model.VMID]Distance{"b": BetweenZones, "c": BetweenRegions}[vm]
		}
	})
	for vm, calls := range map[model.VMID]int{"b": 2, "c": 3} {
		other := c.add(vm, 1, nil)
		a.mesh.SetAddress(vm, other.address)
		for range calls {
			ctx, cancel := context.WithTimeout(context.Background(), testLimit)
			var reply string
			if err := a.mesh.Call(ctx, vm, kindEcho, "x", &reply); err != nil {
				t.Fatal(err)
			}
			cancel()
		}
	}
	want := map[string]int64{
		"peer.sent_messages+kind=unknown,scope=zones": 2, "peer.sent_messages+kind=unknown,scope=regions": 3,
	}
	for end := time.Now().Add(testLimit); ; time.Sleep(5 * time.Millisecond) {
		counters := scope.Snapshot().Counters()
		missing := ""
		for name, count := range want {
			if got := counters[name]; got == nil || got.Value() != count {
				missing = name
			}
		}
		received := counters["peer.received_messages+kind=link,scope=regions"]
		if missing == "" && received != nil && received.Value() >= 3 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: counters %v", missing, counters)
		}
	}
}
