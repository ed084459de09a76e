package control

import (
	"fmt"
	"testing"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/entry"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/platform"
	"fuchsiaspar/internal/quota"
	"fuchsiaspar/internal/retry"
	"fuchsiaspar/internal/servers"
	"fuchsiaspar/internal/steer"
)

// start is the wall-clock time at which the tests start.
var start = time.Unix(1_800_000_000, 0)

type noLimits struct{}

func (noLimits) SetDocument(*config.Document) {}
func (noLimits) ConfirmUntil(time.Time)       {}

// deploymentSize is the size of a generated deployment.
type deploymentSize struct {
	zones, vmsPerZone, serversPerZone int
}

func zoneName(z int) model.Zone { return model.Zone(fmt.Sprintf("zone-%02d", z)) }
func vmName(z, i int) model.VMID {
	return model.VMID(fmt.Sprintf("vm-%02d-%02d", z, i))
}

// inputs returns the inputs of VM vm-00-00 in a deployment of this size.
func (s deploymentSize) inputs() inputs {
	doc := &config.Document{Revision: 1, Lookup: config.Lookup{TTL: model.Duration(time.Second)}}
	template := config.Template{Name: "desk", Service: "desk", Server: config.ServerClass{Slots: 3, MaxConns: 10}}
	view := &membership.View{Version: 1, Self: vmName(0, 0)}
	list := &servers.List{Digest: 1}
	for z := range s.zones {
		region := model.Region(fmt.Sprintf("region-%d", z/3))
		doc.Zones = append(doc.Zones, config.Zone{Name: zoneName(z), Region: region})
		template.Places = append(template.Places, zoneName(z))
		for i := range s.vmsPerZone {
			doc.Slots = append(doc.Slots, config.Slot{VM: vmName(z, i), Zone: zoneName(z)})
			view.Members = append(view.Members, membership.Member{
				VM: vmName(z, i), Zone: zoneName(z), Region: region, State: membership.StateAlive,
				Address: fmt.Sprintf("10.0.%d.%d:80", z, i),
			})
		}
		for i := range s.serversPerZone {
			list.VMs = append(list.VMs, platform.VM{
				ID: fmt.Sprintf("desk-%02d-%02d", z, i), Role: platform.RoleBackend, Zone: zoneName(z),
				Service: "desk", Address: "10.1.0.1:80", State: platform.VMLive,
			})
		}
	}
	doc.Templates = []config.Template{template}
	doc.Accounts = []config.Account{{ID: "a", Services: []config.AccountService{{Template: "desk"}}}}
	return inputs{now: start, config: config.NewSnapshot(doc), view: view, list: list}
}

func testBuilder() *builder {
	ring := explain.NewRing("vm-00-00", 16)
	limiter := quota.NewLimiter("vm-00-00", quota.LimiterOptions{})
	return &builder{options: Options{
		Self: "vm-00-00", Zone: "zone-00", Region: "region-0",
		Pools:        owner.NewPools(ring),
		Router:       steer.NewRouter(limiter, steer.RouterOptions{}),
		Limits:       noLimits{},
		Retries:      retry.NewBudget(10),
		Draining:     func(model.ServerID) bool { return false },
		DrainVersion: func() uint64 { return 0 },
		Explain:      ring,
	}}
}

func mustBuild(t testing.TB, b *builder, in inputs) *entry.State {
	t.Helper()
	state, err := b.build(in)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func ownersOf(state *entry.State, zone model.Zone) []entry.Owner {
	return state.RemoteOwners[owner.PoolKey{Service: "desk", Zone: zone}]
}

func TestOwnersBeforeAnyReport(t *testing.T) {
	in := deploymentSize{zones: 2, vmsPerZone: 1, serversPerZone: 2}.inputs()
	b := testBuilder()
	state := mustBuild(t, b, in)
	remote := ownersOf(state, zoneName(1))
	if len(remote) != 1 || remote[0].VM != vmName(1, 0) || remote[0].Slots != 6 {
		t.Fatalf("computed owners %v, want the VM of the zone with 6 slots", remote)
	}
	in.view.Version++
	in.view.Members[1].Load = []membership.ServiceLoad{{Service: "desk", Zone: zoneName(1)}}
	if got := ownersOf(mustBuild(t, b, in), zoneName(1)); len(got) != 0 {
		t.Fatalf("owners %v of a zone whose VM reports no slots", got)
	}
	in.view.Version++
	in.view.Members[1].Load[0].Slots = 4
	if got := ownersOf(mustBuild(t, b, in), zoneName(1)); len(got) != 1 || got[0].Slots != 4 {
		t.Fatalf("owners %v, want the 4 slots that the VM reports", got)
	}
}

func TestLoadOfALargeZoneComesFromItsSums(t *testing.T) {
	in := deploymentSize{zones: 2, vmsPerZone: 5, serversPerZone: 5}.inputs()
	in.view.Zones = []membership.ZoneStatus{{
		Zone: zoneName(1), Reachable: true,
		Load: []membership.ServiceLoad{{Service: "desk", Zone: zoneName(1), Slots: 12, Busy: 7, Queued: 2}},
	}}
	b := testBuilder()
	state := mustBuild(t, b, in)
	load := b.base.peers.loads[owner.PoolKey{Service: "desk", Zone: zoneName(1)}]
	if load.Slots != 12 || load.Busy != 7 || load.Queued != 2 {
		t.Fatalf("load %+v, want the aggregate of the zone", load)
	}
	slots := 0
	for _, o := range ownersOf(state, zoneName(1)) {
		slots += o.Slots
	}
	if slots != 15 {
		t.Fatalf("computed owners have %d slots, want those of 5 servers", slots)
	}
}

func TestLossOfAZonesVMs(t *testing.T) {
	in := deploymentSize{zones: 2, vmsPerZone: 1, serversPerZone: 2}.inputs()
	b := testBuilder()
	mustBuild(t, b, in)
	in.view.Members[1].State = membership.StateDead
	in.view.Version++
	mustBuild(t, b, in)
	if got := len(b.owned); got != 4 {
		t.Fatalf("owns %d servers after the other zone's VM died, want all 4", got)
	}
}

func TestDrainsInForce(t *testing.T) {
	tests := []struct {
		desc  string
		drain config.Drain
		// check reports whether the drain is in force.
		check func(b *builder, s *entry.State) bool
	}{
		{"entry VM hands its servers over", config.Drain{Kind: config.DrainEntry, Target: "vm-00-00"},
			func(b *builder, _ *entry.State) bool { return len(b.owned) == 0 }},
		{"server gets no work", config.Drain{Kind: config.DrainServer, Target: "desk-00-00"},
			func(b *builder, _ *entry.State) bool { return ownSlots(b) == 3 }},
		{"zone gets no work", config.Drain{Kind: config.DrainZone, Target: "zone-00"},
			func(b *builder, _ *entry.State) bool { return ownSlots(b) == 0 }},
		{"region gets no work", config.Drain{Kind: config.DrainRegion, Target: "region-0"},
			func(b *builder, _ *entry.State) bool { return ownSlots(b) == 0 }},
		{"one account leaves a zone", config.Drain{Kind: config.DrainZone, Target: "zone-00", Account: "a"},
			func(b *builder, s *entry.State) bool { return ownSlots(b) == 6 && len(s.DrainedZones["a"]) == 1 }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			in := deploymentSize{zones: 2, vmsPerZone: 2, serversPerZone: 2}.inputs()
			in.view.Members[1].State = membership.StateDead
			doc := *in.config.Document()
			test.drain.ID = "d"
			test.drain.Start = start.Add(time.Second)
			test.drain.End = start.Add(time.Minute)
			doc.Drains = []config.Drain{test.drain}
			in.config = config.NewSnapshot(&doc)
			b := testBuilder()
			if state := mustBuild(t, b, in); test.check(b, state) {
				t.Fatal("drain in force before its start")
			}
			in.now = test.drain.Start
			if state := mustBuild(t, b, in); !test.check(b, state) {
				t.Fatal("drain not in force at its start")
			}
			in.now = test.drain.End
			if state := mustBuild(t, b, in); test.check(b, state) {
				t.Fatal("drain still in force at its end")
			}
		})
	}
}

// TestDrainIsExplained checks that a drain is recorded when it comes into force
// and when its target becomes empty, but not at every update.
func TestDrainIsExplained(t *testing.T) {
	in := deploymentSize{zones: 1, vmsPerZone: 1, serversPerZone: 1}.inputs()
	doc := *in.config.Document()
	doc.Drains = []config.Drain{{ID: "d", Kind: config.DrainEntry, Target: "vm-00-00", Start: start, End: start.Add(time.Hour)}}
	in.config = config.NewSnapshot(&doc)
	ring := explain.NewRing("vm-00-00", 16)
	var p drainProgress
	for _, active := range []int64{3, 2, 0, 0} {
		p.update(in, owner.NewPools(ring), active, ring)
	}
	found := ring.Find(explain.Filter{Kind: explain.KindDrain})
	if len(found) != 2 {
		t.Fatalf("%d decisions, want one at the start and one when empty: %v", len(found), found)
	}
	if states := p.list(); len(states) != 1 || !states[0].Empty {
		t.Fatalf("states %v, want one that is empty", states)
	}
}

// ownSlots returns the sum of the slots of this VM's pools.
func ownSlots(b *builder) int {
	sum := 0
	for _, l := range b.options.Pools.Loads() {
		sum += l.Slots
	}
	return sum
}

// BenchmarkBuild measures one build of the control state: after a change of a
// member's address, after a change of loads only, and without any change.
func BenchmarkBuild(b *testing.B) {
	sizes := []deploymentSize{
		{zones: 6, vmsPerZone: 1, serversPerZone: 6},
		{zones: 23, vmsPerZone: 8, serversPerZone: 100},
		{zones: 23, vmsPerZone: 61, serversPerZone: 100},
	}
	for _, s := range sizes {
		name := fmt.Sprintf("vms=%d/servers=%d", s.zones*s.vmsPerZone, s.zones*s.serversPerZone)
		b.Run("change/"+name, func(b *testing.B) {
			in := s.inputs()
			builder := testBuilder()
			last := &in.view.Members[len(in.view.Members)-1]
			for n := 0; b.Loop(); n++ {
				in.view.Version++
				last.Address = fmt.Sprintf("10.9.9.9:%d", n%2)
				mustBuild(b, builder, in)
			}
		})
		b.Run("loads/"+name, func(b *testing.B) {
			in := s.inputs()
			builder := testBuilder()
			last := &in.view.Members[len(in.view.Members)-1]
			for n := 0; b.Loop(); n++ {
				in.view.Version++
				last.Load = []membership.ServiceLoad{{Service: "desk", Zone: last.Zone, Slots: 1 + n%2}}
				mustBuild(b, builder, in)
			}
		})
		b.Run("refresh/"+name, func(b *testing.B) {
			in := s.inputs()
			builder := testBuilder()
			mustBuild(b, builder, in)
			for b.Loop() {
				mustBuild(b, builder, in)
			}
		})
	}
}
