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

func listed(vms ...catalog.VM) map[model.VMID]catalog.VM {
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
		{"heard", func(b *Table) { b.Merge([]Row{{VM: vm("b", 1), Beat: 1}}, start) }, time.Second, "ab"},
		{"silent", func(b *Table) { b.Merge([]Row{{VM: vm("b", 1), Beat: 1}}, start) }, aliveFor, "a"},
		{"an old heartbeat does not renew", func(b *Table) {
			b.Merge([]Row{{VM: vm("b", 1), Beat: 5}}, start)
			b.Merge([]Row{{VM: vm("b", 1), Beat: 5}}, start.Add(aliveFor-1))
		}, aliveFor, "a"},
		{"leaving", func(b *Table) { b.Merge([]Row{{VM: vm("b", 1), Beat: 1, Leaving: true}}, start) }, 0, "a"},
		{"started again after leaving", func(b *Table) {
			b.Merge([]Row{{VM: vm("b", 1), Beat: 9, Leaving: true}}, start)
			b.Merge([]Row{{VM: vm("b", 2), Beat: 1}}, start)
		}, 0, "ab"},
		{"a new record vouches", func(b *Table) {
			b.Merge([]Row{{VM: vm("c", 1), Beat: 1}}, start.Add(newRecordFor-time.Second))
			b.SetListed(listed(vm("b", 1)), start)
		}, newRecordFor - time.Millisecond, "abc"},
		{"an old record does not", func(b *Table) {
			b.Merge([]Row{{VM: vm("c", 1), Beat: 1}}, start.Add(newRecordFor-time.Second))
			b.SetListed(listed(vm("b", 1)), start)
		}, newRecordFor, "ac"},
		{"silence of all proves nothing of one", func(b *Table) {
			b.SetListed(listed(vm("b", 1), vm("c", 1)), start)
		}, time.Hour, "abc"},
		{"its record was removed", func(b *Table) {
			b.SetListed(listed(vm("b", 1)), start)
			b.SetListed(nil, start)
		}, 0, "a"},
		{"a record of an earlier process does not vouch", func(b *Table) {
			b.Merge([]Row{{VM: vm("b", 2), Beat: 1, Leaving: true}}, start)
			b.SetListed(listed(vm("b", 1)), start)
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
	if !table.Merge([]Row{{VM: vm("a", 9), Beat: 40}}, start) || table.Self().Started != 10 {
		t.Errorf("started %d, want 10", table.Self().Started)
	}
}

func TestLeavingVMIsNotNamed(t *testing.T) {
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
		a.Merge([]Row{{VM: vm(fmt.Sprint("x", i), 1), Beat: 1}}, start)
	}
	b.MergeNews(a.News(maxRows, maxBeats, start, random), start)
	if got := len(b.Alive(start)); got != 22 {
		t.Fatalf("%d VMs known after whole rows of new processes, want 22", got)
	}
	later := start.Add(freshFor)
	for i := range 20 {
		a.Merge([]Row{{VM: vm(fmt.Sprint("x", i), 1), Beat: 2}}, later)
	}
	news := a.News(maxRows, maxBeats, later, random)
	if len(news.Rows) != 1+spareRows || len(news.Beats) != 20 {
		t.Errorf("%d whole rows and %d heartbeats, want %d and 20", len(news.Rows), len(news.Beats), 1+spareRows)
	}
	b.MergeNews(news, later)
	if got := len(b.Alive(later.Add(aliveFor - 1))); got != 22 {
		t.Errorf("%d VMs alive after heartbeats, want 22", got)
	}
}

func TestHeartbeatsThatChangeNothing(t *testing.T) {
	tests := []struct {
		desc string
		beat Beat
	}{
		{"unknown process", Beat{Process: processOf(vm("c", 1)), Count: 9}},
		{"earlier process of a known VM", Beat{Process: processOf(vm("b", 1)), Count: 9}},
		{"old count", Beat{Process: processOf(vm("b", 2)), Count: 3}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			table := NewTable(vm("a", 1))
			table.Merge([]Row{{VM: vm("b", 1), Beat: 7}, {VM: vm("b", 2), Beat: 3}}, start)
			table.MergeNews(News{Beats: []Beat{tt.beat}}, start.Add(time.Second))
			if got := names(table.Alive(start.Add(aliveFor))); got != "a" {
				t.Errorf("alive %q, want a", got)
			}
		})
	}
	table := NewTable(vm("a", 1))
	table.Merge([]Row{{VM: vm("b", 1), Beat: 1}}, start)
	table.MergeNews(News{Beats: []Beat{{Process: processOf(vm("b", 1)), Count: 2, Leaving: true}}}, start)
	if got := names(table.Alive(start)); got != "a" {
		t.Errorf("alive %q after b said that it leaves", got)
	}
}

// gossip is a fleet whose messages may be lost.
type gossip struct {
	t      *testing.T
	random *rand.Rand
	tables []*Table
	loss   float64
	now    time.Time
}

func newGossip(t *testing.T, vms int, loss float64) *gossip {
	g := &gossip{t: t, random: rand.New(rand.NewPCG(20402, 1)), tables: make([]*Table, vms), loss: loss, now: start}
	for i := range g.tables {
		g.tables[i] = NewTable(vm(fmt.Sprintf("vm-%03d", i), 1))
	}
	return g
}

// round lets every VM but dead tell its news.
func (g *gossip) round(dead int) {
	g.now = g.now.Add(period)
	for i, table := range g.tables {
		if i == dead {
			continue
		}
		news := table.News(maxRows, maxBeats, g.now, g.random)
		for _, target := range table.Targets(fanout, g.now, g.random) {
			var to int
			if _, err := fmt.Sscanf(string(target.Name), "vm-%d", &to); err != nil {
				g.t.Fatal(err)
			}
			if to != dead && g.random.Float64() >= g.loss {
				g.tables[to].MergeNews(news, g.now)
			}
		}
	}
}

func (g *gossip) expectAlive(want, dead int) {
	g.t.Helper()
	for i, table := range g.tables {
		if got := len(table.Alive(g.now)); i != dead && got != want {
			g.t.Errorf("vm-%03d holds %d VMs for alive, want %d", i, got, want)
		}
	}
}

// TestGossipReachesEveryVM plays rounds of gossip with lost messages among many
// VMs, of which each knows two, until all know of all, and until all have
// noticed a death.
func TestGossipReachesEveryVM(t *testing.T) {
	const vms = 40
	g := newGossip(t, vms, 0.1)
	for i, table := range g.tables {
		table.SetListed(listed(vm("vm-000", 1), vm(fmt.Sprintf("vm-%03d", (i+1)%vms), 1)), start)
	}
	for range 25 {
		g.round(-1)
	}
	g.expectAlive(vms, -1)
	// The target is a look-up without a dead VM 6 s after its death.
	for died := g.now; g.now.Sub(died) < 6*time.Second; {
		g.round(3)
	}
	g.expectAlive(vms-1, 3)
}

// TestNobodyIsTakenForDeadInALargeFleet has VMs that know one another by their
// records, as on the platform.
func TestNobodyIsTakenForDeadInALargeFleet(t *testing.T) {
	const vms = 300
	g := newGossip(t, vms, 0.1)
	all := map[model.VMID]catalog.VM{}
	for _, table := range g.tables {
		all[table.Self().Name] = table.Self()
	}
	for _, table := range g.tables {
		table.SetListed(all, start)
	}
	for g.now.Sub(start) < 8*time.Second {
		g.round(-1)
	}
	for range 10 {
		g.round(-1)
		g.expectAlive(vms, -1)
	}
}
