// Package membership tells which entry VMs are alive, where they are and which
// process runs on each. VMs of one zone heartbeat each other; zones exchange
// compact deltas; a zone's record in the store changes only with its members.
package membership

import (
	"sort"

	"fuchsiaspar/internal/model"
)

// State is what this VM believes of a member.
type State uint8

// The states of a member.
const (
	// StateAlive members answer heartbeats.
	StateAlive State = iota + 1
	// StateSuspect members have missed heartbeats but may yet answer.
	StateSuspect
	// StateLeaving members finish their work and take no new duty.
	StateLeaving
	// StateDead members have been silent for the whole suspicion period.
	StateDead
	// stateLeft is StateDead for a member that had announced that it leaves.
	stateLeft
)

var stateNames = map[State]string{
	StateAlive:   "alive",
	StateSuspect: "suspect",
	StateLeaving: "leaving",
	StateDead:    "dead",
	stateLeft:    "left",
}

// String returns the name of s.
func (s State) String() string {
	if name, ok := stateNames[s]; ok {
		return name
	}
	return "unknown"
}

// present reports whether a member in this state still runs.
func (s State) present() bool { return s < StateDead }

// Member is one entry VM as this VM knows it.
type Member struct {
	VM          model.VMID
	Zone        model.Zone
	Region      model.Region
	Incarnation model.Incarnation
	// Address is the host:port on which the VM serves callers, relays and
	// peers.
	Address string
	State   State
	// Revision is the configuration that the VM has in force.
	Revision model.Revision
	// Load is the VM's summary of the services that it owns servers of. It is
	// known for members of small zones; View.Zones has the sums of every zone.
	Load []ServiceLoad
	// Left marks a dead member that had announced that it leaves.
	Left bool
}

// ServiceLoad summarises the servers of one service in one availability zone
// that a VM owns.
type ServiceLoad struct {
	Service model.ServiceName
	// Zone is where the servers are.
	Zone model.Zone
	// Slots is the count of requests that the servers can run at once now.
	Slots int
	// Busy is the count of slots in use.
	Busy int
	// Queued is the count of waiting requests.
	Queued int
}

// View is an immutable snapshot of the members, sorted by VM.
type View struct {
	// Version grows with each published view of this process.
	Version uint64
	Self    model.VMID
	Members []Member
	// Leaders names the member of each zone that relays deltas between zones
	// and writes the zone's record while it holds the zone's lease.
	Leaders []Leader
	// Zones holds one entry for each known zone, sorted by name.
	Zones []ZoneStatus
}

// ZoneStatus is one zone as this VM knows it.
type ZoneStatus struct {
	Zone   model.Zone
	Region model.Region
	// Reachable is false while no member of the zone answers this VM's zone.
	// The members of an unreachable zone count as dead.
	Reachable bool
	// Load sums the load of the zone's members by service.
	Load []ServiceLoad
}

// Leader is the holder of a zone's lease.
type Leader struct {
	Zone model.Zone
	VM   model.VMID
}

// Find returns the member called vm.
func (v *View) Find(vm model.VMID) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].VM >= vm })
	if i == len(v.Members) || v.Members[i].VM != vm {
		return Member{}, false
	}
	return v.Members[i], true
}

// LeaderOf returns the leader of zone, or the empty VMID.
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
