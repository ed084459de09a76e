package liveness

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

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
		m.state.VM = state.VM
		t.advance(m, state.Heartbeat, state.Leaving, now)
	}
}

// advance records a new heartbeat.
func (t *Table) advance(m *member, counter uint64, leaving bool, now time.Time) {
	// Most VMs of other regions are heard of rarely.
	revived := m.gone || !t.isRemote(m) && now.Sub(m.lastAdvanced) >= aliveTimeout
	if revived || leaving != m.state.Leaving {
		m.changedAt = now
	}
	m.state.Heartbeat, m.state.Leaving, m.lastAdvanced, m.gossiped, m.gone = counter, leaving, now, true, false
}

// mergeBeat records a beat of another region. Older ones, as VMs pass them on late, don't
// vouch for it.
func (t *Table) mergeBeat(b RegionBeat, now time.Time) {
	if b.Region == t.self.VM.Region {
		return
	}
	known, ok := t.beats[b.Region]
	if !ok {
		known = map[uint64]regionBeat{}
		t.beats[b.Region] = known
	}
	if b.Counter > known[b.ProcessID].counter {
		known[b.ProcessID] = regionBeat{b.Counter, now}
	}
}

// vouched reports whether a beat of another region has advanced lately.
func (t *Table) vouched(region model.Region, now time.Time) bool {
	for _, beat := range t.beats[region] {
		if now.Sub(beat.advancedAt) < regionTimeout {
			return true
		}
	}
	return false
}

// recentBeats returns the beats that advanced lately, and forgets old ones.
func (t *Table) recentBeats(now time.Time) []RegionBeat {
	var recent []RegionBeat
	for region, beats := range t.beats {
		for processID, beat := range beats {
			switch age := now.Sub(beat.advancedAt); {
			case age < aliveTimeout:
				recent = append(recent, RegionBeat{Region: region, ProcessID: processID, Counter: beat.counter})
			case age >= deadRetention:
				delete(beats, processID)
			}
		}
	}
	return recent
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
// ignored; their states arrive through store records or as redundant states. It reports
// whether all heartbeats could be told apart.
func (t *Table) MergeMessage(msg Message, now time.Time) bool {
	t.MergeStates(msg.States, now)
	for _, beat := range msg.Regions {
		t.mergeBeat(beat, now)
	}
	for _, heartbeat := range msg.Heartbeats {
		m, ok := t.members[t.namesByProcess[heartbeat.ProcessID]]
		switch {
		case !ok:
		case heartbeat.Gone:
			// Whether a VM of this region is alive, this VM hears itself.
			if t.isRemote(m) && heartbeat.Counter >= m.state.Heartbeat && !m.gone {
				m.gone, m.changedAt, m.state.Heartbeat = true, now, heartbeat.Counter
			}
		case heartbeat.Counter > m.state.Heartbeat:
			t.advance(m, heartbeat.Counter, heartbeat.Leaving, now)
		}
	}
	return t.mergeBeats(msg, now)
}

func (t *Table) mergeBeats(msg Message, now time.Time) bool {
	if len(msg.Beats) == 0 {
		return true
	}
	heard := t.heardInRegion(now)
	if hashProcesses(heard) != msg.Set || len(heard) != len(msg.Beats) {
		return false
	}
	for i, m := range heard {
		beat := msg.Beats[i]
		ahead := (uint64(beat) - m.state.Heartbeat) & counterBits
		if m.state.VM.Name != t.self.VM.Name && ahead > 0 && ahead <= counterBits/2 {
			t.advance(m, m.state.Heartbeat+ahead, beat&leavingBit != 0, now)
		}
	}
	return true
}

func (t *Table) isRemote(m *member) bool { return m.state.VM.Region != t.self.VM.Region }

// selfMember returns this VM as a member.
func (t *Table) selfMember() *member {
	return &member{state: t.self, processID: processHash(t.self.VM), gossiped: true}
}

// heardInRegion returns the VMs heard in this VM's region, itself included, in the order
// of their process IDs.
func (t *Table) heardInRegion(now time.Time) []*member {
	heard := []*member{t.selfMember()}
	for _, m := range t.members {
		if !t.isRemote(m) && t.isHeard(m, now) {
			heard = append(heard, m)
		}
	}
	slices.SortFunc(heard, func(a, b *member) int { return cmp.Compare(a.processID, b.processID) })
	return heard
}

// hashProcesses identifies a list of processes.
func hashProcesses(members []*member) uint64 {
	h := fnv.New32a()
	var id [8]byte
	for _, m := range members {
		binary.BigEndian.PutUint64(id[:], m.processID)
		// Writing to a hash never fails.
		_, _ = h.Write(id[:])
	}
	return uint64(h.Sum32())
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
