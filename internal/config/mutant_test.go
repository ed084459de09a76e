package config

import (
	"maps"
	"sync"
	"testing"

	"fuchsiaspar/internal/model"
)

// Each mutant breaks one rule of the service. The histories must notice.

func TestHistoriesNoticeAdoptionOfLowerRevisions(t *testing.T) {
	noticed(t, func(vm model.VMID) rules {
		r := standardWithPicky(vm)
		r.higher = func(inForce, next model.Revision) bool { return next != inForce }
		return r
	})
}

func TestHistoriesNoticeCommitsWithoutAcknowledgement(t *testing.T) {
	noticed(t, func(vm model.VMID) rules {
		r := standardWithPicky(vm)
		r.unanimous = func([]proposeAnswer) bool { return true }
		return r
	})
}

func TestHistoriesNoticeChangesLostOnRebase(t *testing.T) {
	var (
		mu   sync.Mutex
		seen = make(map[model.Revision]*version)
	)
	noticed(t, func(vm model.VMID) rules {
		r := standardWithPicky(vm)
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

// noticed fails the test unless the oracle finds fault with a history.
func noticed(t *testing.T, rulesOf func(model.VMID) rules) {
	t.Helper()
	const seeds, perSeed = 20, 10
	for seed := range int64(seeds) {
		if fault := checkHistories(t, seed, perSeed, rulesOf); fault != "" {
			t.Logf("noticed: %.300s", fault)
			return
		}
	}
	t.Error("no history notices the mutant")
}

// TestOracleJudgesEachKindOfFault checks the oracle itself.
func TestOracleJudgesEachKindOfFault(t *testing.T) {
	good := func() *oracle {
		e1 := oracleEdit{id: "a", account: "acct0", value: 5, base: 1}
		return &oracle{
			start:   map[string]int64{"acct0": 1},
			results: []oracleResult{{edit: e1, outcome: "committed", revision: 2}},
			commits: []oracleCommit{{revision: 1, id: "boot"}, {revision: 2, id: "a"}},
			adoptions: []oracleAdoption{
				{process: "p", revision: 1, values: map[string]int64{"acct0": 1}},
				{process: "p", revision: 2, values: map[string]int64{"acct0": 5}},
			},
			final: map[string]uint64{"p": 2},
		}
	}
	if faults := good().judge(); len(faults) > 0 {
		t.Fatalf("a faultless history: %v", faults)
	}
	breaks := map[string]func(*oracle){
		"revert":          func(o *oracle) { o.adoptions = append(o.adoptions, o.adoptions[0]) },
		"wrong values":    func(o *oracle) { maps.Copy(o.adoptions[1].values, map[string]int64{"acct0": 6}) },
		"lost change":     func(o *oracle) { o.commits = o.commits[:1]; o.final["p"] = 1 },
		"committed twice": func(o *oracle) { o.commits = append(o.commits, oracleCommit{revision: 3, id: "a"}); o.final["p"] = 3 },
		"no ack":          func(o *oracle) { o.commits[1].lacking = []string{"q", "r"} },
		"behind":          func(o *oracle) { o.final["q"] = 1 },
		"false refusal":   func(o *oracle) { o.results[0].outcome = "refused" },
		"false conflict":  func(o *oracle) { o.results[0].outcome = "conflict" },
		"stale": func(o *oracle) {
			at := o.results[0].known.Add(ConfirmationTTL)
			o.samples = []oracleSample{{vm: "p", at: at, revision: 1}}
		},
	}
	for name, spoil := range breaks {
		o := good()
		spoil(o)
		if len(o.judge()) == 0 {
			t.Errorf("%s is not noticed", name)
		}
	}
}
