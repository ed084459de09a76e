package health

import "time"

const (
	// minLimit is the limit of a server that is in use.
	minLimit = 1
	// decrease is the factor by which a shed answer or a risen latency shrinks
	// the limit.
	decrease = 0.7
	// minDecreasePause is the least time between two decreases.
	minDecreasePause = 100 * time.Millisecond
	// minPause and maxPause bound how long a failing server that may not be
	// ejected gets no work after a failure. The time doubles with each failure.
	minPause = 100 * time.Millisecond
	maxPause = 400 * time.Millisecond
	// coldAnswers is the count of answers for each slot that a cold server
	// gives before it runs at its full limit.
	coldAnswers = 20
	// forgiveAnswers is the count of answers in a row that halves the time of
	// the next ejection.
	forgiveAnswers = 200
	// downTime is how long a server that accepts no connection gets no work
	// when it is asked nothing else.
	downTime = 8 * time.Second
	// maxDoublings bounds the growth of the time of an ejection.
	maxDoublings = 16
)

// state says how much work a server may get.
type state uint8

const (
	healthy state = iota
	// ejected servers get no work.
	ejected
	// probing servers get one request at a time after an ejection.
	probing
)

// report is a statement with the times between which it counts.
type report struct {
	Report
	made, expires time.Time
}

// server is the state of one backend server.
type server struct {
	info   ServerInfo
	listed bool
	state  state
	// limit is the count of requests that may run at once.
	limit        float64
	decreasedAt  time.Time
	latency      latency
	lastAnswer   time.Time
	answerRun    int
	failureRun   int
	ejections    int
	ejectedUntil time.Time
	// pausedUntil ends the time without any work that failures cause beyond
	// the share of ejected servers, or failed connects.
	pausedUntil time.Time
	// unreachableRun counts failed connects in a row; a run of them makes the
	// server down.
	unreachableRun int
	down           bool
	// warm is the count of answers since a cold start.
	cold      bool
	warm      int
	firstSeen time.Time
	report    report
}

func newServer(now time.Time, info ServerInfo) *server {
	s := &server{info: info, limit: float64(info.Slots), firstSeen: now, cold: info.Cold}
	if s.cold {
		s.limit = minLimit
	}
	return s
}

// answered learns from an answer: the limit grows by one for each round of
// limit answers, and shrinks while the server is slow. peers is the usual
// latency of the other servers, or zero.
func (s *server) answered(now time.Time, took, peers time.Duration, opts Options) {
	s.lastAnswer = now
	s.reached()
	s.answerRun++
	s.failureRun = 0
	s.pausedUntil = time.Time{}
	s.forgive()
	s.warmUp(now)
	if took > 0 {
		s.latency.add(took)
	}
	if !s.cold && s.latency.risen(peers, opts.LatencyRatio) {
		s.shrink(now)
		return
	}
	s.limit = min(float64(s.info.Slots), s.limit+1/max(s.limit, minLimit))
}

func (s *server) shed(now time.Time) {
	s.reached()
	s.shrink(now)
}

func (s *server) failed(now time.Time) {
	s.failureRun++
	s.answerRun = 0
	s.shrink(now)
}

// unreachable counts a failed connect. A run of them gives the server no work
// until it answers a question, or for downTime when none is asked.
func (s *server) unreachable(now time.Time, opts Options) {
	s.unreachableRun++
	if s.unreachableRun < opts.UnreachableRun {
		return
	}
	s.down = true
	s.pausedUntil = now.Add(downTime)
	s.limit = minLimit
}

// reached ends the time without work: the server accepts connections.
func (s *server) reached() {
	s.unreachableRun = 0
	if s.down {
		s.down = false
		s.pausedUntil = time.Time{}
	}
}

// shrink lowers the limit, at most once in the time that the effect takes to
// show.
func (s *server) shrink(now time.Time) {
	pause := max(minDecreasePause, s.latency.recent)
	if now.Sub(s.decreasedAt) < pause {
		return
	}
	s.decreasedAt = now
	s.limit = max(minLimit, s.limit*decrease)
}

// forgive shortens the next ejection after a long run of answers.
func (s *server) forgive() {
	if s.answerRun%forgiveAnswers == 0 && s.ejections > 0 {
		s.ejections--
	}
}

// eject takes the server out of use for a time that doubles with each
// ejection.
func (s *server) eject(now time.Time, opts Options) {
	pause := opts.EjectBase << min(s.ejections, maxDoublings)
	s.state = ejected
	s.ejectedUntil = now.Add(min(pause, opts.EjectMax))
	s.ejections++
	s.answerRun = 0
}

// outOfUse reports whether the server counts against the share of ejected
// ones.
func (s *server) outOfUse() bool { return s.state != healthy && !s.info.Draining }

// pause keeps work away from a failing server that stays in use.
func (s *server) pause(now time.Time, opts Options) {
	doublings := min(s.failureRun-opts.FailureRun, maxDoublings)
	s.pausedUntil = now.Add(min(minPause<<doublings, maxPause))
}

// probe starts the probation after an ejection.
func (s *server) probe() {
	s.state = probing
	s.answerRun = 0
}

// restore returns the server to use with a small limit.
func (s *server) restore() {
	s.state = healthy
	s.failureRun = 0
	s.limit = minLimit
}

// warmUp counts an answer towards the end of a cold start.
func (s *server) warmUp(now time.Time) {
	if !s.cold {
		return
	}
	s.warm++
	if s.coldLimit(now) >= s.info.Slots {
		s.cold = false
	}
}

// coldLimit bounds the limit of a cold server by the lesser of the time and
// the answered work since its start.
func (s *server) coldLimit(now time.Time) int {
	slots := s.info.Slots
	byWork := minLimit + s.warm/coldAnswers
	if s.info.ColdStart <= 0 {
		return min(slots, byWork)
	}
	age := min(now.Sub(s.firstSeen), s.info.ColdStart)
	byTime := minLimit + int(age*time.Duration(slots-minLimit)/s.info.ColdStart)
	return min(slots, byWork, byTime)
}

// current returns the count of requests that the server may run at once now.
func (s *server) current(now time.Time) int {
	if s.info.Draining || s.state == ejected || s.info.Slots <= 0 {
		return 0
	}
	if now.Before(s.pausedUntil) {
		return 0
	}
	if s.state == probing {
		return minLimit
	}
	limit := min(int(s.limit), s.info.Slots)
	if s.cold {
		limit = min(limit, s.coldLimit(now))
	}
	return s.reported(now, limit)
}

// reported lowers limit where a fresh report asks for it and no answer since
// has contradicted the report. One request at a time stays, so that a wrong
// report can be contradicted.
func (s *server) reported(now time.Time, limit int) int {
	if !now.Before(s.report.expires) || s.lastAnswer.After(s.report.made) {
		return limit
	}
	if !s.report.Ready {
		return min(limit, minLimit)
	}
	if s.report.Load >= 1 {
		return max(minLimit, limit/2)
	}
	return limit
}
