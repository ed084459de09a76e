// Package membership tracks which entry VMs are alive, their addresses and the
// process that runs on each. The VMs of a zone exchange heartbeats, and zones
// exchange compact deltas through their leaders. Liveness does not depend on
// the store, which only helps VMs to find each other: a zone's record there is
// written only when its members change.
package membership

import (
	"sort"

	"fuchsiaspar/internal/model"
)

// State is the state of a member as this VM knows it.
type State uint8

// Member states, ordered by precedence: of two records with the same sequence
// number, the one with the higher state wins.
const (
	// StateAlive is the state of members that respond to heartbeats.
	StateAlive State = iota + 1
	// StateSuspect is the state of members that have missed heartbeats but are
	// not yet considered dead.
	StateSuspect
	// StateLeaving is the state of members that finish their work and accept
	// none.
	StateLeaving
	// StateDead is the state of members that were silent for the whole
	// suspicion period.
	StateDead
	// stateLeft is StateDead for a member that announced its leave beforehand.
	stateLeft
)

var stateNames = map[State]string{
	StateAlive:   "alive",
	StateSuspect: "suspect",
	StateLeaving: "leaving",
	StateDead:    "dead",
	stateLeft:    "left",
}

// String returns the lower-case name of s, or "unknown".
func (s State) String() string {
	if name, ok := stateNames[s]; ok {
		return name
	}
	return "unknown"
}

// present reports whether a member in this state is still considered running.
func (s State) present() bool { return s < StateDead }

// Member describes one entry VM as this VM knows it.
type Member struct {
	VM          model.VMID
	Zone        model.Zone
	Region      model.Region
	Incarnation model.Incarnation
	// Address is the host:port on which the VM serves clients, relays and
	// peers.
	Address string
	State   State
	// Revision is the configuration revision in force at the VM.
	Revision model.Revision
	// Load summarises the services whose backend servers the VM owns. It is
	// known only for members of small zones; View.Zones has the sums of every
	// zone.
	Load []ServiceLoad
	// Left is set for a dead member that announced its leave beforehand.
	Left bool
}

// ServiceLoad summarises the backend servers of one service in one
// availability zone that a VM owns.
type ServiceLoad struct {
	Service model.ServiceName
	// Zone is the availability zone of the servers.
	Zone model.Zone
	// Slots is the number of requests that the servers can run concurrently
	// now.
	Slots int
	// Busy is the number of slots in use.
	Busy int
	// Queued is the number of waiting requests.
	Queued int
}

// View is an immutable snapshot of the members, sorted by VM.
type View struct {
	// Version increases with each view that this process publishes.
	Version uint64
	Self    model.VMID
	Members []Member
	// Leaders lists the leader of each reachable zone. A leader relays deltas
	// between zones and writes the zone's record while it holds the zone's
	// lease.
	Leaders []Leader
	// Zones has one entry per known zone, sorted by name.
	Zones []ZoneStatus
}

// ZoneStatus describes one zone as this VM knows it.
type ZoneStatus struct {
	Zone   model.Zone
	Region model.Region
	// Reachable is false while no member of the zone responds to this VM's
	// zone. The members of an unreachable zone count as dead.
	Reachable bool
	// Load is the load of the zone's members, summed by service and
	// availability zone of the servers.
	Load []ServiceLoad
}

// Leader names the leader of a zone: the first eligible member by name.
type Leader struct {
	Zone model.Zone
	VM   model.VMID
}

// Find returns the member with the given VM ID and whether it is known.
func (v *View) Find(vm model.VMID) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].VM >= vm })
	if i == len(v.Members) || v.Members[i].VM != vm {
		return Member{}, false
	}
	return v.Members[i], true
}

// LeaderOf returns the leader of zone, or the empty VMID if there is none.
func (v *View) LeaderOf(zone model.Zone) model.VMID {
	for _, l := range v.Leaders {
		if l.Zone == zone {
			return l.VM
		}
	}
	return ""
}

// CanOwn reports whether the member may own backend servers.
func (m Member) CanOwn() bool { return m.State == StateAlive || m.State == StateSuspect }
