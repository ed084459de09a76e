package pick

import (
	"testing"
	"time"

	"fuchsiaspar/internal/share"
)

func TestRequestsOfOtherVMsCount(t *testing.T) {
	f := newFleet("vm-0", "lj", vms(3), servers(1, "lj"))
	load := func(now time.Time) float64 {
		c := choose(t, f, lookup, 1, now)
		f.Done(c, Abandoned, nil, now)
		return c.Load
	}
	server := f.byService["desk"][0].hash
	f.AddRemoteCounts(share.Counts{server: 3, 7: 9})
	f.AddRemoteCounts(share.Counts{server: 3})
	if got := load(start); got != 2 {
		t.Errorf("load %.2f, want 2: six requests for three slots", got)
	}
	f.AddRemoteCounts(share.Counts{server: -3})
	if got := load(start.Add(time.Millisecond)); got != 1 {
		t.Errorf("load %.2f after three requests ended, want 1", got)
	}
	f.AddRemoteCounts(share.Counts{server: -3, 7: -9})
	if got := load(start); got != 0 {
		t.Errorf("load %.2f after all have ended, want 0", got)
	}
	if len(f.remoteTotals) != 0 {
		t.Errorf("%d servers still have remote counts", len(f.remoteTotals))
	}
}

func TestOutstandingCountsOpenRequests(t *testing.T) {
	f := newFleet("vm-0", "lj", vms(1), servers(3, "lj"))
	first := choose(t, f, lookup, 1, start)
	choose(t, f, lookup, 1, start)
	if got := f.Outstanding(); len(got) != 1 || got[first.Server.hash] != 2 {
		t.Errorf("outstanding %v, want two requests at one server", got)
	}
}
