package feed

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer/peertest"
	"fuchsiaspar/internal/replica"

	"github.com/pkg/errors"
)

var (
	errRejected  = errors.New("rejected")
	errCompacted = errors.New("compacted")
)

// fakeStore is a store that some VMs cannot reach.
type fakeStore struct {
	mu        sync.Mutex
	era       uint64
	revision  uint64
	history   []replica.Event
	compacted uint64
	rejected  map[model.VMID]bool
	// silent lists the VMs whose calls get no response.
	silent  map[model.VMID]bool
	calls   map[model.VMID]int
	changed chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, rejected: map[model.VMID]bool{}, silent: map[model.VMID]bool{}, calls: map[model.VMID]int{}, changed: make(chan struct{})}
}

func (s *fakeStore) put(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.history = append(s.history, replica.Event{Key: key, Value: []byte{1}, Revision: s.revision, Era: s.era})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// restore goes back to the state at revision. If numbered is set, a new era begins.
func (s *fakeStore) restore(revision uint64, numbered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if numbered {
		s.era++
	}
	s.revision = revision
	s.history = slices.DeleteFunc(s.history, func(e replica.Event) bool { return e.Revision > revision })
	for i := range s.history {
		s.history[i].Era = s.era
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// callCounts returns the number of calls of each VM.
func (s *fakeStore) callCounts() map[model.VMID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// storeView is the store client of one VM.
type storeView struct {
	store *fakeStore
	vm    model.VMID
}

func (v storeView) call() (rejected bool) {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	v.store.calls[v.vm]++
	return v.store.rejected[v.vm]
}

func (v storeView) isSilent() bool {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	return v.store.silent[v.vm]
}

func (v storeView) List(context.Context, string) (replica.Batch, error) {
	if v.call() {
		return replica.Batch{}, errRejected
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	items := map[string]replica.Event{}
	for _, e := range v.store.history {
		items[e.Key] = e
	}
	batch := replica.Batch{Full: true, To: v.store.revision, Era: v.store.era}
	for _, e := range items {
		batch.Events = append(batch.Events, e)
	}
	return batch, nil
}

func (v storeView) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (replica.Batch, error) {
	if v.call() {
		return replica.Batch{}, errRejected
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if v.isSilent() {
			time.Sleep(wait + time.Second)
			return replica.Batch{}, errRejected
		}
		v.store.mu.Lock()
		batch := replica.Batch{To: v.store.revision, Era: v.store.era}
		for _, e := range v.store.history {
			if e.Revision > after {
				batch.Events = append(batch.Events, e)
			}
		}
		changed, compacted := v.store.changed, v.store.compacted
		v.store.mu.Unlock()
		if after < compacted || after > batch.To {
			return replica.Batch{}, errCompacted
		}
		if len(batch.Events) > 0 {
			return batch, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return replica.Batch{}, ctx.Err()
		}
	}
}

type fleet struct {
	store *fakeStore
	net   *peertest.Net
	vms   []catalog.VM
	// alive are the VMs that count as alive, all of vms at first.
	alive  atomic.Pointer[[]catalog.VM]
	copies map[model.VMID]*replica.Replica
	feeds  map[model.VMID]*Service
}

// startFleet runs a feed on perRegion VMs in each of the regions.
func startFleet(t *testing.T, regions, perRegion int) *fleet {
	t.Helper()
	f := &fleet{
		store: newFakeStore(), net: peertest.New(1),
		copies: map[model.VMID]*replica.Replica{}, feeds: map[model.VMID]*Service{},
	}
	for r := range regions {
		for i := range perRegion {
			name := fmt.Sprintf("r%d-%d", r, i)
			f.vms = append(f.vms, catalog.VM{Name: model.VMID(name), Region: model.Region(fmt.Sprint("r", r)), Peer: name})
		}
	}
	f.alive.Store(&f.vms)
	for i, vm := range f.vms {
		f.copies[vm.Name] = replica.New(nil)
		f.feeds[vm.Name] = New(Options{
			Self: vm, Store: storeView{f.store, vm.Name}, Links: f.net.Join(vm.Name), Replica: f.copies[vm.Name],
			Alive:       func() []catalog.VM { return *f.alive.Load() },
			Random:      rand.New(rand.NewPCG(uint64(i), 7)),
			Log:         decisions.Discard(),
			IsCompacted: func(err error) bool { return errors.Is(err, errCompacted) },
		})
	}
	for _, vm := range f.vms {
		if err := f.feeds[vm.Name].Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func (f *fleet) stop(t *testing.T) {
	t.Helper()
	for _, s := range f.feeds {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	}
}

func (f *fleet) expectRevision(t *testing.T, revision uint64) {
	t.Helper()
	for _, vm := range f.vms {
		if got := f.copies[vm.Name].Position().Revision; got < revision {
			t.Errorf("%s is at revision %d, want %d", vm.Name, got, revision)
		}
	}
}

func TestOneVMOfARegionReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 10)
		defer f.stop(t)
		time.Sleep(5 * time.Second)
		f.store.update(func() { clear(f.store.calls) })
		for range 10 {
			time.Sleep(time.Second)
			f.store.put("servers/a")
		}
		time.Sleep(2 * time.Second)
		f.expectRevision(t, 11)
		if readers := len(f.store.callCounts()); readers != 3 {
			t.Errorf("%d VMs called the store, want one per region", readers)
		}
	})
}

func TestRejectedVMsFollowOtherReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3)
		defer f.stop(t)
		time.Sleep(2 * time.Second)
		// The store rejects all VMs of a region, its reader included.
		f.store.update(func() {
			for _, vm := range f.vms[:3] {
				f.store.rejected[vm.Name] = true
			}
		})
		time.Sleep(5 * time.Second)
		revision := f.store.put("op/config")
		// A configuration must take effect within 2 s.
		time.Sleep(2 * time.Second)
		f.expectRevision(t, revision)
		for _, vm := range f.vms {
			if disconnected := f.feeds[vm.Name].StoreStatus(time.Now()).Disconnected; disconnected {
				t.Errorf("%s reports its replica as stale", vm.Name)
			}
		}
	})
}

// The store rejects the readers of two regions at the same time. They must not
// rely on each other as a source.
func TestReadersThatLoseTheStoreTogether(t *testing.T) {
	for left := range 3 {
		t.Run(fmt.Sprint("only reader ", left, " has the store"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 3, 3)
				defer f.stop(t)
				time.Sleep(2 * time.Second)
				f.store.update(func() {
					for i, reader := range SelectReaders(f.vms, f.vms[0]) {
						f.store.rejected[reader.Name] = i != left
					}
				})
				time.Sleep(1300 * time.Millisecond)
				revision := f.store.put("op/config")
				// A configuration must take effect within 2 s.
				time.Sleep(2 * time.Second)
				f.expectRevision(t, revision)
			})
		})
	}
}

// A reader's connection to the store goes silent, so that the reader does not
// notice that its replica is outdated. Its followers learn of newer revisions
// from other VMs and must catch up there.
func TestFollowersOfASilentReaderAreNotLeftBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3)
		defer f.stop(t)
		time.Sleep(2 * time.Second)
		reader := SelectReaders(f.vms, f.vms[0])[0]
		f.store.update(func() { f.store.silent[reader.Name] = true })
		f.store.put("servers/a")
		revision := f.store.put("op/config")
		// A configuration must take effect within 2 s.
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, from := range f.vms {
				for _, to := range f.vms {
					f.feeds[to.Name].ObservePosition(from, f.copies[from.Name].Position(), time.Now())
				}
			}
		}
		for _, vm := range f.vms {
			if got := f.copies[vm.Name].Position().Revision; vm.Name != reader.Name && got < revision {
				t.Errorf("%s is at revision %d, want %d", vm.Name, got, revision)
			}
		}
	})
}

// Guards against followers that stay behind while their reader is silently cut off from
// the store and no other VM announces its position.
func TestFollowersOfASilentReaderReadOnWithoutAnnouncements(t *testing.T) {
	for _, regions := range []int{1, 3} {
		for phase := time.Duration(0); phase < watchTimeout; phase += 100 * time.Millisecond {
			t.Run(fmt.Sprint(regions, " regions, cut after ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFleet(t, regions, 3)
					defer f.stop(t)
					time.Sleep(3*time.Second + phase)
					reader := SelectReaders(f.vms, f.vms[0])[0]
					f.store.update(func() { f.store.silent[reader.Name] = true })
					revision := f.store.put("op/config")
					// A configuration must take effect within 2 s, a tenth of which is
					// left for what follows its arrival.
					time.Sleep(1800 * time.Millisecond)
					for _, vm := range f.vms {
						if got := f.copies[vm.Name].Position().Revision; vm.Name != reader.Name && got < revision {
							t.Errorf("%s is at revision %d, want %d", vm.Name, got, revision)
						}
					}
				})
			})
		}
	}
}

// retire stops a VM, which the others notice at once.
func (f *fleet) retire(t *testing.T, vm catalog.VM) {
	t.Helper()
	rest := slices.DeleteFunc(slices.Clone(f.vms), func(other catalog.VM) bool { return other.Name == vm.Name })
	f.alive.Store(&rest)
	if err := f.feeds[vm.Name].Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.net.Leave(vm.Name)
}

// Guards against servers that have left and stay in use because the VM that takes over
// the watch of the store counts an outage of long ago as having just ended.
func TestOutageEndsOnce(t *testing.T) {
	for outage := 3 * time.Second; outage <= 5*time.Second; outage += 100 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 3, 3)
				defer f.stop(t)
				time.Sleep(2 * time.Second)
				f.store.update(func() {
					for _, vm := range f.vms {
						f.store.rejected[vm.Name] = true
					}
				})
				time.Sleep(outage)
				f.store.update(func() { clear(f.store.rejected) })
				time.Sleep(6 * time.Second)
				takeOver := time.Now()
				for range 2 {
					f.retire(t, SelectReaders(*f.alive.Load(), f.vms[0])[0])
					time.Sleep(3 * time.Second)
				}
				for _, vm := range *f.alive.Load() {
					if at := f.feeds[vm.Name].StoreStatus(time.Now()).RecoveredAt; at.IsZero() || at.After(takeOver) {
						t.Errorf("%s counts an outage of 6 s ago as ended %v after the take-over", vm.Name, at.Sub(takeOver))
					}
				}
			})
		})
	}
}

// Guards against servers that have left and stay in use at VMs that reached the store all
// the time, because another VM has just regained it.
func TestOutageOfOneVMIsNotOneOfTheStore(t *testing.T) {
	faults := map[string]func(*fakeStore) map[model.VMID]bool{
		"refused": func(s *fakeStore) map[model.VMID]bool { return s.rejected },
		"silent":  func(s *fakeStore) map[model.VMID]bool { return s.silent },
	}
	for desc, fault := range faults {
		t.Run(desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 3, 3)
				defer f.stop(t)
				time.Sleep(2 * time.Second)
				reader := SelectReaders(f.vms, f.vms[0])[0]
				f.store.update(func() { fault(f.store)[reader.Name] = true })
				time.Sleep(4 * time.Second)
				f.store.update(func() { delete(fault(f.store), reader.Name) })
				time.Sleep(5 * time.Second)
				for _, vm := range f.vms {
					if at := f.feeds[vm.Name].StoreStatus(time.Now()).RecoveredAt; vm.Name != reader.Name && !at.IsZero() {
						t.Errorf("%s counts an outage of the store", vm.Name)
					}
				}
			})
		})
	}
}

func TestStoreUnreachableForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 5)
		defer f.stop(t)
		time.Sleep(2 * time.Second)
		f.store.update(func() {
			clear(f.store.calls)
			for _, vm := range f.vms {
				f.store.rejected[vm.Name] = true
			}
		})
		time.Sleep(10 * time.Second)
		total := 0
		calls := f.store.callCounts()
		for _, vm := range f.vms {
			total += calls[vm.Name]
			if disconnected := f.feeds[vm.Name].StoreStatus(time.Now()).Disconnected; !disconnected {
				t.Errorf("%s reports its replica as current", vm.Name)
			}
		}
		// A reader retries every readerRetryDelay, another VM at most every 0.75 s.
		if maxCalls := 3*25 + 12*14; total > maxCalls {
			t.Errorf("%d calls in 10 s without a store, want at most %d", total, maxCalls)
		}
		f.store.update(func() { clear(f.store.rejected) })
		recoveredAt := time.Now()
		revision := f.store.put("op/config")
		time.Sleep(2 * time.Second)
		f.expectRevision(t, revision)
		for _, vm := range f.vms {
			if status := f.feeds[vm.Name].StoreStatus(time.Now()); status.Disconnected || status.RecoveredAt.Before(recoveredAt) {
				t.Errorf("%s did not notice that the store recovered", vm.Name)
			}
		}
	})
}

// TestLargeFleetSparesAStoreThatIsDown plays 117 VMs whose store refuses all calls.
// Calls are priced, and one VM that reaches the store is enough for all.
func TestLargeFleetSparesAStoreThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const regions, perRegion = 3, 39
		f := startFleet(t, regions, perRegion)
		defer f.stop(t)
		time.Sleep(2 * time.Second)
		f.store.update(func() {
			clear(f.store.calls)
			for _, vm := range f.vms {
				f.store.rejected[vm.Name] = true
			}
		})
		const seconds = 10
		time.Sleep(seconds * time.Second)
		total := 0
		for _, calls := range f.store.callCounts() {
			total += calls
		}
		// Readers retry every readerRetryDelay; the first call of each other VM
		// comes when its replica turns stale.
		readers := regions * int(seconds*time.Second/readerRetryDelay)
		if bound := readers + regions*perRegion + seconds*followerCallsPerSecond; total > bound {
			t.Errorf("%d calls in %d s, want at most %d", total, seconds, bound)
		}
	})
}

// TestStoreTurnsAwayAllReaders lets the store refuse every reader and a third of the
// other VMs. A change must reach all VMs through those that still reach it.
func TestStoreTurnsAwayAllReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 39)
		defer f.stop(t)
		time.Sleep(2 * time.Second)
		f.store.update(func() {
			for i, vm := range f.vms {
				isReader := SelectReaders(f.vms, vm)[0].Name == vm.Name
				f.store.rejected[vm.Name] = isReader || i%3 == 0
			}
		})
		revision := f.store.put("op/config")
		// The configuration must be in force within 3 s, or 6 s more while the
		// store turns VMs away.
		for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for i, from := range f.vms {
				for _, to := range []catalog.VM{f.vms[(i+1)%len(f.vms)], f.vms[(i+40)%len(f.vms)]} {
					f.feeds[to.Name].ObservePosition(from, f.copies[from.Name].Position(), time.Now())
				}
			}
		}
		f.expectRevision(t, revision)
	})
}

func TestCompactedHistoryTriggersFullListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 1, 2)
		defer f.stop(t)
		time.Sleep(2 * time.Second)
		var revision uint64
		f.store.update(func() { f.store.rejected["r0-0"], f.store.rejected["r0-1"] = true, true })
		time.Sleep(2 * time.Second)
		revision = f.store.put("servers/a")
		f.store.update(func() { f.store.compacted = revision; clear(f.store.rejected) })
		time.Sleep(3 * time.Second)
		f.expectRevision(t, revision)
	})
}

func TestFailedReaderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 2, 3)
		defer f.stop(t)
		time.Sleep(2 * time.Second)
		dead := SelectReaders(f.vms, f.vms[0])[0]
		if err := f.feeds[dead.Name].Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		f.net.Leave(dead.Name)
		revision := f.store.put("op/config")
		// The failed reader still counts as alive; the reader of the other region
		// serves its followers.
		time.Sleep(3 * time.Second)
		for _, vm := range f.vms {
			if got := f.copies[vm.Name].Position().Revision; vm.Name != dead.Name && got < revision {
				t.Errorf("%s is at revision %d, want %d", vm.Name, got, revision)
			}
		}
	})
}

func TestAllVMsAgreeOnTheReaders(t *testing.T) {
	f := &fleet{}
	for i := range 30 {
		f.vms = append(f.vms, catalog.VM{Name: model.VMID(fmt.Sprint("vm", i)), Region: model.Region(fmt.Sprint("r", i%3))})
	}
	want := map[model.Region]model.VMID{}
	for _, self := range f.vms {
		readers := SelectReaders(f.vms, self)
		if len(readers) != 3 || readers[0].Region != self.Region {
			t.Fatalf("%s sees readers %v", self.Name, readers)
		}
		for _, reader := range readers {
			if known, ok := want[reader.Region]; ok && known != reader.Name {
				t.Errorf("%s selects %s as the reader of %s, others select %s", self.Name, reader.Name, reader.Region, known)
			}
			want[reader.Region] = reader.Name
		}
	}
}

// On a slow link the transfer of a large configuration takes longer than the
// other VMs need to announce its revision. The announcements must not cancel it.
func TestCatchUpPollIsNotCancelledByAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3)
		defer f.stop(t)
		time.Sleep(2 * time.Second)
		slow := f.vms[0]
		// A poll takes 0.6 s in both directions together.
		f.net.SetDelay(300 * time.Millisecond)
		time.Sleep(2 * time.Second)
		revision := f.store.put("op/config")
		// A configuration must take effect within 2 s.
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, from := range f.vms[1:] {
				f.feeds[slow.Name].ObservePosition(from, replica.Position{Revision: revision}, time.Now())
			}
		}
		if got := f.copies[slow.Name].Position().Revision; got < revision {
			t.Errorf("the VM is at revision %d, want %d", got, revision)
		}
	})
}

func TestReadersHaveFastLinks(t *testing.T) {
	for fleet := range 10 {
		var vms []catalog.VM
		for i := range 12 {
			vm := catalog.VM{
				Name: model.VMID(fmt.Sprint("vm", fleet, "-", i)), Region: model.Region(fmt.Sprint("r", i%3)), LinkMbps: 10, CPUShare: 1,
			}
			if i < 6 {
				vm.LinkMbps = 200
			}
			vms = append(vms, vm)
		}
		for _, self := range vms {
			for _, reader := range SelectReaders(vms, self) {
				if reader.LinkMbps != 200 {
					t.Errorf("%s selects %s with a slow link as the reader of %s", self.Name, reader.Name, reader.Region)
				}
			}
		}
	}
}

// TestChangesAfterARestoreReachAllVMs guards against copies that stay behind a store that
// went back to an older state and gives its revisions out again.
func TestChangesAfterARestoreReachAllVMs(t *testing.T) {
	tests := []struct {
		desc string
		// again is the number of changes after the restore; ten had been made before.
		again int
	}{
		{"fewer changes than were lost", 3},
		{"as many", 10},
		{"more than were lost before anyone called", 15},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 3, 3)
				defer f.stop(t)
				before := f.store.put("op/config")
				for i := range 10 {
					f.store.put(fmt.Sprint("servers/", i))
				}
				time.Sleep(2 * time.Second)
				f.store.restore(before, true)
				var want replica.Position
				for i := range tt.again {
					want = replica.Position{Era: 1, Revision: f.store.put(fmt.Sprint("servers/again-", i))}
				}
				time.Sleep(2 * time.Second)
				for _, vm := range f.vms {
					c := f.copies[vm.Name]
					if got := c.Position(); got != want {
						t.Errorf("%s is at %+v, want %+v", vm.Name, got, want)
					}
					if got := len(c.Items("servers/")); got != tt.again {
						t.Errorf("%s has %d servers, want %d", vm.Name, got, tt.again)
					}
					if status := f.feeds[vm.Name].StoreStatus(time.Now()); status.RecoveredAt.IsZero() || status.RestoredAt.IsZero() {
						t.Errorf("%s takes missing entries for gone: %+v", vm.Name, status)
					}
				}
			})
		})
	}
}

// TestStoreBehindTheCopiesIsSpared guards against readers that list a store again and
// again which went back without saying so.
func TestStoreBehindTheCopiesIsSpared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const regions, seconds = 3, 10
		f := startFleet(t, regions, 3)
		defer f.stop(t)
		for i := range 10 {
			f.store.put(fmt.Sprint("servers/", i))
		}
		time.Sleep(2 * time.Second)
		f.store.restore(4, false)
		before := f.store.callCounts()
		time.Sleep(seconds * time.Second)
		calls := 0
		for vm, count := range f.store.callCounts() {
			calls += count - before[vm]
		}
		// A watch and a listing for each retry.
		if most := 2 * regions * seconds * int(time.Second/readerRetryDelay+1); calls > most {
			t.Errorf("%d calls in %d s, want at most %d", calls, seconds, most)
		}
	})
}
