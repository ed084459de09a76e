package config

import (
	"time"

	"fuchsiaspar/internal/model"
)

// proposeRequest asks an entry VM, and through it others of its zone, to
// acknowledge an attempt, or tells them that the attempt is withdrawn.
type proposeRequest struct {
	Change ChangeID       `cbor:"1,keyasint"`
	Base   model.Revision `cbor:"2,keyasint"`
	// Body is the encoded Change; a large one is fetched in Pieces.
	Body   []byte `cbor:"3,keyasint,omitempty"`
	Pieces []Hash `cbor:"4,keyasint,omitempty"`
	// Digest is that of the manifest which the change leads to.
	Digest Hash `cbor:"5,keyasint,omitempty"`
	// Forward lists the entry VMs to ask on behalf of the proposer.
	Forward []model.VMID `cbor:"6,keyasint,omitempty"`
	// Proposer is who to catch up from.
	Proposer model.VMID `cbor:"7,keyasint"`
	// Timeout is the time left to answer.
	Timeout  time.Duration `cbor:"8,keyasint,omitempty"`
	Withdraw bool          `cbor:"9,keyasint,omitempty"`
}

func (r *proposeRequest) attemptID() attemptID { return attemptID{change: r.Change, base: r.Base} }

// verdict is an entry VM's answer to a proposal.
type verdict uint8

const (
	verdictAck verdict = iota + 1
	// verdictInvalid refuses for good.
	verdictInvalid
	// verdictRetry refuses for now: unreachable, behind or ahead.
	verdictRetry
)

// proposeAnswer is one entry VM's answer.
type proposeAnswer struct {
	VM      model.VMID `cbor:"1,keyasint"`
	Verdict verdict    `cbor:"2,keyasint"`
	Reason  string     `cbor:"3,keyasint,omitempty"`
}

// proposeReply gathers the answers of one zone.
type proposeReply struct {
	Answers []proposeAnswer `cbor:"1,keyasint"`
}

// announcement says that an attempt was committed. Commit is JSON.
type announcement struct {
	Change   ChangeID       `cbor:"1,keyasint"`
	Revision model.Revision `cbor:"2,keyasint"`
	Commit   []byte         `cbor:"3,keyasint"`
	Forward  []model.VMID   `cbor:"4,keyasint,omitempty"`
	Timeout  time.Duration  `cbor:"5,keyasint"`
}

// announceReply lists the entry VMs that have the revision, or a higher one,
// in force.
type announceReply struct {
	Adopted []model.VMID `cbor:"1,keyasint"`
}

// stamp is an instant of one process's own clock that only it can read.
type clockStamp struct {
	Epoch   uint64        `cbor:"1,keyasint"`
	Elapsed time.Duration `cbor:"2,keyasint"`
}

// fetchRequest asks for the revision in force and how fresh it is, and tells
// the same of the asker.
type fetchRequest struct {
	// Revision is the asker's.
	Revision model.Revision `cbor:"1,keyasint"`
	// Clean says that the asker holds no open acknowledgement.
	NoOpenAcks bool `cbor:"2,keyasint,omitempty"`
	// Echo is the stamp of the last reply from the same process: the asker's
	// state above was read after it.
	LastStamp clockStamp `cbor:"3,keyasint,omitempty"`
	WantHead  bool       `cbor:"4,keyasint,omitempty"`
	WantAges  bool       `cbor:"5,keyasint,omitempty"`
	Objects   []Hash     `cbor:"6,keyasint,omitempty"`
}

// fetchReply answers a fetchRequest. Age is a duration before the reply was
// made, so that the asker counts it from its own request.
type fetchReply struct {
	Revision model.Revision `cbor:"1,keyasint"`
	// Fresh says that Age is known.
	AgeKnown bool          `cbor:"2,keyasint,omitempty"`
	Age      time.Duration `cbor:"3,keyasint,omitempty"`
	Stamp    clockStamp    `cbor:"4,keyasint"`
	Head     []byte        `cbor:"5,keyasint,omitempty"`
	// Zone is that of the VM that replies; Ages is the evidence of its slots.
	Zone    model.Zone `cbor:"6,keyasint,omitempty"`
	Ages    []ageCount `cbor:"7,keyasint,omitempty"`
	Objects [][]byte   `cbor:"8,keyasint,omitempty"`
}
