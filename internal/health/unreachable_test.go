package health

import (
	"testing"
	"time"

	"fuchsiaspar/internal/model"
)

// TestUnreachableServersGetNoWork brings about the loss of a whole zone: all
// of its servers refuse connections, which the share of ejections must not
// turn into more attempts.
func TestUnreachableServersGetNoWork(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(DefaultOptions())
	ids := []model.ServerID{"a", "b", "c"}
	var infos []ServerInfo
	for _, id := range ids {
		infos = append(infos, ServerInfo{ID: id, Slots: 3})
	}
	tracker.SetServers(now, infos)
	for range defaultUnreachable {
		for _, id := range ids {
			tracker.Observe(now, id, Unreachable, 0)
		}
	}
	if got := total(tracker, now); got != 0 {
		t.Fatalf("unreachable servers may run %d requests", got)
	}
	events := tracker.Events()
	if len(events) != len(ids) || events[0].Change != ChangeUnreachable {
		t.Fatalf("events %v, want one for each server", events)
	}
	tracker.Report(now, "b", Report{Ready: true})
	if got := total(tracker, now); got != minLimit {
		t.Fatalf("the server that answered a question may run %d requests, want %d", got, minLimit)
	}
	later := now.Add(downTime)
	if got := total(tracker, later); got != len(ids)*minLimit {
		t.Fatalf("after %s the servers may run %d requests, want %d", downTime, got, len(ids)*minLimit)
	}
	tracker.Observe(later, "a", Unreachable, 0)
	tracker.Observe(later, "c", Answered, time.Millisecond)
	if got := total(tracker, later); got <= minLimit {
		t.Fatalf("servers may run %d requests after one answered", got)
	}
}

func total(t *Tracker, now time.Time) int {
	sum := 0
	for _, s := range t.Limits(now) {
		sum += s.Limit
	}
	return sum
}
