package daemon

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/netip"
	"testing"
	"time"

	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/kernel"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/platform"
	platformstandin "fuchsiaspar/internal/platform/standin"
	"fuchsiaspar/internal/quota"
	"fuchsiaspar/internal/settings"

	"github.com/charmbracelet/log"
)

const (
	testAccount = "carrier"
	testZone    = "lj-a"
	testRegion  = "lj"
	// waitTimeout bounds each wait for an expected condition.
	waitTimeout = 30 * time.Second
)

// testFleet runs the entry VMs of one availability zone in this process, with
// one backend server.
type testFleet struct {
	store     *platformstandin.Store
	daemons   []*Daemon
	addresses []string
	backends  []*standin.Server
	// dialers holds the dialer of each daemon.
	dialers []*trackingDialer
}

func testDocument(vms int) *config.Document {
	doc := &config.Document{
		Lookup: config.Lookup{TTL: model.Duration(300 * time.Millisecond)},
		Zones:  []config.Zone{{Name: testZone, Region: testRegion}},
		Templates: []config.Template{{
			Name: "desk", Service: "desk", Places: []model.Zone{testZone},
			Server:     config.ServerClass{Slots: 3, MaxConns: 100},
			QueueLimit: 100, RetryPercent: 10,
			ShiftCap: config.Range{Max: 100, Default: 100},
			Weight:   config.Range{Min: 1, Max: 10, Default: 1},
			Classes: []config.Class{
				{Name: "lookup", PathPrefix: "/lookup", Idempotent: true, Lowest: model.PriorityBulk, Deadline: model.Duration(20 * time.Second)},
				{Name: "order", PathPrefix: "/order", Lowest: model.PriorityBulk, Deadline: model.Duration(20 * time.Second)},
			},
		}},
		Accounts: []config.Account{{
			ID:       testAccount,
			Services: []config.AccountService{{Template: "desk"}},
			Blocks:   []config.Block{{Prefix: netip.MustParsePrefix("127.0.0.0/8"), Places: []config.Place{{Zone: testZone, Weight: 1}}}},
		}},
	}
	for i := range vms {
		doc.Slots = append(doc.Slots, config.Slot{VM: testVM(i), Zone: testZone})
	}
	return doc
}

func testVM(i int) model.VMID { return model.VMID(fmt.Sprintf("lj-a-%d", i+1)) }

func startTestFleet(t testing.TB, vms int) *testFleet {
	t.Helper()
	server, err := standin.Start(standin.Options{ID: "desk-1", Slots: 3, ServiceTime: testServiceTime, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	f := startTestFleetWith(t, vms, server.Address())
	f.backends = append(f.backends, server)
	return f
}

// startTestFleetWith is startTestFleet with the backend server at an address.
func startTestFleetWith(t testing.TB, vms int, server string) *testFleet {
	t.Helper()
	f := &testFleet{store: platformstandin.New(platformstandin.Options{})}
	f.store.SetVM(platform.VM{ID: "desk-1", Role: platform.RoleBackend, Zone: testZone, Address: server, Service: "desk", State: platform.VMLive})
	listeners := make([]net.Listener, vms)
	for i := range vms {
		l := listen(t)
		listeners[i] = l
		f.addresses = append(f.addresses, l.Addr().String())
	}
	for i := range vms {
		f.startDaemon(t, i, listeners[i])
	}
	f.configure(t, vms)
	return f
}

// listen binds a loopback port that the operating system chooses.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// testServiceTime returns a long service time for the /order/slow and
// /lookup/slow paths.
func testServiceTime(path string) time.Duration {
	if path == "/order/slow" || path == "/lookup/slow" {
		return 700 * time.Millisecond
	}
	return 0
}

func (f *testFleet) startDaemon(t testing.TB, i int, l net.Listener) {
	t.Helper()
	s := settings.Defaults()
	s.VM = settings.VM{Name: testVM(i), Zone: testZone, Region: testRegion, Listen: f.addresses[i], Advertise: f.addresses[i]}
	s.Limits.TicketValidity = model.Duration(2 * time.Second)
	for j, address := range f.addresses {
		if j != i {
			s.Seeds = append(s.Seeds, settings.Seed{VM: testVM(j), Address: address})
		}
	}
	client := f.store.Client(string(testVM(i)))
	dialer := &trackingDialer{}
	f.dialers = append(f.dialers, dialer)
	d, err := New(s, Deps{
		Store: client, VMs: client, Listener: l, Logger: log.New(io.Discard), Dial: dialer.dial,
		Quota: quota.Timing{GrantTTL: 200 * time.Millisecond, MaxPropagation: 200 * time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	f.daemons = append(f.daemons, d)
}

// configure proposes the test configuration and waits until every daemon knows
// an owner for the backend server.
func (f *testFleet) configure(t testing.TB, vms int) {
	t.Helper()
	f.await(t, "members", func() bool {
		for _, d := range f.daemons {
			if len(d.LiveMembers()) != vms {
				return false
			}
		}
		return true
	})
	service, err := kernel.Find[*config.Service](f.daemons[0].Kernel(), NameConfig)
	if err != nil {
		t.Fatal(err)
	}
	change := config.ChangeBetween(&config.Document{}, testDocument(vms))
	change.ID = config.NewChangeID(rand.New(rand.NewSource(1)))
	change.Operator = "test"
	if _, err := service.Propose(context.Background(), change); err != nil {
		t.Fatal(err)
	}
	f.await(t, "owners", func() bool {
		for _, d := range f.daemons {
			state := d.control.State()
			if state == nil || !state.HasOwner(owner.PoolKey{Service: "desk", Zone: testZone}) {
				return false
			}
		}
		return true
	})
}

// await waits until condition returns true and fails the test after
// waitTimeout.
func (f *testFleet) await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// ownerOf returns the address of the entry VM that owns the backend server id
// and the address of another entry VM.
func (f *testFleet) ownerOf(t testing.TB, id model.ServerID) (ownerAddress, otherAddress string) {
	t.Helper()
	for i, d := range f.daemons {
		pools, err := kernel.Find[*owner.Pools](d.Kernel(), NamePools)
		if err != nil {
			t.Fatal(err)
		}
		if ownsServer(pools, id) {
			ownerAddress = f.addresses[i]
		} else {
			otherAddress = f.addresses[i]
		}
	}
	return ownerAddress, otherAddress
}

func ownsServer(pools *owner.Pools, id model.ServerID) bool {
	for _, targets := range pools.Targets() {
		for _, target := range targets {
			if target.ID == id {
				return true
			}
		}
	}
	return false
}
