package servers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer/peertest"
	"fuchsiaspar/internal/platform"
	"fuchsiaspar/internal/platform/standin"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// zoneOf returns the services of a zone's VMs; the middle one is the reader.
func zoneOf(net *peertest.Net, store *standin.Store, vms ...model.VMID) []*Service {
	view := &membership.View{}
	for _, vm := range vms {
		view.Members = append(view.Members, membership.Member{VM: vm, Zone: "lj-a", State: membership.StateAlive})
	}
	var services []*Service
	for _, vm := range vms {
		services = append(services, New(Options{
			Self: vm, Zone: "lj-a", VMs: store.Client(string(vm)), Links: net.Join(vm),
			View: func() *membership.View { return view }, Logger: log.Default(), Scope: tally.NoopScope,
		}))
	}
	return services
}

func server(n, state int) platform.VM {
	return platform.VM{
		ID: fmt.Sprintf("desk-%d", n), Role: platform.RoleBackend, Zone: "lj-a", Service: "desk",
		State: []platform.VMState{platform.VMLive, platform.VMLeaving}[state],
	}
}

// TestChangesReachTheZone changes the platform's list at random, loses some
// announcements, and compares every VM's list with the platform's.
func TestChangesReachTheZone(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	net := peertest.New(1)
	store := standin.New(standin.Options{})
	services := zoneOf(net, store, "vm-1", "vm-2", "vm-3")
	reader := services[1]
	for round := range 200 {
		for range rng.IntN(4) {
			if n := rng.IntN(10); rng.IntN(3) == 0 {
				store.RemoveVM(server(n, 0).ID)
			} else {
				store.SetVM(server(n, rng.IntN(2)))
			}
		}
		before := reader.Current()
		reader.poll(t.Context())
		net.SetLoss(float64(rng.IntN(2)) / 2)
		reader.announce(before)
		net.Deliver()
		net.SetLoss(0)
		reader.announce(reader.Current())
		net.Deliver()
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
		t.Fatalf("a VM that is not the reader read the platform's list %d times", n)
	}
}

func TestOneChangeIsSentAlone(t *testing.T) {
	var vms []platform.VM
	for n := range 1000 {
		vms = append(vms, server(n, 0))
	}
	old := newList(vms)
	vms[7].State = platform.VMLeaving
	a := difference(old, newList(vms[:999]))
	if len(a.Put) != 1 || len(a.Gone) != 1 {
		t.Fatalf("%d rows and %d names for one change and one loss", len(a.Put), len(a.Gone))
	}
}
