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
	events  []Event
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
		t.unreachable(now, s)
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
// also change with time alone; ask again after LimitsInterval. The slice is a
// buffer that the next call overwrites.
func (t *Tracker) Limits(now time.Time) []admit.Server {
	t.limits = t.limits[:0]
	for _, s := range t.servers {
		t.probeIfDue(now, s)
		t.limits = append(t.limits, admit.Server{ID: s.info.ID, Limit: s.current(now)})
	}
	return t.limits
}

func (t *Tracker) answered(now time.Time, s *server, took time.Duration) {
	t.probeIfDue(now, s)
	s.answered(now, took, t.peers.value, t.opts)
	t.peers.refresh(t.servers)
	if s.state == probing && s.answerRun >= t.opts.ProbeAnswers {
		t.restore(now, s)
	}
}
