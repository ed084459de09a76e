// Package membership tells which entry VMs are alive, where they are and which
// process runs on each. VMs of one zone heartbeat each other; zones exchange
// compact deltas; a zone's record in the store changes only with its members.
package membership

import (
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
)

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
	// Load is the VM's summary of the services that it owns servers of.
	Load []ServiceLoad
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
	// Leaders names the member that holds each zone's lease, where known.
	Leaders []Leader
}

// Leader is the holder of a zone's lease.
type Leader struct {
	Zone model.Zone
	VM   model.VMID
}

// Find returns the member called vm.
func (v *View) Find(vm model.VMID) (Member, bool) {
	for _, m := range v.Members {
		if m.VM == vm {
			return m, true
		}
	}
	return Member{}, false
}

// CanOwn reports whether the member may own backend servers.
func (m Member) CanOwn() bool { return m.State == StateAlive || m.State == StateSuspect }
