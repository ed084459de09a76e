// Package replica holds an in-memory copy of the store's items. Batches from the
// store or from another VM's replica update it in any order: each key only moves
// to a newer state, so late and duplicate batches have no effect. That holds also
// when the store is restored from an older copy and begins a new era.
package replica

import (
	"bytes"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
)

// maxLogEvents bounds the events kept for VMs that poll this replica. A VM that
// is further behind gets a full batch.
const maxLogEvents = 4096

// Event is a write or deletion of a key.
type Event struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Revision is the store revision of the change.
	Revision uint64 `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
	// Era is the era of the store in which the change was made.
	Era uint64 `cbor:"5,keyasint,omitempty"`
}

// Batch is a set of events that brings a replica up to revision To of Era. A Full
// batch lists every item of the store, so that an item it lacks has been deleted.
type Batch struct {
	Full   bool    `cbor:"1,keyasint,omitempty"`
	Events []Event `cbor:"2,keyasint,omitempty"`
	// To is the revision up to which a replica is complete after the batch.
	To uint64 `cbor:"3,keyasint"`
	// Era is the number of times that the store has been restored from an older copy.
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

// Replica is a copy of the store's items. It is safe for concurrent use.
type Replica struct {
	versionOf VersionOf

	mu    sync.Mutex
	items map[string]Event
	// tombstones holds the positions at which keys were deleted.
	tombstones map[string]Position
	position   Position
	// log holds events of the current era.
	log []Event
	// logStart is the revision after which log is complete.
	logStart uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns an empty replica. versionOf orders the values of a key across eras of the
// store; nil if values have no versions.
func New(versionOf VersionOf) *Replica {
	if versionOf == nil {
		versionOf = func(string, []byte) (Version, bool) { return Version{}, false }
	}
	return &Replica{
		versionOf: versionOf, items: map[string]Event{}, tombstones: map[string]Position{}, changed: make(chan struct{}),
	}
}

// Apply merges a batch and returns the events that changed the replica, in
// order of revision. The replica is complete up to its position, so it ignores
// events up to there, and a full batch that is not newer implies no deletions.
//
// Only a full batch begins a new era: the changes since the copy from which the store
// was restored are not among its events. What the replica holds by then stays if its
// writer gave it a higher version than the batch has, until that is written again.
func (r *Replica) Apply(batch Batch) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	newEra := batch.Era > r.position.Era && !r.position.IsZero()
	if batch.Era < r.position.Era || (newEra && !batch.Full) {
		return nil
	}
	newer := batch.Position().After(r.position)
	events := batch.Events
	if batch.Full && newer {
		events = append(r.impliedDeletions(batch), events...)
	}
	var applied []Event
	for _, e := range events {
		if e.Position().After(r.position) && r.applyEvent(e) {
			applied = append(applied, e)
		}
	}
	sortByRevision(applied)
	if newer {
		r.position = batch.Position()
	}
	if newEra {
		r.log = nil
	}
	r.appendLog(applied)
	if batch.Full && newer {
		// A key that was created and deleted before the listing left no event.
		r.truncateLog(batch.To)
	}
	if newer || len(applied) > 0 {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	return applied
}

func sortByRevision(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return a.Position().Compare(b.Position()) })
}

// impliedDeletions returns deletions of the items that a full batch lacks. Items
// written after the batch was listed are kept.
func (r *Replica) impliedDeletions(batch Batch) []Event {
	listed := make(map[string]bool, len(batch.Events))
	for _, e := range batch.Events {
		listed[e.Key] = true
	}
	var deletions []Event
	for key, item := range r.items {
		if !listed[key] && !item.Position().After(batch.Position()) {
			deletions = append(deletions, Event{Key: key, Revision: batch.To, Deleted: true, Era: batch.Era})
		}
	}
	return deletions
}

// applyEvent applies e unless the state of its key is as new or newer, and
// reports whether it did. The deletion of a key that the replica lacks counts: a
// follower may still have the key.
func (r *Replica) applyEvent(e Event) bool {
	item, present := r.items[e.Key]
	if present && (!e.Position().After(item.Position()) || r.isOutdated(item, e)) {
		return false
	}
	if deletedAt, ok := r.tombstones[e.Key]; ok && !e.Position().After(deletedAt) {
		return false
	}
	if e.Deleted {
		delete(r.items, e.Key)
		r.tombstones[e.Key] = e.Position()
		return true
	}
	delete(r.tombstones, e.Key)
	r.items[e.Key] = e
	return true
}

// isOutdated reports whether e, from a later era than item, holds an older value than
// the replica.
func (r *Replica) isOutdated(item, e Event) bool {
	if e.Deleted || e.Era == item.Era || bytes.Equal(item.Value, e.Value) {
		return false
	}
	known, ok := r.versionOf(item.Key, item.Value)
	version, versioned := r.versionOf(e.Key, e.Value)
	return ok && versioned && known.isAfter(version)
}

// appendLog appends the applied events of the current era and drops the oldest ones
// beyond maxLogEvents.
func (r *Replica) appendLog(applied []Event) {
	current := slices.DeleteFunc(slices.Clone(applied), func(e Event) bool { return e.Era != r.position.Era })
	if len(current) == 0 {
		return
	}
	outOfOrder := len(r.log) > 0 && r.log[len(r.log)-1].Revision > current[0].Revision
	r.log = append(r.log, current...)
	if outOfOrder {
		// The pages of a listing are no snapshot, so a listing may have brought
		// events newer than its revision.
		sortByRevision(r.log)
	}
	if excess := len(r.log) - maxLogEvents; excess > 0 {
		r.truncateLog(r.log[excess-1].Revision)
	}
}

// truncateLog drops the events up to revision, with their tombstones.
func (r *Replica) truncateLog(revision uint64) {
	r.logStart = revision
	first := sort.Search(len(r.log), func(i int) bool { return r.log[i].Revision > revision })
	r.log = append([]Event(nil), r.log[first:]...)
	r.pruneTombstones()
}

// pruneTombstones drops the tombstones that the log no longer covers.
func (r *Replica) pruneTombstones() {
	oldest := Position{r.position.Era, r.logStart}
	maps.DeleteFunc(r.tombstones, func(_ string, deletedAt Position) bool { return oldest.After(deletedAt) })
}

// Since returns a batch for a replica at position: the latest event of each key
// after it, or a full batch if the log does not reach back that far. For a replica in a
// later era than this one it is empty.
func (r *Replica) Since(position Position) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := Batch{To: r.position.Revision, Era: r.position.Era}
	if position.Era > r.position.Era && !position.IsZero() {
		return batch
	}
	if position.Era < r.position.Era || position.Revision < r.logStart || position.IsZero() {
		return r.fullBatch()
	}
	first := sort.Search(len(r.log), func(i int) bool { return r.log[i].Revision > position.Revision })
	for _, e := range r.log[first:] {
		if r.isLatest(e) {
			batch.Events = append(batch.Events, e)
		}
	}
	return batch
}

// isLatest reports whether e is the latest known event of its key.
func (r *Replica) isLatest(e Event) bool {
	if e.Deleted {
		return r.tombstones[e.Key] == e.Position()
	}
	return r.items[e.Key].Position() == e.Position()
}

// fullBatch returns all items. The caller holds mu.
func (r *Replica) fullBatch() Batch {
	batch := Batch{Full: true, To: r.position.Revision, Era: r.position.Era, Events: make([]Event, 0, len(r.items))}
	for _, item := range r.items {
		batch.Events = append(batch.Events, item)
	}
	return batch
}

// Position returns the point up to which the replica is complete.
func (r *Replica) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Items returns the items whose keys start with prefix, in no particular order.
func (r *Replica) Items(prefix string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for key, item := range r.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	return found
}

// Item returns the item at key and whether it exists.
func (r *Replica) Item(key string) (Event, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	item, ok := r.items[key]
	return item, ok
}
