// Package background runs the goroutines of one service and ends them
// together.
package background

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Group. Test for them with errors.Is.
var (
	// ErrStarted reports a second Start.
	ErrStarted = errors.New("background: already started")
	// ErrRunning reports goroutines that outlasted the time for the stop.
	ErrRunning = errors.New("background: goroutines still run")
)

// Group is the lifetime of a service's goroutines. The zero value has not
// started. It is safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Start begins the lifetime. It outlasts ctx, whose values it keeps.
func (g *Group) Start(ctx context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx != nil {
		return ErrStarted
	}
	g.ctx, g.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return nil
}

// Go runs f on a goroutine with a context that Stop ends. It reports false
// outside the lifetime.
func (g *Group) Go(f func(ctx context.Context)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx == nil || g.ctx.Err() != nil {
		return false
	}
	ctx := g.ctx
	g.running.Go(func() { f(ctx) })
	return true
}

// Stop ends the lifetime and waits for the goroutines, or returns ErrRunning
// when ctx ends first. Without a Start it does nothing.
func (g *Group) Stop(ctx context.Context) error {
	g.mu.Lock()
	if g.ctx == nil {
		g.mu.Unlock()
		return nil
	}
	g.cancel()
	g.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		g.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return errors.WithMessage(ErrRunning, ctx.Err().Error())
	}
}

// Periodic calls a function from Start to Stop. It is a service of the kernel.
type Periodic struct {
	group  Group
	period time.Duration
	call   func(now time.Time)
}

// NewPeriodic returns a Periodic that has not started.
func NewPeriodic(period time.Duration, call func(now time.Time)) *Periodic {
	return &Periodic{period: period, call: call}
}

// Start begins the calls, the first one after a period.
func (p *Periodic) Start(ctx context.Context) error {
	if err := p.group.Start(ctx); err != nil {
		return err
	}
	p.group.Go(func(ctx context.Context) { Every(ctx, p.period, p.call) })
	return nil
}

// Stop ends the calls and waits for one under way.
func (p *Periodic) Stop(ctx context.Context) error { return p.group.Stop(ctx) }

// Sleep waits for d and reports false when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls f each period until ctx ends.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}
