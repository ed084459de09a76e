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
	// healthInterval is how often each owned server is asked for its health.
	healthInterval = time.Second
	// healthTimeout bounds one question.
	healthTimeout = time.Second
)

// Poller asks the owned servers for their health. Their answers are hints: a
// server that says it drains gets no new work, the rest only informs limits.
type Poller struct {
	pools    *owner.Pools
	client   *backend.Client
	failures tally.Counter

	mu       sync.Mutex
	draining map[model.ServerID]bool
	version  uint64
	group    background.Group
}

// NewPoller returns a stopped poller of the servers in pools.
func NewPoller(pools *owner.Pools, client *backend.Client, scope tally.Scope) *Poller {
	return &Poller{
		pools:    pools,
		client:   client,
		failures: scope.Counter("health_failures"),
		draining: make(map[model.ServerID]bool),
	}
}

// Draining reports whether the server said that it drains.
func (p *Poller) Draining(id model.ServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining[id]
}

// DrainVersion changes with the set of draining servers.
func (p *Poller) DrainVersion() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

func (p *Poller) note(id model.ServerID, draining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining[id] != draining {
		p.version++
	}
	p.draining[id] = draining
}

// Start polls until Stop.
func (p *Poller) Start(ctx context.Context) error {
	if err := p.group.Start(ctx); err != nil {
		return err
	}
	p.group.Go(func(ctx context.Context) {
		background.Every(ctx, healthInterval, func(time.Time) { p.pollAll(ctx) })
	})
	return nil
}

// Stop ends the polling.
func (p *Poller) Stop(ctx context.Context) error { return p.group.Stop(ctx) }

func (p *Poller) pollAll(ctx context.Context) {
	targets := p.pools.Targets()
	p.forget(targets)
	var asked sync.WaitGroup
	for key, list := range targets {
		for _, t := range list {
			asked.Go(func() { p.poll(ctx, key, t) })
		}
	}
	asked.Wait()
}

func (p *Poller) poll(ctx context.Context, key owner.PoolKey, t backend.Target) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	report, err := p.client.Health(ctx, t)
	if err != nil {
		p.failures.Inc(1)
		p.failed(key, t, err)
		return
	}
	p.note(t.ID, report.Draining)
	p.pools.ReportLoad(time.Now(), key, t.ID, health.Report{Load: report.Load, Ready: report.Ready})
}

// failed tells the pool of a server that accepts no connection. Other failures
// to answer a question say nothing of the server's work.
func (p *Poller) failed(key owner.PoolKey, t backend.Target, err error) {
	var e *net.OpError
	if errors.As(err, &e) && e.Op == "dial" {
		p.pools.Observe(time.Now(), key, t.ID, health.Unreachable)
	}
}

// forget drops what was said by servers that are no longer owned.
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
