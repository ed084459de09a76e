package health

import "time"

// recordFailure records a failure. After enough consecutive failures it ejects the
// server or, if the maximum number of servers is ejected already, pauses it after
// each failure as long as another server is healthy.
func (t *Tracker) recordFailure(now time.Time, s *server) {
	t.probeIfDue(now, s)
	s.recordFailure(now)
	switch s.state {
	case ejected:
		return
	case probing:
		t.eject(now, s)
		return
	}
	if s.consecutiveFailures < t.opts.ConsecutiveFailures {
		return
	}
	if t.ejectedCount < t.maxEjected() {
		t.eject(now, s)
		return
	}
	if !now.Before(s.pausedUntil) && t.otherServerHealthy(now, s) {
		s.pause(now, t.opts)
		t.recordEvent(now, s, ChangePaused, s.pausedUntil)
	}
}

// probeIfDue starts to probe a server whose ejection time has passed.
func (t *Tracker) probeIfDue(now time.Time, s *server) {
	if s.state != ejected || now.Before(s.ejectedUntil) {
		return
	}
	s.startProbing()
	t.recordEvent(now, s, ChangeProbing, time.Time{})
}

// eject takes a server out of use and records the event.
func (t *Tracker) eject(now time.Time, s *server) {
	s.eject(now, t.opts)
	t.updateEjectedCount()
	t.endPausesIfNoneUsable(now)
	t.recordEvent(now, s, ChangeEjected, s.ejectedUntil)
}

// restore returns a server to normal use and records the event.
func (t *Tracker) restore(now time.Time, s *server) {
	s.restore()
	t.updateEjectedCount()
	t.recordEvent(now, s, ChangeRestored, time.Time{})
}

// recordConnectFailure records a failed connection attempt.
func (t *Tracker) recordConnectFailure(now time.Time, s *server) {
	wasDown := s.down
	s.recordConnectFailure(now, t.opts)
	if s.down && !wasDown {
		t.recordEvent(now, s, ChangeUnreachable, s.pausedUntil)
	}
}

// endPausesIfNoneUsable ends all pauses if no server may get requests. Servers that
// accept no connections stay paused.
func (t *Tracker) endPausesIfNoneUsable(now time.Time) {
	for _, s := range t.servers {
		if s.currentLimit(now) > 0 {
			return
		}
	}
	for _, s := range t.servers {
		if !s.down {
			s.pausedUntil = time.Time{}
		}
	}
}

// maxEjected returns how many servers may be ejected at once: the configured share,
// but at least one of two or more servers. Otherwise a single dead server would
// attract requests, because it fails them quickly.
func (t *Tracker) maxEjected() int {
	inUse := t.countInUse()
	if inUse < 2 {
		return 0
	}
	return max(1, int(float64(inUse)*t.opts.MaxEjectedShare))
}

// countInUse returns the number of servers that are not draining.
func (t *Tracker) countInUse() int {
	count := 0
	for _, s := range t.servers {
		if !s.info.Draining {
			count++
		}
	}
	return count
}

// updateEjectedCount recounts the servers that are ejected or being probed.
func (t *Tracker) updateEjectedCount() {
	t.ejectedCount = 0
	for _, s := range t.servers {
		if s.outOfUse() {
			t.ejectedCount++
		}
	}
}

// otherServerHealthy reports whether a server other than s may get requests and is
// not failing.
func (t *Tracker) otherServerHealthy(now time.Time, s *server) bool {
	for _, other := range t.servers {
		if other == s || other.consecutiveFailures >= t.opts.ConsecutiveFailures {
			continue
		}
		if other.state == healthy && other.currentLimit(now) > 0 {
			return true
		}
	}
	return false
}

// restoreEarliest ends the ejection that would end first. It is used when the set
// of servers has shrunk and too many of them are ejected.
func (t *Tracker) restoreEarliest(now time.Time) {
	var earliest *server
	for _, s := range t.servers {
		if !s.outOfUse() {
			continue
		}
		if earliest == nil || s.ejectedUntil.Before(earliest.ejectedUntil) {
			earliest = s
		}
	}
	t.restore(now, earliest)
}
