package membership

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	"fuchsiaspar/internal/model"
)

// maxPrevious bounds the replaced incarnations that a record names.
const maxPrevious = 4

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
}

// identity tells the processes of one slot apart.
type identity struct {
	epoch       uint64
	incarnation model.Incarnation
}

func (r Record) identity() identity { return identity{r.Epoch, r.Incarnation} }

// replaces reports whether i is a later process than other.
func (i identity) replaces(other identity) bool {
	if i.epoch != other.epoch {
		return i.epoch > other.epoch
	}
	return i.incarnation > other.incarnation
}

// supersedes reports whether r is newer knowledge than other.
func (r Record) supersedes(other Record) bool {
	if r.identity() != other.identity() {
		return r.identity().replaces(other.identity())
	}
	if r.Seq != other.Seq {
		return r.Seq > other.Seq
	}
	if r.State != other.State {
		return r.State > other.State
	}
	return len(r.Previous) > len(other.Previous)
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

// valid reports whether a received record is complete.
func (r Record) valid() bool {
	named := r.VM != "" && r.Zone != "" && r.Incarnation != 0
	return named && r.State >= StateAlive && r.State <= stateLeft
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
