package quota

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/model"
)

// LedgerOptions configures a Ledger.
type LimiterOptions struct {
	Timing Timing
	// RequireConfirm lets nothing be spent before the first ConfirmUntil.
	RequireConfirm bool
}

// Grant is a loan of part of a cap to one VM.
type Grant struct {
	Key Key
	// Value is in units a second.
	Value int64
	// Expires is on the borrower's monotonic clock, counted from the moment
	// it sent the request.
	Expires time.Time
	// Epoch names the lender's term.
	Epoch uint64
}

// Demand is the part of a cap that a VM wants beyond its floor.
type Demand struct {
	Key Key `cbor:"1,keyasint"`
	// Want is in units a second.
	Want int64 `cbor:"2,keyasint"`
}

// Ledger holds what one entry VM may spend of each cap. In any Window it
// spends at most its floor plus the largest grant that is live at the latest
// spending in that Window. A key without a cap may not be spent. It is safe
// for concurrent use.
type Limiter struct {
	self   model.VMID
	timing Timing
	meters atomic.Pointer[map[Key]*meter]

	inUse activeSet
	// confirmed is when the adopted configuration stops to be trusted; nil
	// means never.
	confirmed atomic.Pointer[time.Time]
	// rejoined is when the trust was last renewed after it had ended.
	rejoined atomic.Pointer[time.Time]
	// start is the origin of sub-windows, set by the first SetCaps.
	start atomic.Pointer[time.Time]
	// setMu serialises SetCaps.
	setMu sync.Mutex
}

// NewLedger returns a ledger that may spend nothing until SetCaps.
func NewLimiter(self model.VMID, opts LimiterOptions) *Limiter {
	l := &Limiter{
		self:   self,
		timing: opts.Timing.withDefaults(),
		inUse:  activeSet{meters: make(map[*meter]struct{})},
	}
	l.meters.Store(&map[Key]*meter{})
	if opts.RequireConfirm {
		l.confirmed.Store(&time.Time{})
	}
	return l
}

// SetCaps adopts the caps of a configuration with a count of provisioned
// slots. A lower floor holds at once,
// a higher one after Timing.Changeover, as does the first.
func (l *Limiter) SetCaps(now time.Time, slots int, caps []Cap) {
	l.setMu.Lock()
	defer l.setMu.Unlock()
	l.start.CompareAndSwap(nil, &now)
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
	l.retire(now, previous, next)
	l.meters.Store(&next)
}

// ConfirmUntil tells at now how long the adopted configuration may be trusted
// to be the newest; after that nothing may be spent. A VM that confirms its
// revision at a moment may trust it for Timing.Spread from then on. When the
// trust had ended before now, the VM may have missed configurations, and its
// floors hold again after a changeover. Before the first call there is no limit
// unless LedgerOptions.RequireConfirm is set.
func (l *Limiter) ConfirmUntil(now, until time.Time) {
	if !l.trusted(now) {
		l.rejoined.Store(&now)
	}
	l.confirmed.Store(&until)
}

// trusted reports whether the adopted configuration may be trusted.
func (l *Limiter) trusted(now time.Time) bool {
	until := l.confirmed.Load()
	return until == nil || now.Before(*until)
}

// rejoining reports whether the VM has too short a history for its floors.
func (l *Limiter) rejoining(now time.Time) bool {
	since := l.rejoined.Load()
	return since != nil && now.Before(since.Add(l.timing.Changeover()))
}

// floor returns the floor of m that holds now. The caller holds m.mu.
func (l *Limiter) floor(m *meter, now time.Time) int64 {
	if l.rejoining(now) {
		return 0
	}
	return m.floor.lowest(now, l.timing.Changeover())
}

// allowance returns the units that m may spend in one Window that ends now.
// The caller holds m.mu.
func (l *Limiter) allowance(m *meter, now time.Time) int64 {
	if !l.trusted(now) {
		return 0
	}
	return min(l.floor(m, now)+m.granted(now), m.cap.current)
}

// retire keeps the meters of removed caps until their values no longer count.
func (l *Limiter) retire(now time.Time, previous, next map[Key]*meter) {
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
	return m.cap.idle(now, changeover) && m.floor.idle(now, changeover)
}

// Take spends n units at the most urgent priority, or none.
func (l *Limiter) Take(now time.Time, key Key, n int64) bool {
	return l.TakePriority(now, key, n, model.PriorityUrgent)
}

// TakePriority spends n units for work of priority p, or none. Recent demand
// of more urgent work is kept free.
func (l *Limiter) TakePriority(now time.Time, key Key, n int64, p model.Priority) bool {
	m := l.meter(key)
	if m == nil || n < 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now = l.open(m, now)
	m.window.want(p, n)
	if m.room(l.allowance(m, now), p) < n {
		return false
	}
	m.window.spend(p, n)
	return true
}

// TakeUpTo spends as many of n units as it may at the most urgent priority and
// returns their count.
func (l *Limiter) TakeUpTo(now time.Time, key Key, n int64) int64 {
	return l.TakeUpToPriority(now, key, n, model.PriorityUrgent)
}

// TakeUpToPriority spends as many of n units as work of priority p may and
// returns their count.
func (l *Limiter) TakeUpToPriority(now time.Time, key Key, n int64, p model.Priority) int64 {
	m := l.meter(key)
	if m == nil || n <= 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now = l.open(m, now)
	allowed := l.allowance(m, now)
	taken := min(n, m.room(allowed, p))
	// A paced transfer asks again for what it did not get, so that only what
	// fits into one sub-window counts as wanted.
	missed := min(n-taken, allowed/numCells+1)
	m.window.want(p, taken+missed)
	m.window.spend(p, taken)
	return taken
}

// NextAvailable returns when to try again to spend n units at priority p; now
// means at once. Grants that arrive meanwhile may make it sooner. A transfer
// that is paced by TakeUpToPriority asks for its smallest useful n.
func (l *Limiter) NextAvailable(now time.Time, key Key, n int64, p model.Priority) time.Time {
	m := l.meter(key)
	if m == nil {
		return now.Add(Window)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now = l.open(m, now)
	allowed := l.allowance(m, now)
	if m.room(allowed, p) >= n {
		return now
	}
	ahead := int64(1)
	if missing := n + m.window.total.spentFrom(p) - allowed; missing > 0 {
		ahead = m.window.freedBy(p, missing)
	}
	return l.start.Load().Add(time.Duration(m.window.tick+ahead) * subWindow)
}

// meter returns the meter of key, or nil when it has no cap.
func (l *Limiter) meter(key Key) *meter { return (*l.meters.Load())[key] }

// open brings the window of m to now and returns the time that counts. The
// caller holds m.mu.
func (l *Limiter) open(m *meter, now time.Time) time.Time {
	now = m.observe(now)
	tick := tickOf(*l.start.Load(), now)
	if m.window == nil {
		m.window = &window{tick: max(tick, 0)}
		l.activate(m)
	}
	m.window.advance(tick)
	return now
}

// AddGrant adopts a grant. It expires by itself.
func (l *Limiter) AddGrant(now time.Time, g Grant) {
	m := l.meter(g.Key)
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now = m.observe(now)
	latest := now.Add(l.timing.GrantTTL)
	if g.Expires.After(latest) {
		g.Expires = latest
	}
	m.addGrant(now, held{value: g.Value, expires: g.Expires})
}

// Capped reports whether the adopted configuration caps key.
func (l *Limiter) Capped(key Key) bool { return l.meter(key) != nil }

// Allowance returns the units that key may be spent on in one Window now.
func (l *Limiter) Allowance(now time.Time, key Key) int64 {
	m := l.meter(key)
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return l.allowance(m, m.observe(now))
}

// InForce returns the cap that the whole deployment keeps to now, and how long
// until that is the cap of the adopted configuration.
func (l *Limiter) InForce(now time.Time, key Key) (int64, time.Duration) {
	m := l.meter(key)
	if m == nil {
		return 0, 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cap.settled(m.observe(now), l.timing.Changeover())
}

// Demands returns the keys whose recent demand exceeds the floor, in order of
// key.
func (l *Limiter) Demands(now time.Time) []Demand {
	var demands []Demand
	for _, m := range l.actives() {
		d, used := l.demand(now, m)
		if !used {
			continue
		}
		if d.Want > 0 {
			demands = append(demands, d)
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return a.Key.compare(b.Key) })
	return demands
}

// demand returns what m wants beyond its floor, and false when it is unused,
// in which case its window is dropped.
func (l *Limiter) demand(now time.Time, m *meter) (Demand, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = l.open(m, now)
	if m.window.idle() {
		m.window = nil
		l.deactivate(m)
		return Demand{}, false
	}
	want := min(m.demand(), m.cap.current) - l.floor(m, now)
	return Demand{Key: m.key, Want: want}, true
}

// activeSet guards the meters in use. Its mutex is taken inside a meter's.
type activeSet struct {
	mu     sync.Mutex
	meters map[*meter]struct{}
}

func (l *Limiter) actives() []*meter {
	l.inUse.mu.Lock()
	defer l.inUse.mu.Unlock()
	return slices.Collect(maps.Keys(l.inUse.meters))
}

func (l *Limiter) activate(m *meter) {
	l.inUse.mu.Lock()
	defer l.inUse.mu.Unlock()
	l.inUse.meters[m] = struct{}{}
}

func (l *Limiter) deactivate(m *meter) {
	l.inUse.mu.Lock()
	defer l.inUse.mu.Unlock()
	delete(l.inUse.meters, m)
}
