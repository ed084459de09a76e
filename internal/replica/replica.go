// Package replica holds an in-memory copy of the store's items. Batches from the
// store or from another VM's replica update it in any order: each key only moves
// to a newer revision, so late and duplicate batches have no effect.
package replica

import (
	"cmp"
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

// Batch is a set of events that brings a replica up to revision To. A Full batch
// lists every item of the store, so that an item it lacks has been deleted.
type Batch struct {
	Full   bool    `cbor:"1,keyasint,omitempty"`
	Events []Event `cbor:"2,keyasint,omitempty"`
	// To is the revision up to which a replica is complete after the batch.
	To uint64 `cbor:"3,keyasint"`
	// Era is the number of times that the store has been restored from an older copy.
	// Its revisions are given out again in each era.
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

// Replica is a copy of the store's items. It is safe for concurrent use.
type Replica struct {
	mu    sync.Mutex
	items map[string]Event
	// tombstones holds the revisions at which keys were deleted.
	tombstones map[string]uint64
	revision   uint64
	log        []Event
	// logStart is the revision after which log is complete.
	logStart uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns an empty replica at revision zero.
func New() *Replica {
	return &Replica{items: map[string]Event{}, tombstones: map[string]uint64{}, changed: make(chan struct{})}
}

// Apply merges a batch and returns the events that changed the replica, in
// order of revision. The replica is complete up to its revision, so it ignores
// events up to there, and a full batch that is not newer implies no deletions.
func (r *Replica) Apply(batch Batch) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	newer := batch.To > r.revision
	events := batch.Events
	if batch.Full && newer {
		events = append(r.impliedDeletions(batch), events...)
	}
	var applied []Event
	for _, e := range events {
		if e.Revision > r.revision && r.applyEvent(e) {
			applied = append(applied, e)
		}
	}
	sortByRevision(applied)
	r.appendLog(applied)
	if newer {
		r.revision = batch.To
	}
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
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.Revision, b.Revision) })
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
		if !listed[key] && item.Revision <= batch.To {
			deletions = append(deletions, Event{Key: key, Revision: batch.To, Deleted: true})
		}
	}
	return deletions
}

// applyEvent applies e unless the state of its key is as new or newer, and
// reports whether it did. The deletion of a key that the replica lacks counts: a
// follower may still have the key.
func (r *Replica) applyEvent(e Event) bool {
	if item, ok := r.items[e.Key]; ok && item.Revision >= e.Revision {
		return false
	}
	if r.tombstones[e.Key] >= e.Revision {
		return false
	}
	if e.Deleted {
		delete(r.items, e.Key)
		r.tombstones[e.Key] = e.Revision
		return true
	}
	delete(r.tombstones, e.Key)
	r.items[e.Key] = e
	return true
}

// appendLog appends the applied events and drops the oldest ones beyond
// maxLogEvents.
func (r *Replica) appendLog(applied []Event) {
	if len(applied) == 0 {
		return
	}
	outOfOrder := len(r.log) > 0 && r.log[len(r.log)-1].Revision > applied[0].Revision
	r.log = append(r.log, applied...)
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
	maps.DeleteFunc(r.tombstones, func(_ string, revision uint64) bool { return revision < r.logStart })
}

// Since returns a batch for a replica at revision: the latest event of each key
// after it, or a full batch if the log does not reach back that far.
func (r *Replica) Since(revision uint64) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.logStart || revision == 0 {
		return r.fullBatch()
	}
	batch := Batch{To: r.revision}
	first := sort.Search(len(r.log), func(i int) bool { return r.log[i].Revision > revision })
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
		return r.tombstones[e.Key] == e.Revision
	}
	return r.items[e.Key].Revision == e.Revision
}

// fullBatch returns all items. The caller holds mu.
func (r *Replica) fullBatch() Batch {
	batch := Batch{Full: true, To: r.revision, Events: make([]Event, 0, len(r.items))}
	for _, item := range r.items {
		batch.Events = append(batch.Events, item)
	}
	return batch
}

// Revision returns the revision up to which the replica is complete.
func (r *Replica) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
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
