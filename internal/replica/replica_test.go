package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// history is a store that remembers every event.
type history struct {
	revision uint64
	events   []Event
	items    map[string]Event
}

func (h *history) step(random *rand.Rand) {
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

func (h *history) batch(after uint64) Batch {
	return Batch{Events: append([]Event(nil), h.events[after:]...), To: h.revision}
}

func (h *history) full() Batch {
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

// TestCopiesConvergeAndNeverGoBack runs random histories in which a reader
// follows the store and a follower follows the reader, with batches that
// arrive late, twice and out of order.
func TestCopiesConvergeAndNeverGoBack(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20401)
	properties := gopter.NewProperties(parameters)
	properties.Property("copies", prop.ForAll(func(seed uint64) string {
		random := rand.New(rand.NewPCG(seed, 1))
		store := &history{items: map[string]Event{}}
		reader, follower := New(), New()
		newest := map[string]uint64{}
		var delayed []Batch
		for range 120 {
			store.step(random)
			switch random.IntN(5) {
			case 0:
				reader.Apply(store.batch(min(reader.Revision(), store.revision)))
			case 1:
				reader.Apply(store.full())
			case 2:
				delayed = append(delayed, reader.Since(follower.Revision()))
			case 3:
				delayed = append(delayed, store.full())
			case 4:
				if len(delayed) > 0 {
					follower.Apply(delayed[random.IntN(len(delayed))])
				}
			}
			for _, item := range follower.Items("") {
				if item.Revision < newest[item.Key] {
					return fmt.Sprintf("%s went back from %d to %d", item.Key, newest[item.Key], item.Revision)
				}
				newest[item.Key] = item.Revision
			}
		}
		reader.Apply(store.batch(reader.Revision()))
		follower.Apply(reader.Since(follower.Revision()))
		if !sameItems(reader, store.items) || !sameItems(follower, store.items) {
			return "the copies differ from the store"
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestFollowerBehindTheLogGetsEverything(t *testing.T) {
	r := New()
	for i := uint64(1); i <= maxLog+10; i++ {
		r.Apply(Batch{Events: []Event{{Key: fmt.Sprint(i % 7), Value: []byte("v"), Revision: i}}, To: i})
	}
	if batch := r.Since(5); !batch.Full || len(batch.Events) != 7 {
		t.Errorf("got full %v with %d items", batch.Full, len(batch.Events))
	}
	if batch := r.Since(maxLog + 5); batch.Full || len(batch.Events) != 5 {
		t.Errorf("got full %v with %d events", batch.Full, len(batch.Events))
	}
}

// A configuration may have hundreds of kilobytes. A follower on a narrow link
// gets only the newest one of a quick series.
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
		t.Errorf("%d events up to revision %d, want the 2 newest up to 6", len(batch.Events), batch.To)
	}
	follower.Apply(batch)
	if item, ok := follower.Item("op/config"); !ok || item.Revision != 6 {
		t.Errorf("the follower has the configuration of revision %d", item.Revision)
	}
	if _, ok := follower.Item("servers/a"); ok {
		t.Error("the follower has a server that is gone")
	}
}
