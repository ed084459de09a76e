package health

import "time"

const (
	// minLimit is the lowest limit of a server that is in use.
	minLimit = 1
	// decreaseFactor multiplies the limit after a failure, a shed request or an
	// answer of elevated latency.
	decreaseFactor = 0.7
	// minDecreaseInterval is the shortest time between two decreases.
	minDecreaseInterval = 100 * time.Millisecond
	// minPause and maxPause bound how long a failing server that may not be
	// ejected gets no requests after a failure. The time doubles with each
	// failure.
	minPause = 100 * time.Millisecond
	maxPause = 400 * time.Millisecond
	// coldAnswersPerSlot is the number of answers by a cold server that raises its
	// limit by one slot.
	coldAnswersPerSlot = 20
	// backoffReductionAnswers is the number of consecutive answers that halves the
	// duration of the next ejection.
	backoffReductionAnswers = 200
	// downPause is how long a server that accepts no connections gets no requests,
	// unless it shows earlier, by a report or an answer, that it is reachable.
	downPause = 8 * time.Second
	// maxDoublings bounds the exponent of the duration of ejections and pauses.
	maxDoublings = 16
)

// state is the ejection state of a server.
type state uint8

const (
	healthy state = iota
	// ejected servers get no requests.
	ejected
	// probing servers get one request at a time after an ejection.
	probing
)

// report is a Report with the times of its creation and its expiry.
type report struct {
	Report
	createdAt, expiresAt time.Time
}

// server is the state of one backend server.
type server struct {
	info   ServerInfo
	listed bool
	state  state
	// limit is the number of requests that may run at once. Its fractional part
	// accumulates the increments of single answers.
	limit               float64
	limitDecreasedAt    time.Time
	latency             latency
	lastAnswer          time.Time
	consecutiveAnswers  int
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	// pausedUntil is the end of a pause, during which the server gets no requests.
	// Pauses follow failures of servers that may not be ejected, and failed
	// connection attempts.
	pausedUntil time.Time
	// connectFailures counts consecutive failed connection attempts. down is set
	// once there are Options.ConsecutiveConnectFailures of them.
	connectFailures int
	down            bool
	// cold is set until the server has warmed up. warmUpAnswers counts its answers
	// since a cold start.
	cold          bool
	warmUpAnswers int
	firstSeen     time.Time
	report        report
}

func newServer(now time.Time, info ServerInfo) *server {
	s := &server{info: info, limit: float64(info.Slots), firstSeen: now, cold: info.Cold}
	if s.cold {
		s.limit = minLimit
	}
	return s
}

// recordAnswer records an answer that took elapsed, or zero if its latency does not
// count. The limit grows by one after about limit answers, and is decreased while
// the server's latency is elevated. peerMedian is the median latency of all
// servers, or zero if it is not known.
func (s *server) recordAnswer(now time.Time, elapsed, peerMedian time.Duration, opts Options) {
	s.lastAnswer = now
	s.markReachable()
	s.consecutiveAnswers++
	s.consecutiveFailures = 0
	s.pausedUntil = time.Time{}
	s.reduceEjectionBackoff()
	s.recordWarmUpAnswer(now)
	if elapsed > 0 {
		s.latency.add(elapsed)
	}
	if !s.cold && s.latency.elevated(peerMedian, opts.LatencyRatio) {
		s.decreaseLimit(now)
		return
	}
	s.limit = min(float64(s.info.Slots), s.limit+1/max(s.limit, minLimit))
}

func (s *server) recordShed(now time.Time) {
	s.markReachable()
	s.decreaseLimit(now)
}

func (s *server) recordFailure(now time.Time) {
	s.consecutiveFailures++
	s.consecutiveAnswers = 0
	s.decreaseLimit(now)
}

// recordConnectFailure records a failed connection attempt. After enough
// consecutive ones the server gets no requests for downPause, or until it shows
// that it is reachable.
func (s *server) recordConnectFailure(now time.Time, opts Options) {
	s.connectFailures++
	if s.connectFailures < opts.ConsecutiveConnectFailures {
		return
	}
	s.down = true
	s.pausedUntil = now.Add(downPause)
	s.limit = minLimit
}

// markReachable records that the server accepts connections, which ends the pause
// for failed connection attempts.
func (s *server) markReachable() {
	s.connectFailures = 0
	if s.down {
		s.down = false
		s.pausedUntil = time.Time{}
	}
}

// decreaseLimit lowers the limit, at most once in the time that the effect of a
// decrease takes to show: minDecreaseInterval or the recent latency.
func (s *server) decreaseLimit(now time.Time) {
	interval := max(minDecreaseInterval, s.latency.recent)
	if now.Sub(s.limitDecreasedAt) < interval {
		return
	}
	s.limitDecreasedAt = now
	s.limit = max(minLimit, s.limit*decreaseFactor)
}

// reduceEjectionBackoff shortens the next ejection after each
// backoffReductionAnswers consecutive answers.
func (s *server) reduceEjectionBackoff() {
	if s.consecutiveAnswers%backoffReductionAnswers == 0 && s.ejections > 0 {
		s.ejections--
	}
}

// eject takes the server out of use for a duration that doubles with each ejection.
func (s *server) eject(now time.Time, opts Options) {
	duration := opts.BaseEjectionTime << min(s.ejections, maxDoublings)
	s.state = ejected
	s.ejectedUntil = now.Add(min(duration, opts.MaxEjectionTime))
	s.ejections++
	s.consecutiveAnswers = 0
}

// outOfUse reports whether the server counts towards the bound on ejected servers.
func (s *server) outOfUse() bool { return s.state != healthy && !s.info.Draining }

// pause gives no requests to a failing server for a short time, without an
// ejection.
func (s *server) pause(now time.Time, opts Options) {
	doublings := min(s.consecutiveFailures-opts.ConsecutiveFailures, maxDoublings)
	s.pausedUntil = now.Add(min(minPause<<doublings, maxPause))
}

// startProbing begins the probing state that follows an ejection.
func (s *server) startProbing() {
	s.state = probing
	s.consecutiveAnswers = 0
}

// restore returns the server to normal use with the lowest limit.
func (s *server) restore() {
	s.state = healthy
	s.consecutiveFailures = 0
	s.limit = minLimit
}

// recordWarmUpAnswer counts an answer of a cold server and ends the cold start once
// its limit reaches the slots.
func (s *server) recordWarmUpAnswer(now time.Time) {
	if !s.cold {
		return
	}
	s.warmUpAnswers++
	if s.coldLimit(now) >= s.info.Slots {
		s.cold = false
	}
}

// coldLimit returns the limit of a cold server. It grows with the number of answers
// since the start, but no faster than linearly over ColdStart.
func (s *server) coldLimit(now time.Time) int {
	slots := s.info.Slots
	byWork := minLimit + s.warmUpAnswers/coldAnswersPerSlot
	if s.info.ColdStart <= 0 {
		return min(slots, byWork)
	}
	age := min(now.Sub(s.firstSeen), s.info.ColdStart)
	byTime := minLimit + int(age*time.Duration(slots-minLimit)/s.info.ColdStart)
	return min(slots, byWork, byTime)
}

// currentLimit returns the number of requests that the server may run at once now.
func (s *server) currentLimit(now time.Time) int {
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
	return s.applyReport(now, limit)
}

// applyReport lowers limit if the latest report says that the server is not ready
// or full, has not expired, and is newer than the last answer. The limit stays at
// least one, so that answers can refute a wrong report.
func (s *server) applyReport(now time.Time, limit int) int {
	if !now.Before(s.report.expiresAt) || s.lastAnswer.After(s.report.createdAt) {
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
