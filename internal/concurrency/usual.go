package concurrency

import "math"

// Class separates requests for which the same server needs different times.
type Class struct {
	Route  string
	Object Object
	// Far requests cross regions, which adds the same delay for every server.
	Far bool
}

// Object is what the VM knows about a server's acquaintance with a request's object.
type Object uint8

// The kinds of acquaintance. A server takes about three times as long for an object that
// it has not handled lately.
const (
	// Known objects were handled lately, at the request of this VM.
	Known Object = iota
	// Home objects rank the server first, so that other VMs ask it for them as well.
	Home
	// Foreign objects have probably not been handled lately.
	Foreign
	objectKinds
)

const (
	// maxRoutes bounds the routes of a service. Further ones share one entry.
	maxRoutes = 256
	// minUsualGain is the least weight of a sample: about the last fifty count.
	minUsualGain = 0.02
	// firstSpread is the assumed deviation of the logarithm of work times before there
	// are samples: between the half and twice the usual time.
	firstSpread = 0.5
	// minSpread keeps a few equal samples from being taken for certainty.
	minSpread = 0.08
	// homeDoubt is the additional variance of a sample of a Home object, which now and
	// then the server has not handled lately, and then takes as long as one that is three
	// times slower.
	homeDoubt = 0.16
	// clipSpreads is the number of spreads by which one sample counts at most.
	clipSpreads = 2.5
	// normalDeviation is the standard deviation of a normal distribution divided by its
	// mean absolute deviation.
	normalDeviation = 1.25
)

// usual is the usual logarithm of the work time, in nanoseconds, of a class on all servers.
type usual struct {
	level, spread float64
	// doubt is the variance of a sample apart from spread.
	doubt float64
	count int
}

// record adds a sample. residual is its difference from what was expected of its server.
// Samples count up to a few spreads, so that one slow server does not move the level of
// all.
func (u *usual) record(value, residual float64) {
	u.count++
	if u.count == 1 {
		u.level, u.spread = value, firstSpread
		return
	}
	gain := max(minUsualGain, 1/float64(u.count))
	limit := clipSpreads * u.spread
	u.level += gain * clip(value-u.level, limit)
	u.spread += gain * (normalDeviation*min(math.Abs(residual), limit) - u.spread)
	u.spread = max(u.spread, minSpread)
}

// usualOfRoute holds the classes of a route: by acquaintance, near and far.
type usualOfRoute [objectKinds][2]usual

func (r *usualOfRoute) of(c Class) *usual {
	if c.Far {
		return &r[c.Object][1]
	}
	return &r[c.Object][0]
}

func newUsualOfRoute() *usualOfRoute {
	r := &usualOfRoute{}
	for far := range r[Home] {
		r[Home][far].doubt = homeDoubt
	}
	return r
}

// noise returns the variance of a sample.
func (u *usual) noise() float64 { return u.spread*u.spread + u.doubt }

// usualWork holds the classes of a service.
type usualWork struct {
	routes map[string]*usualOfRoute
	// rest is shared by the routes above maxRoutes.
	rest *usualOfRoute
}

func newUsualWork() usualWork {
	return usualWork{routes: map[string]*usualOfRoute{}, rest: newUsualOfRoute()}
}

func (w *usualWork) of(c Class) *usual {
	r, ok := w.routes[c.Route]
	if !ok {
		if len(w.routes) >= maxRoutes {
			return w.rest.of(c)
		}
		r = newUsualOfRoute()
		w.routes[c.Route] = r
	}
	return r.of(c)
}

// clip limits value to the range from -limit to limit.
func clip(value, limit float64) float64 { return max(-limit, min(limit, value)) }
