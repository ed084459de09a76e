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

// ZoneState is the state of one service in one availability zone, as known to
// this entry VM.
type ZoneState struct {
	Zone   model.Zone
	Region model.Region
	// Slots is how many requests the backend servers in the zone can run at
	// once, as reported by the entry VMs that own them.
	Slots int
	// Busy is the count of slots in use, Queued the count of waiting requests.
	Busy, Queued int
	// Reachable reports whether requests can be sent to the zone.
	Reachable bool
	// Draining reports whether the zone is drained for all accounts.
	Draining bool
}

// Budget enforces shift caps. Each shift takes one unit; Take reports whether n
// units of key were left and have been taken.
type Budget interface {
	Take(now time.Time, key quota.Key, n int64) bool
}

// PriorityBudget is a Budget that reserves units for more urgent requests. A
// Router calls TakePriority instead of Take if its Budget implements it.
type PriorityBudget interface {
	Budget
	TakePriority(now time.Time, key quota.Key, n int64, p model.Priority) bool
}

var _ PriorityBudget = (*quota.Limiter)(nil)

// Request holds the properties of a request that Router.Choose depends on.
type Request struct {
	Account  model.AccountID
	Service  model.ServiceName
	Priority model.Priority
	// Places lists the zones that serve the client. The first is its home zone.
	Places []config.Place
	// Tried lists zones that were tried before and must not be chosen again.
	Tried []model.Zone
	// FreeSlotsOnly restricts shifts to zones with free slots, whatever the
	// priority.
	FreeSlotsOnly bool
}

// Choice is the result of Router.Choose: the zone that serves a request, or the
// reason for refusing it.
type Choice struct {
	Zone model.Zone
	// Shift reports whether the zone is not the client's home zone, so that a
	// unit of the account's shift cap was spent.
	Shift bool
	// Reason is why the request is refused, ReasonNone if OK.
	Reason model.Reason
	// OK reports whether Zone serves the request.
	OK bool
}

// RouterOptions configures a Router. Fields of zero or less take the defaults.
type RouterOptions struct {
	// EntryCount is the initial count of entry VMs that may shift traffic at
	// the same time. Each limits itself to its share of a zone's capacity.
	EntryCount int
	// RampStartPercent is the percentage of this VM's share of a zone's slots
	// that shifted requests may occupy before any of them is answered.
	RampStartPercent int
	// RampIdle is how long a zone must have had no shifted traffic for the
	// next shift to start a new ramp.
	RampIdle time.Duration
	// AnswerTimeout is the age at which a request that was not reported as
	// finished no longer counts as outstanding.
	AnswerTimeout time.Duration
}

// Defaults for RouterOptions.
const (
	DefaultEntryCount       = 1
	DefaultRampStartPercent = 10
	DefaultRampIdle         = time.Minute
	DefaultAnswerTimeout    = 5 * time.Second
)

func (o RouterOptions) withDefaults() RouterOptions {
	if o.EntryCount <= 0 {
		o.EntryCount = DefaultEntryCount
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

// Router chooses the availability zone that serves each request. It is safe for
// concurrent use. Requests of different services do not contend for a lock.
type Router struct {
	budget     Budget
	opts       RouterOptions
	entryCount atomic.Int64

	mu       sync.Mutex
	services atomic.Pointer[map[model.ServiceName]*serviceRouter]
}

// NewRouter returns a router without zones. It takes the units for shifts from
// budget.
func NewRouter(budget Budget, opts RouterOptions) *Router {
	r := &Router{budget: budget, opts: opts.withDefaults()}
	r.entryCount.Store(int64(r.opts.EntryCount))
	r.services.Store(&map[model.ServiceName]*serviceRouter{})
	return r
}

// SetEntryCount sets how many entry VMs may shift traffic at the same time. Values
// below one count as one.
func (r *Router) SetEntryCount(n int) { r.entryCount.Store(int64(max(n, 1))) }

// SetZones replaces the states of a service's zones, given in failover order.
func (r *Router) SetZones(now time.Time, service model.ServiceName, zones []ZoneState) {
	s := r.serviceOrNew(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setZones(now, zones)
}

// Choose selects the zone that serves a request: its home zone if that is usable
// and not congested, else an eligible zone of the same region, else the first
// eligible zone in failover order. The end of each request with a zone must be
// reported by Answered or Failed.
func (r *Router) Choose(now time.Time, req Request) Choice {
	s := r.service(req.Service)
	if s == nil {
		return Choice{Reason: model.ReasonUnknownService}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.choose(now, req, int(r.entryCount.Load()))
}

// Answered reports that one request was answered in zone. This raises the limit
// of the zone's ramp.
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
	if p, ok := s.destinations[zone]; ok {
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
	mu           sync.Mutex
	budget       Budget
	priority     PriorityBudget
	opts         RouterOptions
	destinations map[model.Zone]*destination
	// order is the failover order. byRegion holds, for each region, the same
	// order with the zones of that region first.
	order    []*destination
	byRegion map[model.Region][]*destination
}

func newServiceRouter(budget Budget, opts RouterOptions) *serviceRouter {
	s := &serviceRouter{budget: budget, opts: opts, destinations: make(map[model.Zone]*destination)}
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
	previous := s.destinations
	s.destinations = make(map[model.Zone]*destination, len(zones))
	s.order = make([]*destination, 0, len(zones))
	s.byRegion = make(map[model.Region][]*destination)
	for _, z := range zones {
		p, known := previous[z.Zone]
		if !known {
			p = newDestination(s.opts)
		}
		p.update(now, z, known)
		s.destinations[z.Zone] = p
		s.order = append(s.order, p)
		s.byRegion[z.Region] = nil
	}
	for region := range s.byRegion {
		s.byRegion[region] = regionFirst(s.order, region)
	}
}

// sameOrder reports whether zones has the same zones and regions in the same
// order as before.
func (s *serviceRouter) sameOrder(zones []ZoneState) bool {
	return slices.EqualFunc(s.order, zones, func(p *destination, z ZoneState) bool {
		return p.state.Zone == z.Zone && p.state.Region == z.Region
	})
}

// regionFirst returns the failover order with the zones of one region first.
func regionFirst(order []*destination, region model.Region) []*destination {
	sorted := make([]*destination, 0, len(order))
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

func (s *serviceRouter) choose(now time.Time, req Request, entryCount int) Choice {
	if len(req.Places) == 0 {
		return Choice{Reason: model.ReasonNoServer}
	}
	homeZone := req.Places[0].Zone
	home := s.destinations[homeZone]
	usable := home != nil && home.usable() && !slices.Contains(req.Tried, homeZone)
	if usable && !home.recoveryRampFull(now, entryCount) {
		if spill, ok := s.spill(now, req, home, entryCount); ok {
			return spill
		}
		return home.acceptHome(now)
	}
	choice := s.shift(now, req, home, entryCount)
	if choice.OK || !usable {
		return choice
	}
	// Sending the request to a home zone with cold caches is better than
	// refusing it: the owners there admit no more than the servers can run.
	return home.acceptHome(now)
}

// spill shifts a request away from a congested home zone if another zone has free
// slots. Bulk requests stay: avoiding their wait is not worth cold caches.
func (s *serviceRouter) spill(now time.Time, req Request, home *destination, entryCount int) (Choice, bool) {
	if req.Priority == model.PriorityBulk || !home.congested() {
		return Choice{}, false
	}
	req.FreeSlotsOnly = true
	choice := s.shift(now, req, home, entryCount)
	return choice, choice.OK
}

// shift selects a zone other than the request's home zone and spends one unit of
// the shift cap.
func (s *serviceRouter) shift(now time.Time, req Request, home *destination, entryCount int) Choice {
	order := s.order
	if home != nil {
		order = s.byRegion[home.state.Region]
	}
	target, reason := s.target(now, req, order, entryCount)
	if target == nil {
		return Choice{Reason: reason}
	}
	if !s.spend(now, req) {
		return Choice{Reason: model.ReasonShiftCap}
	}
	target.acceptShift(now)
	return Choice{Zone: target.state.Zone, Shift: true, OK: true}
}

// target returns the first eligible zone in order, or the reason why there is
// none. Unless the request is bulk or sets FreeSlotsOnly, it falls back to the
// first zone without free slots, whose owners admit by priority and deadline.
func (s *serviceRouter) target(now time.Time, req Request, order []*destination, entryCount int) (*destination, model.Reason) {
	best := ineligibleNoServer
	var firstFull *destination
	for _, p := range order {
		if p.state.Zone == req.Places[0].Zone || slices.Contains(req.Tried, p.state.Zone) {
			continue
		}
		eligibility := p.shiftEligibility(now, entryCount)
		if eligibility == eligible {
			return p, model.ReasonNone
		}
		if eligibility == ineligibleFull && firstFull == nil {
			firstFull = p
		}
		best = max(best, eligibility)
	}
	if firstFull != nil && req.Priority != model.PriorityBulk && !req.FreeSlotsOnly {
		return firstFull, model.ReasonNone
	}
	return nil, best.reason()
}

func (s *serviceRouter) spend(now time.Time, req Request) bool {
	key := quota.ShiftKey(req.Account, req.Service, req.Places[0].Zone)
	if s.priority != nil {
		return s.priority.TakePriority(now, key, 1, req.Priority)
	}
	return s.budget.Take(now, key, 1)
}
