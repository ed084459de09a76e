package pick

import (
	"testing"
	"time"

	"fuchsiaspar/internal/share"
)

// pickTarget chooses a server for an object and ends the request at once.
func pickTarget(t *testing.T, f *Fleet, object uint64, now time.Time) Choice {
	t.Helper()
	c := choose(t, f, lookup, object, now)
	f.Done(c, Answered, nil, now)
	return c
}

// Guards against requests to a server after it has said that it leaves, whatever the
// store says of it.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	const object = 1
	list := servers(4, "lj")
	f := newFleet("vm-0", "lj", vms(7), list)
	home := choose(t, f, lookup, object, start)
	if !f.RecordLeaving(home, start) || f.RecordLeaving(home, start) {
		t.Error("the first statement is not told apart from the second")
	}
	f.Done(home, Answered, nil, start)
	expectAway := func(desc string, now time.Time) {
		t.Helper()
		for other := range uint64(100) {
			if c := pickTarget(t, f, other, now); c.Target.ID == home.Target.ID {
				t.Fatalf("%s: the server that leaves gets a request", desc)
			}
		}
	}
	expectAway("at once", start)
	expectAway("half an hour later", start.Add(leavingMemory/2))
	f.SetSnapshot(snapshot(nil, nil), start.Add(time.Second))
	f.SetSnapshot(snapshot(list, nil), start.Add(2*time.Second))
	expectAway("after its entry lapsed and came back", start.Add(2*time.Second))

	late := choose(t, f, lookup, object, start.Add(2*time.Second))
	f.SetSnapshot(snapshot(nil, nil), start.Add(2*time.Second))
	f.SetSnapshot(snapshot(list, nil), start.Add(2*time.Second))
	f.RecordLeaving(late, start.Add(2*time.Second))
	if c := pickTarget(t, f, object, start.Add(2*time.Second)); c.Target.ID == late.Target.ID {
		t.Error("a server whose entry came back before its answer gets a request")
	}
	f.Done(late, Answered, nil, start.Add(2*time.Second))

	again := *home.Target
	again.Started++
	for i := range list {
		if list[i].ID == again.ID {
			list[i] = &again
		}
	}
	f.SetSnapshot(snapshot(list, nil), start.Add(3*time.Second))
	if c := pickTarget(t, f, object, start.Add(3*time.Second)); c.Target.ID != home.Target.ID {
		t.Error("the next process of the server gets no request")
	}
}

// Guards against servers that a wrong message of another VM takes out of use for good.
func TestHearsayOfALeavingServerExpires(t *testing.T) {
	const object = 1
	list := servers(4, "lj")
	a, b := newFleet("vm-0", "lj", vms(7), list), newFleet("vm-1", "lj", vms(7), list)
	home := choose(t, a, lookup, object, start)
	a.RecordLeaving(home, start)
	reports := a.Leaving(start)
	if len(reports) != 1 || len(a.Leaving(start.Add(leavingReportAge))) != 0 {
		t.Fatalf("got reports %v, then %v", reports, a.Leaving(start.Add(leavingReportAge)))
	}
	b.SetRemoteLeaving(reports, start)
	if c := pickTarget(t, b, object, start); c.Target.ID == home.Target.ID {
		t.Error("another VM's word that the server leaves is not heard")
	}
	if len(b.Leaving(start)) != 0 {
		t.Error("hearsay is passed on")
	}
	if c := pickTarget(t, b, object, start.Add(hearsayExpiry)); c.Target.ID != home.Target.ID {
		t.Error("hearsay does not expire")
	}
	for hash := range reports {
		b.SetRemoteLeaving(share.LeavingReports{hash: -1}, start.Add(2*hearsayExpiry))
	}
	if c := pickTarget(t, b, object, start.Add(2*hearsayExpiry)); c.Target.ID != home.Target.ID {
		t.Error("word of another process of the server is believed")
	}
}

// Guards against requests to a server that has asked for a pause, and against pauses that
// count as failures.
func TestPausedServerGetsNoRequestsUntilItsPauseEnds(t *testing.T) {
	const object, pause = 1, 3 * time.Second
	f := newFleet("vm-0", "lj", vms(7), servers(4, "lj"))
	home := choose(t, f, lookup, object, start)
	if !f.RecordPause(home, pause, start) || f.RecordPause(home, time.Second, start) {
		t.Error("the beginning of a pause is not told apart from its repetition")
	}
	f.Done(home, Deferred, nil, start)
	for now := start; now.Before(start.Add(pause)); now = now.Add(100 * time.Millisecond) {
		if c := pickTarget(t, f, object, now); c.Target.ID == home.Target.ID {
			t.Fatalf("the server gets a request %v after its refusal", now.Sub(start))
		}
	}
	if c := pickTarget(t, f, object, start.Add(pause)); c.Target.ID != home.Target.ID {
		t.Error("the object does not return after the pause")
	}
	if rate := home.Server.health.failureRate; rate != 0 {
		t.Errorf("the pause counts as a failure: %v", rate)
	}
	f.RecordPause(home, 1000*time.Hour, start)
	if c := pickTarget(t, f, object, start.Add(maxPause)); c.Target.ID != home.Target.ID {
		t.Error("an endless pause is not bounded")
	}
}

// Guards against requests that wait, or come back too early, while every server of their
// service has asked for a pause.
func TestAllServersPaused(t *testing.T) {
	list := servers(3, "lj")
	f := newFleet("vm-0", "lj", vms(7), list)
	query := Query{Route: lookup, Service: "desk", Object: 1}
	var choices []Choice
	for _, server := range f.servers {
		choices = append(choices, Choice{Server: server, Target: server.Server})
	}
	f.RecordPause(choices[0], 3*time.Second, start)
	f.RecordPause(choices[1], 2*time.Second, start)
	if c, reason := f.Pick(query, start); reason != "" {
		t.Fatalf("%s although one server takes requests", reason)
	} else {
		f.Done(c, Answered, nil, start)
	}
	f.RecordLeaving(choices[2], start)
	_, reason := f.Pick(query, start.Add(time.Second))
	if left, paused := f.PauseLeft(query, start.Add(time.Second)); reason != Paused || !paused || left != time.Second {
		t.Errorf("got %q, back in %v; want %q, back in 1s", reason, left, Paused)
	}
	f.RecordLeaving(choices[0], start)
	f.RecordLeaving(choices[1], start)
	if _, reason := f.Pick(query, start.Add(time.Second)); reason != AllFull {
		t.Errorf("got %q with all servers leaving, want %q", reason, AllFull)
	}
}
