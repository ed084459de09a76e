package health

import "time"

// failed counts a failure. After a run of them it ejects the server, or, when
// the share of ejected servers is used up, pauses it after each failure as long
// as another server answers.
func (t *Tracker) failed(now time.Time, s *server) {
	t.probeIfDue(now, s)
	s.failed(now)
	switch s.state {
	case ejected:
		return
	case probing:
		t.eject(now, s)
		return
	}
	if s.failureRun < t.opts.FailureRun {
		return
	}
	if t.ejected < t.maxEjected() {
		t.eject(now, s)
		return
	}
	if !now.Before(s.pausedUntil) && t.othersAnswer(now, s) {
		s.pause(now, t.opts)
		t.record(now, s, ChangePaused, s.pausedUntil)
	}
}

// probeIfDue starts the probation of a server whose ejection has run out.
func (t *Tracker) probeIfDue(now time.Time, s *server) {
	if s.state != ejected || now.Before(s.ejectedUntil) {
		return
	}
	s.probe()
	t.record(now, s, ChangeProbing, time.Time{})
}

// eject takes a server out of use for a time.
func (t *Tracker) eject(now time.Time, s *server) {
	s.eject(now, t.opts)
	t.countEjected()
	t.endPausesIfIdle(now)
	t.record(now, s, ChangeEjected, s.ejectedUntil)
}

// restore returns a server to use.
func (t *Tracker) restore(now time.Time, s *server) {
	s.restore()
	t.countEjected()
	t.record(now, s, ChangeRestored, time.Time{})
}

// unreachable counts a failed connect.
func (t *Tracker) unreachable(now time.Time, s *server) {
	before := s.down
	s.unreachable(now, t.opts)
	if s.down && !before {
		t.record(now, s, ChangeUnreachable, s.pausedUntil)
	}
}

// endPausesIfIdle ends all pauses when no server gets work, but for servers
// that accept no connection.
func (t *Tracker) endPausesIfIdle(now time.Time) {
	for _, s := range t.servers {
		if s.current(now) > 0 {
			return
		}
	}
	for _, s := range t.servers {
		if !s.down {
			s.pausedUntil = time.Time{}
		}
	}
}

// maxEjected returns how many servers may be ejected at once: the configured
// share, but always one of two or more, since a single dead server would
// otherwise draw work by failing fast.
func (t *Tracker) maxEjected() int {
	inUse := t.inUse()
	if inUse < 2 {
		return 0
	}
	return max(1, int(float64(inUse)*t.opts.EjectShare))
}

// inUse counts the servers that are not draining.
func (t *Tracker) inUse() int {
	n := 0
	for _, s := range t.servers {
		if !s.info.Draining {
			n++
		}
	}
	return n
}

// countEjected counts the servers that are ejected or on probation.
func (t *Tracker) countEjected() {
	t.ejected = 0
	for _, s := range t.servers {
		if s.outOfUse() {
			t.ejected++
		}
	}
}

// othersAnswer reports whether a server other than s is in use and not
// failing.
func (t *Tracker) othersAnswer(now time.Time, s *server) bool {
	for _, other := range t.servers {
		if other == s || other.failureRun >= t.opts.FailureRun {
			continue
		}
		if other.state == healthy && other.current(now) > 0 {
			return true
		}
	}
	return false
}

// restoreOne ends the ejection that would end first, because the set of
// servers has shrunk.
func (t *Tracker) restoreOne(now time.Time) {
	var first *server
	for _, s := range t.servers {
		if !s.outOfUse() {
			continue
		}
		if first == nil || s.ejectedUntil.Before(first.ejectedUntil) {
			first = s
		}
	}
	t.restore(now, first)
}
