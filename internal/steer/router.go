package steer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/quota"
)

// ZoneState is what this entry VM knows of one service in one availability
// zone.
type ZoneState struct {
	Zone   model.Zone
	Region model.Region
	// Slots is the count of requests that the servers there can run at once,
	// as their owners report it.
	Slots int
	// Busy is the count of slots in use, Queued that of waiting requests.
	Busy, Queued int
	Reachable    bool
	Draining     bool
}

// Budget is spent by shifts, one unit each.
type Budget interface {
	Take(now time.Time, key quota.Key, n int64) bool
}

// PriorityBudget is a Budget that keeps room for more urgent work. A Router
// uses it where its Budget implements it.
type PriorityBudget interface {
	Budget
	TakePriority(now time.Time, key quota.Key, n int64, p model.Priority) bool
}

var _ PriorityBudget = (*quota.Limiter)(nil)

// Request is what a choice depends on.
type Request struct {
	Account  model.AccountID
	Service  model.ServiceName
	Priority model.Priority
	// Home lists the client's places; the first is its home place.
	Places []config.Place
	// Tried lists the zones that must not be chosen again.
	Tried []model.Zone
	// Roomy allows only places with free slots, also for urgent work.
	FreeSlotsOnly bool
}

// Choice is the zone that serves a request, or the reason why none does.
type Choice struct {
	Zone model.Zone
	// Shift reports that the zone is not the client's home place and that a
	// unit of its shift cap was spent.
	Shift bool
	// Reason is set when the request is refused.
	Reason model.Reason
	OK     bool
}

// RouterOptions configures a Router. Zero fields take defaults.
type RouterOptions struct {
	// Entries is the count of entry VMs that may shift traffic at once. Each
	// keeps to its part of a place's room.
	Entries int
	// RampStartPercent is the part of a place's slots that shifted requests
	// may occupy before any was answered.
	RampStartPercent int
	// RampIdle is how long a place must be without shifted traffic for its
	// next shift to ramp up again.
	RampIdle time.Duration
	// AnswerTimeout is when a request without an answer stops counting as
	// outstanding.
	AnswerTimeout time.Duration
}

// Defaults of RouterOptions.
const (
	DefaultEntries          = 1
	DefaultRampStartPercent = 10
	DefaultRampIdle         = time.Minute
	DefaultAnswerTimeout    = 5 * time.Second
)

func (o RouterOptions) withDefaults() RouterOptions {
	if o.Entries <= 0 {
		o.Entries = DefaultEntries
	}
	if o.RampStartPercent <= 0 {
		o.RampStartPercent = DefaultRampStartPercent
	}
	if o.RampIdle <= 0 {
		o.RampIdle = DefaultRampIdle
	}
	if o.AnswerTimeout <= 0 {
		o.AnswerTimeout = DefaultAnswerTimeout
	}
	return o
}

// Router chooses the availability zone that serves each request. It is safe
// for concurrent use; services do not contend with each other.
type Router struct {
	budget  Budget
	opts    RouterOptions
	entries atomic.Int64

	mu       sync.Mutex
	services atomic.Pointer[map[model.ServiceName]*serviceRouter]
}

// NewRouter returns a router that knows no zones.
func NewRouter(budget Budget, opts RouterOptions) *Router {
	r := &Router{budget: budget, opts: opts.withDefaults()}
	r.entries.Store(int64(r.opts.Entries))
	r.services.Store(&map[model.ServiceName]*serviceRouter{})
	return r
}

// SetEntries tells how many entry VMs may shift traffic at once.
func (r *Router) SetEntries(n int) { r.entries.Store(int64(max(n, 1))) }

// SetZones tells the state of a service's zones in failover order.
func (r *Router) SetZones(now time.Time, service model.ServiceName, zones []ZoneState) {
	s := r.serviceOrNew(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setZones(now, zones)
}

// Choose picks the zone that serves a request: its home place, else a place of
// the home's region, else the first place in failover order.
func (r *Router) Choose(now time.Time, req Request) Choice {
	s := r.service(req.Service)
	if s == nil {
		return Choice{Reason: model.ReasonUnknownService}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.choose(now, req, int(r.entries.Load()))
}

// Answered reports that one request was answered in zone. Ramps grow by it.
func (r *Router) Answered(now time.Time, service model.ServiceName, zone model.Zone) {
	r.finished(now, service, zone, true)
}

// Failed reports that one request ended in zone without an answer.
func (r *Router) Failed(now time.Time, service model.ServiceName, zone model.Zone) {
	r.finished(now, service, zone, false)
}

func (r *Router) finished(now time.Time, service model.ServiceName, zone model.Zone, answered bool) {
	s := r.service(service)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.places[zone]; ok {
		p.finish(now, answered)
	}
}

func (r *Router) service(name model.ServiceName) *serviceRouter {
	return (*r.services.Load())[name]
}

func (r *Router) serviceOrNew(name model.ServiceName) *serviceRouter {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := *r.services.Load()
	if s, ok := current[name]; ok {
		return s
	}
	next := make(map[model.ServiceName]*serviceRouter, len(current)+1)
	for k, v := range current {
		next[k] = v
	}
	s := newServiceRouter(r.budget, r.opts)
	next[name] = s
	r.services.Store(&next)
	return s
}

// serviceRouter chooses zones for one service.
type serviceRouter struct {
	mu       sync.Mutex
	budget   Budget
	priority PriorityBudget
	opts     RouterOptions
	places   map[model.Zone]*place
	// order is the failover order; byRegion is the same with the places of
	// one region first.
	order    []*place
	byRegion map[model.Region][]*place
}

func newServiceRouter(budget Budget, opts RouterOptions) *serviceRouter {
	s := &serviceRouter{budget: budget, opts: opts, places: make(map[model.Zone]*place)}
	s.priority, _ = budget.(PriorityBudget)
	return s
}

func (s *serviceRouter) setZones(now time.Time, zones []ZoneState) {
	if s.sameOrder(zones) {
		for i, z := range zones {
			s.order[i].update(now, z, true)
		}
		return
	}
	previous := s.places
	s.places = make(map[model.Zone]*place, len(zones))
	s.order = make([]*place, 0, len(zones))
	s.byRegion = make(map[model.Region][]*place)
	for _, z := range zones {
		p, known := previous[z.Zone]
		if !known {
			p = newPlace(s.opts)
		}
		p.update(now, z, known)
		s.places[z.Zone] = p
		s.order = append(s.order, p)
		s.byRegion[z.Region] = nil
	}
	for region := range s.byRegion {
		s.byRegion[region] = regionFirst(s.order, region)
	}
}

// sameOrder reports that only the states of the zones differ.
func (s *serviceRouter) sameOrder(zones []ZoneState) bool {
	return slices.EqualFunc(s.order, zones, func(p *place, z ZoneState) bool {
		return p.state.Zone == z.Zone && p.state.Region == z.Region
	})
}

// regionFirst returns the failover order with the places of a region first.
func regionFirst(order []*place, region model.Region) []*place {
	sorted := make([]*place, 0, len(order))
	for _, p := range order {
		if p.state.Region == region {
			sorted = append(sorted, p)
		}
	}
	for _, p := range order {
		if p.state.Region != region {
			sorted = append(sorted, p)
		}
	}
	return sorted
}

func (s *serviceRouter) choose(now time.Time, req Request, entries int) Choice {
	if len(req.Places) == 0 {
		return Choice{Reason: model.ReasonNoServer}
	}
	homeZone := req.Places[0].Zone
	home := s.places[homeZone]
	usable := home != nil && home.usable() && !slices.Contains(req.Tried, homeZone)
	if usable && !home.returningFull(now, entries) {
		if spill, ok := s.spill(now, req, home, entries); ok {
			return spill
		}
		return home.serve(now)
	}
	choice := s.shift(now, req, home, entries)
	if choice.OK || !usable {
		return choice
	}
	// A home place that returns with cold caches is still better than a
	// refusal: its owners admit no more than it can run.
	return home.serve(now)
}

// spill moves a request away from a home place where it would wait, if another
// place has free slots. Bulk work waits: it is not worth cold caches.
func (s *serviceRouter) spill(now time.Time, req Request, home *place, entries int) (Choice, bool) {
	if req.Priority == model.PriorityBulk || !home.congested() {
		return Choice{}, false
	}
	req.FreeSlotsOnly = true
	choice := s.shift(now, req, home, entries)
	return choice, choice.OK
}

// shift moves a request away from its home place.
func (s *serviceRouter) shift(now time.Time, req Request, home *place, entries int) Choice {
	order := s.order
	if home != nil {
		order = s.byRegion[home.state.Region]
	}
	target, reason := s.target(now, req, order, entries)
	if target == nil {
		return Choice{Reason: reason}
	}
	if !s.spend(now, req) {
		return Choice{Reason: model.ReasonShiftCap}
	}
	target.startShift(now)
	return Choice{Zone: target.state.Zone, Shift: true, OK: true}
}

// target returns the first place that fits, or why none does. All but bulk work
// may go to a place without free slots when no other fits: its owners admit by
// priority and deadline.
func (s *serviceRouter) target(now time.Time, req Request, order []*place, entries int) (*place, model.Reason) {
	closest := fitNoServer
	var crowded *place
	for _, p := range order {
		if p.state.Zone == req.Places[0].Zone || slices.Contains(req.Tried, p.state.Zone) {
			continue
		}
		f := p.fits(now, entries)
		if f == fitYes {
			return p, model.ReasonNone
		}
		if f == fitCrowded && crowded == nil {
			crowded = p
		}
		closest = max(closest, f)
	}
	if crowded != nil && req.Priority != model.PriorityBulk && !req.FreeSlotsOnly {
		return crowded, model.ReasonNone
	}
	return nil, closest.reason()
}

func (s *serviceRouter) spend(now time.Time, req Request) bool {
	key := quota.ShiftKey(req.Account, req.Service, req.Places[0].Zone)
	if s.priority != nil {
		return s.priority.TakePriority(now, key, 1, req.Priority)
	}
	return s.budget.Take(now, key, 1)
}
