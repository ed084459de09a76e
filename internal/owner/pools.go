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
	Target   backend.Target
	Draining bool
}

// Assignment is everything that one pool should serve from now on.
type Assignment struct {
	Key       PoolKey
	Policy    admit.Policy
	Slots     int
	ColdStart time.Duration
	Servers   []Server
}

// Pools holds the pools of this entry VM. Update is called by the control
// goroutine; the other methods by any goroutine.
type Pools struct {
	explain explain.Recorder

	mu    sync.Mutex
	pools atomic.Pointer[map[PoolKey]*Pool]
}

// NewPools returns a set without pools that records its decisions.
func NewPools(recorder explain.Recorder) *Pools {
	p := &Pools{explain: recorder}
	p.pools.Store(&map[PoolKey]*Pool{})
	return p
}

// Find returns the pool for key, or nil when this VM owns no server there.
func (p *Pools) Find(key PoolKey) *Pool {
	return (*p.pools.Load())[key]
}

// Update makes the pools match the assignments. A pool without assignment
// takes no new work and is kept until its work has ended.
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

// retire removes every server and reports whether work is still running.
func (p *Pool) retire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.health.SetServers(now, nil)
	p.apply(now, p.queue.SetServers(now, nil))
	return len(p.running) > 0 || len(p.waiting) > 0
}

// Tick lets every pool shed what waited too long.
func (p *Pools) Tick(now time.Time) {
	for _, pool := range *p.pools.Load() {
		pool.tick(now)
	}
}

// Report hands the load report of a server to its pool.
func (p *Pools) ReportLoad(now time.Time, key PoolKey, server model.ServerID, r health.Report) {
	pool := p.Find(key)
	if pool == nil {
		return
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.health.Report(now, server, r)
}

// Observe hands what was seen of a server outside its requests to its pool.
func (p *Pools) Observe(now time.Time, key PoolKey, server model.ServerID, class health.Class) {
	pool := p.Find(key)
	if pool == nil {
		return
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.health.Observe(now, server, class, 0)
}

// Loads summarises every pool with servers, sorted by service and zone.
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

// load returns the pool's counts, or false when it has no servers.
func (p *Pool) load() (admit.Stats, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Stats(), !p.retired
}

func sum(counts [model.NumPriorities]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Targets lists the servers of every pool.
func (p *Pools) Targets() map[PoolKey][]backend.Target {
	targets := make(map[PoolKey][]backend.Target)
	for key, pool := range *p.pools.Load() {
		targets[key] = pool.owned()
	}
	return targets
}

func (p *Pool) owned() []backend.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]backend.Target, 0, len(p.targets))
	for _, t := range p.targets {
		list = append(list, t)
	}
	return list
}

// Running counts the requests in flight at each server.
func (p *Pools) InFlight() map[PoolKey]map[model.ServerID]int {
	counts := make(map[PoolKey]map[model.ServerID]int)
	for key, pool := range *p.pools.Load() {
		counts[key] = pool.inFlight()
	}
	return counts
}

func (p *Pool) inFlight() map[model.ServerID]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[model.ServerID]int)
	for _, slot := range p.running {
		counts[slot.Target.ID]++
	}
	return counts
}
