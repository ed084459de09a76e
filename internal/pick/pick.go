package pick

import (
	"math"
	"slices"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/concurrency"
	"fuchsiaspar/internal/model"
)

const (
	// rankStepCost is the cost of one step down an object's ranking. A cost of 1
	// equals the load of a server whose slots are all in use. A server that has
	// not handled an object lately needs a slot for it over three times as long,
	// so moving an object costs more than waiting behind a full set of slots.
	rankStepCost = 1.4
	// coldCost is the additional cost of a cold server, which works at half speed.
	coldCost = 2.0
	// queuePerSlot is the number of requests per slot that a server queues before
	// it refuses more.
	queuePerSlot = 3
	// queueFull is the load of a server whose slots and queue are in use.
	queueFull = 1 + queuePerSlot
	// reportMaxAge is how long a server's own load report overrides a lower count
	// of outstanding requests: about the duration of one request.
	reportMaxAge = 400 * time.Millisecond
	// coldWindow is the window over which requests to a cold server are counted:
	// one second, for which its rate is configured, plus a margin for variable
	// network delay.
	coldWindow = 1100 * time.Millisecond
	// coldRateShare is the fraction of a cold server's rate bound that the VMs use.
	coldRateShare = 0.75
)

// Reason says why no server was chosen. It is empty if one was.
type Reason string

// Reasons for choosing no server.
const (
	// NoServers means that no server of the service is listed in an allowed region.
	// Servers of evacuated zones are not listed.
	NoServers Reason = "no_servers"
	// TooLate means the same as AllFull, but servers would queue the request until after
	// its latency objective.
	TooLate Reason = "too_late"
	// AllFull means that every server is excluded or ejected, has a full queue, is
	// busy and has not handled the object lately, or is cold and has received its
	// share of requests.
	AllFull Reason = "all_full"
	// Limited means the same, but for servers that have received as many requests as
	// they say they take.
	Limited Reason = "server_limits"
	// Paused means that every server of an allowed region leaves or has asked for a
	// pause. PauseLeft returns the time until the first one is back.
	Paused Reason = "servers_paused"
	// Yield means that the request tolerates latency and its server is too loaded
	// to take it without delaying more urgent requests.
	Yield Reason = "yield"
)

// Query describes a request that needs a server.
type Query struct {
	Route *catalog.Route
	// Regions are those in which the request may run.
	Regions catalog.Regions
	Service model.ServiceName
	// Object is the ObjectHash of the request.
	Object uint64
	// Exclude lists the servers that already failed the request.
	Exclude []model.ServerID
}

// Choice is a chosen server with the values that decided the choice.
type Choice struct {
	Server *Server
	// Target is the server's catalog entry at the time of the choice.
	Target *catalog.Server
	// Rank is the server's position in the object's ranking; 0 is the first.
	Rank int
	// Cost is the sum of the server's load and its penalties; the lowest wins.
	Cost float64
	// Load is the number of requests at the server divided by its capacity, which is
	// its slots unless Options.LearnCapacity is set.
	Load float64
	// Cold reports whether the server was starting cold.
	Cold bool
	// warm reports that a server other than the first in the ranking has handled the
	// object lately.
	warm   bool
	object uint64
	// route, startedAt and known serve the averages of work times: known reports that the
	// server has handled the object lately.
	route     string
	startedAt time.Time
	known     bool
	ticket    concurrency.Ticket
}

// Pick chooses the server with the lowest cost and counts the request as
// outstanding there until Done. If the Reason is not empty, no server was chosen
// and Done must not be called.
func (f *Fleet) Pick(q Query, now time.Time) (Choice, Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.byService[q.Service]
	f.refreshEstimates(q.Service, now)
	top, limited := f.topServers(list, q, now)
	best, full, late := Choice{Cost: math.Inf(1)}, f.fullLoad(q), false
	for rank, entry := range top.entries[:top.count] {
		c := f.evaluate(entry.server, rank, q.Object, full, now)
		late = late || c.wouldBeLate(full)
		if c.Cost < best.Cost {
			best = c
		}
	}
	if best.Server == nil {
		allowed := func(c candidate) bool { return q.Regions.Allows(c.server.Region) }
		if !slices.ContainsFunc(list, allowed) {
			return best, NoServers
		}
		if _, paused := f.pauseLeft(q, now); paused {
			return best, Paused
		}
		if limited {
			return best, Limited
		}
		if late {
			return best, TooLate
		}
		return best, AllFull
	}
	if f.tolerant[q.Route.Name] && f.mustYield(best.Server, now) {
		return best, Yield
	}
	best.route, best.startedAt = q.Route.Name, now
	best.known = f.uses.isWarm(q.Object, best.Server, now)
	f.recordStart(&best, now)
	return best, ""
}

// topServers returns the first servers of the object's ranking that may get the
// request, and whether servers among the first ones limit their requests.
func (f *Fleet) topServers(list []candidate, q Query, now time.Time) (top ranking, limited bool) {
	localFirst := preferLocal(q.Route)
	eligible := func(s *Server) bool {
		return q.Regions.Allows(s.Region) && !excluded(q.Exclude, s.ID) && f.eligible(s, now)
	}
	top = topRanked(list, q.Object, localFirst, eligible)
	if !top.anyLimited() {
		return top, false
	}
	first := top.entries[0].server
	return topRanked(list, q.Object, localFirst, func(s *Server) bool {
		return eligible(s) && s.limit.allows(limitPosition(q.Object, s, s == first, now), now)
	}), true
}

// fullLoad returns the load at which servers are full for a request.
func (f *Fleet) fullLoad(q Query) float64 {
	if !f.byObjective {
		return queueFull
	}
	return f.work.fullLoad(q.Route, q.Service)
}

// fullLoad returns the load at which the server is full for a request: where its queue
// ends, or full if that is lower.
func (s *Server) fullLoad(full float64) float64 { return min(full, 1+s.queueRoom()) }

// wouldBeLate reports whether the server has room in its queue, but only where a request
// would miss its latency objective.
func (c *Choice) wouldBeLate(full float64) bool {
	return c.Load >= full && c.Load < 1+c.Server.queueRoom()
}

// evaluate returns the server as a candidate for object, with its cost. The cost
// is infinite for a server that is full, with full as the load behind which the request
// would miss its objective, and for one that has not handled
// the object lately and has no free slot: work on an object that is not cached
// takes several times as long, so spreading objects under overload would make the
// overload worse.
func (f *Fleet) evaluate(server *Server, rank int, object uint64, full float64, now time.Time) Choice {
	c := Choice{
		Server: server, Target: server.Server, Rank: rank, Load: f.load(server, now),
		Cold: now.Before(server.coldUntil), object: object,
	}
	warm := rank == 0 || f.uses.isWarm(object, server, now)
	switch {
	case c.Load >= 1 && (!warm || c.Load >= server.fullLoad(full)) && !server.hasIdleSlot(c.Load):
		c.Cost = math.Inf(1)
		return c
	case rank > 0 && warm:
		c.Cost, c.warm = warmCost, true
	default:
		c.Cost = rankStepCost * float64(rank)
	}
	c.Cost += server.speedCost(c.Load) + failureCost*server.health.currentFailureRate(now) +
		server.slowness.cost(c.Load, server.usualSlowness(), now)
	if c.Cold {
		c.Cost += coldCost
	}
	return c
}

func excluded(list []model.ServerID, id model.ServerID) bool {
	for _, e := range list {
		if e == id {
			return true
		}
	}
	return false
}

// eligible reports whether a server may get a request now, apart from its limit.
func (f *Fleet) eligible(s *Server, now time.Time) bool {
	if s.health.ejected(now) || s.withdrawal != nil && s.withdrawal.takesNone(now) {
		return false
	}
	return !now.Before(s.coldUntil) || f.withinColdRate(s, now)
}

// withinColdRate reports whether this VM may send one more request to a cold
// server. A few VMs divide the server's rate among themselves, so that the bound
// on their sum holds without coordination.
func (f *Fleet) withinColdRate(s *Server, now time.Time) bool {
	if !f.isColdSender(s) || f.config == nil {
		return false
	}
	rate := f.config.Services[s.Service].ColdRate*f.options.ColdFactor + f.options.ColdSlack
	share := int(rate * coldRateShare / float64(f.senders.count()))
	recent := s.coldSends[:0]
	for _, at := range s.coldSends {
		if now.Sub(at) < coldWindow {
			recent = append(recent, at)
		}
	}
	s.coldSends = recent
	return len(recent) < share
}

// isColdSender reports whether this VM may send to a server while it is cold.
func (f *Fleet) isColdSender(s *Server) bool {
	if s.senderGeneration != f.senders.generation {
		s.coldSender, s.senderGeneration = f.senders.includeSelf(s.hash), f.senders.generation
	}
	return s.coldSender
}

func (f *Fleet) recordStart(c *Choice, now time.Time) {
	f.beginEstimate(c, now)
	c.Server.outstanding++
	c.Server.sent++
	c.Server.limit.recordSend(now)
	if c.Cold {
		c.Server.coldSends = append(c.Server.coldSends, now)
	}
}

// load returns the requests of all VMs at a server divided by its capacity, from the
// counts that the VMs reported and the server's own report.
func (f *Fleet) load(s *Server, now time.Time) float64 {
	return s.loadWithin(reportMaxAge, f.remoteTotals[s.hash], now)
}

// loadWithin returns the server's requests divided by its capacity. It uses the
// server's own report only if that is younger than maxReportAge. remote is the
// number of requests from other VMs.
func (s *Server) loadWithin(maxReportAge time.Duration, remote int, now time.Time) float64 {
	count := s.outstanding + remote
	if now.Sub(s.reportedAt) < maxReportAge {
		count = max(count, s.report.Running+s.report.Waiting)
	}
	return float64(count) / s.capacity()
}

// Outcome is the result of a request at a server.
type Outcome uint8

// Outcomes of a request.
const (
	// Answered is an answer that shows no failure of the server.
	Answered Outcome = iota
	// Failed is an answer that shows a failure of the server.
	Failed
	// Refused is an answer in which the server refuses to run the request.
	Refused
	// Deferred is a refusal with which the server asks for a pause. It is no failure.
	Deferred
	// Unanswered is a request without an answer.
	Unanswered
	// Abandoned is a request whose client disconnected. It does not count against
	// the server.
	Abandoned
)

// Done ends a request that Pick counted and updates the server's health with its
// outcome. report is the load that the server sent with its answer, or nil. Done
// subtracts the finished request from report.Running.
func (f *Fleet) Done(choice Choice, outcome Outcome, report *Report, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	server := choice.Server
	server.outstanding--
	server.recordEstimate(choice, outcome, report, now)
	if report != nil {
		// The report still includes the request that just ended.
		report.Running = max(report.Running-1, 0)
		server.report, server.reportedAt = *report, now
		server.slowness.record(report.Slowness, now)
	}
	switch outcome {
	case Answered:
		server.health.recordAnswer(false, now)
		f.uses.record(choice.object, server, now)
		if f.byObjective && choice.known && !choice.Cold && choice.Load < 1 {
			f.work.record(choice.route, server.Service, now.Sub(choice.startedAt))
		}
	case Failed:
		server.health.recordAnswer(true, now)
	case Refused:
		server.health.recordAnswer(true, now)
		if report == nil {
			server.report = Report{Running: server.Slots, Waiting: queuePerSlot * server.Slots, Slots: server.Slots}
			server.reportedAt = now
		}
	case Deferred:
		server.health.recordContact()
	case Unanswered:
		server.health.recordNoAnswer(now)
		f.options.OnEject(Ejection{
			Server: server.Server, Duration: server.health.ejectedUntil.Sub(now),
			Unanswered: server.health.unanswered, FailureRate: server.health.failureRate,
		})
		if server.health.unanswered == restartThreshold {
			f.setCold(server, f.coldDuration(server.Service)+server.health.ejectedUntil.Sub(now), now)
			server.forgetEstimate()
		}
	}
}
