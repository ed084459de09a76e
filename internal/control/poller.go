package control

import (
	"context"
	"net"
	"sync"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/health"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// healthInterval is the interval of health checks of each owned server.
	healthInterval = time.Second
	// healthTimeout bounds one health check.
	healthTimeout = time.Second
)

// Poller checks the health of the owned servers. A server that reports that it is
// draining gets no new work. The reported load and readiness are hints for the
// limits of its pool.
type Poller struct {
	pools    *owner.Pools
	client   *backend.Client
	failures tally.Counter

	mu sync.Mutex
	// draining holds the last reported draining state of each server.
	draining map[model.ServerID]bool
	// version is incremented when a draining state changes.
	version uint64
	group   background.Group
}

// NewPoller returns a poller of the servers in pools. Start starts it.
func NewPoller(pools *owner.Pools, client *backend.Client, scope tally.Scope) *Poller {
	return &Poller{
		pools:    pools,
		client:   client,
		failures: scope.Counter("health_failures"),
		draining: make(map[model.ServerID]bool),
	}
}

// Draining reports whether the last health report of the server said that it is
// draining.
func (p *Poller) Draining(id model.ServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining[id]
}

// DrainVersion returns a number that changes whenever a server begins or ceases to
// report that it is draining.
func (p *Poller) DrainVersion() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// setDraining stores the reported draining state of a server.
func (p *Poller) setDraining(id model.ServerID, draining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining[id] != draining {
		p.version++
	}
	p.draining[id] = draining
}

// Start starts a goroutine that polls the servers until Stop.
func (p *Poller) Start(ctx context.Context) error {
	if err := p.group.Start(ctx); err != nil {
		return err
	}
	p.group.Go(func(ctx context.Context) {
		background.Every(ctx, healthInterval, func(time.Time) { p.pollAll(ctx) })
	})
	return nil
}

// Stop stops polling.
func (p *Poller) Stop(ctx context.Context) error { return p.group.Stop(ctx) }

// pollAll checks all owned servers concurrently and waits for the results.
func (p *Poller) pollAll(ctx context.Context) {
	targets := p.pools.Targets()
	p.forget(targets)
	var polls sync.WaitGroup
	for key, list := range targets {
		for _, t := range list {
			polls.Go(func() { p.poll(ctx, key, t) })
		}
	}
	polls.Wait()
}

// poll checks one server and passes the result to its pool.
func (p *Poller) poll(ctx context.Context, key owner.PoolKey, t backend.Target) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	status, err := p.client.Health(ctx, t)
	if err != nil {
		p.failures.Inc(1)
		p.reportUnreachable(key, t, err)
		return
	}
	p.setDraining(t.ID, status.Draining)
	p.pools.ReportLoad(time.Now(), key, t.ID, health.Report{Load: status.Load, Ready: status.Ready})
}

// reportUnreachable reports a server that accepts no connection to its pool. Other
// failures of a health check do not show that the server cannot process requests.
func (p *Poller) reportUnreachable(key owner.PoolKey, t backend.Target, err error) {
	var e *net.OpError
	if errors.As(err, &e) && e.Op == "dial" {
		p.pools.Observe(time.Now(), key, t.ID, health.Unreachable)
	}
}

// forget drops the draining state of servers that are no longer owned.
func (p *Poller) forget(targets map[owner.PoolKey][]backend.Target) {
	owned := make(map[model.ServerID]bool)
	for _, list := range targets {
		for _, t := range list {
			owned[t.ID] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.draining {
		if !owned[id] {
			delete(p.draining, id)
		}
	}
}
