package config

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform/standin"
)

// withFleet runs test in a synctest bubble with seven started services and
// testDocument active.
func withFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.startAll()
		defer f.stopAll()
		f.bootstrap(t)
		test(t, f)
	})
}

func shiftCapChange(id ChangeID, base model.Revision, account model.AccountID, value int64) Change {
	return Change{ID: id, Operator: "op-" + string(id), Base: base, Accounts: []Account{testAccount(account, value)}}
}

func (f *fleet) shiftCapAt(vm model.VMID, account model.AccountID) int64 {
	value, _ := f.service(vm).Current().ShiftCap(account, "lease-desk")
	return value
}

// settleTime is the time after which a VM has ruled out commits of changes that
// an earlier process may have acknowledged, including a few polls.
const settleTime = ackTTL + 4*pollInterval

func TestCommitIsActiveOnEveryVM(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		result, err := f.service("vm4").Propose(context.Background(), shiftCapChange("c1", 1, "acct0", 77))
		if err != nil || result.Revision != 2 || result.Rebased || len(result.Pending) > 0 {
			t.Fatalf("got %+v, %v", result, err)
		}
		for _, vm := range f.running() {
			if got := f.shiftCapAt(vm, "acct0"); got != 77 {
				t.Errorf("%s has shift cap %d active, want 77", vm, got)
			}
		}
		time.Sleep(3 * time.Second)
		for _, vm := range f.running() {
			if !f.service(vm).Confirmed(time.Now()) {
				t.Errorf("%s is not confirmed", vm)
			}
		}
	})
}

func TestDisjointChangesRebaseAndSameAccountConflicts(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		ctx := context.Background()
		if _, err := f.service("vm0").Propose(ctx, shiftCapChange("a", 1, "acct0", 1)); err != nil {
			t.Fatal(err)
		}
		result, err := f.service("vm3").Propose(ctx, shiftCapChange("b", 1, "acct1", 2))
		if err != nil || !result.Rebased || result.Revision != 3 {
			t.Fatalf("disjoint change: %+v, %v", result, err)
		}
		_, err = f.service("vm5").Propose(ctx, shiftCapChange("c", 1, "acct0", 3))
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			t.Fatalf("got %v, want a conflict", err)
		}
		if conflict.Other.ChangeID != "a" || conflict.Other.Revision != 2 || conflict.Other.Operator != "op-a" || conflict.Key != "account/acct0" {
			t.Errorf("wrong conflict: %+v", conflict)
		}
	})
}

func TestSameChangeCommitsOnce(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for _, vm := range []model.VMID{"vm0", "vm6"} {
			result, err := f.service(vm).Propose(context.Background(), shiftCapChange("same", 1, "acct0", 5))
			if err != nil || result.Revision != 2 {
				t.Fatalf("at %s: %+v, %v", vm, result, err)
			}
		}
	})
}

func TestLostCommitReplyIsResolved(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for lost := 1; lost <= 4; lost++ {
			f.store.DropResponses("vm0", lost)
			id := ChangeID(rune('a' + lost))
			result, err := f.service("vm0").Propose(context.Background(), shiftCapChange(id, 0, "acct0", int64(lost)))
			if err != nil || result.Revision != model.Revision(lost+1) {
				t.Fatalf("%d replies lost: %+v, %v", lost, result, err)
			}
		}
	})
}

func TestIsolatedZoneBlocksChangesUntilExcluded(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		ctx := context.Background()
		time.Sleep(2 * time.Second)
		f.setIsolated("vm6", true)
		f.store.SetPartitioned("vm6", true)
		_, err := f.service("vm0").Propose(ctx, shiftCapChange("x", 1, "acct0", 9))
		var refused *RefusedError
		if !errors.As(err, &refused) || len(refused.By) != 1 || refused.By[0].VM != "vm6" {
			t.Fatalf("got %v, want a refusal by vm6", err)
		}
		change := shiftCapChange("y", 1, "acct0", 9)
		change.Exclude.Zones = []model.Zone{"kp-2"}
		result, err := f.service("vm0").Propose(ctx, change)
		if err != nil || len(result.Skipped) != 1 {
			t.Fatalf("excluded: %+v, %v", result, err)
		}
		time.Sleep(ConfirmationTTL)
		if f.service("vm6").Confirmed(time.Now()) {
			t.Error("the isolated VM is confirmed on a superseded revision")
		}
		time.Sleep(3 * pollInterval)
		if f.isolationCount("vm6") != 1 || f.isolationCount("vm0") != 0 {
			t.Errorf("isolations recorded: vm6 %d, vm0 %d", f.isolationCount("vm6"), f.isolationCount("vm0"))
		}
		f.setIsolated("vm6", false)
		f.store.SetPartitioned("vm6", false)
		time.Sleep(4 * time.Second)
		if got := f.shiftCapAt("vm6", "acct0"); got != 9 || !f.service("vm6").Confirmed(time.Now()) {
			t.Errorf("after rejoining: shift cap %d, confirmed %v", got, f.service("vm6").Confirmed(time.Now()))
		}
	})
}

func TestStoreOutageKeepsMajorityConfirmed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settleTime)
		f.store.SetDown(standin.AllClients, true)
		f.setIsolated("vm6", true)
		time.Sleep(time.Minute)
		for _, vm := range f.running() {
			if got, want := f.service(vm).Confirmed(time.Now()), vm != "vm6"; got != want {
				t.Errorf("%s confirmed = %v, want %v", vm, got, want)
			}
		}
		_, err := f.service("vm0").Propose(context.Background(), shiftCapChange("z", 0, "acct0", 9))
		if !errors.Is(err, ErrStoreUnavailable) {
			t.Errorf("change while the store is down: %v", err)
		}
	})
}

func TestRestartDuringStoreOutageAdoptsFromPeers(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settleTime)
		f.store.SetDown(standin.AllClients, true)
		f.stop("vm3")
		f.start(testSlots[3])
		time.Sleep(3 * time.Second)
		s := f.service("vm3")
		if s.Current() == nil || s.Current().Revision() != 1 || !s.Confirmed(time.Now()) {
			t.Fatalf("restarted VM has %v active", s.Current())
		}
	})
}

func TestInvalidChangeListsEveryProblem(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		change := shiftCapChange("bad", 1, "acct0", 5000)
		change.DeleteDrains = []string{"none"}
		_, err := f.service("vm0").Propose(context.Background(), change)
		problems, ok := AsProblems(err)
		if !ok || len(problems) != 2 {
			t.Fatalf("got %v", err)
		}
	})
}

// Guards against confirmation by a majority that can't see the latest commit.
// Six of seven VMs acknowledge a change and are partitioned off before its
// commit is announced. They are more than half of the slots, yet must not
// confirm each other.
func TestCutOffAfterAcknowledgingStaysIsolated(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(time.Minute)
		f.store.SetDelay("vm6", 10*time.Millisecond)
		committed := make(chan error)
		go func() {
			_, err := f.service("vm6").Propose(context.Background(), shiftCapChange("c", 1, "acct0", 9))
			committed <- err
		}()
		time.Sleep(20 * time.Millisecond)
		f.setIsolated("vm6", true)
		for _, slot := range testSlots[:6] {
			f.store.SetPartitioned(string(slot.VM), true)
		}
		if err := <-committed; err != nil {
			t.Fatalf("not committed: %v", err)
		}
		time.Sleep(ConfirmationTTL)
		for range 60 {
			time.Sleep(5 * time.Second)
			for _, slot := range testSlots[:6] {
				if f.service(slot.VM).Confirmed(time.Now()) {
					t.Fatalf("%s is confirmed on revision %d", slot.VM, f.service(slot.VM).Current().Revision())
				}
			}
		}
		if !f.service("vm6").Confirmed(time.Now()) {
			t.Error("the VM that reaches the store is not confirmed")
		}
	})
}
