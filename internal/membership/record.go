package membership

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// maxPreviousIncarnations bounds the replaced incarnations that a record
	// lists.
	maxPreviousIncarnations = 8
	// maxCounter bounds epochs and sequence numbers so that they never wrap.
	maxCounter = 1 << 62
)

// Record describes the process in one slot. VMs exchange records with each
// other.
type Record struct {
	_       struct{} `cbor:",toarray"`
	VM      model.VMID
	Zone    model.Zone
	Region  model.Region
	Address string
	// Epoch counts the processes that have run in the slot. A process that
	// learns of a predecessor takes the next epoch.
	Epoch       uint64
	Incarnation model.Incarnation
	// Seq is incremented only by the process itself, to refute a wrong claim
	// about it or to announce that it is leaving.
	Seq   uint64
	State State
	// Previous lists the newest incarnations that this one has replaced, up to
	// maxPreviousIncarnations.
	Previous []model.Incarnation
	// Age is how long the process had run when the record was sent. It shows
	// which of two processes of one slot is the replacement. Transit delay
	// makes a process look younger, never older.
	Age time.Duration
	// startedAt is the process's start time by the local clock.
	startedAt time.Time
}

// ageTolerance is the accumulated error allowed in the age of a process after
// its record passed through other VMs.
const ageTolerance = time.Second

// fromWire returns a received record with startedAt set from Age.
func (r Record) fromWire(now time.Time) Record {
	r.startedAt = now.Add(-r.Age)
	return r
}

// toWire returns r with Age set for sending, in whole milliseconds.
func (r Record) toWire(now time.Time) Record {
	r.Age = now.Sub(r.startedAt).Truncate(time.Millisecond)
	return r
}

// startedAfter reports whether the process of r started after that of other,
// by more than ageTolerance.
func (r Record) startedAfter(other Record) bool {
	return r.startedAt.Sub(other.startedAt) > ageTolerance
}

// identity distinguishes the processes of one slot.
type identity struct {
	epoch       uint64
	incarnation model.Incarnation
}

func (r Record) identity() identity { return identity{r.Epoch, r.Incarnation} }

// replaces reports whether r belongs to a later process than other. A process
// that learns of its predecessor takes a higher epoch; until then the ages
// decide, and then the incarnations.
func (r Record) replaces(other Record) bool {
	switch {
	case r.Epoch != other.Epoch:
		return r.Epoch > other.Epoch
	case r.startedAfter(other):
		return true
	case other.startedAfter(r):
		return false
	default:
		return r.Incarnation > other.Incarnation
	}
}

// supersedes reports whether r is newer than other.
func (r Record) supersedes(other Record) bool {
	if r.identity() != other.identity() {
		return r.replaces(other)
	}
	if r.Seq != other.Seq {
		return r.Seq > other.Seq
	}
	if r.State != other.State {
		return r.State > other.State
	}
	return len(r.Previous) > len(other.Previous)
}

// inherit copies from an earlier record of the slot the replaced processes
// and, for the same process, the earliest start time.
func (r *Record) inherit(old Record) {
	r.addPrevious(old.Previous...)
	if r.identity() != old.identity() {
		r.addPrevious(old.Incarnation)
		return
	}
	if old.startedAt.Before(r.startedAt) {
		r.startedAt = old.startedAt
	}
}

// hasReplaced reports whether r lists incarnation as a predecessor.
func (r Record) hasReplaced(incarnation model.Incarnation) bool {
	return slices.Contains(r.Previous, incarnation)
}

// addPrevious adds predecessors and keeps the newest maxPreviousIncarnations.
func (r *Record) addPrevious(incarnations ...model.Incarnation) {
	previous := slices.Clone(r.Previous)
	for _, inc := range incarnations {
		if inc != r.Incarnation && !slices.Contains(previous, inc) {
			previous = append(previous, inc)
		}
	}
	if extra := len(previous) - maxPreviousIncarnations; extra > 0 {
		previous = previous[extra:]
	}
	r.Previous = previous
}

// isReplacedBy reports whether r belongs to a process that newer has replaced,
// or to an older process that does not know of newer. A replaced process that
// resumes after a pause may have taken a higher epoch before it learns of its
// replacement, so epochs alone do not decide.
func (r Record) isReplacedBy(newer Record) bool {
	if r.identity() == newer.identity() {
		return false
	}
	if newer.hasReplaced(r.Incarnation) {
		return !r.startedAfter(newer)
	}
	return newer.startedAfter(r) && !r.hasReplaced(newer.Incarnation)
}

// valid reports whether a received record is complete and within bounds.
func (r Record) valid() bool {
	named := r.VM != "" && r.Zone != "" && r.Incarnation != 0
	counted := r.Epoch < maxCounter && r.Seq < maxCounter && r.Age >= 0
	return named && counted && r.State >= StateAlive && r.State <= stateLeft
}

// hash covers the identity of the process and the fields that change during
// its lifetime.
func (r Record) hash() uint32 {
	h := fnv.New32a()
	h.Write([]byte(r.VM))
	var buf [25]byte
	binary.BigEndian.PutUint64(buf[0:], r.Epoch)
	binary.BigEndian.PutUint64(buf[8:], uint64(r.Incarnation))
	binary.BigEndian.PutUint64(buf[16:], r.Seq)
	buf[24] = byte(r.State)
	h.Write(buf[:])
	return h.Sum32()
}
