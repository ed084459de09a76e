package servers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer/peertest"
	"fuchsiaspar/internal/platform"
	"fuchsiaspar/internal/platform/standin"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// newZone returns the services of a zone's VMs. The middle VM is the reader.
func newZone(network *peertest.Net, store *standin.Store, vms ...model.VMID) []*Service {
	view := &membership.View{}
	for _, vm := range vms {
		view.Members = append(view.Members, membership.Member{VM: vm, Zone: "lj-a", State: membership.StateAlive})
	}
	var services []*Service
	for _, vm := range vms {
		services = append(services, New(Options{
			Self: vm, Zone: "lj-a", VMs: store.Client(string(vm)), Links: network.Join(vm),
			View: func() *membership.View { return view }, Logger: log.Default(), Scope: tally.NoopScope,
		}))
	}
	return services
}

func testServer(n, state int) platform.VM {
	return platform.VM{
		ID: fmt.Sprintf("desk-%d", n), Role: platform.RoleBackend, Zone: "lj-a", Service: "desk",
		State: []platform.VMState{platform.VMLive, platform.VMLeaving}[state],
	}
}

// TestChangesReachTheZone changes the platform's list at random, drops some
// announcements, and checks that every VM still ends up with the platform's list.
func TestChangesReachTheZone(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	network := peertest.New(1)
	store := standin.New(standin.Options{})
	services := newZone(network, store, "vm-1", "vm-2", "vm-3")
	reader := services[1]
	for round := range 200 {
		for range rng.IntN(4) {
			if n := rng.IntN(10); rng.IntN(3) == 0 {
				store.RemoveVM(testServer(n, 0).ID)
			} else {
				store.SetVM(testServer(n, rng.IntN(2)))
			}
		}
		before := reader.Current()
		reader.poll(t.Context())
		network.SetLoss(float64(rng.IntN(2)) / 2)
		reader.announce(before)
		network.Deliver()
		network.SetLoss(0)
		reader.announce(reader.Current())
		network.Deliver()
		want, err := store.Client("test").VMs(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range services {
			if !slices.Equal(s.Current().VMs, newList(want).VMs) {
				t.Fatalf("round %d: %s has %v, want %v", round, s.options.Self, s.Current().VMs, want)
			}
		}
	}
	if n := store.Calls("vm-3", standin.CallVMs); n != 0 {
		t.Fatalf("vm-3, which is not the reader, read the platform's list %d times", n)
	}
}

// Guards against VMs that keep an old list because their zone's reader has lost the
// platform and goes on announcing the list as current.
func TestReaderWithoutThePlatformConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, network := standin.New(standin.Options{}), peertest.New(1)
		run := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				network.Deliver()
			}
		}
		services := newZone(network, store, "vm-1", "vm-2", "vm-3")
		for _, s := range services {
			if err := s.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Stop(context.Background()) }()
		}
		store.SetVM(testServer(1, 0))
		run(3 * time.Second)
		store.SetDown("vm-2", true)
		store.RemoveVM(testServer(1, 0).ID)
		run(fallbackAfter + 2*pollInterval)
		for _, s := range services {
			if got := len(s.Current().VMs); s.options.Self != "vm-2" && got != 0 {
				t.Errorf("%s still lists a server that was removed", s.options.Self)
			}
		}
	})
}

func TestOneChangeIsSentAlone(t *testing.T) {
	var vms []platform.VM
	for n := range 1000 {
		vms = append(vms, testServer(n, 0))
	}
	old := newList(vms)
	vms[7].State = platform.VMLeaving
	a := diff(old, newList(vms[:999]))
	if len(a.Updated) != 1 || len(a.Removed) != 1 {
		t.Fatalf("got %d updated and %d removed entries, want 1 and 1", len(a.Updated), len(a.Removed))
	}
}
