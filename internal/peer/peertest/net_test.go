package peertest

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"

	"github.com/pkg/errors"
)

const kind = peer.KindStatus

func echo(_ context.Context, from model.VMID, body []byte) (any, error) {
	var text string
	err := peer.Unmarshal(body, &text)
	return string(from) + ":" + text, err
}

func TestCallsAndFaults(t *testing.T) {
	n := New(1)
	a, b := n.Join("a"), n.Join("b")
	b.Handle(kind, echo)
	var reply string
	if err := a.Call(t.Context(), "b", kind, "hi", &reply); err != nil || reply != "a:hi" {
		t.Errorf("reply %q, error %v", reply, err)
	}
	n.Isolate("b")
	if err := a.Call(t.Context(), "b", kind, "hi", nil); !errors.Is(err, peer.ErrNoLink) {
		t.Errorf("call through a partition: %v", err)
	}
	n.Partition(nil)
	n.SetLoss(1)
	if err := a.Call(t.Context(), "b", kind, "hi", nil); !errors.Is(err, peer.ErrLinkLost) {
		t.Errorf("lost call: %v", err)
	}
	n.SetLoss(0)
	n.Leave("b")
	if err := a.Call(t.Context(), "b", kind, "hi", nil); !errors.Is(err, peer.ErrNoLink) {
		t.Errorf("call to a dead VM: %v", err)
	}
}

// arrivals sends two messages from each of two VMs and returns the order of
// arrival.
func arrivals(t *testing.T, seed int64) []string {
	n := New(seed)
	var order []string
	n.Join("c").Handle(kind, func(ctx context.Context, from model.VMID, body []byte) (any, error) {
		text, err := echo(ctx, from, body)
		order = append(order, text.(string))
		return nil, err
	})
	for _, vm := range []model.VMID{"a", "b"} {
		e := n.Join(vm)
		for _, text := range []string{"1", "2"} {
			if err := e.Send("c", kind, text); err != nil {
				t.Fatal(err)
			}
		}
	}
	n.Deliver()
	return order
}

func TestDeliveryFollowsTheSeed(t *testing.T) {
	orders := map[string]bool{}
	for seed := range int64(20) {
		order := arrivals(t, seed)
		if !slices.Equal(order, arrivals(t, seed)) {
			t.Fatalf("seed %d gives two orders", seed)
		}
		if slices.Index(order, "a:1") > slices.Index(order, "a:2") {
			t.Errorf("seed %d reorders one sender's messages: %v", seed, order)
		}
		orders[order[0]+order[1]+order[2]] = true
	}
	if len(orders) < 2 {
		t.Error("all seeds give the same order")
	}
}

func TestDelayTakesVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(1)
		n.SetDelay(time.Minute)
		a := n.Join("a")
		n.Join("b").Handle(kind, echo)
		started := time.Now()
		if err := a.Call(t.Context(), "b", kind, "hi", nil); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(started); took != 2*time.Minute {
			t.Errorf("call took %s", took)
		}
	})
}
