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

// TestGossipReachesEveryVM plays rounds of gossip with lost messages among many
// VMs and counts until all know of all, and until all have noticed a death.
func TestGossipReachesEveryVM(t *testing.T) {
	const vms, loss = 40, 0.1
	random := rand.New(rand.NewPCG(20402, 1))
	tables := make([]*Table, vms)
	for i := range tables {
		tables[i] = NewTable(vm(fmt.Sprintf("vm-%02d", i), 1))
		tables[i].SetListed(listed(vm("vm-00", 1), vm(fmt.Sprintf("vm-%02d", (i+1)%vms), 1)), start)
	}
	now := start
	round := func(dead int) {
		now = now.Add(period)
		for i, table := range tables {
			if i == dead {
				continue
			}
			rows := table.Rows(maxRows, now)
			for _, target := range table.Targets(fanout, now, random) {
				var to int
				if _, err := fmt.Sscanf(string(target.Name), "vm-%d", &to); err != nil {
					t.Fatal(err)
				}
				if to != dead && random.Float64() >= loss {
					tables[to].Merge(rows, now)
				}
			}
		}
	}
	for range 25 {
		round(-1)
	}
	for i, table := range tables {
		if got := len(table.Alive(now)); got != vms {
			t.Errorf("vm-%02d knows of %d VMs, want %d", i, got, vms)
		}
	}
	// The target is a look-up without a dead VM 6 s after its death.
	for died := now; now.Sub(died) < 6*time.Second; {
		round(3)
	}
	for i, table := range tables {
		if i != 3 && len(table.Alive(now)) != vms-1 {
			t.Errorf("vm-%02d holds %d VMs for alive, want %d", i, len(table.Alive(now)), vms-1)
		}
	}
}
