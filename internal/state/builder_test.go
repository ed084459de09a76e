package state

import (
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/replica"

	"github.com/pkg/errors"
)

var start = time.Unix(1_800_000_000, 0)

// testDecoder decodes "service,state" as a server, a single byte as the version
// of a configuration and a name as a VM.
func testDecoder() Decoder {
	return Decoder{
		ConfigKey: "config", EvacuatePrefix: "evacuate/", ServerPrefix: "servers/", VMPrefix: "vms/",
		Config: func(value []byte) (*catalog.Config, error) {
			if len(value) == 0 {
				return nil, errors.New("empty")
			}
			return &catalog.Config{Version: int64(value[0])}, nil
		},
		Server: func(key string, value []byte) (*catalog.Server, error) {
			service, state, ok := strings.Cut(string(value), ",")
			if !ok {
				return nil, errors.New("no state")
			}
			return &catalog.Server{
				Started: int64(len(service)), ID: model.ServerID(strings.TrimPrefix(key, "servers/")), Service: model.ServiceName(service),
				Zone: "z1", Draining: state == "draining",
			}, nil
		},
		VM: func(value []byte) (catalog.VM, error) { return catalog.VM{Name: model.VMID(value)}, nil },
	}
}

func put(key, value string, revision uint64) replica.Event {
	return replica.Event{Key: key, Value: []byte(value), Revision: revision}
}

func deleted(key string, revision uint64) replica.Event {
	return replica.Event{Key: key, Revision: revision, Deleted: true}
}

func apply(b *Builder, outage Outage, now time.Time, events ...replica.Event) {
	b.Apply(replica.Batch{Events: events, To: events[len(events)-1].Revision}, outage, now)
}

func usable(b *Builder) int { return len(b.Snapshot(0).Servers["s"]) }

func TestUsableServers(t *testing.T) {
	tests := []struct {
		desc   string
		events []replica.Event
		want   int
	}{
		{"ready", []replica.Event{put("servers/a", "s,ready", 1)}, 1},
		{"draining", []replica.Event{put("servers/a", "s,ready", 1), put("servers/a", "s,draining", 2)}, 0},
		{"removed", []replica.Event{put("servers/a", "s,ready", 1), deleted("servers/a", 2)}, 0},
		{"invalid", []replica.Event{put("servers/a", "s,ready", 1), put("servers/a", "?", 2)}, 0},
		{"another one invalid", []replica.Event{put("servers/a", "s,ready", 1), put("servers/b", "?", 2)}, 1},
		{"zone evacuated", []replica.Event{put("servers/a", "s,ready", 1), put("evacuate/z1", "{}", 2)}, 0},
		{"another zone evacuated", []replica.Event{put("servers/a", "s,ready", 1), put("evacuate/z2", "{}", 2)}, 1},
		{"evacuation ended", []replica.Event{put("servers/a", "s,ready", 1), put("evacuate/z1", "{}", 2), deleted("evacuate/z1", 3)}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			b := NewBuilder(testDecoder(), decisions.Discard())
			apply(b, Outage{}, start, tt.events...)
			if got := usable(b); got != tt.want {
				t.Errorf("%d usable servers, want %d", got, tt.want)
			}
		})
	}
}

func TestLastReadableConfigurationStaysInForce(t *testing.T) {
	b := NewBuilder(testDecoder(), decisions.Discard())
	apply(b, Outage{}, start, put("config", "\x07", 1), put("config", "", 2), deleted("config", 3))
	if got := b.Snapshot(3).Config; got == nil || got.Version != 7 {
		t.Errorf("got %+v, want version 7", got)
	}
}

func TestExpiredEntryDuringStoreOutage(t *testing.T) {
	recovered := Outage{RecoveredAt: start}
	t.Run("the entry reappears", func(t *testing.T) {
		b := NewBuilder(testDecoder(), decisions.Discard())
		apply(b, Outage{}, start, put("servers/a", "s,ready", 1))
		apply(b, recovered, start, deleted("servers/a", 2))
		if usable(b) != 1 {
			t.Fatal("a server whose entry vanished is removed at once")
		}
		apply(b, recovered, start.Add(time.Second), put("servers/a", "s,ready", 3))
		b.Expire(recovered, start.Add(missingEntryGrace+time.Second))
		if usable(b) != 1 {
			t.Error("a server whose entry reappeared is removed")
		}
	})
	t.Run("the entry does not reappear", func(t *testing.T) {
		b := NewBuilder(testDecoder(), decisions.Discard())
		apply(b, Outage{}, start, put("servers/a", "s,ready", 1))
		apply(b, recovered, start, deleted("servers/a", 2))
		if !b.Expire(recovered, start.Add(missingEntryGrace+time.Millisecond)) || usable(b) != 0 {
			t.Error("a server whose entry did not reappear is still used")
		}
	})
	t.Run("the replica is disconnected", func(t *testing.T) {
		b := NewBuilder(testDecoder(), decisions.Discard())
		apply(b, Outage{}, start, put("servers/a", "s,ready", 1))
		apply(b, recovered, start, deleted("servers/a", 2))
		disconnected := Outage{Disconnected: true}
		b.Expire(disconnected, start.Add(time.Second))
		if b.Expire(disconnected, start.Add(2*missingEntryGrace)); usable(b) != 1 {
			t.Error("a server is removed although its entry could not reappear")
		}
	})
	t.Run("long after the store recovered", func(t *testing.T) {
		b := NewBuilder(testDecoder(), decisions.Discard())
		apply(b, Outage{}, start, put("servers/a", "s,ready", 1))
		apply(b, recovered, start.Add(missingEntryGrace), deleted("servers/a", 2))
		if usable(b) != 0 {
			t.Error("a deletion long after the outage is treated as an expired lease")
		}
	})
	t.Run("a draining server", func(t *testing.T) {
		b := NewBuilder(testDecoder(), decisions.Discard())
		apply(b, recovered, start, put("servers/a", "s,draining", 1), deleted("servers/a", 2))
		if len(b.servers) != 0 {
			t.Error("a draining server is kept")
		}
	})
}

func TestFullListingRemovesWhatItLacks(t *testing.T) {
	b := NewBuilder(testDecoder(), decisions.Discard())
	apply(b, Outage{}, start, put("servers/a", "s,ready", 1), put("servers/b", "s,ready", 2), put("evacuate/z9", "{}", 3), put("vms/v", "v", 4))
	b.Apply(replica.Batch{Full: true, To: 9, Events: []replica.Event{put("servers/b", "s,ready", 2)}}, Outage{}, start)
	snapshot := b.Snapshot(9)
	if usable(b) != 1 || snapshot.EvacuatedZones["z9"] || len(snapshot.VMs) != 0 {
		t.Errorf("got %d servers, evacuated %v, VMs %v", usable(b), snapshot.EvacuatedZones, snapshot.VMs)
	}
}

func TestSnapshotUpdateTimes(t *testing.T) {
	b := NewBuilder(testDecoder(), decisions.Discard())
	apply(b, Outage{}, start, put("config", "\x01", 1))
	apply(b, Outage{}, start.Add(time.Second), put("servers/a", "s,ready", 2))
	apply(b, Outage{}, start.Add(2*time.Second), put("evacuate/z9", "", 3))
	s := b.Snapshot(3)
	if !s.ConfigUpdatedAt.Equal(start) || !s.ServersUpdatedAt.Equal(start.Add(time.Second)) {
		t.Errorf("configuration updated at %v, servers updated at %v", s.ConfigUpdatedAt, s.ServersUpdatedAt)
	}
}

// TestEvacuationSurvivesARestore guards against requests to an evacuated zone after the
// store has lost the evacuation, until the operator has written it again.
func TestEvacuationSurvivesARestore(t *testing.T) {
	tests := []struct {
		desc   string
		outage Outage
		// later is applied, if it has a key, one second after the listing.
		later replica.Event
		// evacuated is expected at once and after the grace period.
		evacuated, still bool
	}{
		{"not written again", Outage{RecoveredAt: start}, replica.Event{}, true, false},
		{"written again", Outage{RecoveredAt: start}, put("evacuate/z1", "{}", 8), true, true},
		{"taken back", Outage{RecoveredAt: start}, deleted("evacuate/z1", 8), true, false},
		{"still disconnected", Outage{Disconnected: true}, replica.Event{}, true, true},
		{"no outage", Outage{}, replica.Event{}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			b := NewBuilder(testDecoder(), decisions.Discard())
			apply(b, Outage{}, start, put("servers/a", "s,ready", 1), put("evacuate/z1", "{}", 2))
			b.Apply(replica.Batch{Full: true, To: 7, Era: 2, Events: []replica.Event{put("servers/a", "s,ready", 1)}}, tt.outage, start)
			if got := usable(b) == 0; got != tt.evacuated {
				t.Errorf("evacuated after the listing: %v, want %v", got, tt.evacuated)
			}
			if tt.later.Key != "" {
				apply(b, tt.outage, start.Add(time.Second), tt.later)
			}
			b.Expire(tt.outage, start.Add(time.Second))
			b.Expire(tt.outage, start.Add(missingEntryGrace+time.Millisecond))
			if got := usable(b) == 0; got != tt.still {
				t.Errorf("evacuated after the grace period: %v, want %v", got, tt.still)
			}
		})
	}
}

// TestServerThatLeftStaysAwayAfterARestore guards against requests to a server that had left
// before the store went back to a copy that still lists it.
func TestServerThatLeftStaysAwayAfterARestore(t *testing.T) {
	restored := Outage{RecoveredAt: start, RestoredAt: start}
	tests := []struct {
		desc   string
		left   time.Duration
		outage Outage
		entry  replica.Event
		// used is expected at once, usedLater after returnHold.
		used, usedLater bool
	}{
		{"listed by the copy", 10 * time.Second, restored, put("servers/a", "s,ready", 1), false, true},
		{"a new process", 10 * time.Second, restored, put("servers/a", "s2,ready", 9), true, true},
		{"left long ago", 2 * departureMemory, restored, put("servers/a", "s,ready", 1), true, true},
		{"no restore", 10 * time.Second, Outage{RecoveredAt: start}, put("servers/a", "s,ready", 9), true, true},
		{"draining in the copy", 10 * time.Second, restored, put("servers/a", "s,draining", 1), false, false},
	}
	count := func(b *Builder) int { return usable(b) + len(b.Snapshot(0).Servers["s2"]) }
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			b := NewBuilder(testDecoder(), decisions.Discard())
			apply(b, Outage{}, start.Add(-tt.left), put("servers/a", "s,ready", 1), put("servers/b", "other,ready", 2), deleted("servers/a", 3))
			b.Expire(Outage{}, start)
			b.Apply(replica.Batch{Full: true, To: 9, Era: 2, Events: []replica.Event{tt.entry, put("servers/b", "other,ready", 2)}}, tt.outage, start)
			if got := count(b) == 1; got != tt.used {
				t.Errorf("used after the listing: %v, want %v", got, tt.used)
			}
			b.Expire(tt.outage, start.Add(returnHold+time.Millisecond))
			if got := count(b) == 1; got != tt.usedLater {
				t.Errorf("used after %v: %v, want %v", returnHold, got, tt.usedLater)
			}
		})
	}
	t.Run("its entry lapses", func(t *testing.T) {
		b := NewBuilder(testDecoder(), decisions.Discard())
		apply(b, Outage{}, start, put("servers/a", "s,ready", 1), deleted("servers/a", 3))
		b.Apply(replica.Batch{Full: true, To: 2, Era: 2, Events: []replica.Event{put("servers/a", "s,ready", 1)}}, restored, start)
		apply(b, restored, start.Add(4*time.Second), deleted("servers/a", 4))
		b.Expire(restored, start.Add(returnHold+time.Millisecond))
		if usable(b) != 0 {
			t.Error("a server whose entry lapsed is used")
		}
	})
}
