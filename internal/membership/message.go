package membership

import (
	"fuchsiaspar/internal/model"
)

// maxRecordsPerDelta bounds the number of records in one message.
const maxRecordsPerDelta = 64

// Heartbeat tells the receiver that the sender is running and which state the
// sender has recorded for the receiver.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Epoch       uint64
	Incarnation model.Incarnation
	Seq         uint64
	State       State
	// TargetEpoch, TargetSeq and TargetState come from the sender's record of
	// the receiver, so that the receiver can refute a wrong claim.
	TargetEpoch uint64
	TargetSeq   uint64
	TargetState State
	// Digest covers the sender's whole table.
	Digest uint32
	// Reply requests a response even if the receiver does not send regular
	// heartbeats to the sender.
	Reply bool
	// Answer marks a response to another heartbeat.
	Answer bool
	// Origin is the VM that requested the indirect probe behind this
	// heartbeat, or empty.
	Origin model.VMID
}

func (h Heartbeat) identity() identity { return identity{h.Epoch, h.Incarnation} }

// Probe asks a helper to contact Target, or reports that Target responded.
type Probe struct {
	_      struct{} `cbor:",toarray"`
	Target model.VMID
	// Reached marks a report.
	Reached bool
	// Epoch, Incarnation, Seq and State are Target's own values. They are set
	// only in a report.
	Epoch       uint64
	Incarnation model.Incarnation
	Seq         uint64
	State       State
}

// Delta carries changes, or the data that the receiver's digests show to be
// missing.
type Delta struct {
	_         struct{} `cbor:",toarray"`
	Records   []Record
	Summaries []Summary
	// Report is a member's report to the leader of its zone.
	Report *Report
	// Digests requests the records of zones whose digests differ at the
	// receiver.
	Digests []ZoneDigest
	// Exchange requests the receiver's own digests in return.
	Exchange bool
	// Bulk marks a response to digests. Newly discovered slots in it are not
	// forwarded.
	Bulk bool
}

// ZoneDigest is the digest of one zone's records and the sequence number of
// its newest known summary.
type ZoneDigest struct {
	_       struct{} `cbor:",toarray"`
	Zone    model.Zone
	Digest  uint32
	Summary uint64
}

// Summary is a zone leader's compact description of its zone. It replaces the
// load and revision of each member by sums and exceptions.
type Summary struct {
	_      struct{} `cbor:",toarray"`
	Zone   model.Zone
	Leader model.VMID
	// Seq increases with each summary of the zone, also across leaders.
	Seq uint64
	// Revision is in force at every member that Exceptions does not list.
	Revision   model.Revision
	Exceptions []RevisionException
	// Load is the load of all members, summed by service and availability zone
	// of the servers.
	Load []LoadSum
	// Members lists the load of each member of a small zone.
	Members []MemberLoad
	// Silent lists zones that the leader has not heard for SuspectAfter.
	Silent []model.Zone
	// Unreachable lists zones that the leader considers unreachable from its
	// own.
	Unreachable []model.Zone
}

// RevisionException is a member whose revision differs from that of its zone's
// summary.
type RevisionException struct {
	_        struct{} `cbor:",toarray"`
	VM       model.VMID
	Revision model.Revision
}

// LoadSum is the wire format of ServiceLoad.
type LoadSum struct {
	_       struct{} `cbor:",toarray"`
	Service model.ServiceName
	// Zone is the availability zone of the servers.
	Zone   model.Zone
	Slots  int
	Busy   int
	Queued int
}

// MemberLoad is the load of one member of a small zone.
type MemberLoad struct {
	_    struct{} `cbor:",toarray"`
	VM   model.VMID
	Load []LoadSum
}

// Report is one member's load and revision.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Incarnation model.Incarnation
	Revision    model.Revision
	Load        []LoadSum
}

func toLoadSums(load []ServiceLoad) []LoadSum {
	var sums []LoadSum
	for _, l := range load {
		sums = append(sums, LoadSum{Service: l.Service, Zone: l.Zone, Slots: l.Slots, Busy: l.Busy, Queued: l.Queued})
	}
	return sums
}

func fromLoadSums(sums []LoadSum) []ServiceLoad {
	var load []ServiceLoad
	for _, s := range sums {
		load = append(load, ServiceLoad{Service: s.Service, Zone: s.Zone, Slots: s.Slots, Busy: s.Busy, Queued: s.Queued})
	}
	return load
}
