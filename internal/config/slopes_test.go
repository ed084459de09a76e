package config

import (
	"context"
	"flag"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform/standin"
)

var slopes = flag.Bool("slopes", false, "measure store calls, peer bytes and processor time for several fleet sizes")

// TestSlopes prints the cost of following the configuration at rest, with the
// store down, and of one change, for several fleet sizes. It only checks that
// the change becomes active everywhere.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("needs -slopes")
	}
	sizes := []struct{ zones, perZone int }{{6, 1}, {6, 4}, {6, 16}, {12, 16}, {23, 16}, {23, 61}}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("zones=%d/vms=%d", size.zones, size.zones*size.perZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureFleet(t, size.zones, size.perZone) })
		})
	}
}

func measureFleet(t *testing.T, zones, perZone int) {
	f := newFleet(1)
	doc := testDocument()
	doc.Zones, doc.Slots = nil, nil
	for z := range zones {
		zone := Zone{Name: model.Zone(fmt.Sprintf("z%02d", z)), Region: model.Region(fmt.Sprintf("r%d", z%8))}
		doc.Zones = append(doc.Zones, zone)
		for i := range perZone {
			doc.Slots = append(doc.Slots, Slot{VM: model.VMID(fmt.Sprintf("z%02d-%02d", z, i)), Zone: zone.Name})
		}
	}
	doc.Links = nil
	doc.Templates[0].Places = []model.Zone{"z00"}
	f.slots = doc.Slots
	f.startAll()
	defer f.stopAll()
	proposer := f.service("z00-00")
	change := ChangeBetween(&Document{}, doc)
	if _, err := proposer.Propose(context.Background(), change); err != nil {
		t.Fatal(err)
	}
	time.Sleep(settleTime)
	measureCost(t, f, "at rest, a second", time.Minute, func() { time.Sleep(time.Minute) })
	measureCost(t, f, "one change", time.Second, func() {
		result, err := proposer.Propose(context.Background(), shiftCapChange("c", 0, "acct0", 9))
		if err != nil || len(result.Pending) > 0 {
			t.Errorf("%+v, %v", result, err)
		}
	})
	f.store.SetDown(standin.AllClients, true)
	time.Sleep(settleTime)
	measureCost(t, f, "store down, a second", time.Minute, func() { time.Sleep(time.Minute) })
}

// measureCost logs the cost of run, divided by the number of seconds in per.
func measureCost(t *testing.T, f *fleet, name string, per time.Duration, run func()) {
	t.Helper()
	f.mu.Lock()
	clear(f.traffic)
	f.mu.Unlock()
	calls, cpu := f.store.TotalCalls(standin.AllClients), processorTime()
	run()
	seconds := per.Seconds()
	calls = f.store.TotalCalls(standin.AllClients) - calls
	cpu = processorTime() - cpu
	f.mu.Lock()
	defer f.mu.Unlock()
	total, most := 0, 0
	for _, n := range f.traffic {
		total += n
		most = max(most, n)
	}
	vms := float64(len(f.slots))
	t.Logf("%-21s store calls %.1f, peer bytes a VM %.0f mean %.0f most, processor a VM %.1f us",
		name, float64(calls)/seconds, float64(total)/vms/seconds, float64(most)/seconds,
		float64(cpu.Microseconds())/vms/seconds)
}

// processorTime returns the processor time used by this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
