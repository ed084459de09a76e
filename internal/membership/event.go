package membership

import (
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform"
)

// Event is an input of a Node.
type Event interface{ apply(n *Node) }

// The events of a Node.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// HeartbeatReceived carries a heartbeat from another VM.
	HeartbeatReceived struct {
		From      model.VMID
		Heartbeat Heartbeat
	}
	// DeltaReceived carries a delta from another VM.
	DeltaReceived struct {
		From  model.VMID
		Delta Delta
	}
	// ProbeReceived carries an indirect probe or its result.
	ProbeReceived struct {
		From  model.VMID
		Probe Probe
	}
	// ZoneRecordsRead is the result of ReadZoneRecords.
	ZoneRecordsRead struct {
		Zone    model.Zone
		Records []StoredZone
		Failed  bool
	}
	// ZoneRecordWritten is the result of WriteZoneRecord. Version is zero
	// unless the write is known to have taken effect.
	ZoneRecordWritten struct{ Version uint64 }
	// VMListRead is the result of ReadVMList.
	VMListRead struct {
		VMs    []platform.VM
		Failed bool
	}
	// LeaseAcquired is the result of a successful AcquireLease.
	LeaseAcquired struct{ Lease platform.LeaseID }
	// LeaseFailed is the result of an AcquireLease or RenewLease that failed
	// and can be retried.
	LeaseFailed struct{}
	// LeaseRenewed is the result of a successful RenewLease.
	LeaseRenewed struct{}
	// LeaseLost is the result of a RenewLease of a lease that has expired.
	LeaseLost struct{}
	// LocalUpdated carries this VM's own configuration revision and load.
	LocalUpdated struct {
		Revision model.Revision
		Load     []ServiceLoad
	}
	// LeaveRequested makes this VM announce that it is leaving.
	LeaveRequested struct{}
)

// StoredZone is a zone's record in the store, with its version.
type StoredZone struct {
	Zone    model.Zone
	Version uint64
	Members []Record
}

// Action is an output of a Node, to be executed by the caller of Step.
type Action interface{ isAction() }

// The actions of a Node.
type (
	// SendHeartbeat sends a heartbeat to a VM.
	SendHeartbeat struct {
		To        model.VMID
		Heartbeat Heartbeat
	}
	// SendDelta sends a delta to a VM.
	SendDelta struct {
		To    model.VMID
		Delta Delta
	}
	// SendProbe sends an indirect probe or its result to a VM.
	SendProbe struct {
		To    model.VMID
		Probe Probe
	}
	// ReadZoneRecords reads the record of Zone, or of every zone if Zone is
	// empty.
	ReadZoneRecords struct{ Zone model.Zone }
	// WriteZoneRecord writes this zone's record if its stored version is
	// Expect.
	WriteZoneRecord struct {
		Zone    model.Zone
		Members []Record
		Expect  uint64
	}
	// ReadVMList reads the platform's list of VMs.
	ReadVMList struct{}
	// AcquireLease tries to become the only writer of the zone's record.
	AcquireLease struct{ Zone model.Zone }
	// RenewLease extends the zone's lease.
	RenewLease struct{ Lease platform.LeaseID }
	// ReleaseLease revokes the zone's lease.
	ReleaseLease struct{ Lease platform.LeaseID }
	// Publish replaces the current view.
	Publish struct{ View *View }
	// SetAddress sets the address at which the links reach a VM.
	SetAddress struct {
		VM      model.VMID
		Address string
	}
	// DropLink closes the links to a VM.
	DropLink struct{ VM model.VMID }
	// Superseded reports that another process has taken over this VM's slot.
	// The Node ignores all later events.
	Superseded struct{ By model.Incarnation }
)

func (SendHeartbeat) isAction()   {}
func (SendDelta) isAction()       {}
func (SendProbe) isAction()       {}
func (ReadZoneRecords) isAction() {}
func (WriteZoneRecord) isAction() {}
func (ReadVMList) isAction()      {}
func (AcquireLease) isAction()    {}
func (RenewLease) isAction()      {}
func (ReleaseLease) isAction()    {}
func (Publish) isAction()         {}
func (SetAddress) isAction()      {}
func (DropLink) isAction()        {}
func (Superseded) isAction()      {}
