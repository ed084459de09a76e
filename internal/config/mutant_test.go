package config

import (
	"maps"
	"sync"
	"testing"

	"fuchsiaspar/internal/model"
)

// The tests below replace one rule of the service by a faulty one. The oracle
// must detect a violation in some history.

func TestHistoriesNoticeAdoptionOfLowerRevisions(t *testing.T) {
	expectDetected(t, func(vm model.VMID) rules {
		r := rulesWithRejectingVM(vm)
		r.higher = func(active, next model.Revision) bool { return next != active }
		return r
	})
}

func TestHistoriesNoticeCommitsWithoutAcknowledgement(t *testing.T) {
	expectDetected(t, func(vm model.VMID) rules {
		r := rulesWithRejectingVM(vm)
		r.accepted = func([]proposeAnswer) bool { return true }
		return r
	})
}

func TestHistoriesNoticeChangesLostOnRebase(t *testing.T) {
	var (
		mu   sync.Mutex
		seen = make(map[model.Revision]*version)
	)
	expectDetected(t, func(vm model.VMID) rules {
		r := rulesWithRejectingVM(vm)
		next := r.prepare
		r.prepare = func(base *version, change Change) (*version, error) {
			mu.Lock()
			seen[base.revision()] = base
			old := seen[change.Base]
			mu.Unlock()
			if old == nil || old.revision() >= base.revision() {
				return next(base, change)
			}
			stale := *old
			doc := *old.doc
			doc.Revision = base.revision()
			stale.doc = &doc
			return next(&stale, change)
		}
		return r
	})
}

// expectDetected fails the test unless the oracle finds a violation in some
// history.
func expectDetected(t *testing.T, rulesOf func(model.VMID) rules) {
	t.Helper()
	const seeds, perSeed = 20, 10
	for seed := range int64(seeds) {
		if violation := findViolation(t, seed, perSeed, rulesOf); violation != "" {
			t.Logf("detected: %.300s", violation)
			return
		}
	}
	t.Error("no history detects the faulty rule")
}

// TestOracleDetectsEachKindOfViolation applies the oracle to histories with one
// violation each.
func TestOracleDetectsEachKindOfViolation(t *testing.T) {
	valid := func() *oracle {
		e1 := oracleEdit{id: "a", account: "acct0", value: 5, base: 1}
		return &oracle{
			initial: map[string]int64{"acct0": 1},
			results: []oracleResult{{edit: e1, outcome: "committed", revision: 2}},
			commits: []oracleCommit{{revision: 1, id: "boot"}, {revision: 2, id: "a"}},
			adoptions: []oracleAdoption{
				{process: "p", revision: 1, values: map[string]int64{"acct0": 1}},
				{process: "p", revision: 2, values: map[string]int64{"acct0": 5}},
			},
			final: map[string]uint64{"p": 2},
		}
	}
	if faults := valid().check(); len(faults) > 0 {
		t.Fatalf("violations in a valid history: %v", faults)
	}
	corruptions := map[string]func(*oracle){
		"revert":          func(o *oracle) { o.adoptions = append(o.adoptions, o.adoptions[0]) },
		"wrong values":    func(o *oracle) { maps.Copy(o.adoptions[1].values, map[string]int64{"acct0": 6}) },
		"lost change":     func(o *oracle) { o.commits = o.commits[:1]; o.final["p"] = 1 },
		"committed twice": func(o *oracle) { o.commits = append(o.commits, oracleCommit{revision: 3, id: "a"}); o.final["p"] = 3 },
		"no ack":          func(o *oracle) { o.commits[1].unacknowledged = []string{"q", "r"} },
		"behind":          func(o *oracle) { o.final["q"] = 1 },
		"false refusal":   func(o *oracle) { o.results[0].outcome = "refused" },
		"false conflict":  func(o *oracle) { o.results[0].outcome = "conflict" },
		"stale": func(o *oracle) {
			at := o.results[0].knownAt.Add(ConfirmationTTL)
			o.samples = []oracleSample{{vm: "p", at: at, revision: 1}}
		},
	}
	for name, corrupt := range corruptions {
		o := valid()
		corrupt(o)
		if len(o.check()) == 0 {
			t.Errorf("%s is not detected", name)
		}
	}
}
