package membership

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"

	"go.uber.org/goleak"
)

// testTimeout only ends a test that hangs.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeStore is an in-memory store and VM list without watches. It can be made
// unavailable.
type fakeStore struct {
	platform.Store
	partition partition
	mu        sync.Mutex
	down      bool
	entries   map[string]platform.Entry
	leases    map[platform.LeaseID]string
	next      platform.LeaseID
	puts      int
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]platform.Entry{}, leases: map[platform.LeaseID]string{}}
}

func (f *fakeStore) lockIfUp() (func(), error) {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return nil, platform.ErrUnavailable
	}
	return f.mu.Unlock, nil
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	done, err := f.lockIfUp()
	if err != nil {
		return platform.Entry{}, err
	}
	defer done()
	e, ok := f.entries[key]
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]platform.Entry, error) {
	done, err := f.lockIfUp()
	if err != nil {
		return nil, err
	}
	defer done()
	var found []platform.Entry
	for _, key := range sortedKeys(f.entries) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, f.entries[key])
		}
	}
	return found, nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, expect uint64, lease platform.LeaseID) (uint64, error) {
	done, err := f.lockIfUp()
	if err != nil {
		return 0, err
	}
	defer done()
	if f.entries[key].Version != expect {
		return 0, platform.ErrConflict
	}
	f.puts++
	f.leases[lease] = key
	f.entries[key] = platform.Entry{Key: key, Value: value, Version: expect + 1}
	return expect + 1, nil
}

func (f *fakeStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	done, err := f.lockIfUp()
	if err != nil {
		return 0, err
	}
	defer done()
	f.next++
	return f.next, nil
}

func (f *fakeStore) KeepAlive(context.Context, platform.LeaseID) error {
	done, err := f.lockIfUp()
	if err != nil {
		return err
	}
	done()
	return nil
}

func (f *fakeStore) Revoke(_ context.Context, lease platform.LeaseID) error {
	done, err := f.lockIfUp()
	if err != nil {
		return err
	}
	defer done()
	delete(f.entries, f.leases[lease])
	return nil
}

func (f *fakeStore) VMs(context.Context) ([]platform.VM, error) { return nil, platform.ErrUnavailable }

// partition separates one group of VMs from the others while it is active.
type partition struct{ active atomic.Bool }

// blocked returns the link filter of one VM.
func (p *partition) blocked(self model.VMID, inside map[model.VMID]bool) func(model.VMID) bool {
	return func(other model.VMID) bool { return p.active.Load() && inside[self] != inside[other] }
}

// daemon is one VM with real links over loopback.
type daemon struct {
	self    Self
	mesh    *peer.Mesh
	server  *httptest.Server
	service *Service
	ring    *explain.Ring
}

func startDaemon(t *testing.T, slot Self, incarnation model.Incarnation, store *fakeStore, seeds []Seed) *daemon {
	t.Helper()
	d := &daemon{self: slot, ring: explain.NewRing(slot.VM, 64)}
	d.mesh = peer.New(peer.Options{
		Self: slot.VM, Incarnation: incarnation,
		Blocked: store.partition.blocked(slot.VM, map[model.VMID]bool{"vm-0000": true, "vm-0006": true}),
	})
	d.server = httptest.NewServer(d.mesh)
	d.self.Incarnation = incarnation
	d.self.Address = strings.TrimPrefix(d.server.URL, "http://")
	d.service = NewService(ServiceOptions{
		Self: d.self, Seeds: seeds, Store: store, VMs: store, Links: d.mesh, Explain: d.ring,
	})
	if err := d.mesh.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := d.service.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.stop(t) })
	return d
}

func (d *daemon) stop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := d.service.Stop(ctx); err != nil {
		t.Error(err)
	}
	if err := d.mesh.Stop(ctx); err != nil {
		t.Error(err)
	}
	d.server.Close()
}

// waitForViews polls until every daemon's view satisfies ok.
func waitForViews(t *testing.T, what string, daemons []*daemon, ok func(*View) bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for _, d := range daemons {
		for !ok(d.service.View()) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: timeout, the view of %s has %+v", what, d.self.VM, d.service.View().Members)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func countState(v *View, state State) int {
	count := 0
	for _, m := range v.Members {
		if m.State == state {
			count++
		}
	}
	return count
}

func startDeployment(t *testing.T, store *fakeStore) []*daemon {
	var daemons []*daemon
	var seeds []Seed
	for i, slot := range simSlots(7, 6, 3) {
		d := startDaemon(t, slot, model.Incarnation(i+1), store, seeds)
		daemons = append(daemons, d)
		seeds = append(seeds, Seed{VM: d.self.VM, Address: d.self.Address})
	}
	waitForViews(t, "boot", daemons, func(v *View) bool { return countState(v, StateAlive) == 7 })
	return daemons
}

func TestServiceOverSockets(t *testing.T) {
	store := newFakeStore()
	daemons := startDeployment(t, store)
	for i, d := range daemons {
		d.service.SetLocal(4, []ServiceLoad{{Service: "order-desk", Slots: 10 + i, Busy: i}})
	}
	waitForViews(t, "load and revision", daemons, func(v *View) bool {
		for i, d := range daemons {
			m, _ := v.Find(d.self.VM)
			if m.Revision != 4 || len(m.Load) != 1 || m.Load[0].Slots != 10+i {
				return false
			}
		}
		return len(v.Leaders) == 6
	})
	store.setDown(true)
	leaving, rest := daemons[2], append(daemons[:2:2], daemons[3:]...)
	leaving.service.Leave()
	waitForViews(t, "leave", rest, func(v *View) bool {
		m, _ := v.Find(leaving.self.VM)
		return m.State == StateLeaving
	})
	leaving.stop(t)
	waitForViews(t, "left", rest, func(v *View) bool {
		m, _ := v.Find(leaving.self.VM)
		return m.State == StateDead
	})
	next := startDaemon(t, leaving.self, 99, store, []Seed{{VM: rest[0].self.VM, Address: rest[0].self.Address}})
	waitForViews(t, "replacement", append(rest, next), func(v *View) bool {
		m, _ := v.Find(leaving.self.VM)
		return m.State == StateAlive && m.Incarnation == 99
	})
	if len(rest[0].ring.Find(explain.Filter{Kind: explain.KindMembership})) == 0 {
		t.Error("no membership decision was recorded")
	}
}

func TestPartitionAndCrashOverSockets(t *testing.T) {
	store := newFakeStore()
	daemons := startDeployment(t, store)
	inside := []*daemon{daemons[0], daemons[6]}
	outside := daemons[1:6]
	alive := func(count int) func(*View) bool {
		return func(v *View) bool { return countState(v, StateAlive) == count && countState(v, StateDead) == 7-count }
	}
	started := time.Now()
	store.partition.active.Store(true)
	waitForViews(t, "partition, inner VMs", inside, alive(2))
	waitForViews(t, "partition, outer VMs", outside, alive(5))
	t.Logf("partition detected after %s", time.Since(started))
	started = time.Now()
	store.partition.active.Store(false)
	waitForViews(t, "healed", daemons, alive(7))
	t.Logf("healing detected after %s", time.Since(started))
	victim := outside[0]
	started = time.Now()
	victim.stop(t)
	waitForViews(t, "crash", append(inside, outside[1:]...), alive(6))
	t.Logf("crash detected after %s", time.Since(started))
}

func TestZoneRecordsLeadToFirstContact(t *testing.T) {
	store := newFakeStore()
	first := startDaemon(t, simSlots(1, 1, 1)[0], 1, store, nil)
	for written := false; !written; time.Sleep(10 * time.Millisecond) {
		entry, err := store.Get(t.Context(), recordKey(first.self.Zone))
		written = err == nil && len(entry.Value) > 0
	}
	second := simSlots(2, 2, 1)[1]
	other := startDaemon(t, second, 2, store, nil)
	waitForViews(t, "contact", []*daemon{first, other}, func(v *View) bool { return countState(v, StateAlive) == 2 })
}

func ExampleView_Find() {
	view := &View{Members: []Member{{VM: "vm-1", State: StateAlive}, {VM: "vm-2", State: StateDead}}}
	m, ok := view.Find("vm-2")
	fmt.Println(m.State, ok)
	// Output: dead true
}
