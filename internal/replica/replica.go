// Package replica keeps a copy of the store's items by revision. The copy can
// be advanced by the store itself or by another entry VM's copy, and never
// goes back.
package replica

import (
	"maps"
	"sort"
	"strings"
	"sync"
)

// maxLog bounds the events kept for other VMs that follow this copy.
const maxLog = 4096

// Event is one write or removal of a key.
type Event struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}

// Batch brings a copy from one revision to another. A Full batch lists every
// item and replaces the copy.
type Batch struct {
	Full   bool    `cbor:"1,keyasint,omitempty"`
	Events []Event `cbor:"2,keyasint,omitempty"`
	// To is the revision up to which a copy is complete after the batch.
	To uint64 `cbor:"3,keyasint"`
}

// Replica is the copy. It is safe for concurrent use.
type Replica struct {
	mu       sync.Mutex
	items    map[string]Event
	removed  map[string]uint64
	revision uint64
	log      []Event
	// logFrom is the revision after which log is complete.
	logFrom uint64
	changed chan struct{}
}

// New returns an empty copy at revision zero.
func New() *Replica {
	return &Replica{items: map[string]Event{}, removed: map[string]uint64{}, changed: make(chan struct{})}
}

// Apply merges a batch and returns the events that changed the copy, in order
// of revision. An event older than what the copy holds changes nothing.
func (r *Replica) Apply(batch Batch) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := batch.Events
	if batch.Full {
		events = append(r.missing(batch), events...)
	}
	var fresh []Event
	for _, e := range events {
		if r.put(e) {
			fresh = append(fresh, e)
		}
	}
	sort.SliceStable(fresh, func(i, j int) bool { return fresh[i].Revision < fresh[j].Revision })
	r.record(fresh, batch)
	advanced := batch.To > r.revision
	r.revision = max(r.revision, batch.To)
	if advanced || len(fresh) > 0 {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	return fresh
}

// missing returns removals of the items that a full listing lacks. An item
// written after the listing is kept.
func (r *Replica) missing(batch Batch) []Event {
	listed := make(map[string]bool, len(batch.Events))
	for _, e := range batch.Events {
		listed[e.Key] = true
	}
	var gone []Event
	for key, item := range r.items {
		if !listed[key] && item.Revision <= batch.To {
			gone = append(gone, Event{Key: key, Revision: batch.To, Deleted: true})
		}
	}
	return gone
}

// put stores e unless the copy has the same or a newer state of its key.
func (r *Replica) put(e Event) bool {
	if item, ok := r.items[e.Key]; ok && item.Revision >= e.Revision {
		return false
	}
	if r.removed[e.Key] >= e.Revision {
		return false
	}
	if e.Deleted {
		_, had := r.items[e.Key]
		delete(r.items, e.Key)
		r.removed[e.Key] = e.Revision
		return had
	}
	delete(r.removed, e.Key)
	r.items[e.Key] = e
	return true
}

// record keeps fresh events for followers and forgets the oldest. After a full
// listing the log has a gap, so it starts anew.
func (r *Replica) record(fresh []Event, batch Batch) {
	if batch.Full {
		r.log = nil
		r.logFrom = batch.To
		return
	}
	r.log = append(r.log, fresh...)
	if extra := len(r.log) - maxLog; extra > 0 {
		r.logFrom = r.log[extra-1].Revision
		r.log = append([]Event(nil), r.log[extra:]...)
		r.dropRemoved()
	}
}

// dropRemoved forgets removals that the log no longer covers.
func (r *Replica) dropRemoved() {
	maps.DeleteFunc(r.removed, func(_ string, revision uint64) bool { return revision < r.logFrom })
}

// Since returns what a copy at revision lacks: the newest event of each key
// after it while the log covers them, or every item.
func (r *Replica) Since(revision uint64) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.logFrom || revision == 0 {
		return r.full()
	}
	batch := Batch{To: r.revision}
	first := sort.Search(len(r.log), func(i int) bool { return r.log[i].Revision > revision })
	for _, e := range r.log[first:] {
		if r.newest(e) {
			batch.Events = append(batch.Events, e)
		}
	}
	return batch
}

// newest says whether no later event of the same key is known.
func (r *Replica) newest(e Event) bool {
	if e.Deleted {
		return r.removed[e.Key] == e.Revision
	}
	return r.items[e.Key].Revision == e.Revision
}

func (r *Replica) full() Batch {
	batch := Batch{Full: true, To: r.revision, Events: make([]Event, 0, len(r.items))}
	for _, item := range r.items {
		batch.Events = append(batch.Events, item)
	}
	return batch
}

// Revision returns the revision up to which the copy is complete.
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

// Items returns the items whose keys start with prefix.
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

// Item returns the item at key.
func (r *Replica) Item(key string) (Event, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	item, ok := r.items[key]
	return item, ok
}
