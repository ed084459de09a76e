package liveness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

var start = time.Unix(1_800_000_000, 0)

func vm(name string, started int64) catalog.VM {
	return catalog.VM{Name: model.VMID(name), Region: "r", Started: started, Front: name + ":1", Peer: name + ":2"}
}

func names(vms []catalog.VM) string {
	text := ""
	for _, v := range vms {
		text += string(v.Name)
	}
	return text
}

func storeRecords(vms ...catalog.VM) map[model.VMID]catalog.VM {
	out := map[model.VMID]catalog.VM{}
	for _, v := range vms {
		out[v.Name] = v
	}
	return out
}

func TestAlive(t *testing.T) {
	tests := []struct {
		desc  string
		setup func(*Table)
		after time.Duration
		want  string
	}{
		{"alone", func(*Table) {}, 0, "a"},
		{"heard", func(b *Table) { b.MergeStates([]MemberState{{VM: vm("b", 1), Heartbeat: 1}}, start) }, time.Second, "ab"},
		{"silent", func(b *Table) { b.MergeStates([]MemberState{{VM: vm("b", 1), Heartbeat: 1}}, start) }, aliveTimeout, "a"},
		{"an old heartbeat is ignored", func(b *Table) {
			b.MergeStates([]MemberState{{VM: vm("b", 1), Heartbeat: 5}}, start)
			b.MergeStates([]MemberState{{VM: vm("b", 1), Heartbeat: 5}}, start.Add(aliveTimeout-1))
		}, aliveTimeout, "a"},
		{"leaving", func(b *Table) { b.MergeStates([]MemberState{{VM: vm("b", 1), Heartbeat: 1, Leaving: true}}, start) }, 0, "a"},
		{"restarted after leaving", func(b *Table) {
			b.MergeStates([]MemberState{{VM: vm("b", 1), Heartbeat: 9, Leaving: true}}, start)
			b.MergeStates([]MemberState{{VM: vm("b", 2), Heartbeat: 1}}, start)
		}, 0, "ab"},
		{"a new record counts as alive", func(b *Table) {
			b.MergeStates([]MemberState{{VM: vm("c", 1), Heartbeat: 1}}, start.Add(newRecordGrace-time.Second))
			b.SetStoreRecords(storeRecords(vm("b", 1)), start)
		}, newRecordGrace - time.Millisecond, "abc"},
		{"an old record does not", func(b *Table) {
			b.MergeStates([]MemberState{{VM: vm("c", 1), Heartbeat: 1}}, start.Add(newRecordGrace-time.Second))
			b.SetStoreRecords(storeRecords(vm("b", 1)), start)
		}, newRecordGrace, "ac"},
		{"isolated: records suffice", func(b *Table) {
			b.SetStoreRecords(storeRecords(vm("b", 1), vm("c", 1)), start)
		}, time.Hour, "abc"},
		{"record removed", func(b *Table) {
			b.SetStoreRecords(storeRecords(vm("b", 1)), start)
			b.SetStoreRecords(nil, start)
		}, 0, "a"},
		{"a record of an earlier process is ignored", func(b *Table) {
			b.MergeStates([]MemberState{{VM: vm("b", 2), Heartbeat: 1, Leaving: true}}, start)
			b.SetStoreRecords(storeRecords(vm("b", 1)), start)
		}, 0, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			table := NewTable(vm("a", 1))
			tt.setup(table)
			if got := names(table.Alive(start.Add(tt.after))); got != tt.want {
				t.Errorf("alive %q, want %q", got, tt.want)
			}
		})
	}
}

func TestProcessWithAnOlderStartMovesPastItsPredecessor(t *testing.T) {
	table := NewTable(vm("a", 5))
	if !table.MergeStates([]MemberState{{VM: vm("a", 9), Heartbeat: 40}}, start) || table.Self().Started != 10 {
		t.Errorf("started %d, want 10", table.Self().Started)
	}
}

func TestLeavingVMIsNotAlive(t *testing.T) {
	table := NewTable(vm("a", 1))
	table.Leave()
	if got := names(table.Alive(start)); got != "" {
		t.Errorf("alive %q", got)
	}
}

func TestHeartbeatsOfKnownProcessesAreEnough(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	a, b := NewTable(vm("a", 1)), NewTable(vm("b", 1))
	for i := range 20 {
		a.MergeStates([]MemberState{{VM: vm(fmt.Sprint("x", i), 1), Heartbeat: 1}}, start)
	}
	b.MergeMessage(a.NextMessage(maxStates, maxHeartbeats, start, random), start)
	if got := len(b.Alive(start)); got != 22 {
		t.Fatalf("%d VMs known after full states of new processes, want 22", got)
	}
	later := start.Add(fullStateDuration)
	for i := range 20 {
		a.MergeStates([]MemberState{{VM: vm(fmt.Sprint("x", i), 1), Heartbeat: 2}}, later)
	}
	news := a.NextMessage(maxStates, maxHeartbeats, later, random)
	if len(news.States) != 1+redundantStates || len(news.Heartbeats) != 20 {
		t.Errorf("%d full states and %d heartbeats, want %d and 20", len(news.States), len(news.Heartbeats), 1+redundantStates)
	}
	b.MergeMessage(news, later)
	if got := len(b.Alive(later.Add(aliveTimeout - 1))); got != 22 {
		t.Errorf("%d VMs alive after heartbeats, want 22", got)
	}
}

func TestIgnoredHeartbeats(t *testing.T) {
	tests := []struct {
		desc string
		beat Heartbeat
	}{
		{"unknown process", Heartbeat{ProcessID: processHash(vm("c", 1)), Counter: 9}},
		{"earlier process of a known VM", Heartbeat{ProcessID: processHash(vm("b", 1)), Counter: 9}},
		{"old count", Heartbeat{ProcessID: processHash(vm("b", 2)), Counter: 3}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			table := NewTable(vm("a", 1))
			table.MergeStates([]MemberState{{VM: vm("b", 1), Heartbeat: 7}, {VM: vm("b", 2), Heartbeat: 3}}, start)
			table.MergeMessage(Message{Heartbeats: []Heartbeat{tt.beat}}, start.Add(time.Second))
			if got := names(table.Alive(start.Add(aliveTimeout))); got != "a" {
				t.Errorf("alive %q, want a", got)
			}
		})
	}
	table := NewTable(vm("a", 1))
	table.MergeStates([]MemberState{{VM: vm("b", 1), Heartbeat: 1}}, start)
	table.MergeMessage(Message{Heartbeats: []Heartbeat{{ProcessID: processHash(vm("b", 1)), Counter: 2, Leaving: true}}}, start)
	if got := names(table.Alive(start)); got != "a" {
		t.Errorf("alive %q after b announced that it leaves", got)
	}
}

// gossipSim simulates gossip among VMs with lost messages.
type gossipSim struct {
	t      *testing.T
	random *rand.Rand
	tables []*Table
	loss   float64
	now    time.Time
}

func newGossipSim(t *testing.T, vms int, loss float64) *gossipSim {
	g := &gossipSim{t: t, random: rand.New(rand.NewPCG(20402, 1)), tables: make([]*Table, vms), loss: loss, now: start}
	for i := range g.tables {
		g.tables[i] = NewTable(vm(fmt.Sprintf("vm-%03d", i), 1))
	}
	return g
}

// round lets every VM except dead send its messages.
func (g *gossipSim) round(dead int) {
	g.now = g.now.Add(gossipInterval)
	for i, table := range g.tables {
		if i == dead {
			continue
		}
		news := table.NextMessage(maxStates, maxHeartbeats, g.now, g.random)
		for _, target := range table.Targets(fanout, g.now, g.random) {
			var to int
			if _, err := fmt.Sscanf(string(target.Name), "vm-%d", &to); err != nil {
				g.t.Fatal(err)
			}
			if to != dead && g.random.Float64() >= g.loss {
				g.tables[to].MergeMessage(news, g.now)
			}
		}
	}
}

func (g *gossipSim) expectAlive(want, dead int) {
	g.t.Helper()
	for i, table := range g.tables {
		if got := len(table.Alive(g.now)); i != dead && got != want {
			g.t.Errorf("vm-%03d considers %d VMs alive, want %d", i, got, want)
		}
	}
}

// TestGossipReachesEveryVM runs gossip with lost messages among many VMs, each of
// which initially knows two others. All must learn of all, and all must notice
// that one has failed.
func TestGossipReachesEveryVM(t *testing.T) {
	const vms = 40
	g := newGossipSim(t, vms, 0.1)
	for i, table := range g.tables {
		table.SetStoreRecords(storeRecords(vm("vm-000", 1), vm(fmt.Sprintf("vm-%03d", (i+1)%vms), 1)), start)
	}
	for range 25 {
		g.round(-1)
	}
	g.expectAlive(vms, -1)
	// Look-ups must not return a VM 6 s after it has failed.
	for died := g.now; g.now.Sub(died) < 6*time.Second; {
		g.round(3)
	}
	g.expectAlive(vms-1, 3)
}

// TestNoFalseDeathsInLargeFleet checks that the bounded messages suffice
// to keep all VMs alive. The VMs know each other from their store records, as on
// the platform.
func TestNoFalseDeathsInLargeFleet(t *testing.T) {
	const vms = 300
	g := newGossipSim(t, vms, 0.1)
	all := map[model.VMID]catalog.VM{}
	for _, table := range g.tables {
		all[table.Self().Name] = table.Self()
	}
	for _, table := range g.tables {
		table.SetStoreRecords(all, start)
	}
	for g.now.Sub(start) < 8*time.Second {
		g.round(-1)
	}
	for range 10 {
		g.round(-1)
		g.expectAlive(vms, -1)
	}
}
