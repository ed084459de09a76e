package health

import (
	"time"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/model"
)

// LimitsInterval is how often to ask for the limits when nothing else happens.
const LimitsInterval = 50 * time.Millisecond

// Tracker holds the state of the owned servers. It is not safe for concurrent
// use.
type Tracker struct {
	opts    Options
	servers []*server
	byID    map[model.ServerID]*server
	ejected int
	peers   peerLatency
	limits  []admit.Server
}

// NewTracker returns a tracker without servers.
func NewTracker(opts Options) *Tracker {
	return &Tracker{
		opts: opts,
		byID: make(map[model.ServerID]*server),
	}
}

// SetServers replaces the set of servers. Those listed before keep their
// state.
func (t *Tracker) SetServers(now time.Time, infos []ServerInfo) {
	for _, s := range t.servers {
		s.listed = false
	}
	for _, info := range infos {
		t.set(now, info)
	}
	t.forgetUnlisted()
	t.countEjected()
	for t.ejected > t.maxEjected() {
		t.restoreOne(now)
	}
	t.endPausesIfIdle(now)
}

func (t *Tracker) set(now time.Time, info ServerInfo) {
	s, known := t.byID[info.ID]
	if !known {
		s = newServer(now, info)
		t.byID[info.ID] = s
		t.servers = append(t.servers, s)
	}
	s.info = info
	s.listed = true
	s.limit = min(s.limit, float64(info.Slots))
}

func (t *Tracker) forgetUnlisted() {
	kept := t.servers[:0]
	for _, s := range t.servers {
		if s.listed {
			kept = append(kept, s)
			continue
		}
		delete(t.byID, s.info.ID)
	}
	clear(t.servers[len(kept):])
	t.servers = kept
}

// Observe takes in the result of one attempt at a server. The latency of an
// answer counts for the server's speed; pass zero for long transfers, whose
// time depends on their size.
func (t *Tracker) Observe(now time.Time, id model.ServerID, class Class, latency time.Duration) {
	s, ok := t.byID[id]
	if !ok {
		return
	}
	switch class {
	case Answered:
		t.answered(now, s, latency)
	case Shed:
		s.shed(now)
	case Failed, Silent:
		t.failed(now, s)
	case Unreachable:
		s.unreachable(now, t.opts)
	}
}

// Report takes in a statement about a server. It counts only until traffic or
// a newer report says otherwise.
func (t *Tracker) Report(now time.Time, id model.ServerID, r Report) {
	s, ok := t.byID[id]
	if !ok || r.Age >= t.opts.MaxReportAge {
		return
	}
	s.reached()
	made := now.Add(-r.Age)
	if made.Before(s.report.made) {
		return
	}
	s.report = report{Report: r, made: made, expires: made.Add(t.opts.MaxReportAge)}
}

// Limits returns how many requests each server may run at once now. Limits
// also change with time alone; ask again after LimitsInterval. The
// slice is a buffer that the next call overwrites.
func (t *Tracker) Limits(now time.Time) []admit.Server {
	t.limits = t.limits[:0]
	for _, s := range t.servers {
		s.endEjection(now)
		t.limits = append(t.limits, admit.Server{ID: s.info.ID, Limit: s.current(now)})
	}
	return t.limits
}

// Out appends the servers that get no work because they fail.
func (t *Tracker) Out(now time.Time, list []model.ServerID) []model.ServerID {
	for _, s := range t.servers {
		if s.state == ejected || now.Before(s.pausedUntil) {
			list = append(list, s.info.ID)
		}
	}
	return list
}

func (t *Tracker) answered(now time.Time, s *server, took time.Duration) {
	s.endEjection(now)
	s.answered(now, took, t.peers.value, t.opts)
	t.peers.refresh(t.servers)
	if s.state == probing && s.answerRun >= t.opts.ProbeAnswers {
		s.restore(now)
		t.countEjected()
	}
}

// failed counts a failure. After a run of them it ejects the server, or, when
// the share of ejected servers is used up, pauses it after each failure as long
// as another server answers.
func (t *Tracker) failed(now time.Time, s *server) {
	s.endEjection(now)
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
	}
}

func (t *Tracker) eject(now time.Time, s *server) {
	s.eject(now, t.opts)
	t.countEjected()
	t.endPausesIfIdle(now)
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
	inUse := 0
	for _, s := range t.servers {
		if !s.info.Draining {
			inUse++
		}
	}
	if inUse < 2 {
		return 0
	}
	return max(1, int(float64(inUse)*t.opts.EjectShare))
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
	first.restore(now)
	t.countEjected()
}
