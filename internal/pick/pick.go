package pick

import (
	"math"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

const (
	// rankCost is the cost of one step along an object's ranking, in units of
	// a full set of slots. A server that does not know an object holds a slot
	// over three times as long, so another one is worth more than a full set of
	// slots of waiting.
	rankCost = 1.4
	// coldCost is the cost of a cold server, which works at half speed.
	coldCost = 2.0
	// queuePerSlot is the count of requests that a server queues for each of
	// its slots before it refuses.
	queuePerSlot = 3
	// reportFor is how long a server's own report of its load is preferred to
	// the count of this VM's requests: about the time of one request.
	reportFor = 400 * time.Millisecond
	// coldWindow is the window of the rate of cold servers with a margin for
	// differing delays on the way.
	coldWindow = 1100 * time.Millisecond
	// coldShare is the part of a cold server's bound that the VMs plan to use.
	coldShare = 0.75
)

// Reason says why no server was chosen.
type Reason string

// The reasons.
const (
	// NoServers means that the service has no usable server.
	NoServers Reason = "no_servers"
	// AllFull means that every server has a full queue, is ejected or has had
	// its share of requests while cold.
	AllFull Reason = "all_full"
	// Yield means that the request tolerates latency and its server has enough
	// to do for more urgent ones.
	Yield Reason = "yield"
)

// Query asks for the server of one request.
type Query struct {
	Route   *catalog.Route
	Service model.ServiceName
	Object  uint64
	// Exclude lists the servers that failed the request already.
	Exclude []model.ServerID
}

// Choice is a chosen server with what decided.
type Choice struct {
	Server *Server
	// Target is the server's entry at the moment of the choice.
	Target *catalog.Server
	Rank   int
	Cost   float64
	Load   float64
	Cold   bool
	object uint64
}

// Pick chooses the server with the lowest cost and counts the request there
// until Done.
func (f *Fleet) Pick(q Query, now time.Time) (Choice, Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := false
	top := topRanked(f.byGroup[q.Service], q.Object, f.tierOf(q.Route), func(s *Server) bool {
		if !allowed(s, q.Route.Regions) {
			return false
		}
		listed = true
		return !excluded(q.Exclude, s.ID) && f.open(s, now)
	})
	best := Choice{Cost: math.Inf(1)}
	for rank, entry := range top {
		c := f.weigh(entry.server, rank, q.Object, now)
		if c.Cost < best.Cost {
			best = c
		}
	}
	if best.Server == nil {
		if listed {
			return best, AllFull
		}
		return best, NoServers
	}
	if f.tolerant[q.Route.Name] && f.yields(best.Server, now) {
		return best, Yield
	}
	f.begin(best, now)
	return best, ""
}

// weigh returns what it costs to send a request for object to a server. The
// cost is infinite for a server with a full queue, and for one that does not
// know the object and has no free slot: work on unknown objects takes several
// times as long, so an overload that spread it would feed itself.
func (f *Fleet) weigh(server *Server, rank int, object uint64, now time.Time) Choice {
	c := Choice{
		Server: server, Target: server.Server, Rank: rank, Load: f.load(server, now),
		Cold: now.Before(server.coldUntil), object: object,
	}
	known := rank == 0 || f.memory.knows(object, server, now)
	switch {
	case c.Load >= 1+queuePerSlot, !known && c.Load >= 1:
		c.Cost = math.Inf(1)
		return c
	case rank > 0 && known:
		c.Cost = warmCost
	default:
		c.Cost = rankCost * float64(rank)
	}
	c.Cost += c.Load + failureCost*server.health.rate(now)
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

// open says whether a server may get a request now.
func (f *Fleet) open(s *Server, now time.Time) bool {
	if s.health.ejected(now) {
		return false
	}
	return !now.Before(s.coldUntil) || f.coldRoom(s, now)
}

// coldRoom says whether this VM may send one more request to a cold server.
// The VMs that may send divide the rate among them, so that the bound over all
// VMs holds without messages.
func (f *Fleet) coldRoom(s *Server, now time.Time) bool {
	owns, owners := ownsCold(s, f.options.Self, f.vms)
	if !owns || f.config == nil {
		return false
	}
	rate := f.config.Services[s.Service].ColdRate*f.options.ColdFactor + f.options.ColdSlack
	share := int(rate * coldShare / float64(owners))
	recent := s.coldSends[:0]
	for _, at := range s.coldSends {
		if now.Sub(at) < coldWindow {
			recent = append(recent, at)
		}
	}
	s.coldSends = recent
	return len(recent) < share
}

func (f *Fleet) begin(c Choice, now time.Time) {
	c.Server.outstanding++
	if c.Cold {
		c.Server.coldSends = append(c.Server.coldSends, now)
	}
}

// load returns the requests of all VMs at a server over its slots, as far as
// they and the server have told.
func (f *Fleet) load(s *Server, now time.Time) float64 {
	return s.loadWithin(reportFor, f.remote[s.hash], now)
}

// loadWithin takes the server's own report into account for its age.
func (s *Server) loadWithin(age time.Duration, remote int, now time.Time) float64 {
	count := s.outstanding + remote
	if now.Sub(s.reportedAt) < age {
		count = max(count, s.report.Running+s.report.Waiting)
	}
	return float64(count) / float64(max(s.Slots, 1))
}

// Outcome is how a request ended at a server.
type Outcome uint8

// The outcomes.
const (
	// Answered is an answer other than a failure of the server.
	Answered Outcome = iota
	// Failed is an answer that shows a failure of the server.
	Failed
	// Refused is an answer by which the server refused the request unrun.
	Refused
	// Lost is a request without an answer.
	Unanswered
	// Abandoned is a request whose client left; it says nothing of the server.
	Abandoned
)

// Done ends the count of a request and judges the server by it. report is nil
// when the server did not tell its load.
func (f *Fleet) Done(choice Choice, outcome Outcome, report *Report, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	server := choice.Server
	server.outstanding--
	if report != nil {
		// The report counts the request that has just ended.
		report.Running = max(report.Running-1, 0)
		server.report, server.reportedAt = *report, now
	}
	switch outcome {
	case Answered:
		server.health.answered(false, now)
		f.memory.note(choice.object, server, now)
	case Failed:
		server.health.answered(true, now)
	case Refused:
		server.health.answered(true, now)
		if report == nil {
			server.report = Report{Running: server.Slots, Waiting: queuePerSlot * server.Slots, Slots: server.Slots}
			server.reportedAt = now
		}
	case Unanswered:
		server.health.lost(now)
		f.options.OnEject(Ejection{
			Server: server.Server, Duration: server.health.ejectUntil.Sub(now),
			Unanswered: server.health.unreachable, FailureRate: server.health.failures,
		})
		if server.health.unreachable == suspectAfter {
			f.setCold(server, f.coldFor(server.Service)+server.health.ejectUntil.Sub(now), now)
		}
	}
}
