package pick

import (
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/share"
)

const (
	// maxPause bounds a pause for which a server asks, so that a wrong number costs no
	// server for good.
	maxPause = time.Minute
	// leavingMemory is how long it is remembered that a server process said that it
	// leaves. It is longer than a process goes on serving, and than its entry can be
	// absent and return.
	leavingMemory = time.Hour
	// leavingReportAge is how long this VM repeats to the others that a server leaves, so
	// that a lost report is repeated.
	leavingReportAge = 2 * time.Second
	// hearsayExpiry is how long another VM's word that a server leaves is believed. If
	// the server is still in use by then, its next answer shows whether it is true.
	hearsayExpiry = 5 * time.Second
)

// process identifies one start of a server.
type process struct {
	id      model.ServerID
	started int64
	address string
}

func processOf(s *Server) process { return process{s.ID, s.Started, s.Address} }

// withdrawal is what is known about a server process that takes no more requests.
type withdrawal struct {
	// leavingSince is when the server said to this VM that it leaves; zero if it did not.
	leavingSince time.Time
	// hearsayUntil is until when other VMs are believed that it leaves.
	hearsayUntil time.Time
	// pausedUntil is until when the server wants no requests of this VM.
	pausedUntil time.Time
}

// leaving reports whether the server gets no further requests.
func (w *withdrawal) leaving(now time.Time) bool {
	return !w.leavingSince.IsZero() || now.Before(w.hearsayUntil)
}

func (w *withdrawal) paused(now time.Time) bool { return now.Before(w.pausedUntil) }

// takesNone reports whether the server takes no requests now.
func (w *withdrawal) takesNone(now time.Time) bool { return w.leaving(now) || w.paused(now) }

// withdraw returns the withdrawal of the server, to be changed.
func (s *Server) withdraw() *withdrawal {
	if s.withdrawal == nil {
		s.withdrawal = &withdrawal{}
	}
	return s.withdrawal
}

// RecordLeaving records that the chosen server said in an answer that it leaves. It
// reports whether that is new to this VM.
func (f *Fleet) RecordLeaving(choice Choice, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := processOf(choice.Server)
	_, known := f.departing[key]
	for other, since := range f.departing {
		if now.Sub(since) >= leavingMemory {
			delete(f.departing, other)
		}
	}
	f.departing[key] = now
	f.current(choice).withdraw().leavingSince = now
	return !known
}

// current returns the state of the chosen server process. It differs from that in choice
// if the server's entry vanished and came back meanwhile.
func (f *Fleet) current(choice Choice) *Server {
	if server, ok := f.servers[choice.Server.ID]; ok && processOf(server) == processOf(choice.Server) {
		return server
	}
	return choice.Server
}

// RecordPause records that the chosen server wants no requests of this VM for a time, at
// most maxPause. It reports whether the server was not paused before.
func (f *Fleet) RecordPause(choice Choice, pause time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.current(choice).withdraw()
	began := !w.paused(now)
	if until := now.Add(min(pause, maxPause)); until.After(w.pausedUntil) {
		w.pausedUntil = until
	}
	return began && w.paused(now)
}

// PauseLeft returns the time until the first of the servers that may get a request returns
// from its pause. It returns false if none is paused, or if one neither is nor leaves: that
// one may have room before.
func (f *Fleet) PauseLeft(q Query, now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pauseLeft(q, now)
}

func (f *Fleet) pauseLeft(q Query, now time.Time) (time.Duration, bool) {
	var first time.Time
	for _, c := range f.byService[q.Service] {
		w := c.server.withdrawal
		switch {
		case !q.Regions.Allows(c.server.Region):
		case w == nil || !w.takesNone(now):
			return 0, false
		case w.leaving(now):
		case first.IsZero() || w.pausedUntil.Before(first):
			first = w.pausedUntil
		}
	}
	return first.Sub(now), !first.IsZero()
}

// Leaving returns what this VM reports to the others about servers that leave.
func (f *Fleet) Leaving(now time.Time) share.LeavingReports {
	f.mu.Lock()
	defer f.mu.Unlock()
	reports := share.LeavingReports{}
	for key, last := range f.departing {
		if now.Sub(last) < leavingReportAge {
			reports[hashString(string(key.id))] = key.started
		}
	}
	return reports
}

// SetRemoteLeaving applies the reports of another VM. They are not passed on.
func (f *Fleet) SetRemoteLeaving(reports share.LeavingReports, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for hash, started := range reports {
		if server, ok := f.byHash[hash]; ok && server.Started == started {
			server.withdraw().hearsayUntil = now.Add(hearsayExpiry)
		}
	}
}
