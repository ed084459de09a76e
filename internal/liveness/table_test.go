package liveness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
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
	b.MergeMessage(a.NextMessage(maxStates, maxHeartbeats, false, start, random), start)
	if got := len(b.Alive(start)); got != 22 {
		t.Fatalf("%d VMs known after full states of new processes, want 22", got)
	}
	later := start.Add(fullStateDuration)
	for i := range 20 {
		a.MergeStates([]MemberState{{VM: vm(fmt.Sprint("x", i), 1), Heartbeat: 2}}, later)
	}
	news := a.NextMessage(maxStates, maxHeartbeats, true, later, random)
	// A VM whose state is in the message needs no heartbeat.
	if len(news.States) > 2 || len(news.States)+len(news.Heartbeats) != 21 {
		t.Errorf("%d full states and %d heartbeats, want at most 2, and 21 together", len(news.States), len(news.Heartbeats))
	}
	b.MergeMessage(news, later)
	if got := len(b.Alive(later.Add(aliveTimeout - 1))); got != 22 {
		t.Errorf("%d VMs alive after heartbeats, want 22", got)
	}
	// Once the processes have been the same for a while, a byte for each is enough.
	a.MergeStates([]MemberState{{VM: vm("b", 1), Heartbeat: 1}}, later)
	a.beginRound(later)
	a.setSince = later.Add(-fullStateDuration)
	for i := range 20 {
		a.MergeStates([]MemberState{{VM: vm(fmt.Sprint("x", i), 1), Heartbeat: 3}}, later)
	}
	news = a.NextMessage(maxStates, maxHeartbeats, false, later, random)
	// The state of b is new to a.
	if len(news.States) > 2 || len(news.Heartbeats) != 0 || len(news.Beats) != 22 {
		t.Errorf("%d full states, %d heartbeats and %d beats, want at most 2, 0 and 22", len(news.States), len(news.Heartbeats), len(news.Beats))
	}
	if c := NewTable(vm("c", 1)); c.MergeMessage(Message{Beats: news.Beats, Set: news.Set}, later) {
		t.Error("a VM that knows no other told the beats apart")
	}
	later = later.Add(aliveTimeout - 1)
	if !b.MergeMessage(Message{Beats: news.Beats, Set: news.Set}, later) {
		t.Error("beats of the VMs that both hear were not told apart")
	}
	if got := len(b.Alive(later.Add(aliveTimeout - 1))); got != 22 {
		t.Errorf("%d VMs alive after beats, want 22", got)
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
	// wanted holds the VMs that asked each VM for heartbeats with process IDs.
	wanted []map[int]bool
	// Once measured is set, bytes and messages count what each VM sends and receives, and
	// regionBytes what goes to other regions.
	measured        bool
	bytes, messages []int
	regionBytes     int
	// cut reports whether messages between two VMs are lost.
	cut func(from, to int) bool
}

func newGossipSim(t *testing.T, vms int, loss float64) *gossipSim {
	return newRegionSim(t, vms, 1, loss)
}

// newRegionSim returns a simulation in which the VMs are in so many regions by turns.
func newRegionSim(t *testing.T, vms, regions int, loss float64) *gossipSim {
	g := &gossipSim{
		t: t, random: rand.New(rand.NewPCG(20402, 1)), tables: make([]*Table, vms), loss: loss, now: start,
		bytes: make([]int, vms), messages: make([]int, vms), cut: func(int, int) bool { return false },
	}
	for i := range g.tables {
		record := vm(fmt.Sprintf("vm-%03d", i), 1)
		if regions > 1 {
			record.Region = model.Region(fmt.Sprint("r", i%regions))
		}
		g.tables[i] = NewTable(record)
		g.wanted = append(g.wanted, map[int]bool{})
	}
	return g
}

// knowAll gives each VM the store records of all.
func (g *gossipSim) knowAll() {
	all := map[model.VMID]catalog.VM{}
	for _, table := range g.tables {
		all[table.Self().Name] = table.Self()
	}
	for _, table := range g.tables {
		table.SetStoreRecords(all, start)
	}
}

// round lets every VM except dead send its messages.
func (g *gossipSim) round(dead int) { g.roundWithout(func(i int) bool { return i == dead }) }

func (g *gossipSim) roundWithout(dead func(i int) bool) {
	g.now = g.now.Add(gossipInterval)
	for i, table := range g.tables {
		if dead(i) {
			continue
		}
		news := table.NextMessage(maxStates, maxHeartbeats, false, g.now, g.random)
		wanted, explicit := g.wanted[i], Message{}
		if len(wanted) > 0 {
			explicit = table.message(maxStates, maxHeartbeats, true, g.now, g.random)
		}
		g.wanted[i] = map[int]bool{}
		for _, target := range table.Targets(fanout, g.now, g.random) {
			if to := g.number(target); wanted[to] {
				g.deliver(i, to, explicit, dead)
			} else {
				g.deliver(i, to, news, dead)
			}
		}
		msg, targets := table.RegionMessage(maxStates, maxHeartbeats, g.now, g.random)
		for _, target := range targets {
			g.deliver(i, g.number(target), msg, dead)
		}
	}
}

func (g *gossipSim) number(vm catalog.VM) int {
	var i int
	if _, err := fmt.Sscanf(string(vm.Name), "vm-%d", &i); err != nil {
		g.t.Fatal(err)
	}
	return i
}

func (g *gossipSim) deliver(from, to int, msg Message, dead func(i int) bool) {
	if g.measured {
		g.measure(from, to, msg)
	}
	if dead(to) || g.cut(from, to) || g.random.Float64() < g.loss {
		return
	}
	if !g.tables[to].MergeMessage(msg, g.now) && g.random.Float64() >= g.loss {
		g.wanted[from][to] = true
	}
}

func (g *gossipSim) measure(from, to int, msg Message) {
	data, err := peer.Marshal(msg)
	if err != nil {
		g.t.Fatal(err)
	}
	for _, i := range []int{from, to} {
		g.bytes[i] += len(data)
		g.messages[i]++
	}
	if g.tables[from].Self().Region != g.tables[to].Self().Region {
		g.regionBytes += len(data)
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
	g.knowAll()
	for g.now.Sub(start) < 8*time.Second {
		g.round(-1)
	}
	for range 10 {
		g.round(-1)
		g.expectAlive(vms, -1)
	}
}
