package daemon

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pace"
	"fuchsiaspar/internal/quota"

	"github.com/pkg/errors"
)

// TestTransferStaysWithinLinkCap checks that transfers in both directions of a
// link are paced to its floor and stop when their context ends.
func TestTransferStaysWithinLinkCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, floor, size = 1 << 20, 1 << 19, 2 << 20
		// The first window's allowance is available immediately; the rest is sent
		// no faster than the floor.
		const minDuration = (size - floor) * time.Second / floor
		timing := quota.Timing{GrantTTL: time.Second, MaxPropagation: time.Second}
		limiter := quota.NewLimiter("lj-a-1", quota.LimiterOptions{Timing: timing})
		limiter.SetCaps(time.Now(), 1, []quota.Cap{
			{Key: quota.LinkKey("lj", "mb"), PerSecond: perSecond},
			{Key: quota.InboundKey("mb", "lj"), PerSecond: perSecond},
		})
		time.Sleep(timing.Changeover())
		caps := newLinkCaps(limiter, "lj")
		if caps.Waiter("lj", "kp") != nil {
			t.Fatal("got a waiter for a link that is not configured")
		}
		for _, waiter := range []*pace.Waiter{caps.Waiter("lj", "mb"), caps.Waiter("mb", "lj")} {
			start := time.Now()
			var got bytes.Buffer
			n, err := pace.NewWriter(t.Context(), waiter, model.PriorityBulk, &got).Write(make([]byte, size))
			if err != nil || n != size || got.Len() != size {
				t.Fatalf("wrote %d of %d bytes: %v", n, size, err)
			}
			if elapsed := time.Since(start); elapsed < minDuration || elapsed > minDuration+2*quota.Window {
				t.Errorf("%d bytes took %v with a floor of %d bytes per second", size, elapsed, floor)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			if _, err := pace.NewWriter(ctx, waiter, model.PriorityBulk, &got).Write(make([]byte, size)); !errors.Is(err, pace.ErrWaitCancelled) {
				t.Errorf("write past its deadline: %v, want ErrGaveUp", err)
			}
			cancel()
		}
	})
}
