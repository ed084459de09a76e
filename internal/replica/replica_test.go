package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// fakeStore is a store that keeps its whole history.
type fakeStore struct {
	revision uint64
	events   []Event
	items    map[string]Event
}

// mutate writes or deletes a random key.
func (h *fakeStore) mutate(random *rand.Rand) {
	h.revision++
	event := Event{Key: fmt.Sprint("k", random.IntN(6)), Revision: h.revision}
	if _, ok := h.items[event.Key]; ok && random.IntN(3) == 0 {
		event.Deleted = true
		delete(h.items, event.Key)
	} else {
		event.Value = []byte{byte(h.revision)}
		h.items[event.Key] = event
	}
	h.events = append(h.events, event)
}

func (h *fakeStore) batch(after uint64) Batch {
	return Batch{Events: append([]Event(nil), h.events[after:]...), To: h.revision}
}

func (h *fakeStore) fullBatch() Batch {
	batch := Batch{Full: true, To: h.revision}
	for _, item := range h.items {
		batch.Events = append(batch.Events, item)
	}
	return batch
}

func sameItems(r *Replica, items map[string]Event) bool {
	got := r.Items("")
	if len(got) != len(items) {
		return false
	}
	for _, item := range got {
		if items[item.Key].Revision != item.Revision {
			return false
		}
	}
	return true
}

// TestReplicasConvergeAndNeverGoBack runs random histories in which a reader reads
// the store and a follower polls the reader, with batches that arrive late,
// twice and out of order. No key may return to an older revision.
func TestReplicasConvergeAndNeverGoBack(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20401)
	properties := gopter.NewProperties(parameters)
	properties.Property("replicas", prop.ForAll(func(seed uint64) string {
		random := rand.New(rand.NewPCG(seed, 1))
		store := &fakeStore{items: map[string]Event{}}
		reader, follower := New(nil), New(nil)
		newest := map[string]uint64{}
		var delayed []Batch
		for range 120 {
			store.mutate(random)
			switch random.IntN(5) {
			case 0:
				reader.Apply(store.batch(min(reader.Position().Revision, store.revision)))
			case 1:
				reader.Apply(store.fullBatch())
			case 2:
				delayed = append(delayed, reader.Since(follower.Position()))
			case 3:
				delayed = append(delayed, store.fullBatch())
			case 4:
				if len(delayed) > 0 {
					follower.Apply(delayed[random.IntN(len(delayed))])
				}
			}
			for _, item := range follower.Items("") {
				if item.Revision < newest[item.Key] {
					return fmt.Sprintf("%s went back from revision %d to %d", item.Key, newest[item.Key], item.Revision)
				}
				newest[item.Key] = item.Revision
			}
		}
		reader.Apply(store.batch(reader.Position().Revision))
		follower.Apply(reader.Since(follower.Position()))
		if !sameItems(reader, store.items) || !sameItems(follower, store.items) {
			return "the replicas differ from the store"
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestFollowerBehindTheLogGetsEverything(t *testing.T) {
	r := New(nil)
	for i := uint64(1); i <= maxLogEvents+10; i++ {
		r.Apply(Batch{Events: []Event{{Key: fmt.Sprint(i % 7), Value: []byte("v"), Revision: i}}, To: i})
	}
	if batch := r.Since(Position{Revision: 5}); !batch.Full || len(batch.Events) != 7 {
		t.Errorf("got full %v with %d items", batch.Full, len(batch.Events))
	}
	if batch := r.Since(Position{Revision: maxLogEvents + 5}); batch.Full || len(batch.Events) != 5 {
		t.Errorf("got full %v with %d events", batch.Full, len(batch.Events))
	}
}

// A configuration may be hundreds of kilobytes in size. After a rapid series of
// changes a follower on a slow link must get only the latest one.
func TestFollowersGetOnlyTheNewestOfAKey(t *testing.T) {
	r := New(nil)
	r.Apply(Batch{Full: true, Events: []Event{{Key: "op/config", Revision: 1}}, To: 1})
	r.Apply(Batch{To: 6, Events: []Event{
		{Key: "op/config", Revision: 2}, {Key: "servers/a", Revision: 3}, {Key: "op/config", Revision: 4},
		{Key: "servers/a", Revision: 5, Deleted: true}, {Key: "op/config", Revision: 6},
	}})
	follower := New(nil)
	follower.Apply(Batch{Full: true, Events: []Event{{Key: "op/config", Revision: 1}}, To: 1})
	batch := r.Since(Position{Revision: 1})
	if len(batch.Events) != 2 || batch.To != 6 {
		t.Errorf("%d events up to revision %d, want the 2 latest up to 6", len(batch.Events), batch.To)
	}
	follower.Apply(batch)
	if item, ok := follower.Item("op/config"); !ok || item.Revision != 6 {
		t.Errorf("the follower has the configuration of revision %d", item.Revision)
	}
	if _, ok := follower.Item("servers/a"); ok {
		t.Error("the follower still has a deleted server")
	}
}

// A listing that is older than the replica holds no news. The events after it
// must stay in the log, or a follower takes itself to be complete without them.
func TestOldListingKeepsTheLog(t *testing.T) {
	r := New(nil)
	r.Apply(Batch{Full: true, To: 20, Events: []Event{{Key: "servers/a", Revision: 3}}})
	r.Apply(Batch{To: 29, Events: []Event{{Key: "op/config", Revision: 29}, {Key: "servers/a", Revision: 25, Deleted: true}}})
	r.Apply(Batch{Full: true, To: 14, Events: []Event{{Key: "servers/a", Revision: 3}}})
	if _, ok := r.Item("servers/a"); ok {
		t.Error("the old listing brought back a deleted server")
	}
	if batch := r.Since(Position{Revision: 20}); batch.Full || len(batch.Events) != 2 || batch.To != 29 {
		t.Errorf("Since(20) returns full %v, %d events up to %d; want 2 events up to 29", batch.Full, len(batch.Events), batch.To)
	}
}

// history is a store that can be listed page by page while it changes.
type history struct{ fakeStore }

// stateAt returns the latest event of key up to revision.
func (h *history) stateAt(key string, revision uint64) (Event, bool) {
	for i := int(revision) - 1; i >= 0; i-- {
		if h.events[i].Key == key {
			return h.events[i], true
		}
	}
	return Event{}, false
}

// listInPages lists one key a page, with changes between the pages.
func (h *history) listInPages(random *rand.Rand) Batch {
	batch := Batch{Full: true, To: h.revision}
	for k := range historyKeys {
		if item, ok := h.items[fmt.Sprint("k", k)]; ok {
			batch.Events = append(batch.Events, item)
		}
		if random.IntN(4) == 0 {
			h.mutate(random)
		}
	}
	return batch
}

// historyKeys is the number of keys that fakeStore.mutate uses.
const historyKeys = 6

// staleKey returns a key whose state in r contradicts the revision up to which r
// claims to be complete. A state newer than that revision is allowed.
func (h *history) staleKey(r *Replica) string {
	complete := r.Position().Revision
	for k := range historyKeys {
		key := fmt.Sprint("k", k)
		want, known := h.stateAt(key, complete)
		item, present := r.Item(key)
		switch {
		case present && item.Revision < want.Revision, present && want.Deleted && item.Revision == want.Revision:
			return key
		case !present && known && !want.Deleted && !h.deletedAfter(key, complete):
			return key
		}
	}
	return ""
}

func (h *history) deletedAfter(key string, revision uint64) bool {
	for _, e := range h.events[revision:] {
		if e.Key == key && e.Deleted {
			return true
		}
	}
	return false
}

// TestReplicasHoldWhatTheyClaim lets four replicas read the store and poll each
// other in any order, with batches that arrive late, twice, empty or as an old
// listing. After each batch, a replica must hold at least the state of the store
// at the revision up to which it claims to be complete.
func TestReplicasHoldWhatTheyClaim(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(41201)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("replicas", prop.ForAll(func(seed uint64) string {
		random := rand.New(rand.NewPCG(seed, 2))
		store := &history{fakeStore{items: map[string]Event{}}}
		store.mutate(random)
		replicas := []*Replica{New(nil), New(nil), New(nil), New(nil)}
		type delivery struct {
			to    *Replica
			batch Batch
		}
		var delayed []delivery
		for range 80 {
			to, from := replicas[random.IntN(4)], replicas[random.IntN(4)]
			var batch Batch
			switch random.IntN(6) {
			case 0, 1:
				store.mutate(random)
				continue
			case 2:
				batch = store.listInPages(random)
			case 3:
				if to.Position().Revision == 0 {
					continue
				}
				batch = store.batch(to.Position().Revision)
			default:
				batch = from.Since(to.Position())
			}
			if random.IntN(3) > 0 {
				delayed = append(delayed, delivery{to, batch})
			}
			if late := len(delayed); late > 0 && random.IntN(2) == 0 {
				d := delayed[random.IntN(late)]
				to, batch = d.to, d.batch
			}
			to.Apply(batch)
			if key := store.staleKey(to); key != "" {
				return fmt.Sprintf("%s is stale in a replica at revision %d after a batch %+v", key, to.Position().Revision, batch)
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}
