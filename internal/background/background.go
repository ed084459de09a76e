// Package background runs the goroutines of a service with a shared lifetime:
// stopping their Group cancels the context of all of them and waits for them
// to return.
package background

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors returned by a Group. Test for them with errors.Is.
var (
	// ErrStarted is returned by a second call of Start.
	ErrStarted = errors.New("background: already started")
	// ErrRunning is returned by Stop when goroutines are still running at its
	// deadline.
	ErrRunning = errors.New("background: goroutines still running")
)

// Group is a set of goroutines that are cancelled together. The zero value is
// a group that has not been started. A Group is safe for concurrent use and
// can't be restarted.
type Group struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start makes the group accept goroutines. Their context inherits the values of
// ctx but not its cancellation. A second call returns ErrStarted.
func (g *Group) Start(ctx context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx != nil {
		return ErrStarted
	}
	g.ctx, g.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return nil
}

// Go runs f in a new goroutine, with a context that Stop cancels. It returns
// false, without running f, before Start and after Stop.
func (g *Group) Go(f func(ctx context.Context)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx == nil || g.ctx.Err() != nil {
		return false
	}
	ctx := g.ctx
	g.wg.Go(func() { f(ctx) })
	return true
}

// Stop cancels the goroutines' context and waits for them to return. If ctx ends
// first, it returns ErrRunning, and Stop may be called again to keep waiting.
// Before Start it does nothing.
func (g *Group) Stop(ctx context.Context) error {
	g.mu.Lock()
	if g.ctx == nil {
		g.mu.Unlock()
		return nil
	}
	g.cancel()
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		g.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.WithMessage(ErrRunning, ctx.Err().Error())
	}
}

// Periodic calls a function at a fixed period between Start and Stop. It
// implements kernel.Starter and kernel.Stopper.
type Periodic struct {
	group  Group
	period time.Duration
	f      func(now time.Time)
}

// NewPeriodic returns a Periodic that calls f every period once it is started.
// The period must be positive.
func NewPeriodic(period time.Duration, f func(now time.Time)) *Periodic {
	return &Periodic{period: period, f: f}
}

// Start begins the calls, the first one after one period. A second call returns
// ErrStarted.
func (p *Periodic) Start(ctx context.Context) error {
	if err := p.group.Start(ctx); err != nil {
		return err
	}
	p.group.Go(func(ctx context.Context) { Every(ctx, p.period, p.f) })
	return nil
}

// Stop ends the calls and waits for a call in progress. It returns ErrRunning
// if ctx ends first.
func (p *Periodic) Stop(ctx context.Context) error { return p.group.Stop(ctx) }

// Sleep waits for d and reports whether it elapsed before ctx ended.
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

// Every calls f every period, first after one period, until ctx ends. Ticks that
// fall due while f runs are dropped, as by time.Ticker. The period must be
// positive.
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
