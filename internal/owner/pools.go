package owner

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/health"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
)

// Server is a backend server that this entry VM owns.
type Server struct {
	Target backend.Target
	// Draining marks a server that must get no new requests.
	Draining bool
}

// Assignment holds the settings and the servers of one pool.
type Assignment struct {
	Key    PoolKey
	Policy admit.Policy
	// Slots is the number of slots of each server.
	Slots int
	// ColdStart is the minimum time over which the limit of a new server grows to
	// its slots.
	ColdStart time.Duration
	Servers   []Server
}

// Pools holds the pools of this entry VM. It is safe for concurrent use; the control
// goroutine calls Update.
type Pools struct {
	explain explain.Recorder

	// mu serializes calls of Update.
	mu sync.Mutex
	// pools is replaced as a whole, so that other methods need no lock.
	pools atomic.Pointer[map[PoolKey]*Pool]
}

// NewPools returns a set without pools. Decisions about the health of servers go to
// recorder.
func NewPools(recorder explain.Recorder) *Pools {
	p := &Pools{explain: recorder}
	p.pools.Store(&map[PoolKey]*Pool{})
	return p
}

// Find returns the pool for key, or nil if there is none.
func (p *Pools) Find(key PoolKey) *Pool {
	return (*p.pools.Load())[key]
}

// Update replaces the assignments. A pool that no longer has one admits no new
// requests and is kept until its running requests have ended and a later Update
// removes it.
func (p *Pools) Update(now time.Time, assignments []Assignment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.pools.Load()
	next := make(map[PoolKey]*Pool, len(assignments))
	for _, a := range assignments {
		pool, ok := old[a.Key]
		if !ok {
			pool = newPool(a.Key, a.Policy, p.explain)
		}
		pool.assign(now, a)
		next[a.Key] = pool
	}
	for key, pool := range old {
		if _, kept := next[key]; kept {
			continue
		}
		if pool.retire(now) {
			next[key] = pool
		}
	}
	p.pools.Store(&next)
}

// assign replaces the settings and servers of the pool.
func (p *Pool) assign(now time.Time, a Assignment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = false
	clear(p.targets)
	infos := make([]health.ServerInfo, 0, len(a.Servers))
	for _, s := range a.Servers {
		p.targets[s.Target.ID] = s.Target
		infos = append(infos, health.ServerInfo{
			ID:        s.Target.ID,
			Slots:     a.Slots,
			ColdStart: a.ColdStart,
			Draining:  s.Draining,
		})
	}
	p.queue.SetPolicy(a.Policy)
	p.health.SetServers(now, infos)
	p.apply(now, p.queue.SetServers(now, p.health.Limits(now)))
}

// retire removes all servers, which refuses the waiting requests, and reports whether
// the pool still has requests.
func (p *Pool) retire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	clear(p.targets)
	p.health.SetServers(now, nil)
	p.apply(now, p.queue.SetServers(now, nil))
	return len(p.running) > 0 || len(p.waiting) > 0
}

// Tick sheds the expired requests of every pool and updates the limits of its
// servers. Call it periodically.
func (p *Pools) Tick(now time.Time) {
	for _, pool := range *p.pools.Load() {
		pool.tick(now)
	}
}

// ReportLoad passes the load report of a server on to its pool, if there is one.
func (p *Pools) ReportLoad(now time.Time, key PoolKey, server model.ServerID, r health.Report) {
	pool := p.Find(key)
	if pool == nil {
		return
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.health.Report(now, server, r)
}

// Observe passes behaviour of a server that was seen outside requests, such as a
// failed health check, on to its pool, if there is one.
func (p *Pools) Observe(now time.Time, key PoolKey, server model.ServerID, class health.Class) {
	pool := p.Find(key)
	if pool == nil {
		return
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.health.Observe(now, server, class, 0)
}

// Loads returns the load of every pool that has an assignment, sorted by service and
// availability zone.
func (p *Pools) Loads() []membership.ServiceLoad {
	var loads []membership.ServiceLoad
	for key, pool := range *p.pools.Load() {
		stats, ok := pool.load()
		if !ok {
			continue
		}
		loads = append(loads, membership.ServiceLoad{
			Service: key.Service,
			Zone:    key.Zone,
			Slots:   stats.Slots,
			Busy:    stats.Busy,
			Queued:  sum(stats.Queued),
		})
	}
	sort.Slice(loads, func(i, j int) bool {
		if loads[i].Service != loads[j].Service {
			return loads[i].Service < loads[j].Service
		}
		return loads[i].Zone < loads[j].Zone
	})
	return loads
}

// load returns the counts of the queue, or false if the pool has no assignment.
func (p *Pool) load() (admit.Stats, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Stats(), !p.retired
}

// sum returns the total of the counts of all priorities.
func sum(counts [model.NumPriorities]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Targets returns the servers of every pool, in no particular order. A pool that
// has lost its assignment lists its last servers until Update removes it.
func (p *Pools) Targets() map[PoolKey][]backend.Target {
	targets := make(map[PoolKey][]backend.Target)
	for key, pool := range *p.pools.Load() {
		targets[key] = pool.targetList()
	}
	return targets
}

// targetList returns the servers of the pool.
func (p *Pool) targetList() []backend.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]backend.Target, 0, len(p.targets))
	for _, t := range p.targets {
		list = append(list, t)
	}
	return list
}

// InFlight returns the number of requests in flight at each server of every pool.
// Servers without any are not included.
func (p *Pools) InFlight() map[PoolKey]map[model.ServerID]int {
	counts := make(map[PoolKey]map[model.ServerID]int)
	for key, pool := range *p.pools.Load() {
		counts[key] = pool.inFlight()
	}
	return counts
}

// inFlight returns the number of requests in flight at each server of the pool.
func (p *Pool) inFlight() map[model.ServerID]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[model.ServerID]int)
	for _, slot := range p.running {
		counts[slot.Target.ID]++
	}
	return counts
}
