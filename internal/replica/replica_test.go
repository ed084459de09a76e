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
		reader, follower := New(), New()
		newest := map[string]uint64{}
		var delayed []Batch
		for range 120 {
			store.mutate(random)
			switch random.IntN(5) {
			case 0:
				reader.Apply(store.batch(min(reader.Revision(), store.revision)))
			case 1:
				reader.Apply(store.fullBatch())
			case 2:
				delayed = append(delayed, reader.Since(follower.Revision()))
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
		reader.Apply(store.batch(reader.Revision()))
		follower.Apply(reader.Since(follower.Revision()))
		if !sameItems(reader, store.items) || !sameItems(follower, store.items) {
			return "the replicas differ from the store"
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestFollowerBehindTheLogGetsEverything(t *testing.T) {
	r := New()
	for i := uint64(1); i <= maxLogEvents+10; i++ {
		r.Apply(Batch{Events: []Event{{Key: fmt.Sprint(i % 7), Value: []byte("v"), Revision: i}}, To: i})
	}
	if batch := r.Since(5); !batch.Full || len(batch.Events) != 7 {
		t.Errorf("got full %v with %d items", batch.Full, len(batch.Events))
	}
	if batch := r.Since(maxLogEvents + 5); batch.Full || len(batch.Events) != 5 {
		t.Errorf("got full %v with %d events", batch.Full, len(batch.Events))
	}
}

// A configuration may be hundreds of kilobytes in size. After a rapid series of
// changes a follower on a slow link must get only the latest one.
func TestFollowersGetOnlyTheNewestOfAKey(t *testing.T) {
	r := New()
	r.Apply(Batch{Full: true, Events: []Event{{Key: "op/config", Revision: 1}}, To: 1})
	r.Apply(Batch{To: 6, Events: []Event{
		{Key: "op/config", Revision: 2}, {Key: "servers/a", Revision: 3}, {Key: "op/config", Revision: 4},
		{Key: "servers/a", Revision: 5, Deleted: true}, {Key: "op/config", Revision: 6},
	}})
	follower := New()
	follower.Apply(Batch{Full: true, Events: []Event{{Key: "op/config", Revision: 1}}, To: 1})
	batch := r.Since(1)
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
