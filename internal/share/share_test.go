package share

import (
	"context"
	"fmt"
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
	mu       sync.Mutex
	own      Counts
	received map[model.VMID]Counts
	// ownLimits are reported, and receivedLimits holds the reports received.
	ownLimits      LimitReports
	receivedLimits map[model.VMID]LimitReports
	// ownLeaving are reported, and receivedLeaving are the last reports received.
	ownLeaving, receivedLeaving LeavingReports
	// ownSpeeds are reported, and receivedSpeeds are the last reports received.
	ownSpeeds, receivedSpeeds SpeedReports
	// messages is the number of messages received.
	messages int
}

func (f *fakeFleet) Outstanding() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.own
}

func (f *fakeFleet) SetRemoteCounts(vm model.VMID, counts Counts, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received[vm] = counts
	f.messages++
}

func (f *fakeFleet) LimitReports(time.Time) LimitReports {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownLimits
}

func (f *fakeFleet) SetRemoteLimits(vm model.VMID, reports LimitReports, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivedLimits[vm] = reports
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

func (f *fakeFleet) SetRemoteSpeeds(_ model.VMID, reports SpeedReports, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivedSpeeds = reports
}

func (f *fakeFleet) ExpireRemoteCounts(time.Time) {}

func (f *fakeFleet) stats() (from, messages int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.received), f.messages
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
	net := peertest.New(1)
	var vms []catalog.VM
	for i := range count {
		name := fmt.Sprintf("vm-%02d", i)
		vms = append(vms, catalog.VM{Name: model.VMID(name), Peer: name})
	}
	var fleets []*fakeFleet
	for i, vm := range vms {
		fleet := &fakeFleet{own: own(i), received: map[model.VMID]Counts{}, receivedLimits: map[model.VMID]LimitReports{}}
		fleets = append(fleets, fleet)
		endpoint := net.Join(vm.Name)
		s := New(vm.Name, fleet, &fakeFeed{position: replica.Position{Era: 1, Revision: 1}}, endpoint, func() []catalog.VM { return vms }, rand.New(rand.NewPCG(uint64(i), 1)))
		if err := s.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Stop(context.Background()) })
	}
	go func() {
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			net.Deliver()
		}
	}()
	return fleets
}

func TestVMsWithTrafficExchangeCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleets := startAll(t, 6, func(i int) Counts {
			if i < 3 {
				return Counts{7: i + 1}
			}
			return nil
		})
		time.Sleep(2 * time.Second)
		for i, fleet := range fleets {
			from, _ := fleet.stats()
			if want := map[bool]int{true: 2, false: 3}[i < 3]; from < want {
				t.Errorf("vm-%02d received counts from %d VMs with traffic, want %d", i, from, want)
			}
		}
	})
}

func TestTrafficOfAVMIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 60
		fleets := startAll(t, vms, func(int) Counts { return Counts{7: 1} })
		time.Sleep(2 * time.Second)
		messages := 0
		for _, fleet := range fleets {
			_, got := fleet.stats()
			messages += got
		}
		if most := vms * maxRecipients * 21; messages > most {
			t.Errorf("%d messages in 2 s, want at most %d", messages, most)
		}
	})
}

// TestLeavingServersReachOtherVMs guards against servers that leave, or are slow, and lose
// the requests only of those VMs that found it out, also if those have no request
// outstanding.
func TestLeavingServersReachOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleets := startAll(t, 3, func(int) Counts { return nil })
		fleets[0].mu.Lock()
		fleets[0].ownLeaving = LeavingReports{7: 1700000000000}
		slow := SpeedReport{Slowness: -160, AgeMillis: 80}
		fleets[0].ownSpeeds = SpeedReports{7: slow}
		fleets[0].mu.Unlock()
		time.Sleep(2 * time.Second)
		for i, fleet := range fleets[1:] {
			fleet.mu.Lock()
			if got := fleet.receivedLeaving[7]; got != 1700000000000 {
				t.Errorf("vm-%02d received %v", i+1, fleet.receivedLeaving)
			}
			if got := fleet.receivedSpeeds[7]; got != slow {
				t.Errorf("vm-%02d received %v of speeds", i+1, fleet.receivedSpeeds)
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
		want := LimitReport{Sent: 4, Stated: true, Limited: true, PerSecond: 6.5, Age: 30 * time.Millisecond}
		fleets[0].mu.Lock()
		fleets[0].ownLimits = LimitReports{7: want}
		fleets[0].mu.Unlock()
		time.Sleep(2 * time.Second)
		for i, fleet := range fleets[1:] {
			fleet.mu.Lock()
			if got := fleet.receivedLimits["vm-00"][7]; got != want {
				t.Errorf("vm-%02d received %+v, want %+v", i+1, got, want)
			}
			fleet.mu.Unlock()
		}
	})
}
