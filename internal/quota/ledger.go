package quota

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/model"
)

// LimiterOptions configures a Limiter.
type LimiterOptions struct {
	Timing Timing
	// RequireConfirm disallows all use until the first ConfirmUntil.
	RequireConfirm bool
}

// Grant allows one VM to use part of a cap for a limited time.
type Grant struct {
	Key Key
	// Rate is in units per second.
	Rate int64
	// Expires is on the borrower's monotonic clock. The grant's duration starts
	// when the borrower sent the request.
	Expires time.Time
	// Epoch identifies the lender's term.
	Epoch uint64
}

// Demand is the part of a cap that a VM needs beyond its floor.
type Demand struct {
	Key Key `cbor:"1,keyasint"`
	// Rate is in units per second.
	Rate int64 `cbor:"2,keyasint"`
}

// Limiter is the rate limiter of one entry VM for all caps. In any Window it
// allows at most the VM's floor plus the largest grant that is valid at the
// last use in that Window. It allows no use of a key without a cap. It is safe
// for concurrent use.
type Limiter struct {
	self   model.VMID
	timing Timing
	meters atomic.Pointer[map[Key]*meter]

	active activeMeters
	// confirmedUntil is when the confirmation of the adopted configuration
	// expires; nil means never.
	confirmedUntil atomic.Pointer[time.Time]
	// reconfirmedAt is when the configuration was last confirmed after an earlier
	// confirmation had expired; nil means never.
	reconfirmedAt atomic.Pointer[time.Time]
	// origin is the start of bucket 0, set by the first SetCaps.
	origin atomic.Pointer[time.Time]
	// setCapsMu serializes SetCaps.
	setCapsMu sync.Mutex
}

// NewLimiter returns a limiter for the VM self that allows no use until SetCaps.
func NewLimiter(self model.VMID, opts LimiterOptions) *Limiter {
	l := &Limiter{
		self:   self,
		timing: opts.Timing.withDefaults(),
		active: activeMeters{meters: make(map[*meter]struct{})},
	}
	l.meters.Store(&map[Key]*meter{})
	if opts.RequireConfirm {
		l.confirmedUntil.Store(&time.Time{})
	}
	return l
}

// SetCaps adopts the caps of a configuration with the given number of
// provisioned slots. Lower floors apply immediately. Higher floors, and those
// of keys that are new to the limiter, apply after Timing.Changeover.
func (l *Limiter) SetCaps(now time.Time, slots int, caps []Cap) {
	l.setCapsMu.Lock()
	defer l.setCapsMu.Unlock()
	l.origin.CompareAndSwap(nil, &now)
	next := make(map[Key]*meter, len(caps))
	previous := *l.meters.Load()
	for _, c := range caps {
		m, ok := previous[c.Key]
		if !ok {
			m = &meter{key: c.Key}
		}
		m.set(now, c.PerSecond, c.floor(slots), l.timing.Changeover())
		next[c.Key] = m
	}
	l.retireRemoved(now, previous, next)
	l.meters.Store(&next)
}

// ConfirmUntil records at now that the adopted configuration counts as the
// newest until the given time; after that no use is allowed. A VM whose
// revision was the newest at time t may pass t plus Timing.MaxPropagation. If the
// previous confirmation expired before now, the VM may have missed
// configurations, so its floors apply only after another Timing.Changeover.
// Before the first call, confirmation is not required unless
// LimiterOptions.RequireConfirm is set.
func (l *Limiter) ConfirmUntil(now, until time.Time) {
	if !l.configConfirmed(now) {
		l.reconfirmedAt.Store(&now)
	}
	l.confirmedUntil.Store(&until)
}

// configConfirmed reports whether the adopted configuration is confirmed at
// now.
func (l *Limiter) configConfirmed(now time.Time) bool {
	until := l.confirmedUntil.Load()
	return until == nil || now.Before(*until)
}

// recovering reports whether floors are withheld because the VM may have missed
// configurations less than a changeover ago.
func (l *Limiter) recovering(now time.Time) bool {
	since := l.reconfirmedAt.Load()
	return since != nil && now.Before(since.Add(l.timing.Changeover()))
}

// floor returns the floor of m that applies at now. The caller holds m.mu.
func (l *Limiter) floor(m *meter, now time.Time) int64 {
	if l.recovering(now) {
		return 0
	}
	return m.floor.lowest(now, l.timing.Changeover())
}

// allowance returns how many units of m may be used in the Window that ends at
// now. The caller holds m.mu.
func (l *Limiter) allowance(m *meter, now time.Time) int64 {
	if !l.configConfirmed(now) {
		return 0
	}
	return min(l.floor(m, now)+m.grantedRate(now), m.cap.current)
}

// retireRemoved sets removed caps to zero and keeps their meters in next until
// their superseded values no longer count.
func (l *Limiter) retireRemoved(now time.Time, previous, next map[Key]*meter) {
	for key, m := range previous {
		if _, ok := next[key]; ok {
			continue
		}
		m.set(now, 0, 0, l.timing.Changeover())
		if !m.retired(now, l.timing.Changeover()) {
			next[key] = m
		}
	}
}

func (m *meter) set(now time.Time, perSecond, floor int64, changeover time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cap.set(now, perSecond, changeover)
	m.floor.set(now, floor, changeover)
}

func (m *meter) retired(now time.Time, changeover time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cap.isZero(now, changeover) && m.floor.isZero(now, changeover)
}

// Take uses n units at the most urgent priority and reports whether it could.
// Otherwise it uses none.
func (l *Limiter) Take(now time.Time, key Key, n int64) bool {
	return l.TakePriority(now, key, n, model.PriorityUrgent)
}

// TakePriority uses n units at priority p and reports whether it could.
// Otherwise it uses none. Units that more urgent work needed in the trailing
// Window are reserved for it.
func (l *Limiter) TakePriority(now time.Time, key Key, n int64, p model.Priority) bool {
	m := l.meter(key)
	if m == nil || n < 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now = l.advance(m, now)
	m.window.recordDemand(p, n)
	if m.available(l.allowance(m, now), p) < n {
		return false
	}
	m.window.recordUse(p, n)
	return true
}

// TakeUpTo uses as many of n units as are available at the most urgent priority
// and returns their number.
func (l *Limiter) TakeUpTo(now time.Time, key Key, n int64) int64 {
	return l.TakeUpToPriority(now, key, n, model.PriorityUrgent)
}

// TakeUpToPriority uses as many of n units as are available at priority p and
// returns their number.
func (l *Limiter) TakeUpToPriority(now time.Time, key Key, n int64, p model.Priority) int64 {
	m := l.meter(key)
	if m == nil || n <= 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now = l.advance(m, now)
	allowed := l.allowance(m, now)
	taken := min(n, m.available(allowed, p))
	// A paced transfer requests the rest again, so at most one bucket's share
	// of it counts as demand.
	unmet := min(n-taken, allowed/numBuckets+1)
	m.window.recordDemand(p, taken+unmet)
	m.window.recordUse(p, taken)
	return taken
}

// NextAvailable returns when to retry the use of n units at priority p; now
// means immediately. New grants may make the units available earlier. A
// transfer paced with TakeUpToPriority passes the smallest n that it can use.
func (l *Limiter) NextAvailable(now time.Time, key Key, n int64, p model.Priority) time.Time {
	m := l.meter(key)
	if m == nil {
		return now.Add(Window)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now = l.advance(m, now)
	allowed := l.allowance(m, now)
	if m.available(allowed, p) >= n {
		return now
	}
	buckets := int64(1)
	if shortfall := n + m.window.total.usedAtOrBelow(p) - allowed; shortfall > 0 {
		buckets = m.window.bucketsUntilFreed(p, shortfall)
	}
	return l.origin.Load().Add(time.Duration(m.window.newestIndex+buckets) * bucketDuration)
}

// meter returns the meter of key, or nil if key has no cap.
func (l *Limiter) meter(key Key) *meter { return (*l.meters.Load())[key] }

// advance moves the window of m to now, creating it if needed, and returns the
// time to use in place of now. The caller holds m.mu.
func (l *Limiter) advance(m *meter, now time.Time) time.Time {
	now = m.advanceTime(now)
	index := bucketIndex(*l.origin.Load(), now)
	if m.window == nil {
		m.window = &window{newestIndex: max(index, 0)}
		l.activate(m)
	}
	m.window.advance(index)
	return now
}

// AddGrant adds a grant. Its expiry is limited to Timing.GrantTTL from now.
// A grant of a key without a cap is ignored.
func (l *Limiter) AddGrant(now time.Time, g Grant) {
	m := l.meter(g.Key)
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now = m.advanceTime(now)
	latest := now.Add(l.timing.GrantTTL)
	if g.Expires.After(latest) {
		g.Expires = latest
	}
	m.addGrant(now, timedGrant{rate: g.Rate, expires: g.Expires})
}

// Capped reports whether the adopted configuration caps key.
func (l *Limiter) Capped(key Key) bool { return l.meter(key) != nil }

// Allowance returns how many units of key may be used in the Window that ends at
// now.
func (l *Limiter) Allowance(now time.Time, key Key) int64 {
	m := l.meter(key)
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return l.allowance(m, m.advanceTime(now))
}

// InForce returns the cap, in units per second, that the whole deployment
// respects at now, and how long until the cap of the adopted configuration
// takes effect.
func (l *Limiter) InForce(now time.Time, key Key) (int64, time.Duration) {
	m := l.meter(key)
	if m == nil {
		return 0, 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cap.inForce(m.advanceTime(now), l.timing.Changeover())
}

// Demands returns the demand beyond the floor of each key that has any, sorted
// by key.
func (l *Limiter) Demands(now time.Time) []Demand {
	var demands []Demand
	for _, m := range l.listActive() {
		d, active := l.excessDemand(now, m)
		if !active {
			continue
		}
		if d.Rate > 0 {
			demands = append(demands, d)
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return a.Key.compare(b.Key) })
	return demands
}

// excessDemand returns the demand of m beyond its floor. It returns false if m
// was unused in the trailing Window, and then releases the window.
func (l *Limiter) excessDemand(now time.Time, m *meter) (Demand, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = l.advance(m, now)
	if m.window.idle() {
		m.window = nil
		l.deactivate(m)
		return Demand{}, false
	}
	excess := min(m.demand(), m.cap.current) - l.floor(m, now)
	return Demand{Key: m.key, Rate: excess}, true
}

// activeMeters is the set of meters that have a window. Its mutex may be locked
// while a meter's is held, not the other way round.
type activeMeters struct {
	mu     sync.Mutex
	meters map[*meter]struct{}
}

func (l *Limiter) listActive() []*meter {
	l.active.mu.Lock()
	defer l.active.mu.Unlock()
	return slices.Collect(maps.Keys(l.active.meters))
}

func (l *Limiter) activate(m *meter) {
	l.active.mu.Lock()
	defer l.active.mu.Unlock()
	l.active.meters[m] = struct{}{}
}

func (l *Limiter) deactivate(m *meter) {
	l.active.mu.Lock()
	defer l.active.mu.Unlock()
	delete(l.active.meters, m)
}
