package health

import (
	"testing"
	"time"

	"fuchsiaspar/internal/model"
)

// TestUnreachableServersGetNoWork guards against sending requests to a lost zone.
// All of its servers refuse connections, and the bound on ejected servers must not
// keep some of them in use.
func TestUnreachableServersGetNoWork(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(DefaultOptions())
	ids := []model.ServerID{"a", "b", "c"}
	var infos []ServerInfo
	for _, id := range ids {
		infos = append(infos, ServerInfo{ID: id, Slots: 3})
	}
	tracker.SetServers(now, infos)
	for range defaultConnectFailures {
		for _, id := range ids {
			tracker.Observe(now, id, Unreachable, 0)
		}
	}
	if got := total(tracker, now); got != 0 {
		t.Fatalf("unreachable servers have a total limit of %d, want 0", got)
	}
	events := tracker.Events()
	if len(events) != len(ids) || events[0].Change != ChangeUnreachable {
		t.Fatalf("events %v, want one for each server", events)
	}
	tracker.Report(now, "b", Report{Ready: true})
	if got := total(tracker, now); got != minLimit {
		t.Fatalf("total limit %d after one server sent a report, want %d", got, minLimit)
	}
	later := now.Add(downPause)
	if got := total(tracker, later); got != len(ids)*minLimit {
		t.Fatalf("after %s the total limit is %d, want %d", downPause, got, len(ids)*minLimit)
	}
	tracker.Observe(later, "a", Unreachable, 0)
	tracker.Observe(later, "c", Answered, time.Millisecond)
	if got := total(tracker, later); got <= minLimit {
		t.Fatalf("total limit %d after one server answered, want more", got)
	}
}

func total(t *Tracker, now time.Time) int {
	sum := 0
	for _, s := range t.Limits(now) {
		sum += s.Limit
	}
	return sum
}
