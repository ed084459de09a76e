package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform"

	"github.com/pkg/errors"
)

const (
	fleetCap   = 1000
	fleetZones = 4
)

var (
	fleetShiftKey = ShiftKey("kanalnet", "lease-desk", "zone-0")
	fleetLinkKey  = LinkKey("region-0", "region-1")
)

// fleet runs services with a fake store and fake links. Availability zones 0 and
// 1 are in region-0, 2 and 3 in region-1. Each has one VM.
type fleet struct {
	t        *testing.T
	cluster  *fakeCluster
	services []*Service
	usage    map[Key]*usageLog
	start    time.Time
}

func fleetDocument() *config.Document {
	doc := &config.Document{Revision: 1}
	template := config.Template{Name: "t", Service: "lease-desk", ShiftCap: config.Range{Default: fleetCap}}
	for i := range fleetZones {
		zone := config.Zone{Name: model.Zone(fmt.Sprint("zone-", i)), Region: model.Region(fmt.Sprint("region-", i/2))}
		doc.Zones = append(doc.Zones, zone)
		doc.Slots = append(doc.Slots, config.Slot{VM: vmID(i), Zone: zone.Name})
		template.Places = append(template.Places, zone.Name)
	}
	doc.Links = []config.Link{{From: "region-0", To: "region-1", BytesPerSecond: fleetCap}}
	doc.Templates = []config.Template{template}
	doc.Accounts = []config.Account{{ID: "kanalnet", Services: []config.AccountService{{Template: "t"}}}}
	return doc
}

// withFleet runs f with started services in a synctest bubble and then stops
// them.
func withFleet(t *testing.T, f func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{
			t:       t,
			cluster: newFakeCluster(),
			usage:   map[Key]*usageLog{fleetShiftKey: {}, fleetLinkKey: {}},
			start:   time.Now(),
		}
		for i := range fleetZones {
			fl.add(i)
		}
		f(fl)
		for _, s := range fl.services {
			if err := s.Stop(t.Context()); err != nil {
				t.Error(err)
			}
		}
	})
}

func (f *fleet) add(i int) {
	s := NewService(ServiceOptions{
		Self:   vmID(i),
		Region: model.Region(fmt.Sprint("region-", i/2)),
		Store:  fakeStore{self: vmID(i), cluster: f.cluster},
		Links:  fakeLinks{self: vmID(i), cluster: f.cluster},
		Rand:   rand.New(rand.NewPCG(uint64(i), uint64(*seed))),

		RequireConfirm: true,
	})
	s.SetDocument(fleetDocument())
	if err := s.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	f.services = append(f.services, s)
}

// runLoad lets the VMs use all units they can for the duration d. It fails the
// test if a cap is exceeded, and returns the units used of each key.
func (f *fleet) runLoad(d time.Duration, vms ...int) map[Key]int64 {
	before := map[Key]int64{}
	for key, l := range f.usage {
		before[key] = l.total
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.confirm()
		for _, i := range vms {
			f.takeAll(f.services[i])
		}
	}
	used := map[Key]int64{}
	for key, l := range f.usage {
		used[key] = l.total - before[key]
	}
	return used
}

// confirm confirms the configuration at the VMs that are not partitioned.
func (f *fleet) confirm() {
	for i, s := range f.services {
		partitioned := false
		f.cluster.update(func(c *fakeCluster) { partitioned = c.partitioned[vmID(i)] })
		if !partitioned {
			s.ConfirmUntil(time.Now().Add(DefaultMaxPropagation))
		}
	}
}

func (f *fleet) takeAll(s *Service) {
	for _, key := range []Key{fleetShiftKey, fleetLinkKey} {
		n := s.Limiter().TakeUpTo(time.Now(), key, 1<<20)
		if n == 0 {
			continue
		}
		if sum := f.usage[key].add(time.Since(f.start), n); sum > fleetCap {
			f.t.Fatalf("%d units of %v used in the second before %v", sum, key, time.Since(f.start))
		}
	}
}

// waitSettled waits until floors apply and lenders lend.
func (f *fleet) waitSettled() { f.runLoad(10*time.Second, 0, 1, 2, 3) }

func (f *fleet) vmIndex(id model.VMID) int {
	for i := range f.services {
		if vmID(i) == id {
			return i
		}
	}
	f.t.Fatalf("no VM %q", id)
	return 0
}

// setPartitioned sets whether a VM is partitioned from the store and from the
// other VMs.
func (f *fleet) setPartitioned(vm model.VMID, partitioned bool) {
	f.cluster.update(func(c *fakeCluster) { c.partitioned[vm] = partitioned })
}

// requireUsage checks that at least the given percentage of the cap was used.
func (f *fleet) requireUsage(used map[Key]int64, key Key, seconds, percent int64) {
	f.t.Helper()
	if want := fleetCap * seconds * percent / 100; used[key] < want {
		f.t.Errorf("%d units of %v used in %d s, want at least %d", used[key], key, seconds, want)
	}
}

func TestDemandBorrowsMostOfTheCap(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.waitSettled()
		f.requireUsage(f.runLoad(10*time.Second, 0, 1, 2, 3), fleetShiftKey, 10, 85)
		f.runLoad(5*time.Second, 0)
		used := f.runLoad(10*time.Second, 0)
		f.requireUsage(used, fleetShiftKey, 10, 55)
		f.requireUsage(used, fleetLinkKey, 10, 65*outboundPercent/100)
	})
}

func TestLossOfTheHolderMovesTheLease(t *testing.T) {
	id := lenderID{KindLink, "region-0"}
	withFleet(t, func(f *fleet) {
		f.waitSettled()
		lost := f.cluster.holder(id)
		f.setPartitioned(lost, true)
		f.runLoad(8*time.Second, 0, 1, 2, 3)
		if n := f.runLoad(time.Second, f.vmIndex(lost))[fleetShiftKey]; n != 0 {
			t.Errorf("a VM with an unconfirmed configuration used %d units", n)
		}
		next := f.cluster.holder(id)
		if next == "" || next == lost {
			t.Fatalf("lease holder is %q after %q was partitioned", next, lost)
		}
		f.runLoad(3*time.Second, f.vmIndex(next))
		f.requireUsage(f.runLoad(10*time.Second, f.vmIndex(next)), fleetLinkKey, 10, 60)
		f.setPartitioned(lost, false)
		f.runLoad(5*time.Second, 0, 1, 2, 3)
	})
}

// TestLossOfARegionKeepsItsLender checks that a region failure does not interrupt
// the lending of shifts away from that region, since their lender is in another
// region.
func TestLossOfARegionKeepsItsLender(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.waitSettled()
		f.setPartitioned(vmID(0), true)
		f.setPartitioned(vmID(1), true)
		f.runLoad(4*time.Second, 2, 3)
		f.requireUsage(f.runLoad(10*time.Second, 2, 3), fleetShiftKey, 10, 65)
	})
}

// TestVMsOfOtherRegionsTakeFreeLease checks that VMs with demand acquire the
// lease of a lender whose hosting region has lost all its VMs.
func TestVMsOfOtherRegionsTakeFreeLease(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.waitSettled()
		f.setPartitioned(vmID(2), true)
		f.setPartitioned(vmID(3), true)
		f.runLoad(12*time.Second, 0, 1)
		if next := f.vmIndex(f.cluster.holder(lenderID{KindShift, "region-0"})); next > 1 {
			t.Fatalf("vm-%d of the partitioned region holds the lease", next)
		}
		f.requireUsage(f.runLoad(10*time.Second, 0, 1), fleetShiftKey, 10, 60)
	})
}

func TestStoreOutageLeavesFloors(t *testing.T) {
	for _, storeErr := range []error{platform.ErrUnavailable, platform.ErrRateLimited} {
		withFleet(t, func(f *fleet) {
			f.waitSettled()
			f.cluster.update(func(c *fakeCluster) { c.storeErr = storeErr })
			f.runLoad(8*time.Second, 0, 1, 2, 3)
			f.cluster.update(func(c *fakeCluster) { c.storeCalls = 0 })
			used := f.runLoad(10*time.Second, 0, 1, 2, 3)
			f.requireUsage(used, fleetShiftKey, 10, 40)
			if used[fleetShiftKey] > 10*fleetCap*floorPercent/100 {
				t.Errorf("%d units used without grants, more than the floors", used[fleetShiftKey])
			}
			f.cluster.update(func(c *fakeCluster) {
				c.storeErr = nil
				if c.storeCalls > 10*fleetZones*4 {
					t.Errorf("%d calls to the failing store in 10 s", c.storeCalls)
				}
			})
			f.runLoad(12*time.Second, 0, 1, 2, 3)
			f.requireUsage(f.runLoad(10*time.Second, 0, 1, 2, 3), fleetShiftKey, 10, 85)
		})
	}
}

func TestLostWriteReplyStillAcquiresLease(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.cluster.update(func(c *fakeCluster) { c.dropWriteReplies = true })
		f.waitSettled()
		f.requireUsage(f.runLoad(10*time.Second, 0, 1, 2, 3), fleetShiftKey, 10, 85)
	})
}

func TestIdleFleetStoreCallRate(t *testing.T) {
	withFleet(t, func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.cluster.update(func(c *fakeCluster) { c.storeCalls = 0 })
		time.Sleep(time.Minute)
		renewals := 4 * int(time.Minute/keepAliveInterval)
		f.cluster.update(func(c *fakeCluster) {
			if c.storeCalls > renewals*12/10 {
				t.Errorf("%d store calls in an idle minute, want about %d", c.storeCalls, renewals)
			}
		})
	})
}

// TestRandomFaultsKeepTheCap partitions VMs and fails the store at random while
// all VMs use as many units as they can. No cap may be exceeded.
func TestRandomFaultsKeepTheCap(t *testing.T) {
	for round := range max(*histories/50, 2) {
		withFleet(t, func(f *fleet) {
			rng := rand.New(rand.NewPCG(uint64(round), uint64(*seed)))
			for range 20 {
				for i := range fleetZones {
					f.setPartitioned(vmID(i), rng.IntN(4) == 0)
				}
				f.cluster.update(func(c *fakeCluster) {
					c.storeErr = []error{nil, nil, nil, nil, platform.ErrUnavailable}[rng.IntN(5)]
					c.dropWriteReplies = rng.IntN(5) == 0
				})
				f.runLoad(time.Duration(rng.Int64N(int64(5*time.Second))), 0, 1, 2, 3)
			}
		})
	}
}

func TestHandlerRejectsMalformedRequest(t *testing.T) {
	withFleet(t, func(f *fleet) {
		_, err := f.services[0].handle(context.Background(), "vm-1", []byte{0xff})
		if !errors.Is(err, ErrBadRequest) {
			t.Errorf("malformed request: %v", err)
		}
		if err := f.services[0].Start(context.Background()); !errors.Is(err, ErrStarted) {
			t.Errorf("second start: %v", err)
		}
	})
}
