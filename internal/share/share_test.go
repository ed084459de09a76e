package share

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer/peertest"
	"fuchsiaspar/internal/replica"
)

// fakeFleet has fixed outstanding requests and records the counts it receives.
type fakeFleet struct {
	mu     sync.Mutex
	own    Counts
	remote Counts
	// ownLimits are reported, and stated and sent hold the reports received.
	ownLimits LimitReports
	stated    LimitReports
	sent      map[uint64]uint64
	// ownLeaving are reported, and receivedLeaving are the last reports received.
	ownLeaving, receivedLeaving LeavingReports
	// ownSpeeds are reported, and receivedSpeeds holds the last report received of each server.
	ownSpeeds, receivedSpeeds SpeedReports
}

func (f *fakeFleet) Outstanding() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.own)
}

func (f *fakeFleet) AddRemoteCounts(changes Counts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for server, change := range changes {
		f.remote[server] += change
	}
}

func (f *fakeFleet) LimitReports(time.Time) LimitReports {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownLimits
}

func (f *fakeFleet) SetRemoteLimits(vm model.VMID, reports LimitReports, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for server, report := range reports {
		if report.Stated {
			f.stated[server] = report
		}
		if vm == others {
			f.sent[server] = report.Sent
		}
	}
}

func (f *fakeFleet) Leaving(time.Time) LeavingReports {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownLeaving
}

func (f *fakeFleet) SetRemoteLeaving(reports LeavingReports, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivedLeaving = reports
}

func (f *fakeFleet) SpeedReports(time.Time) SpeedReports {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownSpeeds
}

func (f *fakeFleet) SetRemoteSpeeds(reports []RemoteSpeed, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range reports {
		f.receivedSpeeds[r.Server] = r.SpeedReport
	}
}

// fakeFeed is at a fixed position and records the latest position of a hint.
type fakeFeed struct {
	position replica.Position
	mu       sync.Mutex
	newest   replica.Position
}

func (f *fakeFeed) Position() replica.Position { return f.position }

func (f *fakeFeed) ObservePosition(_ catalog.VM, position replica.Position, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if position.After(f.newest) {
		f.newest = position
	}
}

func startAll(t *testing.T, count int, own func(i int) Counts) []*fakeFleet {
	t.Helper()
	return startRegions(t, count, 1, own)
}

// startRegions starts VMs that are in so many regions by turns.
func startRegions(t *testing.T, count, regions int, own func(i int) Counts) []*fakeFleet {
	t.Helper()
	net := peertest.New(1)
	var vms []catalog.VM
	for i := range count {
		name := fmt.Sprintf("vm-%02d", i)
		vms = append(vms, catalog.VM{Name: model.VMID(name), Region: model.Region(fmt.Sprint("r", i%regions)), Peer: name})
	}
	var fleets []*fakeFleet
	for i, vm := range vms {
		fleet := &fakeFleet{own: own(i), remote: Counts{}, stated: LimitReports{}, sent: map[uint64]uint64{}, receivedSpeeds: SpeedReports{}}
		fleets = append(fleets, fleet)
		endpoint := net.Join(vm.Name)
		s := New(vm, fleet, &fakeFeed{position: replica.Position{Era: 1, Revision: 1}}, endpoint, func() []catalog.VM { return vms }, rand.New(rand.NewPCG(uint64(i), 1)))
		if err := s.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Stop(context.Background()) })
	}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				net.Deliver()
			}
		}
	}()
	return fleets
}

// TestVMsWithTrafficExchangeCounts guards against VMs with traffic that do not learn of
// the requests of others over their links.
func TestVMsWithTrafficExchangeCounts(t *testing.T) {
	for _, regions := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			fleets := startRegions(t, 6, regions, func(i int) Counts {
				if i < 3 {
					return Counts{7: i + 1}
				}
				return nil
			})
			time.Sleep(2 * time.Second)
			for i, fleet := range fleets[:3] {
				fleet.mu.Lock()
				if got, want := fleet.remote[7], 6-(i+1); got != want {
					t.Errorf("%d regions: vm-%02d knows of %d requests of other VMs, want %d", regions, i, got, want)
				}
				fleet.mu.Unlock()
			}
		})
	}
}

// TestLeavingServersReachOtherVMs guards against servers that leave, or are slow, and lose
// the requests only of those VMs that found it out, also if those have no request
// outstanding.
func TestLeavingServersReachOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleets := startAll(t, 3, func(int) Counts { return nil })
		fleets[0].mu.Lock()
		fleets[0].ownLeaving = LeavingReports{7: 1700000000000}
		slow := SpeedReport{Slowness: -160, Age: 80 * time.Millisecond}
		fleets[0].ownSpeeds = SpeedReports{7: slow}
		fleets[0].mu.Unlock()
		time.Sleep(2 * time.Second)
		for i, fleet := range fleets[1:] {
			fleet.mu.Lock()
			if got := fleet.receivedLeaving[7]; got != 1700000000000 {
				t.Errorf("vm-%02d received %v", i+1, fleet.receivedLeaving)
			}
			// It ages on the way.
			got := fleet.receivedSpeeds[7]
			if age := got.Age - slow.Age; got.Slowness != slow.Slowness || age < 0 || age > 300*time.Millisecond {
				t.Errorf("vm-%02d received %+v of speeds, want %+v", i+1, fleet.receivedSpeeds, slow)
			}
			fleet.mu.Unlock()
		}
	})
}

// TestLimitReportsReachOtherVMs guards against limits that only the VMs know to which the
// server stated them, also if those have no request outstanding.
func TestLimitReportsReachOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleets := startAll(t, 3, func(int) Counts { return nil })
		// Counts from before the VMs know each other are their baseline.
		time.Sleep(1500 * time.Millisecond)
		want := LimitReport{Sent: 4, Stated: true, Limited: true, PerSecond: 6.5, Age: 30 * time.Millisecond}
		fleets[0].mu.Lock()
		fleets[0].ownLimits = LimitReports{7: want}
		fleets[0].mu.Unlock()
		time.Sleep(2 * time.Second)
		for i, fleet := range fleets[1:] {
			fleet.mu.Lock()
			got := fleet.stated[7]
			// It ages on the way, and its requests are reported with those of all others.
			if age := got.Age - want.Age; age < 0 || age > 300*time.Millisecond || fleet.sent[7] != want.Sent {
				t.Errorf("vm-%02d received a statement of age %v and %d requests, want %+v", i+1, got.Age, fleet.sent[7], want)
			}
			if got.Limited != want.Limited || got.PerSecond != want.PerSecond {
				t.Errorf("vm-%02d received %+v, want %+v", i+1, got, want)
			}
			fleet.mu.Unlock()
		}
	})
}
