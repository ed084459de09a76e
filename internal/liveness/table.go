// Package liveness determines which entry VMs are alive. Each VM increments a
// heartbeat counter, and the counters spread by gossip. The size and the number
// of messages that a VM sends are bounded, whatever the number of VMs.
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
	// aliveTimeout is how long a VM counts as alive after its last new heartbeat:
	// six gossip rounds.
	aliveTimeout = 2400 * time.Millisecond
	// newRecordGrace is how long a VM without heartbeats counts as alive after its
	// record first appeared in the store: the lease time of a record, after which
	// the store itself has removed a VM that failed.
	newRecordGrace = 4 * time.Second
	// deadRetention is how long the state of a dead VM is kept, so that delayed
	// heartbeats of it are recognized as old.
	deadRetention = 30 * time.Second
	// fullStateDuration is how long the full state of a new process is sent:
	// twice the time that gossip takes to reach 1,400 VMs. Afterwards its
	// heartbeats suffice.
	fullStateDuration = 5 * time.Second
	// redundantStates is the number of additional full states per message, chosen
	// at random, so that a VM that missed a state gets it within seconds.
	redundantStates = 2
)

// MemberState is the state of a VM as sent by gossip.
type MemberState struct {
	VM        catalog.VM `cbor:"1,keyasint"`
	Heartbeat uint64     `cbor:"2,keyasint"`
	Leaving   bool       `cbor:"3,keyasint,omitempty"`
}

// Heartbeat is a heartbeat of a process whose full state the receiver already
// has.
type Heartbeat struct {
	// ProcessID identifies the process among those of all VMs.
	ProcessID uint64 `cbor:"1,keyasint"`
	Counter   uint64 `cbor:"2,keyasint"`
	Leaving   bool   `cbor:"3,keyasint,omitempty"`
}

// Message is a gossip message: the full states of new processes and the
// heartbeats of the others.
type Message struct {
	States     []MemberState `cbor:"1,keyasint"`
	Heartbeats []Heartbeat   `cbor:"2,keyasint,omitempty"`
}

// member is what a VM knows about another one.
type member struct {
	state MemberState
	// processID identifies the process that state describes.
	processID uint64
	// firstSeen is when this process was first seen.
	firstSeen time.Time
	// lastAdvanced is when the heartbeat counter last increased.
	lastAdvanced time.Time
	// listedAt is when the record of this process was first seen in the store;
	// zero while there is none.
	listedAt time.Time
	// gossiped reports that a heartbeat of this process has been received.
	gossiped bool
}

// Table holds the states of all VMs as known to one of them. It is not safe for
// concurrent use.
type Table struct {
	self    MemberState
	members map[model.VMID]*member
	// namesByProcess maps process IDs to VM names.
	namesByProcess map[uint64]model.VMID
}

// NewTable returns a table that contains only self.
func NewTable(self catalog.VM) *Table {
	return &Table{self: MemberState{VM: self}, members: map[model.VMID]*member{}, namesByProcess: map[uint64]model.VMID{}}
}

// Leave marks this VM as leaving.
func (t *Table) Leave() {
	t.self.Leaving = true
	t.self.Heartbeat++
}

// Self returns this VM's record.
func (t *Table) Self() catalog.VM { return t.self.VM }

// isNewer reports whether a is newer than b: a later process of the same VM, or
// a higher heartbeat counter of the same process.
func isNewer(a, b MemberState) bool {
	if a.VM.Started != b.VM.Started {
		return a.VM.Started > b.VM.Started
	}
	return a.Heartbeat > b.Heartbeat
}

// MergeStates merges states from another VM. If they contain an earlier process
// of this VM with a later start time, as after the clock was set back, this
// process moves its start time past that one. MergeStates reports whether it did.
func (t *Table) MergeStates(states []MemberState, now time.Time) bool {
	startChanged := false
	for _, state := range states {
		if state.VM.Name == t.self.VM.Name {
			if state.VM.Started > t.self.VM.Started {
				t.self.VM.Started = state.VM.Started + 1
				startChanged = true
			}
			continue
		}
		t.mergeState(state, now)
	}
	return startChanged
}

// mergeState replaces the state of another VM if state is newer.
func (t *Table) mergeState(state MemberState, now time.Time) {
	m, ok := t.members[state.VM.Name]
	switch {
	case !ok || state.VM.Started > m.state.VM.Started:
		t.replace(&member{state: state, firstSeen: now, lastAdvanced: now, gossiped: true})
	case isNewer(state, m.state):
		m.state, m.lastAdvanced, m.gossiped = state, now, true
	}
}

// replace stores the member of a new process in place of an earlier one.
func (t *Table) replace(m *member) {
	name := m.state.VM.Name
	if old, ok := t.members[name]; ok {
		delete(t.namesByProcess, old.processID)
	}
	m.processID = processHash(m.state.VM)
	t.members[name], t.namesByProcess[m.processID] = m, name
}

// processHash returns the process ID of vm, which is the same on every VM.
func processHash(vm catalog.VM) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = fmt.Fprint(h, vm.Name, " ", vm.Started)
	return h.Sum64()
}

// MergeMessage merges a gossip message. Heartbeats of unknown processes are
// ignored; their states arrive through store records or as redundant states.
func (t *Table) MergeMessage(msg Message, now time.Time) {
	t.MergeStates(msg.States, now)
	for _, heartbeat := range msg.Heartbeats {
		m, ok := t.members[t.namesByProcess[heartbeat.ProcessID]]
		if ok && heartbeat.Counter > m.state.Heartbeat {
			m.state.Heartbeat, m.state.Leaving, m.lastAdvanced, m.gossiped = heartbeat.Counter, heartbeat.Leaving, now, true
		}
	}
}

// SetStoreRecords sets which VMs have a record in the store.
func (t *Table) SetStoreRecords(vms map[model.VMID]catalog.VM, now time.Time) {
	for name, vm := range vms {
		if name == t.self.VM.Name {
			continue
		}
		m, ok := t.members[name]
		if !ok || vm.Started > m.state.VM.Started {
			t.replace(&member{state: MemberState{VM: vm}, firstSeen: now, listedAt: now})
			continue
		}
		if m.listedAt.IsZero() && vm.Started == m.state.VM.Started {
			m.listedAt = now
		}
	}
	for name, m := range t.members {
		if _, ok := vms[name]; !ok {
			m.listedAt = time.Time{}
		}
	}
}

// States increments this VM's heartbeat and returns at most limit states: this
// VM's and those that advanced most recently.
func (t *Table) States(limit int, now time.Time) []MemberState {
	t.self.Heartbeat++
	heard := t.recentlyHeard(now)
	states := []MemberState{t.self}
	for _, m := range heard[:min(len(heard), limit-1)] {
		states = append(states, m.state)
	}
	return states
}

// NextMessage increments this VM's heartbeat and returns a message with at most
// maxStates states, this VM's included, and at most maxHeartbeats heartbeats. The
// VMs that advanced most recently come first.
func (t *Table) NextMessage(maxStates, maxHeartbeats int, now time.Time, random *rand.Rand) Message {
	t.self.Heartbeat++
	t.pruneDead(now)
	heard := t.recentlyHeard(now)
	msg := Message{States: []MemberState{t.self}}
	for _, m := range heard[:min(len(heard), maxHeartbeats)] {
		if now.Sub(m.firstSeen) < fullStateDuration && len(msg.States) < maxStates {
			msg.States = append(msg.States, m.state)
			continue
		}
		msg.Heartbeats = append(msg.Heartbeats, Heartbeat{ProcessID: m.processID, Counter: m.state.Heartbeat, Leaving: m.state.Leaving})
	}
	for range min(redundantStates, len(heard), maxStates-len(msg.States)) {
		msg.States = append(msg.States, heard[random.IntN(len(heard))].state)
	}
	return msg
}

// recentlyHeard returns the VMs with a heartbeat within aliveTimeout, those that
// advanced most recently first.
func (t *Table) recentlyHeard(now time.Time) []*member {
	heard := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		if m.gossiped && now.Sub(m.lastAdvanced) < aliveTimeout {
			heard = append(heard, m)
		}
	}
	slices.SortFunc(heard, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.lastAdvanced.UnixNano(), a.lastAdvanced.UnixNano()), cmp.Compare(a.state.VM.Name, b.state.VM.Name))
	})
	return heard
}

// pruneDead removes VMs without a store record whose heartbeat has not advanced
// for deadRetention.
func (t *Table) pruneDead(now time.Time) {
	for name, m := range t.members {
		if m.listedAt.IsZero() && now.Sub(m.lastAdvanced) > deadRetention {
			delete(t.namesByProcess, m.processID)
			delete(t.members, name)
		}
	}
}

// Alive returns the live VMs, this one included unless it is leaving, ordered by
// name.
func (t *Table) Alive(now time.Time) []catalog.VM {
	isolated := t.isIsolated(now)
	var alive []catalog.VM
	if !t.self.Leaving {
		alive = append(alive, t.self.VM)
	}
	for _, m := range t.members {
		if m.isAlive(now, isolated) {
			alive = append(alive, m.state.VM)
		}
	}
	slices.SortFunc(alive, func(a, b catalog.VM) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// isAlive reports whether the VM counts as alive. In isolation a store record
// suffices.
func (m *member) isAlive(now time.Time, isolated bool) bool {
	if m.state.Leaving {
		return false
	}
	if m.gossiped && now.Sub(m.lastAdvanced) < aliveTimeout {
		return true
	}
	if m.listedAt.IsZero() {
		return false
	}
	return isolated || now.Sub(m.listedAt) < newRecordGrace
}

// isIsolated reports whether no other VM has sent a heartbeat within
// aliveTimeout. Missing heartbeats are then no evidence that a particular VM has
// failed.
func (t *Table) isIsolated(now time.Time) bool {
	for _, m := range t.members {
		if m.gossiped && now.Sub(m.lastAdvanced) < aliveTimeout {
			return false
		}
	}
	return true
}

// Targets returns random receivers of a message: up to count VMs that may be
// alive and one that counts as dead, so that a healed partition is noticed.
func (t *Table) Targets(count int, now time.Time, random *rand.Rand) []catalog.VM {
	var alive, dead []catalog.VM
	for _, m := range t.members {
		if m.isAlive(now, true) || (m.gossiped && now.Sub(m.lastAdvanced) < aliveTimeout) {
			alive = append(alive, m.state.VM)
		} else {
			dead = append(dead, m.state.VM)
		}
	}
	byName := func(a, b catalog.VM) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(alive, byName)
	slices.SortFunc(dead, byName)
	random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	targets := alive[:min(count, len(alive))]
	if len(dead) > 0 {
		targets = append(targets, dead[random.IntN(len(dead))])
	}
	return targets
}
