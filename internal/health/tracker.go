package health

import (
	"time"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/model"
)

// LimitsInterval is how often to call Limits in the absence of other events, since
// limits also change with time.
const LimitsInterval = 50 * time.Millisecond

// Tracker holds the state of the servers that an entry VM owns. It is not safe for
// concurrent use.
type Tracker struct {
	opts         Options
	servers      []*server
	byID         map[model.ServerID]*server
	ejectedCount int
	peerLatency  peerLatency
	events       []Event
	limits       []admit.Server
}

// NewTracker returns a tracker without servers.
func NewTracker(opts Options) *Tracker {
	return &Tracker{
		opts: opts,
		byID: make(map[model.ServerID]*server),
	}
}

// SetServers replaces the set of servers. Servers that were listed before keep their
// state.
func (t *Tracker) SetServers(now time.Time, infos []ServerInfo) {
	for _, s := range t.servers {
		s.listed = false
	}
	for _, info := range infos {
		t.upsert(now, info)
	}
	t.removeUnlisted()
	t.updateEjectedCount()
	for t.ejectedCount > t.maxEjected() {
		t.restoreEarliest(now)
	}
	t.endPausesIfNoneUsable(now)
}

func (t *Tracker) upsert(now time.Time, info ServerInfo) {
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

func (t *Tracker) removeUnlisted() {
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

// Observe records the result of one attempt at a server. latency is the latency of
// an answer; pass zero for long transfers, whose duration depends on their size.
// Unknown servers are ignored.
func (t *Tracker) Observe(now time.Time, id model.ServerID, class Class, latency time.Duration) {
	s, ok := t.byID[id]
	if !ok {
		return
	}
	switch class {
	case Answered:
		t.recordAnswer(now, s, latency)
	case Shed:
		s.recordShed(now)
	case Failed, Silent:
		t.recordFailure(now, s)
	case Unreachable:
		t.recordConnectFailure(now, s)
	}
}

// Report records a report about a server. It has an effect until it expires, the
// server answers a request, or a newer report replaces it.
func (t *Tracker) Report(now time.Time, id model.ServerID, r Report) {
	s, ok := t.byID[id]
	if !ok || r.Age >= t.opts.MaxReportAge {
		return
	}
	s.markReachable()
	createdAt := now.Add(-r.Age)
	if createdAt.Before(s.report.createdAt) {
		return
	}
	s.report = report{Report: r, createdAt: createdAt, expiresAt: createdAt.Add(t.opts.MaxReportAge)}
}

// Limits returns how many requests each server may run at once now. Limits also
// change with time; call it again after LimitsInterval. The returned slice is valid
// until the next call.
func (t *Tracker) Limits(now time.Time) []admit.Server {
	t.limits = t.limits[:0]
	for _, s := range t.servers {
		t.probeIfDue(now, s)
		t.limits = append(t.limits, admit.Server{ID: s.info.ID, Limit: s.currentLimit(now)})
	}
	return t.limits
}

func (t *Tracker) recordAnswer(now time.Time, s *server, elapsed time.Duration) {
	t.probeIfDue(now, s)
	s.recordAnswer(now, elapsed, t.peerLatency.median, t.opts)
	t.peerLatency.refresh(t.servers)
	if s.state == probing && s.consecutiveAnswers >= t.opts.ProbeSuccesses {
		t.restore(now, s)
	}
}
