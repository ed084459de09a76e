package config

import (
	"time"

	"fuchsiaspar/internal/model"
)

// proposeRequest asks an entry VM, and through it others of its zone, to
// acknowledge an attempt, or informs them that the attempt is withdrawn.
type proposeRequest struct {
	Change ChangeID       `cbor:"1,keyasint"`
	Base   model.Revision `cbor:"2,keyasint"`
	// Body is the encoded Change. A large change is instead downloaded by its
	// Pieces.
	Body   []byte `cbor:"3,keyasint,omitempty"`
	Pieces []Hash `cbor:"4,keyasint,omitempty"`
	// Digest is the digest of the manifest that results from the change.
	Digest Hash `cbor:"5,keyasint,omitempty"`
	// Forward lists the entry VMs to ask on behalf of the proposer.
	Forward []model.VMID `cbor:"6,keyasint,omitempty"`
	// Proposer is the entry VM from which to sync when behind.
	Proposer model.VMID `cbor:"7,keyasint"`
	// Timeout is the time left to answer.
	Timeout  time.Duration `cbor:"8,keyasint,omitempty"`
	Withdraw bool          `cbor:"9,keyasint,omitempty"`
}

func (r *proposeRequest) attemptID() attemptID { return attemptID{change: r.Change, base: r.Base} }

// verdict is the answer of an entry VM to a proposal.
type verdict uint8

const (
	verdictAck verdict = iota + 1
	// verdictInvalid is a final refusal.
	verdictInvalid
	// verdictRetry is a temporary refusal, by a VM that is unreachable or has a
	// different revision.
	verdictRetry
)

// proposeAnswer is the answer of one entry VM.
type proposeAnswer struct {
	VM      model.VMID `cbor:"1,keyasint"`
	Verdict verdict    `cbor:"2,keyasint"`
	Reason  string     `cbor:"3,keyasint,omitempty"`
}

// proposeReply contains the answers collected in one zone.
type proposeReply struct {
	Answers []proposeAnswer `cbor:"1,keyasint"`
}

// announcement reports that an attempt was committed. Commit is encoded as
// JSON.
type announcement struct {
	Change   ChangeID       `cbor:"1,keyasint"`
	Revision model.Revision `cbor:"2,keyasint"`
	Commit   []byte         `cbor:"3,keyasint"`
	Forward  []model.VMID   `cbor:"4,keyasint,omitempty"`
	Timeout  time.Duration  `cbor:"5,keyasint"`
}

// announceReply lists the entry VMs that have the revision, or a higher one,
// active.
type announceReply struct {
	Adopted []model.VMID `cbor:"1,keyasint"`
}

// clockStamp is a reading of the clock of the process identified by Epoch,
// which alone can interpret it.
type clockStamp struct {
	Epoch   uint64        `cbor:"1,keyasint"`
	Elapsed time.Duration `cbor:"2,keyasint"`
}

// fetchRequest asks for the active revision and how recently it was known to be
// the latest, and reports the state of the sender.
type fetchRequest struct {
	// Revision is the active revision of the sender.
	Revision model.Revision `cbor:"1,keyasint"`
	// NoOpenAcks reports that the sender has no open acknowledgement.
	NoOpenAcks bool `cbor:"2,keyasint,omitempty"`
	// LastStamp is the stamp of the last reply from the recipient. The sender
	// read the state reported above after it.
	LastStamp clockStamp `cbor:"3,keyasint,omitempty"`
	WantHead  bool       `cbor:"4,keyasint,omitempty"`
	WantAges  bool       `cbor:"5,keyasint,omitempty"`
	Objects   []Hash     `cbor:"6,keyasint,omitempty"`
}

// fetchReply answers a fetchRequest. Age is relative to the time of the reply,
// so the recipient can subtract it from the time of its own request without
// comparing clocks.
type fetchReply struct {
	Revision model.Revision `cbor:"1,keyasint"`
	// AgeKnown reports whether Age is valid.
	AgeKnown bool          `cbor:"2,keyasint,omitempty"`
	Age      time.Duration `cbor:"3,keyasint,omitempty"`
	Stamp    clockStamp    `cbor:"4,keyasint"`
	Head     []byte        `cbor:"5,keyasint,omitempty"`
	// Zone is the zone of the replying VM and Ages the evidence for its slots.
	Zone    model.Zone `cbor:"6,keyasint,omitempty"`
	Ages    []ageCount `cbor:"7,keyasint,omitempty"`
	Objects [][]byte   `cbor:"8,keyasint,omitempty"`
}
