package pick

import (
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

const (
	// tolerantObjectiveRatio is the least ratio of a route's latency objective to
	// the shortest objective at the same service for which the route, if it has
	// a lower priority, counts as latency-tolerant.
	tolerantObjectiveRatio = 4
	// maxTolerantLoad is the load from which a server gets no latency-tolerant
	// requests, so that urgent requests do not queue behind them.
	maxTolerantLoad = 1.67
	// tolerantReportMaxAge is how long a server's load report is used to hold
	// back latency-tolerant requests: about the time between two answers of one
	// server to one VM.
	tolerantReportMaxAge = 1500 * time.Millisecond
)

// tolerantRoutes returns the names of the latency-tolerant routes: those that
// share a service with a route of higher priority and a much shorter latency
// objective.
func tolerantRoutes(config *catalog.Config) map[string]bool {
	tolerant := map[string]bool{}
	if config == nil {
		return tolerant
	}
	shortest := map[model.ServiceName]catalog.Route{}
	for _, route := range config.Routes {
		for _, part := range route.Targets {
			known, ok := shortest[part.Service]
			if route.TargetLatency > 0 && (!ok || route.TargetLatency < known.TargetLatency) {
				shortest[part.Service] = route
			}
		}
	}
	for _, route := range config.Routes {
		for _, part := range route.Targets {
			other, ok := shortest[part.Service]
			if ok && route.Rank > other.Rank && route.TargetLatency >= tolerantObjectiveRatio*other.TargetLatency {
				tolerant[route.Name] = true
			}
		}
	}
	return tolerant
}

// mustYield reports whether s is too loaded for a latency-tolerant request.
func (f *Fleet) mustYield(s *Server, now time.Time) bool {
	return s.loadWithin(tolerantReportMaxAge, f.remoteTotals[s.hash], now) >= maxTolerantLoad
}
