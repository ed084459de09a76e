// Package liveness tells which entry VMs are alive. Each VM counts its own
// heartbeats; the counts spread by gossip, so the news of one VM costs every
// other a bounded number of rows a second.
package liveness

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

const (
	// aliveFor is how long a VM counts as alive after its last new heartbeat:
	// six gossip rounds.
	aliveFor = 2400 * time.Millisecond
	// newRecordFor is how long a record in the store vouches for a VM that has
	// not been heard yet: the store's lease time.
	newRecordFor = 3 * time.Second
	// forgetAfter is how long the row of a dead VM is kept, so that an older
	// heartbeat of it is recognised.
	forgetAfter = 30 * time.Second
	// freshFor is how long the whole row of a new process is told on: twice what
	// news takes to reach 1,400 VMs. After it a heartbeat is enough.
	freshFor = 5 * time.Second
	// spareRows is the count of whole rows told besides, so that a VM that
	// missed a row gets it within seconds.
	spareRows = 2
)

// Row is the state of one VM as it spreads.
type Row struct {
	VM      catalog.VM `cbor:"1,keyasint"`
	Beat    uint64     `cbor:"2,keyasint"`
	Leaving bool       `cbor:"3,keyasint,omitempty"`
}

// Beat is the heartbeat of a VM whose row the receiver has.
type Beat struct {
	// Process tells apart the processes of all VMs.
	Process uint64 `cbor:"1,keyasint"`
	Count   uint64 `cbor:"2,keyasint"`
	Leaving bool   `cbor:"3,keyasint,omitempty"`
}

// News is what a VM tells others: whole rows of new processes, heartbeats of
// the others.
type News struct {
	Rows  []Row  `cbor:"1,keyasint"`
	Beats []Beat `cbor:"2,keyasint,omitempty"`
}

type entry struct {
	row Row
	// process names the process that the row is of.
	process uint64
	// since is when this process was first known.
	since time.Time
	// advanced is when the row last became newer.
	advanced time.Time
	// listed is when the store's record of this process was first seen; zero
	// while there is none.
	listed time.Time
	heard  bool
}

// Table holds the rows of one VM. It is not safe for concurrent use.
type Table struct {
	self    Row
	entries map[model.VMID]*entry
	// processes finds the VM of a process.
	processes map[uint64]model.VMID
}

// NewTable returns a table that knows only self.
func NewTable(self catalog.VM) *Table {
	return &Table{self: Row{VM: self}, entries: map[model.VMID]*entry{}, processes: map[uint64]model.VMID{}}
}

// Leave marks this VM as leaving.
func (t *Table) Leave() {
	t.self.Leaving = true
	t.self.Beat++
}

// Self returns this VM's record.
func (t *Table) Self() catalog.VM { return t.self.VM }

// newer says whether a tells of a later moment than b.
func newer(a, b Row) bool {
	if a.VM.Started != b.VM.Started {
		return a.VM.Started > b.VM.Started
	}
	return a.Beat > b.Beat
}

// Merge takes in rows from another VM. It reports whether this VM's own record
// changed: another process had its name with a later start, as after a step of
// the clock, so this one moves its start past that.
func (t *Table) Merge(rows []Row, now time.Time) bool {
	renewed := false
	for _, row := range rows {
		if row.VM.Name == t.self.VM.Name {
			if row.VM.Started > t.self.VM.Started {
				t.self.VM.Started = row.VM.Started + 1
				renewed = true
			}
			continue
		}
		t.merge(row, now)
	}
	return renewed
}

func (t *Table) merge(row Row, now time.Time) {
	e, ok := t.entries[row.VM.Name]
	switch {
	case !ok || row.VM.Started > e.row.VM.Started:
		t.put(&entry{row: row, since: now, advanced: now, heard: true})
	case newer(row, e.row):
		e.row, e.advanced, e.heard = row, now, true
	}
}

// put stores the entry of a process in place of that of an earlier one.
func (t *Table) put(e *entry) {
	name := e.row.VM.Name
	if old, ok := t.entries[name]; ok {
		delete(t.processes, old.process)
	}
	e.process = processOf(e.row.VM)
	t.entries[name], t.processes[e.process] = e, name
}

// processOf returns the same value in every VM.
func processOf(vm catalog.VM) uint64 {
	h := fnv.New64a()
	// A hash never fails to write.
	_, _ = fmt.Fprint(h, vm.Name, " ", vm.Started)
	return h.Sum64()
}

// MergeNews takes in what another VM told. Heartbeats of unknown processes are
// left out; their rows come by the store's records or as spare rows.
func (t *Table) MergeNews(news News, now time.Time) {
	t.Merge(news.Rows, now)
	for _, beat := range news.Beats {
		e, ok := t.entries[t.processes[beat.Process]]
		if ok && beat.Count > e.row.Beat {
			e.row.Beat, e.row.Leaving, e.advanced, e.heard = beat.Count, beat.Leaving, now, true
		}
	}
}

// SetListed tells which VMs have a record in the store.
func (t *Table) SetListed(vms map[model.VMID]catalog.VM, now time.Time) {
	for name, vm := range vms {
		if name == t.self.VM.Name {
			continue
		}
		e, ok := t.entries[name]
		if !ok || vm.Started > e.row.VM.Started {
			t.put(&entry{row: Row{VM: vm}, since: now, listed: now})
			continue
		}
		if e.listed.IsZero() && vm.Started == e.row.VM.Started {
			e.listed = now
		}
	}
	for name, e := range t.entries {
		if _, ok := vms[name]; !ok {
			e.listed = time.Time{}
		}
	}
}

// Rows counts a heartbeat and returns this VM's row with the most recently
// advanced others, at most limit.
func (t *Table) Rows(limit int, now time.Time) []Row {
	t.self.Beat++
	heard := t.heard(now)
	rows := []Row{t.self}
	for _, e := range heard[:min(len(heard), limit-1)] {
		rows = append(rows, e.row)
	}
	return rows
}

// News counts a heartbeat and returns what to tell others: this VM's row, at
// most maxRows whole rows and at most maxBeats heartbeats, the most recently
// advanced first.
func (t *Table) News(maxRows, maxBeats int, now time.Time, random *rand.Rand) News {
	t.self.Beat++
	t.forget(now)
	heard := t.heard(now)
	news := News{Rows: []Row{t.self}}
	for _, e := range heard[:min(len(heard), maxBeats)] {
		if now.Sub(e.since) < freshFor && len(news.Rows) < maxRows {
			news.Rows = append(news.Rows, e.row)
			continue
		}
		news.Beats = append(news.Beats, Beat{Process: e.process, Count: e.row.Beat, Leaving: e.row.Leaving})
	}
	for range min(spareRows, len(heard), maxRows-len(news.Rows)) {
		news.Rows = append(news.Rows, heard[random.IntN(len(heard))].row)
	}
	return news
}

// heard returns the VMs that were heard lately, the most recently advanced
// first.
func (t *Table) heard(now time.Time) []*entry {
	heard := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		if e.heard && now.Sub(e.advanced) < aliveFor {
			heard = append(heard, e)
		}
	}
	slices.SortFunc(heard, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.advanced.UnixNano(), a.advanced.UnixNano()), cmp.Compare(a.row.VM.Name, b.row.VM.Name))
	})
	return heard
}

func (t *Table) forget(now time.Time) {
	for name, e := range t.entries {
		if e.listed.IsZero() && now.Sub(e.advanced) > forgetAfter {
			delete(t.processes, e.process)
			delete(t.entries, name)
		}
	}
}

// Alive returns the VMs that serve, this one included unless it is leaving,
// ordered by name.
func (t *Table) Alive(now time.Time) []catalog.VM {
	alone := t.alone(now)
	var alive []catalog.VM
	if !t.self.Leaving {
		alive = append(alive, t.self.VM)
	}
	for _, e := range t.entries {
		if e.alive(now, alone) {
			alive = append(alive, e.row.VM)
		}
	}
	slices.SortFunc(alive, func(a, b catalog.VM) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

func (e *entry) alive(now time.Time, alone bool) bool {
	if e.row.Leaving {
		return false
	}
	if e.heard && now.Sub(e.advanced) < aliveFor {
		return true
	}
	if e.listed.IsZero() {
		return false
	}
	return alone || now.Sub(e.listed) < newRecordFor
}

// alone says that no other VM is heard, so that silence proves nothing about a
// single one.
func (t *Table) alone(now time.Time) bool {
	for _, e := range t.entries {
		if e.heard && now.Sub(e.advanced) < aliveFor {
			return false
		}
	}
	return true
}

// Targets picks up to count VMs to send rows to: known ones at random, dead
// ones included now and then so that a healed partition is noticed.
func (t *Table) Targets(count int, now time.Time, random *rand.Rand) []catalog.VM {
	var alive, rest []catalog.VM
	for _, e := range t.entries {
		if e.alive(now, true) || (e.heard && now.Sub(e.advanced) < aliveFor) {
			alive = append(alive, e.row.VM)
		} else {
			rest = append(rest, e.row.VM)
		}
	}
	byName := func(a, b catalog.VM) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(alive, byName)
	slices.SortFunc(rest, byName)
	random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	picked := alive[:min(count, len(alive))]
	if len(rest) > 0 {
		picked = append(picked, rest[random.IntN(len(rest))])
	}
	return picked
}
