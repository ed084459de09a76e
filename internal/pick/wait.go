package pick

import (
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

const (
	// workWeight is the weight of the newest sample in the averages of work times.
	workWeight = 0.05
	// minWorkSamples is the number of samples from which an average is used. The first
	// requests after a start meet servers that don't know their objects, and take longer.
	minWorkSamples = 30
	// minFullLoad is the least load at which a server counts as full. Below it a server
	// could be left idle by an estimate that is too long.
	minFullLoad = 1.25
)

// average is a moving average of times.
type average struct {
	value   time.Duration
	samples int
}

func (a *average) record(sample time.Duration) {
	if a.samples == 0 {
		a.value = sample
	}
	a.samples++
	// The first samples count alike, so that the very first does not dominate.
	weight := max(workWeight, 1/float64(a.samples))
	a.value += time.Duration(weight * float64(sample-a.value))
}

// known returns the average, or zero as long as it has too few samples.
func (a *average) known() time.Duration {
	if a == nil || a.samples < minWorkSamples {
		return 0
	}
	return a.value
}

// workTimes holds how long requests take at servers that have a free slot and know their
// object, by route and by service.
type workTimes struct {
	byRoute   map[string]*average
	byService map[model.ServiceName]*average
}

func newWorkTimes() workTimes {
	return workTimes{byRoute: map[string]*average{}, byService: map[model.ServiceName]*average{}}
}

func (w *workTimes) record(route string, service model.ServiceName, took time.Duration) {
	if w.byRoute[route] == nil {
		w.byRoute[route] = &average{}
	}
	if w.byService[service] == nil {
		w.byService[service] = &average{}
	}
	w.byRoute[route].record(took)
	w.byService[service].record(took)
}

// retain forgets the routes and services that a configuration lacks.
func (w *workTimes) retain(config *catalog.Config) {
	routes := make(map[string]bool, len(config.Routes))
	for i := range config.Routes {
		routes[config.Routes[i].Name] = true
	}
	for name := range w.byRoute {
		if !routes[name] {
			delete(w.byRoute, name)
		}
	}
	for name := range w.byService {
		if _, ok := config.Services[name]; !ok {
			delete(w.byService, name)
		}
	}
}

// fullLoad returns the load at which a server is full for a route: the one behind which a
// request would miss its latency objective, as far as work times are known. A request that
// meets load L waits until L-1 sets of slots have finished.
func (w *workTimes) fullLoad(route *catalog.Route, service model.ServiceName) float64 {
	own, others := w.byRoute[route.Name].known(), w.byService[service].known()
	if own == 0 || others == 0 || route.TargetLatency == 0 {
		return queueFull
	}
	wait := route.TargetLatency - own
	return min(max(1+float64(wait)/float64(others), minFullLoad), queueFull)
}

// admitsByObjective reports whether requests that would miss their latency objective are
// refused instead of queued. Where client accounts compete for the servers, a queue of late
// requests would make those of all accounts late.
func admitsByObjective(config *catalog.Config) bool {
	return config != nil && config.Accounts.Len() > 0
}
