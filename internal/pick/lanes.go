package pick

import (
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

const (
	// tolerantFactor is how many times longer than the shortest objective at a
	// service a less urgent route's objective must be for the route to count
	// as tolerant of latency.
	tolerantFactor = 4
	// tolerantLoad is the load at which a server gets no more of the requests
	// that tolerate latency, so that urgent ones do not queue behind them.
	tolerantLoad = 1.67
	// tolerantReportFor is how long a server's report keeps tolerant requests
	// away: about the time between two answers of one server to one VM.
	tolerantReportFor = 1500 * time.Millisecond
)

// tolerantRoutes returns the names of the routes whose requests tolerate
// latency, among those that share a service with more urgent ones.
func tolerantRoutes(config *catalog.Config) map[string]bool {
	tolerant := map[string]bool{}
	if config == nil {
		return tolerant
	}
	urgent := map[model.ServiceName]catalog.Route{}
	for _, route := range config.Routes {
		for _, part := range route.Targets {
			known, ok := urgent[part.Service]
			if route.TargetLatency > 0 && (!ok || route.TargetLatency < known.TargetLatency) {
				urgent[part.Service] = route
			}
		}
	}
	for _, route := range config.Routes {
		for _, part := range route.Targets {
			other, ok := urgent[part.Service]
			if ok && route.Rank > other.Rank && route.TargetLatency >= tolerantFactor*other.TargetLatency {
				tolerant[route.Name] = true
			}
		}
	}
	return tolerant
}

// yields says whether a tolerant request must not go to s now.
func (f *Fleet) yields(s *Server, now time.Time) bool {
	return s.loadWithin(tolerantReportFor, f.remote[s.hash], now) >= tolerantLoad
}
