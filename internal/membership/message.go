package membership

import (
	"fuchsiaspar/internal/model"
)

// maxRecordsPerDelta bounds the records of one message.
const maxRecordsPerDelta = 64

// Heartbeat tells a neighbour that the sender runs, and what the sender
// believes of that neighbour.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Epoch       uint64
	Incarnation model.Incarnation
	Seq         uint64
	State       State
	// TargetEpoch, TargetSeq and TargetState are the sender's record of the
	// receiver, so that the receiver can refute a wrong claim.
	TargetEpoch uint64
	TargetSeq   uint64
	TargetState State
	// Digest covers the sender's whole table.
	Digest uint32
	// Reply asks for an answer also from a receiver that does not have the
	// sender as a neighbour.
	Reply bool
	// Answer marks a heartbeat that answers another one.
	Answer bool
	// Origin names the VM on whose behalf the heartbeat was asked for.
	Origin model.VMID
}

func (h Heartbeat) identity() identity { return identity{h.Epoch, h.Incarnation} }

// Probe asks a helper to reach Target, or reports that it was reached.
type Probe struct {
	_      struct{} `cbor:",toarray"`
	Target model.VMID
	// Reached marks the report.
	Reached bool
	// Epoch, Incarnation, Seq and State are what Target said of itself, in a report.
	Epoch       uint64
	Incarnation model.Incarnation
	Seq         uint64
	State       State
}

// Delta carries what changed, or what the receiver's digests lack.
type Delta struct {
	_         struct{} `cbor:",toarray"`
	Records   []Record
	Summaries []Summary
	// Report is a member's report to the leader of its zone.
	Report *Report
	// Digests asks the receiver for the records of zones that differ.
	Digests []ZoneDigest
	// Exchange asks the receiver for its own digests in return.
	Exchange bool
	// Bulk marks the answer to digests. Unknown slots in it are not passed on.
	Bulk bool
}

// ZoneDigest covers the records of one zone and names its newest summary.
type ZoneDigest struct {
	_       struct{} `cbor:",toarray"`
	Zone    model.Zone
	Digest  uint32
	Summary uint64
}

// Summary is what a zone's leader tells of its zone. It replaces the load and
// revision of each member by sums and exceptions.
type Summary struct {
	_      struct{} `cbor:",toarray"`
	Zone   model.Zone
	Leader model.VMID
	// Seq grows with each summary of the zone, whoever leads it.
	Seq uint64
	// Revision is in force at every member that Exceptions does not name.
	Revision   model.Revision
	Exceptions []RevisionException
	// Load sums the load of the members.
	Load []LoadSum
	// Members holds the load of each member of a small zone.
	Members []MemberLoad
	// Silent names zones that the leader has not heard for a while.
	Silent []model.Zone
	// Unreachable names zones that the leader holds for cut off from its own.
	Unreachable []model.Zone
}

// RevisionException names a member with another revision than its zone.
type RevisionException struct {
	_        struct{} `cbor:",toarray"`
	VM       model.VMID
	Revision model.Revision
}

// LoadSum is a ServiceLoad in the form that messages carry.
type LoadSum struct {
	_       struct{} `cbor:",toarray"`
	Service model.ServiceName
	// Zone is where the servers are.
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

func toSums(load []ServiceLoad) []LoadSum {
	var sums []LoadSum
	for _, l := range load {
		sums = append(sums, LoadSum{Service: l.Service, Zone: l.Zone, Slots: l.Slots, Busy: l.Busy, Queued: l.Queued})
	}
	return sums
}

func fromSums(sums []LoadSum) []ServiceLoad {
	var load []ServiceLoad
	for _, s := range sums {
		load = append(load, ServiceLoad{Service: s.Service, Zone: s.Zone, Slots: s.Slots, Busy: s.Busy, Queued: s.Queued})
	}
	return load
}
