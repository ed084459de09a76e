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

func TestTransferKeepsToTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, floor, size = 1 << 20, 1 << 19, 2 << 20
		// The first window's worth may go at once, the rest not faster than the
		// floor.
		const least = (size - floor) * time.Second / floor
		timing := quota.Timing{GrantTTL: time.Second, MaxPropagation: time.Second}
		ledger := quota.NewLimiter("lj-a-1", quota.LimiterOptions{Timing: timing})
		ledger.SetCaps(time.Now(), 1, []quota.Cap{
			{Key: quota.LinkKey("lj", "mb"), PerSecond: perSecond},
			{Key: quota.InboundKey("mb", "lj"), PerSecond: perSecond},
		})
		time.Sleep(timing.Changeover())
		caps := newLinkCaps(ledger, "lj")
		if caps.Waiter("lj", "kp") != nil {
			t.Fatal("a link that is not configured has a waiter")
		}
		for _, waiter := range []*pace.Waiter{caps.Waiter("lj", "mb"), caps.Waiter("mb", "lj")} {
			start := time.Now()
			var got bytes.Buffer
			n, err := pace.NewWriter(t.Context(), waiter, model.PriorityBulk, &got).Write(make([]byte, size))
			if err != nil || n != size || got.Len() != size {
				t.Fatalf("wrote %d of %d bytes: %v", n, size, err)
			}
			if took := time.Since(start); took < least || took > least+2*quota.Window {
				t.Errorf("%d bytes took %v on a floor of %d a second", size, took, floor)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			if _, err := pace.NewWriter(ctx, waiter, model.PriorityBulk, &got).Write(make([]byte, size)); !errors.Is(err, pace.ErrWaitCancelled) {
				t.Errorf("ended write: %v", err)
			}
			cancel()
		}
	})
}
