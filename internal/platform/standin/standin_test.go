package standin

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/platform"
)

// bounded returns a context that ends after one second, which is synthetic time
// inside a synctest bubble.
func bounded(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	t.Cleanup(cancel)
	return ctx
}

func wantError(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

func put(t *testing.T, c *Client, key, value string, expect uint64, lease platform.LeaseID) uint64 {
	t.Helper()
	version, err := c.Put(bounded(t), key, []byte(value), expect, lease)
	if err != nil {
		t.Fatalf("put %s: %v", key, err)
	}
	return version
}

func TestPutComparesVersions(t *testing.T) {
	c := New(Options{}).Client("a")
	ctx := context.Background()
	first := put(t, c, "k", "1", 0, 0)
	_, err := c.Put(ctx, "k", []byte("2"), 0, 0)
	wantError(t, err, platform.ErrConflict)
	second := put(t, c, "k", "2", first, 0)
	if second <= first {
		t.Errorf("version went from %d to %d", first, second)
	}
	wantError(t, c.Delete(ctx, "k", first), platform.ErrConflict)
	wantError(t, c.Delete(ctx, "k", second), nil)
	_, err = c.Get(ctx, "k")
	wantError(t, err, platform.ErrNotFound)
	if third := put(t, c, "k", "3", 0, 0); third <= second {
		t.Errorf("version of a recreated key went from %d to %d", second, third)
	}
	_, err = c.Put(ctx, "big", make([]byte, platform.MaxValueBytes+1), 0, 0)
	wantError(t, err, platform.ErrTooLarge)
}

func TestLeaseExpiryDeletesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Options{}).Client("a")
		lease, err := c.Grant(bounded(t), 3*time.Second)
		wantError(t, err, nil)
		put(t, c, "held", "x", 0, lease)
		time.Sleep(2 * time.Second)
		wantError(t, c.KeepAlive(bounded(t), lease), nil)
		time.Sleep(2 * time.Second)
		_, err = c.Get(bounded(t), "held")
		wantError(t, err, nil)
		time.Sleep(time.Second)
		_, err = c.Get(bounded(t), "held")
		wantError(t, err, platform.ErrNotFound)
		wantError(t, c.KeepAlive(bounded(t), lease), platform.ErrNotFound)
	})
}

func TestExpiringLeasesOfOneClient(t *testing.T) {
	s := New(Options{})
	a, b := s.Client("a"), s.Client("b")
	leaseA, _ := a.Grant(bounded(t), time.Hour)
	leaseB, _ := b.Grant(bounded(t), time.Hour)
	put(t, a, "a", "x", 0, leaseA)
	put(t, b, "b", "x", 0, leaseB)
	s.ExpireLeases("a")
	_, err := b.Get(bounded(t), "a")
	wantError(t, err, platform.ErrNotFound)
	wantError(t, b.KeepAlive(bounded(t), leaseB), nil)
	_, err = a.Put(bounded(t), "a", nil, 0, leaseA)
	wantError(t, err, platform.ErrNotFound)
}

func TestWatchWakesOnChangeDeleteAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Options{}).Client("a")
		lease, _ := c.Grant(bounded(t), 10*time.Second)
		put(t, c, "p/leased", "x", 0, lease)
		version := put(t, c, "p/k", "1", 0, 0)
		after := version
		go func() {
			time.Sleep(time.Second)
			_ = c.Delete(context.Background(), "p/k", version)
		}()
		for _, key := range []string{"p/k", "p/leased"} {
			entries, newest, err := c.Watch(context.Background(), "p/", after)
			if err != nil || len(entries) != 1 || entries[0].Key != key || entries[0].Version != 0 {
				t.Fatalf("got %+v, %v, want the deletion of %s", entries, err, key)
			}
			after = newest
		}
		_, _, err := c.Watch(bounded(t), "p/", after)
		wantError(t, err, platform.ErrUnavailable)
	})
}

func TestFaultsOfOneClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		a, b := s.Client("a"), s.Client("b")
		s.SetDown("a", true)
		_, err := a.Get(bounded(t), "k")
		wantError(t, err, platform.ErrUnavailable)
		_, err = b.Get(bounded(t), "k")
		wantError(t, err, platform.ErrNotFound)
		s.SetDown("a", false)

		s.SetPartitioned("a", true)
		_, err = a.Put(bounded(t), "k", nil, 0, 0)
		wantError(t, err, platform.ErrUnavailable)
		_, err = b.Get(bounded(t), "k")
		wantError(t, err, platform.ErrNotFound)
		s.SetPartitioned("a", false)

		s.SetDelay("a", 700*time.Millisecond)
		start := time.Now()
		put(t, a, "k", "1", 0, 0)
		if took := time.Since(start); took != 700*time.Millisecond {
			t.Errorf("delayed call took %v, want 700ms", took)
		}
		s.SetDelay("a", 2*time.Second)
		_, err = a.Get(bounded(t), "k")
		wantError(t, err, platform.ErrUnavailable)
	})
}

func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	s := New(Options{})
	c := s.Client("a")
	s.DropResponses("a", 1)
	_, err := c.Put(bounded(t), "k", []byte("1"), 0, 0)
	wantError(t, err, platform.ErrUnavailable)
	entry, err := c.Get(bounded(t), "k")
	wantError(t, err, nil)
	if string(entry.Value) != "1" {
		t.Errorf("got value %q, want 1", entry.Value)
	}
	put(t, c, "k", "2", entry.Version, 0)
}

func TestRateLimitsCountEachCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{WritesPerSecond: 2, ReadsPerSecond: 3})
		c := s.Client("a")
		put(t, c, "k1", "", 0, 0)
		put(t, c, "k2", "", 0, 0)
		_, err := c.Put(bounded(t), "k3", nil, 0, 0)
		wantError(t, err, platform.ErrRateLimited)
		for range 2 {
			_, _ = c.Get(bounded(t), "k1")
		}
		_, _, _ = c.Watch(bounded(t), "none/", 0)
		_, err = c.List(bounded(t), "")
		wantError(t, err, nil)
		if got := s.Calls(AllClients, CallPut); got != 3 {
			t.Errorf("%d puts counted, want 3", got)
		}
		if got := s.TotalCalls("a"); got != 7 {
			t.Errorf("%d calls counted, want 7", got)
		}
	})
}

func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ListLag: 5 * time.Second})
		c := s.Client("a")
		s.SetVM(platform.VM{ID: "v1", State: platform.VMLive})
		s.SetVM(platform.VM{ID: "v2", State: platform.VMLive})
		states := func() string {
			list, err := c.VMs(bounded(t))
			wantError(t, err, nil)
			text := ""
			for _, vm := range list {
				text += vm.ID + "=" + string(vm.State) + " "
			}
			return text
		}
		if got := states(); got != "" {
			t.Errorf("got %q before the lag has passed, want an empty list", got)
		}
		time.Sleep(5 * time.Second)
		s.MarkLeaving("v1")
		s.RemoveVM("v2")
		if got := states(); got != "v1=live v2=live " {
			t.Errorf("got %q", got)
		}
		time.Sleep(5 * time.Second)
		if got := states(); got != "v1=leaving " {
			t.Errorf("got %q", got)
		}
	})
}
