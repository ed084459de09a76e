package config

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform/standin"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var (
	histories   = flag.Int("histories", 100, "count of random histories")
	historySeed = flag.Int64("seed", 1, "seed of the first random history")
)

// opKind is a kind of step of a history.
type opKind int

const (
	opEdit opKind = iota
	opRace
	opRepeat
	opRestart
	opSplit
	opHeal
	opStoreDown
	opLoseAnswers
	opSlow
	opCutStore
	opWait
	opFaultDuring
	numOpKinds
)

// op is one step. What its numbers mean depends on its kind.
type op struct {
	Kind    opKind
	A, B, C int
}

const maxOpNumber = 1000

func genOp() gopter.Gen {
	number := gen.IntRange(0, maxOpNumber)
	// Edits are as frequent as all faults together.
	kind := gen.IntRange(0, 2*int(numOpKinds)-1)
	return gopter.CombineGens(kind, number, number, number).Map(func(v []any) op {
		k := opKind(v[0].(int))
		if k >= numOpKinds {
			k %= 2
		}
		return op{Kind: k, A: v[1].(int), B: v[2].(int), C: v[3].(int)}
	})
}

const (
	// pickyVM runs another release that refuses pickyValue.
	pickyVM    model.VMID = "vm5"
	pickyValue int64      = 666
	// healthyAfter is how long after the last fault every edit must succeed.
	healthyAfter = ackLife
	numAccounts  = 4
)

// world runs one history.
type world struct {
	*fleet
	oracle oracle
	mu     sync.Mutex
	edits  int
	last   uint64
	// faulty says that a fault may last, faultAt when the last one changed.
	faulty  bool
	faultAt time.Time
	sent    []sentEdit
	// proposers lists the VMs through which a change was sent.
	proposers map[ChangeID][]model.VMID
}

// sentEdit is an edit with its change, to be sent again.
type sentEdit struct {
	edit   oracleEdit
	change Change
}

func newWorld(seed int64, rulesOf func(model.VMID) rules) *world {
	w := &world{fleet: newFleet(seed), proposers: map[ChangeID][]model.VMID{"boot": {"vm0"}}}
	w.rulesOf = rulesOf
	w.oracle.bound = ConfirmationTTL
	w.oracle.start = map[string]int64{"acct0": 10, "acct1": 20}
	return w
}

// picky wraps the rules of pickyVM.
func picky(vm model.VMID, r rules) rules {
	if vm != pickyVM {
		return r
	}
	next := r.prepare
	r.prepare = func(base *version, change Change) (*version, error) {
		for _, a := range change.Accounts {
			if *a.Services[0].ShiftCap == pickyValue {
				return nil, errors.New("this release allows no such value")
			}
		}
		return next(base, change)
	}
	return r
}

func vmAt(n int) model.VMID { return testSlots[n%len(testSlots)].VM }

// run takes one step.
func (w *world) run(o op) {
	switch o.Kind {
	case opEdit:
		w.send(w.newEdit(o.A, o.B, o.C), vmAt(o.A))
	case opRace:
		w.race(o)
	case opRepeat:
		if len(w.sent) > 0 {
			w.send(w.sent[o.A%len(w.sent)], vmAt(o.B))
		}
	case opRestart:
		w.fault(w.faulty)
		w.stop(vmAt(o.A))
		w.start(testSlots[o.A%len(testSlots)])
	case opSplit:
		w.split(o.A, o.B)
	case opHeal:
		w.heal()
	case opStoreDown:
		w.fault(true)
		w.store.SetDown(standin.AllClients, o.A%2 == 0)
	case opLoseAnswers:
		w.fault(true)
		w.store.DropResponses(string(vmAt(o.A)), o.B%4)
	case opSlow:
		w.fault(true)
		w.store.SetDelay(standin.AllClients, time.Duration(o.A)*time.Millisecond)
	case opCutStore:
		w.fault(true)
		w.store.SetPartitioned(string(vmAt(o.A)), o.B%2 == 0)
	case opWait:
		w.wait(time.Duration(o.A%50) * time.Second)
	case opFaultDuring:
		w.faultDuring(o)
	}
	w.sample()
}

// faultDuring sends an edit and injects a fault while it is under way.
func (w *world) faultDuring(o op) {
	const longest = 12
	vm := vmAt(o.A)
	s := w.newEdit(o.A, o.B, o.C)
	w.fault(true)
	var group sync.WaitGroup
	group.Go(func() { w.send(s, vm) })
	time.Sleep(time.Duration(1+o.C%longest) * time.Millisecond)
	switch o.B % 4 {
	case 0:
		w.split(o.C, o.A)
	case 1:
		w.store.DropResponses(string(vm), 1)
		time.Sleep(testLatency * 3 / 2)
		w.store.SetPartitioned(string(vm), true)
	case 2:
		w.stop(vm)
		w.start(testSlots[o.A%len(testSlots)])
	case 3:
		w.setCut(vmAt(o.C), true)
		w.store.SetPartitioned(string(vmAt(o.C)), true)
	}
	group.Wait()
}

// fault notes that a fault was injected that may last, or that the last one
// was ended.
func (w *world) fault(lasts bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faulty = lasts
	w.faultAt = time.Now()
}

func (w *world) healthy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.faulty && time.Since(w.faultAt) > healthyAfter
}

// newEdit makes an edit of an account, based on a revision that is up to three
// behind. The operator of every second one excludes what its VM can't reach.
func (w *world) newEdit(vm, account, more int) sentEdit {
	w.mu.Lock()
	last := w.last
	w.mu.Unlock()
	w.edits++
	id := fmt.Sprintf("e%03d", w.edits)
	e := oracleEdit{
		id:      id,
		account: fmt.Sprintf("acct%d", account%numAccounts),
		value:   int64(more % 1000),
		base:    last - min(last-1, uint64(more%4)),
	}
	if account%5 == 0 {
		e.value = pickyValue
	}
	if e.value == pickyValue {
		e.refusedBy = string(pickyVM)
	}
	change := setCap(ChangeID(id), model.Revision(e.base), model.AccountID(e.account), e.value)
	if more%2 == 0 {
		change.Exclude.VMs = w.unreachable(vmAt(vm))
	}
	return sentEdit{edit: e, change: change}
}

func (w *world) unreachable(from model.VMID) []model.VMID {
	var out []model.VMID
	for _, m := range w.view(from).Members {
		if !answers(m) {
			out = append(out, m.VM)
		}
	}
	return out
}

func (w *world) race(o op) {
	const racers = 3
	var group sync.WaitGroup
	for i := range racers {
		s, vm := w.newEdit(o.A+i, o.B+i*o.C, o.C+i), vmAt(o.A+i)
		group.Go(func() { w.send(s, vm) })
	}
	group.Wait()
}

// send sends an edit through a VM and notes the result.
func (w *world) send(s sentEdit, vm model.VMID) {
	healthy := w.healthy()
	w.mu.Lock()
	w.proposers[s.change.ID] = append(w.proposers[s.change.ID], vm)
	w.mu.Unlock()
	result, err := w.service(vm).Propose(context.Background(), s.change)
	r := oracleResult{edit: s.edit, known: time.Now(), healthy: healthy}
	var (
		conflict   *ConflictError
		unresolved *UnresolvedError
	)
	switch {
	case err == nil:
		r.outcome, r.revision = "committed", uint64(result.Revision)
	case errors.As(err, &conflict):
		r.outcome, r.revision, r.other = "conflict", uint64(conflict.Other.Revision), string(conflict.Other.ChangeID)
	case errors.As(err, &unresolved):
		r.outcome = "unresolved"
	default:
		r.outcome = "refused"
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = max(w.last, r.revision)
	w.oracle.results = append(w.oracle.results, r)
	w.sent = append(w.sent, s)
}

// split puts the VMs on two sides, of which one has the store.
func (w *world) split(mask, stored int) {
	w.fault(true)
	for i, slot := range testSlots {
		side := mask >> i & 1
		w.fleet.mu.Lock()
		w.setSide(slot.VM, side)
		w.fleet.mu.Unlock()
		w.store.SetPartitioned(string(slot.VM), side != stored%2)
	}
}

func (w *world) heal() {
	w.fault(false)
	for _, slot := range testSlots {
		w.setCut(slot.VM, false)
		w.store.SetPartitioned(string(slot.VM), false)
		w.store.DropResponses(string(slot.VM), 0)
	}
	w.store.SetDown(standin.AllClients, false)
	w.store.SetDelay(standin.AllClients, testLatency)
}

// wait lets time pass and samples what the VMs believe.
func (w *world) wait(d time.Duration) {
	const every = 500 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(every)
		w.sample()
	}
}

func (w *world) sample() {
	now := time.Now()
	for _, vm := range w.running() {
		s := w.service(vm)
		if current := s.Current(); current != nil && s.Confirmed(now) {
			w.oracle.samples = append(w.oracle.samples, oracleSample{string(vm), now, uint64(current.Revision())})
		}
	}
}

// finish heals everything and gathers what the oracle judges.
func (w *world) finish() {
	w.heal()
	w.wait(ackLife)
	w.sample()
	w.gatherCommits()
	w.oracle.final = make(map[string]uint64)
	for _, vm := range w.running() {
		w.oracle.final[string(vm)] = uint64(w.service(vm).Current().Revision())
	}
	w.stopAll()
	for i, n := range w.retired {
		for _, s := range n.adopted {
			w.oracle.adoptions = append(w.oracle.adoptions, adoption(fmt.Sprintf("%s#%d", n.slot.VM, i), s))
		}
	}
}

func adoption(process string, s *Snapshot) oracleAdoption {
	a := oracleAdoption{process: process, revision: uint64(s.Revision()), values: make(map[string]int64)}
	if Validate(s.Document()) != nil {
		return a
	}
	for _, account := range s.Document().Accounts {
		a.values[string(account.ID)] = *account.Services[0].ShiftCap
	}
	return a
}

func (w *world) gatherCommits() {
	const all = 1000
	commits, err := w.service("vm0").History(context.Background(), all)
	if err != nil {
		w.oracle.commits = nil
		return
	}
	slices.Reverse(commits)
	for _, c := range commits {
		row := oracleCommit{revision: uint64(c.Revision), id: string(c.ChangeID)}
		for _, vm := range c.Excluded {
			row.excluded = append(row.excluded, string(vm))
		}
		row.lacking = w.lacking(c)
		w.oracle.commits = append(w.oracle.commits, row)
	}
}

// lacking returns the VMs that neither acknowledged the commit nor were
// excluded. The proposer's own acknowledgement crosses no link.
func (w *world) lacking(c Commit) []string {
	var out []string
	acked := w.acked[attempt{change: c.ChangeID, base: c.Revision - 1}]
	for _, slot := range testSlots {
		if acked[slot.VM] || slices.Contains(c.Excluded, slot.VM) || slices.Contains(w.proposers[c.ChangeID], slot.VM) {
			continue
		}
		out = append(out, string(slot.VM))
	}
	return out
}

// outcomes counts how edits ended, over all histories.
var outcomes = outcomeCounts{counts: make(map[string]int)}

type outcomeCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *outcomeCounts) add(results []oracleResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range results {
		c.counts[r.outcome]++
	}
}

// judgeHistory runs one history in a bubble and returns what is wrong with it.
func judgeHistory(t *testing.T, seed int64, ops []op, rulesOf func(model.VMID) rules) []string {
	var faults []string
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, rulesOf)
		w.store.SetDelay(standin.AllClients, testLatency)
		w.startAll()
		w.viewLag = time.Duration(seed%4) * time.Second
		w.bootstrap(t)
		w.last = 1
		for _, o := range ops {
			w.run(o)
		}
		w.finish()
		faults = w.oracle.judge()
		outcomes.add(w.oracle.results)
	})
	return faults
}

// checkHistories tries count random histories and returns the report of the
// first that the oracle finds fault with, empty if there is none.
func checkHistories(t *testing.T, seed int64, count int, rulesOf func(model.VMID) rules) string {
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = count
	parameters.Workers = 1
	parameters.MaxSize = 25
	parameters.MaxShrinkCount = 200
	property := prop.ForAll(func(ops []op) string {
		return strings.Join(judgeHistory(t, seed, ops, rulesOf), "\n")
	}, gen.SliceOf(genOp()))
	result := property.Check(parameters)
	if result.Passed() {
		return ""
	}
	return fmt.Sprintf("seed %d: %v %v", seed, result.Labels, result.Args)
}

func standardWithPicky(vm model.VMID) rules { return picky(vm, standardRules()) }

// TestRandomHistories runs -histories random histories, a few to a seed.
func TestRandomHistories(t *testing.T) {
	const perSeed = 10
	t.Run("all", func(t *testing.T) {
		for i := range max(*histories/perSeed, 1) {
			seed := *historySeed + int64(i)
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
				t.Parallel()
				if fault := checkHistories(t, seed, perSeed, standardWithPicky); fault != "" {
					t.Error(fault)
				}
			})
		}
	})
	t.Logf("edits by outcome: %v", outcomes.counts)
	for _, outcome := range []string{"committed", "conflict", "refused"} {
		if outcomes.counts[outcome] == 0 {
			t.Errorf("no edit ended as %s: the histories prove nothing", outcome)
		}
	}
}
