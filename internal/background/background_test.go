package background

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Group
		if g.Go(func(context.Context) {}) {
			t.Fatal("Go accepted a goroutine before Start")
		}
		if err := g.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := g.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := g.Start(t.Context()); !errors.Is(err, ErrStarted) {
			t.Fatalf("second start: %v", err)
		}
		ticks := 0
		g.Go(func(ctx context.Context) { Every(ctx, time.Second, func(time.Time) { ticks++ }) })
		g.Go(func(ctx context.Context) {
			<-ctx.Done()
			time.Sleep(time.Minute)
		})
		time.Sleep(2500 * time.Millisecond)
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := g.Stop(short); !errors.Is(err, ErrRunning) {
			t.Fatalf("stop of a slow goroutine: %v", err)
		}
		if err := g.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		if ticks != 2 {
			t.Fatalf("%d ticks in 2.5 s, want 2", ticks)
		}
		if g.Go(func(context.Context) {}) {
			t.Fatal("Go accepted a goroutine after Stop")
		}
	})
}

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if !Sleep(t.Context(), time.Hour) {
			t.Fatal("an uninterrupted sleep was reported as interrupted")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if Sleep(ctx, time.Hour) {
			t.Fatal("an interrupted sleep was reported as complete")
		}
	})
}

func TestPeriodicCallsUntilStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		p := NewPeriodic(time.Second, func(time.Time) { calls++ })
		if err := p.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := p.Start(t.Context()); !errors.Is(err, ErrStarted) {
			t.Fatalf("second start: %v", err)
		}
		time.Sleep(2500 * time.Millisecond)
		if err := p.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2500 * time.Millisecond)
		if calls != 2 {
			t.Fatalf("%d calls, want 2", calls)
		}
	})
}
