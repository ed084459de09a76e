// Package liveness determines which entry VMs are alive. Each VM increments a
// heartbeat counter, and the counters spread by gossip within the region. Two VMs
// represent their region to the others: their heartbeats vouch for all its VMs but those
// that they report gone. The number of messages that a VM sends is bounded, whatever the
// number of VMs.
package liveness

import (
	"cmp"
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
