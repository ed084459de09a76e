package replica

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// numbered reads versions such as "5" from values such as "5 ready". Keys that begin with
// "plain/" have none.
func numbered(key string, value []byte) (Version, bool) {
	number, _, _ := strings.Cut(string(value), " ")
	version, err := strconv.ParseInt(number, 10, 64)
	return Version{version}, err == nil && !strings.HasPrefix(key, "plain/")
}

func at(era, revision uint64, key, value string) Event {
	return Event{Era: era, Revision: revision, Key: key, Value: []byte(value)}
}

func removed(era, revision uint64, key string) Event {
	return Event{Era: era, Revision: revision, Key: key, Deleted: true}
}

// TestRestoredStore guards against copies that ignore a store that went back, and against
// older values coming back with it.
func TestRestoredStore(t *testing.T) {
	known := []Event{
		at(1, 10, "config", "4"), at(1, 11, "servers/a", "7 ready"), at(1, 12, "servers/gone", "7 ready"),
		at(1, 13, "plain/x", "old"), at(1, 48, "config", "9"), at(1, 49, "servers/a", "8 draining"),
		removed(1, 50, "servers/gone"), at(1, 51, "servers/new", "3 ready"),
	}
	listed := []Event{
		at(2, 10, "config", "4"), at(2, 11, "servers/a", "7 ready"), at(2, 12, "servers/gone", "7 ready"), at(2, 13, "plain/x", "old"),
	}
	tests := []struct {
		desc  string
		later []Event
		want  map[string]string
	}{
		{"the restored copy", nil, map[string]string{
			"config": "9", "servers/a": "8 draining", "servers/gone": "7 ready", "plain/x": "old",
		}},
		{"a configuration written again", []Event{at(2, 41, "config", "9")}, map[string]string{"config": "9"}},
		{"an older one written first", []Event{at(2, 41, "config", "6")}, map[string]string{"config": "9"}},
		{"a new one at a known revision", []Event{at(2, 48, "config", "11")}, map[string]string{"config": "11"}},
		{"two changes in the new era", []Event{at(2, 41, "config", "12"), at(2, 42, "config", "11")}, map[string]string{"config": "11"}},
		{"a server that lives", []Event{at(2, 41, "servers/gone", "9 ready")}, map[string]string{"servers/gone": "9 ready"}},
		{"a new server written again", []Event{at(2, 41, "servers/new", "3 ready")}, map[string]string{"servers/new": "3 ready"}},
		{"a draining server ends", []Event{removed(2, 41, "servers/a")}, map[string]string{"servers/a": ""}},
		{"a server that had left lapses", []Event{removed(2, 41, "servers/gone")}, map[string]string{"servers/gone": ""}},
		{"a value without a version", []Event{at(2, 41, "plain/x", "new")}, map[string]string{"plain/x": "new"}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			reader, follower := New(numbered), New(numbered)
			for _, r := range []*Replica{reader, follower} {
				r.Apply(Batch{Full: true, To: 9, Era: 1})
				r.Apply(Batch{Events: known, To: 60, Era: 1})
			}
			reader.Apply(Batch{Full: true, Events: listed, To: 40, Era: 2})
			reader.Apply(Batch{Events: tt.later, To: 50, Era: 2})
			follower.Apply(reader.Since(follower.Position()))
			for name, r := range map[string]*Replica{"reader": reader, "follower": follower} {
				if r.Position() != (Position{2, 50}) {
					t.Errorf("the %s is at %+v", name, r.Position())
				}
				for key, want := range tt.want {
					if item, _ := r.Item(key); string(item.Value) != want {
						t.Errorf("the %s has %q at %s, want %q", name, item.Value, key, want)
					}
				}
				if len(tt.later) == 0 && len(r.Items("")) != len(tt.want) {
					t.Errorf("the %s has %v, want %v", name, r.Items(""), tt.want)
				}
			}
		})
	}
}

// TestEarlierErasChangeNothing guards against late batches from before a restore, also
// where their revisions are higher, and against a new era without a full listing.
func TestEarlierErasChangeNothing(t *testing.T) {
	tests := []struct {
		desc  string
		batch Batch
	}{
		{"events", Batch{Events: []Event{at(1, 70, "config", "9")}, To: 70, Era: 1}},
		{"a listing", Batch{Full: true, Events: []Event{at(1, 70, "servers/b", "9")}, To: 70, Era: 1}},
		{"events of a later era", Batch{Events: []Event{at(3, 70, "config", "9")}, To: 70, Era: 3}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			r := New(numbered)
			r.Apply(Batch{Full: true, Events: []Event{at(2, 5, "config", "4")}, To: 20, Era: 2})
			if applied := r.Apply(tt.batch); len(applied) != 0 || r.Position() != (Position{2, 20}) {
				t.Errorf("applied %v, at %+v", applied, r.Position())
			}
			if item, ok := r.Item("config"); !ok || string(item.Value) != "4" {
				t.Errorf("config is %q", item.Value)
			}
		})
	}
}

// TestCopiesConvergeAfterRestores lets copies read a store that goes back to earlier
// states and whose writers write again what was lost, and poll each other. No version of
// a key may return to an older one, and in the end all copies equal the store.
func TestCopiesConvergeAfterRestores(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(50201)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("copies", prop.ForAll(func(seed uint64) string {
		random := rand.New(rand.NewPCG(seed, 3))
		store := newRestorableStore()
		replicas := []*Replica{New(numbered), New(numbered), New(numbered)}
		newest := make([]map[string]Version, len(replicas))
		for i := range newest {
			newest[i] = map[string]Version{}
		}
		var delayed []Batch
		for range 150 {
			i := random.IntN(len(replicas))
			r := replicas[i]
			batch := store.list()
			switch random.IntN(8) {
			case 0, 1, 2:
				store.write(random)
			case 3:
				if random.IntN(6) == 0 {
					store.restore(random)
				}
			case 4:
				batch = replicas[random.IntN(len(replicas))].Since(r.Position())
			case 5:
				if position := r.Position(); position.Era == store.era {
					batch = store.events(position.Revision)
				}
			case 6:
				if len(delayed) > 0 {
					batch = delayed[random.IntN(len(delayed))]
				}
			}
			delayed = append(delayed, batch)
			if batch.Era != r.Position().Era && !batch.Full {
				continue
			}
			r.Apply(batch)
			for key := range newest[i] {
				if _, ok := r.Item(key); !ok {
					delete(newest[i], key)
				}
			}
			for _, item := range r.Items("") {
				version, _ := numbered(item.Key, item.Value)
				if newest[i][item.Key].isAfter(version) {
					return fmt.Sprintf("%s went back from version %v to %v", item.Key, newest[i][item.Key], version)
				}
				newest[i][item.Key] = version
			}
		}
		store.writeAgain()
		for _, r := range replicas {
			r.Apply(store.list())
			if !sameItems(r, store.items) {
				return fmt.Sprintf("a copy has %v, the store %v", r.Items(""), store.items)
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// restorableStore is a store whose writers number their values.
type restorableStore struct {
	era      uint64
	revision uint64
	items    map[string]Event
	history  []Event
	// latest holds the last version that each writer wrote; negative if it left.
	latest  map[string]int64
	backups []restorableStore
}

func newRestorableStore() *restorableStore {
	return &restorableStore{era: 1, revision: 1, items: map[string]Event{}, latest: map[string]int64{}}
}

func (s *restorableStore) put(key string, version int64) {
	s.revision++
	event := at(s.era, s.revision, key, fmt.Sprint(version))
	s.items[key] = event
	s.history = append(s.history, event)
}

// write lets a writer write its next version, or leave for good.
func (s *restorableStore) write(random *rand.Rand) {
	key := fmt.Sprint("k", random.IntN(5))
	if s.latest[key] < 0 {
		return
	}
	if random.IntN(10) == 0 {
		s.latest[key] = -1
		if _, ok := s.items[key]; ok {
			s.revision++
			delete(s.items, key)
			s.history = append(s.history, removed(s.era, s.revision, key))
		}
	} else {
		s.latest[key]++
		s.put(key, s.latest[key])
	}
	if random.IntN(4) == 0 {
		s.backups = append(s.backups, restorableStore{revision: s.revision, items: maps.Clone(s.items)})
	}
}

// restore goes back to an earlier state.
func (s *restorableStore) restore(random *rand.Rand) {
	if len(s.backups) == 0 {
		return
	}
	backup := s.backups[random.IntN(len(s.backups))]
	s.era++
	s.revision, s.items, s.history = backup.revision, map[string]Event{}, nil
	for key, item := range backup.items {
		item.Era = s.era
		s.items[key] = item
	}
}

// writeAgain lets all writers write their latest version, and the entries of those that
// left lapse.
func (s *restorableStore) writeAgain() {
	for key, version := range s.latest {
		if version >= 0 {
			s.put(key, version)
			continue
		}
		s.revision++
		delete(s.items, key)
		s.history = append(s.history, removed(s.era, s.revision, key))
	}
}

func (s *restorableStore) list() Batch {
	batch := Batch{Full: true, To: s.revision, Era: s.era}
	for _, item := range s.items {
		batch.Events = append(batch.Events, item)
	}
	return batch
}

func (s *restorableStore) events(after uint64) Batch {
	batch := Batch{To: s.revision, Era: s.era}
	for _, e := range s.history {
		if e.Revision > after {
			batch.Events = append(batch.Events, e)
		}
	}
	return batch
}
