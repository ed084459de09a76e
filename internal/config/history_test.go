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
	histories   = flag.Int("histories", 100, "number of random histories")
	historySeed = flag.Int64("seed", 1, "seed of the first random history")
)

// opKind is a kind of step of a history.
type opKind int

const (
	opEdit opKind = iota
	opRace
	opRepeat
	opRestart
	opPartition
	opHeal
	opStoreDown
	opLoseAnswers
	opSlow
	opCutStore
	opWait
	opFaultDuring
	numOpKinds
)

// op is one step of a history. The meaning of A, B and C depends on the kind.
type op struct {
	Kind    opKind
	A, B, C int
}

const maxOpNumber = 1000

func genOp() gopter.Gen {
	number := gen.IntRange(0, maxOpNumber)
	// Half of the steps are edits and races; the other half is distributed
	// uniformly over all kinds.
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
	// rejectingVM runs a different release that rejects rejectedValue.
	rejectingVM   model.VMID = "vm5"
	rejectedValue int64      = 666
	// recoveryTime is how long after the last fault every edit must succeed.
	recoveryTime = ackTTL
	numAccounts  = 4
)

// historyRun runs one history and collects what the oracle checks.
type historyRun struct {
	*fleet
	oracle       oracle
	mu           sync.Mutex
	edits        int
	lastRevision uint64
	// faultActive reports whether a fault may be ongoing. lastFaultAt is when a
	// fault last started or ended.
	faultActive bool
	lastFaultAt time.Time
	sentEdits   []proposedEdit
	// proposers lists the VMs through which each change was sent.
	proposers map[ChangeID][]model.VMID
}

// proposedEdit is an edit and its change, kept so that it can be sent again.
type proposedEdit struct {
	edit   oracleEdit
	change Change
}

func newHistoryRun(seed int64, rulesOf func(model.VMID) rules) *historyRun {
	h := &historyRun{fleet: newFleet(seed), proposers: map[ChangeID][]model.VMID{"boot": {"vm0"}}}
	h.rulesOf = rulesOf
	h.oracle.maxStaleness = ConfirmationTTL
	h.oracle.initial = map[string]int64{"acct0": 10, "acct1": 20}
	return h
}

// withRejectedValue makes the rules of rejectingVM reject rejectedValue.
func withRejectedValue(vm model.VMID, r rules) rules {
	if vm != rejectingVM {
		return r
	}
	next := r.prepare
	r.prepare = func(base *version, change Change) (*version, error) {
		for _, a := range change.Accounts {
			if *a.Services[0].ShiftCap == rejectedValue {
				return nil, errors.New("value not allowed by this release")
			}
		}
		return next(base, change)
	}
	return r
}

func vmAt(n int) model.VMID { return testSlots[n%len(testSlots)].VM }

// runStep executes one step.
func (h *historyRun) runStep(o op) {
	switch o.Kind {
	case opEdit:
		h.send(h.newEdit(o.A, o.B, o.C), vmAt(o.A))
	case opRace:
		h.race(o)
	case opRepeat:
		if len(h.sentEdits) > 0 {
			h.send(h.sentEdits[o.A%len(h.sentEdits)], vmAt(o.B))
		}
	case opRestart:
		h.recordFault(h.faultActive)
		h.stop(vmAt(o.A))
		h.start(testSlots[o.A%len(testSlots)])
	case opPartition:
		h.splitNetwork(o.A, o.B)
	case opHeal:
		h.heal()
	case opStoreDown:
		h.recordFault(true)
		h.store.SetDown(standin.AllClients, o.A%2 == 0)
	case opLoseAnswers:
		h.recordFault(true)
		h.store.DropResponses(string(vmAt(o.A)), o.B%4)
	case opSlow:
		h.recordFault(true)
		h.store.SetDelay(standin.AllClients, time.Duration(o.A)*time.Millisecond)
	case opCutStore:
		h.recordFault(true)
		h.store.SetPartitioned(string(vmAt(o.A)), o.B%2 == 0)
	case opWait:
		h.wait(time.Duration(o.A%50) * time.Second)
	case opFaultDuring:
		h.faultDuring(o)
	}
	h.sample()
}

// faultDuring sends an edit and injects a fault while it is in progress.
func (h *historyRun) faultDuring(o op) {
	const longest = 12
	vm := vmAt(o.A)
	s := h.newEdit(o.A, o.B, o.C)
	h.recordFault(true)
	var group sync.WaitGroup
	group.Go(func() { h.send(s, vm) })
	time.Sleep(time.Duration(1+o.C%longest) * time.Millisecond)
	switch o.B % 4 {
	case 0:
		h.splitNetwork(o.C, o.A)
	case 1:
		h.store.DropResponses(string(vm), 1)
		time.Sleep(testLatency * 3 / 2)
		h.store.SetPartitioned(string(vm), true)
	case 2:
		h.stop(vm)
		h.start(testSlots[o.A%len(testSlots)])
	case 3:
		h.setIsolated(vmAt(o.C), true)
		h.store.SetPartitioned(string(vmAt(o.C)), true)
	}
	group.Wait()
}

// recordFault records that a fault was injected, with lasts true if it may be
// ongoing, or that the last one ended.
func (h *historyRun) recordFault(lasts bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultActive = lasts
	h.lastFaultAt = time.Now()
}

func (h *historyRun) healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.faultActive && time.Since(h.lastFaultAt) > recoveryTime
}

// newEdit returns an edit of an account, based on a revision up to three behind
// the latest one known. Every second edit excludes the VMs that its VM can't
// reach.
func (h *historyRun) newEdit(vm, account, param int) proposedEdit {
	h.mu.Lock()
	last := h.lastRevision
	h.mu.Unlock()
	h.edits++
	id := fmt.Sprintf("e%03d", h.edits)
	e := oracleEdit{
		id:      id,
		account: fmt.Sprintf("acct%d", account%numAccounts),
		value:   int64(param % 1000),
		base:    last - min(last-1, uint64(param%4)),
	}
	if account%5 == 0 {
		e.value = rejectedValue
	}
	if e.value == rejectedValue {
		e.refusedBy = string(rejectingVM)
	}
	change := shiftCapChange(ChangeID(id), model.Revision(e.base), model.AccountID(e.account), e.value)
	if param%2 == 0 {
		change.Exclude.VMs = h.unreachable(vmAt(vm))
	}
	return proposedEdit{edit: e, change: change}
}

func (h *historyRun) unreachable(from model.VMID) []model.VMID {
	var out []model.VMID
	for _, m := range h.view(from).Members {
		if !isReachable(m) {
			out = append(out, m.VM)
		}
	}
	return out
}

func (h *historyRun) race(o op) {
	const racers = 3
	var group sync.WaitGroup
	for i := range racers {
		s, vm := h.newEdit(o.A+i, o.B+i*o.C, o.C+i), vmAt(o.A+i)
		group.Go(func() { h.send(s, vm) })
	}
	group.Wait()
}

// send proposes an edit through a VM and records the result.
func (h *historyRun) send(s proposedEdit, vm model.VMID) {
	healthy := h.healthy()
	h.mu.Lock()
	h.proposers[s.change.ID] = append(h.proposers[s.change.ID], vm)
	h.mu.Unlock()
	result, err := h.service(vm).Propose(context.Background(), s.change)
	r := oracleResult{edit: s.edit, knownAt: time.Now(), healthy: healthy}
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
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastRevision = max(h.lastRevision, r.revision)
	h.oracle.results = append(h.oracle.results, r)
	h.sentEdits = append(h.sentEdits, s)
}

// splitNetwork splits the VMs into two partitions, only one of which reaches
// the store.
func (h *historyRun) splitNetwork(mask, storePartition int) {
	h.recordFault(true)
	for i, slot := range testSlots {
		partition := mask >> i & 1
		h.fleet.mu.Lock()
		h.setPartition(slot.VM, partition)
		h.fleet.mu.Unlock()
		h.store.SetPartitioned(string(slot.VM), partition != storePartition%2)
	}
}

func (h *historyRun) heal() {
	h.recordFault(false)
	for _, slot := range testSlots {
		h.setIsolated(slot.VM, false)
		h.store.SetPartitioned(string(slot.VM), false)
		h.store.DropResponses(string(slot.VM), 0)
	}
	h.store.SetDown(standin.AllClients, false)
	h.store.SetDelay(standin.AllClients, testLatency)
}

// wait sleeps for d and samples the VMs periodically.
func (h *historyRun) wait(d time.Duration) {
	const every = 500 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(every)
		h.sample()
	}
}

func (h *historyRun) sample() {
	now := time.Now()
	for _, vm := range h.running() {
		s := h.service(vm)
		if current := s.Current(); current != nil && s.Confirmed(now) {
			h.oracle.samples = append(h.oracle.samples, oracleSample{string(vm), now, uint64(current.Revision())})
		}
	}
}

// healAndCollect ends all faults, waits for the fleet to converge and collects
// the state that the oracle checks.
func (h *historyRun) healAndCollect() {
	h.heal()
	h.wait(ackTTL)
	h.sample()
	h.gatherCommits()
	h.oracle.final = make(map[string]uint64)
	for _, vm := range h.running() {
		h.oracle.final[string(vm)] = uint64(h.service(vm).Current().Revision())
	}
	h.stopAll()
	for i, n := range h.stopped {
		for _, s := range n.adopted {
			h.oracle.adoptions = append(h.oracle.adoptions, adoption(fmt.Sprintf("%s#%d", n.slot.VM, i), s))
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

func (h *historyRun) gatherCommits() {
	const all = 1000
	commits, err := h.service("vm0").History(context.Background(), all)
	if err != nil {
		h.oracle.commits = nil
		return
	}
	slices.Reverse(commits)
	for _, c := range commits {
		row := oracleCommit{revision: uint64(c.Revision), id: string(c.ChangeID)}
		for _, vm := range c.Excluded {
			row.excluded = append(row.excluded, string(vm))
		}
		row.unacknowledged = h.unacknowledged(c)
		h.oracle.commits = append(h.oracle.commits, row)
	}
}

// unacknowledged returns the VMs that neither acknowledged the commit nor were
// excluded. A proposer's own acknowledgement does not pass a link, so proposers
// are not listed.
func (h *historyRun) unacknowledged(c Commit) []string {
	var out []string
	acked := h.acknowledged[attemptID{change: c.ChangeID, base: c.Revision - 1}]
	for _, slot := range testSlots {
		if acked[slot.VM] || slices.Contains(c.Excluded, slot.VM) || slices.Contains(h.proposers[c.ChangeID], slot.VM) {
			continue
		}
		out = append(out, string(slot.VM))
	}
	return out
}

// outcomes counts the outcomes of edits over all histories.
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

// runHistory runs one history in a synctest bubble and returns the violations
// that the oracle finds.
func runHistory(t *testing.T, seed int64, ops []op, rulesOf func(model.VMID) rules) []string {
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		h := newHistoryRun(seed, rulesOf)
		h.store.SetDelay(standin.AllClients, testLatency)
		h.startAll()
		h.viewLag = time.Duration(seed%4) * time.Second
		h.bootstrap(t)
		h.lastRevision = 1
		for _, o := range ops {
			h.runStep(o)
		}
		h.healAndCollect()
		violations = h.oracle.check()
		outcomes.add(h.oracle.results)
	})
	return violations
}

// findViolation runs count random histories. It returns the report of the first
// one in which the oracle finds a violation, or an empty string.
func findViolation(t *testing.T, seed int64, count int, rulesOf func(model.VMID) rules) string {
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = count
	parameters.Workers = 1
	parameters.MaxSize = 25
	parameters.MaxShrinkCount = 200
	property := prop.ForAll(func(ops []op) string {
		return strings.Join(runHistory(t, seed, ops, rulesOf), "\n")
	}, gen.SliceOf(genOp()))
	result := property.Check(parameters)
	if result.Passed() {
		return ""
	}
	return fmt.Sprintf("seed %d: %v %v", seed, result.Labels, result.Args)
}

func rulesWithRejectingVM(vm model.VMID) rules { return withRejectedValue(vm, standardRules()) }

// TestRandomHistories checks the number of random histories given by
// -histories, perSeed of them for each seed.
func TestRandomHistories(t *testing.T) {
	const perSeed = 10
	t.Run("all", func(t *testing.T) {
		for i := range max(*histories/perSeed, 1) {
			seed := *historySeed + int64(i)
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
				t.Parallel()
				if violation := findViolation(t, seed, perSeed, rulesWithRejectingVM); violation != "" {
					t.Error(violation)
				}
			})
		}
	})
	t.Logf("edits by outcome: %v", outcomes.counts)
	for _, outcome := range []string{"committed", "conflict", "refused"} {
		if outcomes.counts[outcome] == 0 {
			t.Errorf("no edit has the outcome %s: the histories are too weak", outcome)
		}
	}
}
