package pick

import (
	"math"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/routereport"
)

const (
	// maxExplained bounds the servers that Explain lists: the candidates of a choice and
	// about as many that rank before them and are excluded.
	maxExplained = 24
	// partThreshold is the least amount of a part of a cost that is listed.
	partThreshold = 0.005
)

// Explanation says what Pick would do.
type Explanation struct {
	Reason  Reason
	Service routereport.Service
}

// Explain returns what Pick would choose for a request that arrives in a region, and why.
// It counts no request.
func (f *Fleet) Explain(q Query, region model.Region, now time.Time) Explanation {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshEstimates(q.Service, now)
	list := slices.Clone(f.byService[q.Service])
	localFirst := preferLocal(q.Route)
	slices.SortFunc(list, func(a, b candidate) int {
		x := ranked{a.server, localFirst && a.server.Region != region, serverWeight(q.Object, a.hash)}
		y := ranked{b.server, localFirst && b.server.Region != region, serverWeight(q.Object, b.hash)}
		if x.ranksBefore(y) {
			return -1
		}
		return 1
	})
	e := Explanation{Service: routereport.Service{Name: string(q.Service), Servers: len(list), Candidates: []routereport.Candidate{}}}
	best, full, rank := Choice{Cost: math.Inf(1)}, f.fullLoad(q), 0
	limited, allowed, late := false, false, false
	for i, c := range list {
		if rank == maxRank || i == maxExplained {
			e.Service.Unlisted = len(list) - i
			break
		}
		allowed = allowed || q.Regions.Allows(c.server.Region)
		row := f.candidateRow(c.server, now)
		if row.Excluded = f.exclusion(c.server, q, now); row.Excluded == "" {
			if c.server.limit.current.limited && !c.server.limit.allows(limitPosition(q.Object, c.server, rank == 0, now), now) {
				limited, row.Excluded = true, "limits its requests"
			}
		}
		if row.Excluded == "" {
			choice := f.evaluate(c.server, rank, q.Object, full, now)
			f.explainCost(&row, choice, full, now)
			late = late || choice.wouldBeLate(full)
			if choice.Cost < best.Cost {
				best = choice
			}
			rank++
		}
		e.Service.Candidates = append(e.Service.Candidates, row)
	}
	e.Reason = f.explainReason(q, best, limited, allowed, late, now)
	if e.Reason == "" {
		e.Service.Chosen = string(best.Target.ID)
	}
	return e
}

// explainReason returns why no server is chosen, as Pick does.
func (f *Fleet) explainReason(q Query, best Choice, limited, allowed, late bool, now time.Time) Reason {
	if best.Server != nil {
		if f.tolerant[q.Route.Name] && f.mustYield(best.Server, now) {
			return Yield
		}
		return ""
	}
	_, paused := f.pauseLeft(q, now)
	switch {
	case !allowed:
		return NoServers
	case paused:
		return Paused
	case limited:
		return Limited
	case late:
		return TooLate
	default:
		return AllFull
	}
}

func (f *Fleet) candidateRow(s *Server, now time.Time) routereport.Candidate {
	row := routereport.Candidate{
		Server: string(s.ID), Zone: string(s.Zone), Region: string(s.Region),
		Present: int(math.Round(f.load(s, now) * s.capacity())), Capacity: s.capacity(), Speed: 1, ReportAgeMS: -1,
	}
	if s.estimator != nil {
		row.Speed = s.estimator.Estimate().Speed
	}
	if !s.reportedAt.IsZero() {
		row.ReportAgeMS = now.Sub(s.reportedAt).Milliseconds()
	}
	return row
}

// exclusion returns why a server can't get a request, apart from its limit and load.
func (f *Fleet) exclusion(s *Server, q Query, now time.Time) string {
	switch {
	case !q.Regions.Allows(s.Region):
		return "region not allowed"
	case s.health.ejected(now):
		return "ejected for " + s.health.ejectedUntil.Sub(now).Round(time.Millisecond).String()
	case s.withdrawal != nil && s.withdrawal.leaving(now):
		return "leaves"
	case s.withdrawal != nil && s.withdrawal.paused(now):
		return "paused for " + s.withdrawal.pausedUntil.Sub(now).Round(time.Millisecond).String()
	case !now.Before(s.coldUntil):
		return ""
	case !f.isColdSender(s):
		return "cold, and other VMs send it its requests"
	case !f.withinColdRate(s, now):
		return "cold, and this VM's share of its requests is used"
	}
	return ""
}

// explainCost adds the cost of a choice and its parts, or why it is infinite.
func (f *Fleet) explainCost(row *routereport.Candidate, c Choice, full float64, now time.Time) {
	s := c.Server
	if math.IsInf(c.Cost, 1) {
		row.Excluded = "busy, and has not handled the object lately"
		switch {
		case c.Load >= 1+s.queueRoom():
			row.Excluded = "queue is full"
		case c.wouldBeLate(full):
			row.Excluded = "queue is too long for the latency objective"
		}
		return
	}
	row.Cost = c.Cost
	rest := c.Cost
	add := func(name string, cost float64) {
		rest -= cost
		if math.Abs(cost) >= partThreshold {
			row.Parts = append(row.Parts, routereport.Part{Name: name, Cost: cost})
		}
	}
	if c.warm {
		add("rank, has handled the object", warmCost)
	} else {
		add("rank", rankStepCost*float64(c.Rank))
	}
	add("load", c.Load)
	add("speed", s.speedCost(c.Load)-c.Load)
	add("failures", failureCost*s.health.currentFailureRate(now))
	add("slow machine", s.slowness.cost(c.Load, s.usualSlowness(), now))
	if c.Cold {
		add("cold", coldCost)
	}
	add("other", rest)
}
