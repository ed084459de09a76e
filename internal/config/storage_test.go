package config

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform/standin"
)

func TestUnusedRevisionsAreDeleted(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		const commits = maxRevisions + 2*gcBatchSize
		ctx := context.Background()
		s := f.service("vm0")
		for i := range commits {
			change := shiftCapChange(ChangeID(fmt.Sprintf("c%d", i)), 0, "acct0", int64(i))
			if _, err := s.Propose(ctx, change); err != nil {
				t.Fatal(err)
			}
		}
		newest := s.Current().Revision()
		for range 3 {
			if err := s.collectGarbage(ctx); err != nil {
				t.Fatal(err)
			}
		}
		limit := newest - maxRevisions
		for r := model.Revision(1); r <= newest; r++ {
			_, err := s.DocumentAt(ctx, r)
			if (err == nil) != (r > limit) {
				t.Fatalf("revision %d of %d: %v", r, newest, err)
			}
		}
		objects, err := f.store.Client("test").List(ctx, objectPrefix)
		if err != nil {
			t.Fatal(err)
		}
		// Each retained revision has its own head object and account object;
		// the other objects are shared.
		if most := 2*maxRevisions + 10; len(objects) > most {
			t.Errorf("%d objects are left, want at most %d", len(objects), most)
		}
	})
}

func TestLargeChangesAreSentInPieces(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		const blocks = 20_000
		time.Sleep(settleTime)
		ctx := context.Background()
		account := testAccount("large", 1)
		account.Blocks = manyBlocks(blocks)
		result, err := f.service("vm3").Propose(ctx, Change{ID: "large", Accounts: []Account{account}})
		if err != nil || len(result.Pending) > 0 {
			t.Fatalf("%+v, %v", result, err)
		}
		f.store.SetDown(standin.AllClients, true)
		f.stop("vm5")
		f.start(testSlots[5])
		time.Sleep(5 * time.Second)
		for _, vm := range f.running() {
			got, ok := f.service(vm).Current().Account("large")
			if !ok || len(got.Blocks) != blocks {
				t.Errorf("%s lacks the account or its blocks", vm)
			}
		}
		if held := len(f.service("vm3").pieces); held > 0 {
			t.Errorf("%d pieces are not released", held)
		}
	})
}

func TestRateLimitedStoreOnlyDelaysChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const writesPerSecond = 3
		f := newFleet(1)
		f.store = standin.New(standin.Options{WritesPerSecond: writesPerSecond})
		f.startAll()
		defer f.stopAll()
		f.bootstrap(t)
		for i := range 5 {
			change := shiftCapChange(ChangeID(fmt.Sprintf("c%d", i)), 0, "acct0", int64(i))
			if _, err := f.service(vmAt(i)).Propose(context.Background(), change); err != nil {
				t.Fatalf("change %d: %v", i, err)
			}
		}
	})
}

func TestStoreThatLostRevisionsIsIgnored(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		ctx := context.Background()
		client := f.store.Client("restore")
		old, err := client.Get(ctx, headKey)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.service("vm0").Propose(ctx, shiftCapChange("c", 0, "acct0", 7)); err != nil {
			t.Fatal(err)
		}
		now, err := client.Get(ctx, headKey)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Put(ctx, headKey, old.Value, now.Version, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		for _, vm := range f.running() {
			if got := f.shiftCapAt(vm, "acct0"); got != 7 {
				t.Errorf("%s reverted to shift cap %d", vm, got)
			}
		}
		if _, err := f.service("vm0").Propose(ctx, shiftCapChange("d", 0, "acct0", 8)); !errors.Is(err, ErrStoreBehind) {
			t.Errorf("change on a store that lost revisions: %v", err)
		}
	})
}
