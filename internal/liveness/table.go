// Package liveness determines which entry VMs are alive. Each VM increments a
// heartbeat counter, and the counters spread by gossip within the region. Two VMs
// represent their region to the others: their heartbeats vouch for all its VMs but those
// that they report gone. The number of messages that a VM sends is bounded, whatever the
// number of VMs.
package liveness

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
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
	// redundantInterval is the mean number of messages to one that has an additional full
	// state, chosen at random, so that a VM that missed a state gets it within some seconds.
	redundantInterval = 4
	// regionTimeout is how long the VMs of another region count as alive after its last
	// new heartbeat. If a representative fails, the other one goes on; if both fail at
	// once, others take their place after aliveTimeout.
	regionTimeout = 2 * aliveTimeout
	// representatives is the number of VMs that represent a region. They take turns.
	representatives = 2
	// fullListRounds is the number of rounds after which a representative lists all VMs of
	// its region, so that a VM that missed a change learns of it.
	fullListRounds = 12
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
	// Gone reports that the VM has been silent for aliveTimeout in its own region.
	Gone bool `cbor:"4,keyasint,omitempty"`
}

// Message is a gossip message: the full states of new processes and the
// heartbeats of the others.
type Message struct {
	States     []MemberState `cbor:"1,keyasint,omitempty"`
	Heartbeats []Heartbeat   `cbor:"2,keyasint,omitempty"`
	// Beats holds a byte for each VM that the sender hears in its region, in the order of
	// the process IDs: the lowest bits of the counter, and leavingBit. Set identifies
	// these processes. A receiver that hears others can't tell them apart.
	Beats []byte `cbor:"3,keyasint,omitempty"`
	Set   uint64 `cbor:"4,keyasint,omitempty"`
	// Regions holds the latest beats of the representatives of other regions.
	Regions []RegionBeat `cbor:"6,keyasint,omitempty"`
	// WantHeartbeats asks for Heartbeats instead of Beats.
	WantHeartbeats bool `cbor:"5,keyasint,omitempty"`
}

// hasNews reports whether the message may change at once which VMs count as alive. Beats
// of VMs that don't leave are only those of VMs that are heard already, and a region that
// is heard again can wait for the next round.
func (m Message) hasNews() bool {
	leaves := func(beat byte) bool { return beat&leavingBit != 0 }
	return len(m.States)+len(m.Heartbeats) > 0 || slices.ContainsFunc(m.Beats, leaves)
}

// RegionBeat is a heartbeat by which a VM vouches for its region.
type RegionBeat struct {
	_         struct{} `cbor:",toarray"`
	Region    model.Region
	ProcessID uint64
	Counter   uint64
}

// regionBeat is what is known of the beats of one representative.
type regionBeat struct {
	counter    uint64
	advancedAt time.Time
}

const (
	// leavingBit marks a VM that leaves in Message.Beats, and counterBits are the others.
	leavingBit  = 0x80
	counterBits = 0x7f
)

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
	// gone reports that the representatives of its region take it for dead.
	gone bool
	// changedAt is when gone or Leaving last changed, or when a VM of this region was heard
	// again after aliveTimeout.
	changedAt time.Time
}

// Table holds the states of all VMs as known to one of them. It is not safe for
// concurrent use.
type Table struct {
	self    MemberState
	members map[model.VMID]*member
	// namesByProcess maps process IDs to VM names.
	namesByProcess map[uint64]model.VMID
	// beats holds the beats of each other region by process ID.
	beats map[model.Region]map[uint64]regionBeat
	// heard holds the VMs heard in the region at the begin of the round. set identifies
	// them, and they have been the same since setSince.
	heard    []*member
	set      uint64
	setSince time.Time
	// rounds counts the rounds of gossip.
	rounds int
}

// NewTable returns a table that contains only self.
func NewTable(self catalog.VM) *Table {
	return &Table{self: MemberState{VM: self}, members: map[model.VMID]*member{}, namesByProcess: map[uint64]model.VMID{}, beats: map[model.Region]map[uint64]regionBeat{}}
}

// Leave marks this VM as leaving.
func (t *Table) Leave() {
	t.self.Leaving = true
	t.self.Heartbeat++
}

// Self returns this VM's record.
func (t *Table) Self() catalog.VM { return t.self.VM }

// Record returns the record of another VM, and false if there is none.
func (t *Table) Record(vm model.VMID) (catalog.VM, bool) {
	m, ok := t.members[vm]
	if !ok {
		return catalog.VM{}, false
	}
	return m.state.VM, true
}

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

// NextMessage increments this VM's heartbeat, begins a round and returns its message to
// the VMs of the region, with at most maxStates states and at most maxHeartbeats
// heartbeats. The VMs that advanced most recently come first. explicit asks for
// heartbeats with process IDs.
func (t *Table) NextMessage(maxStates, maxHeartbeats int, explicit bool, now time.Time, random *rand.Rand) Message {
	t.beginRound(now)
	return t.message(maxStates, maxHeartbeats, explicit, now, random)
}

func (t *Table) beginRound(now time.Time) {
	t.rounds++
	t.self.Heartbeat++
	t.pruneDead(now)
	t.heard = t.heardInRegion(now)
	if set := hashProcesses(t.heard); set != t.set {
		t.set, t.setSince = set, now
	}
}

// message returns the message of the current round to the VMs of the region.
func (t *Table) message(maxStates, maxHeartbeats int, explicit bool, now time.Time, random *rand.Rand) Message {
	heard := t.recentlyHeard(now)
	msg := t.news(heard, maxStates, maxHeartbeats, now, random)
	// While processes come and go, VMs hear different ones.
	if explicit || now.Sub(t.setSince) < fullStateDuration {
		msg.States = append(msg.States, t.self)
		stated := map[model.VMID]bool{}
		for _, state := range msg.States {
			stated[state.VM.Name] = true
		}
		for _, m := range heard {
			if !t.isRemote(m) && !stated[m.state.VM.Name] && len(msg.Heartbeats) < maxHeartbeats {
				msg.Heartbeats = append(msg.Heartbeats, m.heartbeat())
			}
		}
		return msg
	}
	msg.Set = t.set
	for _, m := range t.heard {
		beat := byte(m.state.Heartbeat & counterBits)
		if m.state.Leaving {
			beat |= leavingBit
		}
		msg.Beats = append(msg.Beats, beat)
	}
	return msg
}

// news returns what is new: the states of new processes and a few others, and of the other
// regions the latest beats and the VMs whose state changed.
func (t *Table) news(heard []*member, maxStates, maxHeartbeats int, now time.Time, random *rand.Rand) Message {
	msg := Message{Regions: t.recentBeats(now)}
	for _, m := range heard {
		if now.Sub(m.firstSeen) < fullStateDuration && m.gossiped && len(msg.States) < maxStates-2 {
			msg.States = append(msg.States, m.state)
			continue
		}
		if t.isRemote(m) && now.Sub(m.changedAt) < fullStateDuration && len(msg.Heartbeats) < maxHeartbeats {
			msg.Heartbeats = append(msg.Heartbeats, m.heartbeat())
		}
	}
	for _, m := range t.members {
		if m.gone && now.Sub(m.changedAt) < fullStateDuration && len(msg.Heartbeats) < maxHeartbeats {
			msg.Heartbeats = append(msg.Heartbeats, m.heartbeat())
		}
	}
	if random.IntN(redundantInterval) == 0 {
		if i := random.IntN(len(heard) + 1); i == len(heard) {
			msg.States = append(msg.States, t.self)
		} else {
			msg.States = append(msg.States, heard[i].state)
		}
	}
	return msg
}

func (m *member) heartbeat() Heartbeat {
	return Heartbeat{ProcessID: m.processID, Counter: m.state.Heartbeat, Leaving: m.state.Leaving, Gone: m.gone}
}

// RegionMessage returns the message of the current round to other regions and its
// receivers, if this VM is a representative and it is its turn. Besides the news it lists
// the VMs of this region that leave or are gone, and sometimes all of them.
func (t *Table) RegionMessage(maxStates, maxHeartbeats int, now time.Time, random *rand.Rand) (Message, []catalog.VM) {
	place, own := 0, 1
	for _, m := range t.members {
		if !t.isRemote(m) && t.isAlive(m, now, false) {
			own++
			if catalog.CompareRank(m.state.VM, t.self.VM) < 0 {
				place++
			}
		}
	}
	if turns := min(representatives, own); place >= turns || t.rounds%turns != place {
		return Message{}, nil
	}
	heard := t.recentlyHeard(now)
	msg := t.news(heard, maxStates, maxHeartbeats, now, random)
	msg.States = append(msg.States, t.self)
	msg.Regions = append(msg.Regions, RegionBeat{Region: t.self.VM.Region, ProcessID: processHash(t.self.VM), Counter: t.self.Heartbeat})
	all := t.rounds%fullListRounds < representatives
	for _, m := range t.members {
		if t.isRemote(m) || !m.gossiped || len(msg.Heartbeats) >= maxHeartbeats {
			continue
		}
		silent := now.Sub(m.lastAdvanced)
		heartbeat := m.heartbeat()
		heartbeat.Gone = silent >= aliveTimeout
		switch {
		case all, now.Sub(m.changedAt) < fullStateDuration, silent >= aliveTimeout && silent < aliveTimeout+fullStateDuration:
			msg.Heartbeats = append(msg.Heartbeats, heartbeat)
		}
	}
	return msg, t.regionTargets(now, random)
}

// regionTargets returns a representative of each other region, in turn, or any of its VMs
// if none counts as alive.
func (t *Table) regionTargets(now time.Time, random *rand.Rand) []catalog.VM {
	alive, dead := map[model.Region][]catalog.VM{}, map[model.Region][]catalog.VM{}
	for _, m := range t.members {
		region := m.state.VM.Region
		switch {
		case !t.isRemote(m):
		case t.isAlive(m, now, true):
			alive[region] = append(alive[region], m.state.VM)
		default:
			dead[region] = append(dead[region], m.state.VM)
		}
	}
	var targets []catalog.VM
	for _, vms := range alive {
		slices.SortFunc(vms, catalog.CompareRank)
		targets = append(targets, vms[t.rounds/representatives%min(representatives, len(vms))])
	}
	for region, vms := range dead {
		if len(alive[region]) == 0 || random.IntN(fullListRounds) == 0 {
			targets = append(targets, vms[random.IntN(len(vms))])
		}
	}
	return targets
}

// recentlyHeard returns the VMs with a heartbeat within aliveTimeout, and those of other
// regions for which a representative vouches. Those that advanced most recently come
// first.
func (t *Table) recentlyHeard(now time.Time) []*member {
	heard := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		if t.isHeard(m, now) {
			heard = append(heard, m)
		}
	}
	slices.SortFunc(heard, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.lastAdvanced.UnixNano(), a.lastAdvanced.UnixNano()), cmp.Compare(a.state.VM.Name, b.state.VM.Name))
	})
	return heard
}

// isHeard reports whether heartbeats show that a VM is alive: its own ones, or those of
// another VM of its region that is not this VM's.
func (t *Table) isHeard(m *member, now time.Time) bool {
	if t.isRemote(m) {
		return !m.gone && (m.gossiped || !m.listedAt.IsZero()) && t.vouched(m.state.VM.Region, now)
	}
	return m.gossiped && now.Sub(m.lastAdvanced) < aliveTimeout
}

// pruneDead removes VMs without a store record whose heartbeat has not advanced
// for deadRetention.
func (t *Table) pruneDead(now time.Time) {
	for name, m := range t.members {
		if m.listedAt.IsZero() && !t.isHeard(m, now) && now.Sub(latest(m.lastAdvanced, m.changedAt)) > deadRetention {
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
		if t.isAlive(m, now, isolated) {
			alive = append(alive, m.state.VM)
		}
	}
	slices.SortFunc(alive, func(a, b catalog.VM) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// isAlive reports whether the VM counts as alive. In isolation a store record
// suffices.
func (t *Table) isAlive(m *member, now time.Time, isolated bool) bool {
	if m.state.Leaving || m.gone {
		return false
	}
	if t.isHeard(m, now) {
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

// Targets returns the receivers of a message in the region: the successors of this VM in
// count orders of the VMs that may be alive, and a random one of those that count as dead,
// so that a healed partition is noticed. The successors stay the same while the VMs do, so
// that few links are open.
func (t *Table) Targets(count int, now time.Time, random *rand.Rand) []catalog.VM {
	var alive, dead []catalog.VM
	for _, m := range t.members {
		switch {
		case t.isRemote(m):
		case t.isAlive(m, now, true) || t.isHeard(m, now):
			alive = append(alive, m.state.VM)
		default:
			dead = append(dead, m.state.VM)
		}
	}
	var targets []catalog.VM
	for order := range min(count, len(alive)) {
		targets = append(targets, t.successor(alive, order, targets))
	}
	if len(dead) > 0 {
		slices.SortFunc(dead, func(a, b catalog.VM) int { return cmp.Compare(a.Name, b.Name) })
		targets = append(targets, dead[random.IntN(len(dead))])
	}
	return targets
}

// successor returns the VM that follows this one in a circle ordered by a hash of the
// names, without those already chosen.
func (t *Table) successor(vms []catalog.VM, order int, chosen []catalog.VM) catalog.VM {
	position := func(name model.VMID) uint64 {
		h := fnv.New64a()
		// Writing to a hash never fails.
		_, _ = fmt.Fprint(h, name, " ", order)
		return h.Sum64() * 0x9e3779b97f4a7c15
	}
	own := position(t.self.VM.Name)
	var next catalog.VM
	least := uint64(math.MaxUint64)
	for _, vm := range vms {
		taken := slices.ContainsFunc(chosen, func(c catalog.VM) bool { return c.Name == vm.Name })
		if distance := position(vm.Name) - own; !taken && distance <= least {
			next, least = vm, distance
		}
	}
	return next
}
