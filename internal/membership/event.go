package membership

import (
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform"
)

// Event is an input of a Node.
type Event interface{ apply(n *Node) }

// The events of a Node.
type (
	// Tick says that time has passed.
	Tick struct{}
	// HeartbeatReceived brings a heartbeat of another VM.
	HeartbeatReceived struct {
		From      model.VMID
		Heartbeat Heartbeat
	}
	// DeltaReceived brings a delta of another VM.
	DeltaReceived struct {
		From  model.VMID
		Delta Delta
	}
	// ProbeReceived brings an indirect probe or its report.
	ProbeReceived struct {
		From  model.VMID
		Probe Probe
	}
	// ZoneRecordsRead ends a ReadZoneRecords.
	ZoneRecordsRead struct {
		Zone    model.Zone
		Records []StoredZone
		Failed  bool
	}
	// ZoneRecordWritten ends a WriteZoneRecord. Version is zero unless the
	// write is known to have taken effect.
	ZoneRecordWritten struct{ Version uint64 }
	// VMListRead ends a ReadVMList.
	VMListRead struct {
		VMs    []platform.VM
		Failed bool
	}
	// LeaseAcquired ends an AcquireLease.
	LeaseAcquired struct{ Lease platform.LeaseID }
	// LeaseFailed ends an AcquireLease or RenewLease that may be repeated.
	LeaseFailed struct{}
	// LeaseRenewed ends a RenewLease.
	LeaseRenewed struct{}
	// LeaseLost ends a RenewLease of a lease that has lapsed.
	LeaseLost struct{}
	// LocalUpdated brings this VM's own revision and load.
	LocalUpdated struct {
		Revision model.Revision
		Load     []ServiceLoad
	}
	// LeaveRequested makes this VM announce that it leaves.
	LeaveRequested struct{}
)

// StoredZone is a zone's record as the store holds it.
type StoredZone struct {
	Zone    model.Zone
	Version uint64
	Members []Record
}

// Action is an output of a Node.
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
	// SendProbe sends an indirect probe or its report to a VM.
	SendProbe struct {
		To    model.VMID
		Probe Probe
	}
	// ReadZoneRecords reads one zone's record, or all when Zone is empty.
	ReadZoneRecords struct{ Zone model.Zone }
	// WriteZoneRecord writes this zone's record if its version is Expect.
	WriteZoneRecord struct {
		Zone    model.Zone
		Members []Record
		Expect  uint64
	}
	// ReadVMList reads the platform's list of VMs.
	ReadVMList struct{}
	// AcquireLease tries to become the writer of the zone's record.
	AcquireLease struct{ Zone model.Zone }
	// RenewLease keeps the lease.
	RenewLease struct{ Lease platform.LeaseID }
	// ReleaseLease gives the lease up.
	ReleaseLease struct{ Lease platform.LeaseID }
	// Publish makes a view the current one.
	Publish struct{ View *View }
	// SetAddress tells the links where a VM is.
	SetAddress struct {
		VM      model.VMID
		Address string
	}
	// DropLink closes the links to a VM.
	DropLink struct{ VM model.VMID }
	// Superseded says that another process has taken over this VM's slot.
	// The Node does nothing more.
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
