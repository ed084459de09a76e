package membership

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// maxPrevious bounds the replaced incarnations that a record names.
	maxPrevious = 8
	// maxCounter bounds epochs and sequence numbers, so that they never wrap.
	maxCounter = 1 << 62
)

// Record is what VMs tell one another of the process in one slot.
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
	// Seq is raised by the process itself, to refute a wrong claim about it or
	// to announce that it leaves.
	Seq   uint64
	State State
	// Previous names the newest incarnations that this one has replaced.
	Previous []model.Incarnation
	// Age is how long the process had run when the record was sent. It tells
	// which of two processes of one slot is the replacement. A record that
	// waited on its way makes its process look younger, never older.
	Age time.Duration
	// born is the process's start by the clock of the VM that holds the record.
	born time.Time
}

// ageTolerance is the error that the age of a process may have gathered on its
// way through other VMs.
const ageTolerance = time.Second

// received returns r as it is kept from now on.
func (r Record) received(now time.Time) Record {
	r.born = now.Add(-r.Age)
	return r
}

// sent returns r as it is told to another VM.
func (r Record) sent(now time.Time) Record {
	r.Age = now.Sub(r.born).Truncate(time.Millisecond)
	return r
}

// startedAfter reports whether r is of a process that started after other's.
func (r Record) startedAfter(other Record) bool {
	return r.born.Sub(other.born) > ageTolerance
}

// identity tells the processes of one slot apart.
type identity struct {
	epoch       uint64
	incarnation model.Incarnation
}

func (r Record) identity() identity { return identity{r.Epoch, r.Incarnation} }

// replaces reports whether r is of a later process than other. A process that
// learns of its predecessor takes a higher epoch; until then the ages decide.
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

// supersedes reports whether r is newer knowledge than other.
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

// inherit keeps what an earlier record of the slot tells: which processes have
// been replaced, and the earliest start that fits the process.
func (r *Record) inherit(old Record) {
	r.addPrevious(old.Previous...)
	if r.identity() != old.identity() {
		r.addPrevious(old.Incarnation)
		return
	}
	if old.born.Before(r.born) {
		r.born = old.born
	}
}

// hasReplaced reports whether r names incarnation as a predecessor.
func (r Record) hasReplaced(incarnation model.Incarnation) bool {
	return slices.Contains(r.Previous, incarnation)
}

// addPrevious names incarnations as predecessors and keeps the newest.
func (r *Record) addPrevious(incarnations ...model.Incarnation) {
	previous := slices.Clone(r.Previous)
	for _, inc := range incarnations {
		if inc != r.Incarnation && !slices.Contains(previous, inc) {
			previous = append(previous, inc)
		}
	}
	if extra := len(previous) - maxPrevious; extra > 0 {
		previous = previous[extra:]
	}
	r.Previous = previous
}

// isReturnOf reports whether r is of a process that newer has replaced, or that
// is older and does not know of newer. An earlier process that wakes up may
// have taken a higher epoch before it learns of its replacement.
func (r Record) isReturnOf(newer Record) bool {
	if r.identity() == newer.identity() {
		return false
	}
	if newer.hasReplaced(r.Incarnation) {
		return !r.startedAfter(newer)
	}
	return newer.startedAfter(r) && !r.hasReplaced(newer.Incarnation)
}

// valid reports whether a received record is complete.
func (r Record) valid() bool {
	named := r.VM != "" && r.Zone != "" && r.Incarnation != 0
	counted := r.Epoch < maxCounter && r.Seq < maxCounter && r.Age >= 0
	return named && counted && r.State >= StateAlive && r.State <= stateLeft
}

// hash covers what changes in a record during the life of its process.
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
