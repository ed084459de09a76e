package membership

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var (
	histories   = flag.Int("histories", 100, "number of generated histories")
	historySeed = flag.Int64("historyseed", 20261, "seed for generating histories")
)

const (
	maxFaults = 24
	// maxShrinks bounds the search for a shorter failing history.
	maxShrinks = 200
	// replacementDelay is how long the platform takes to replace a VM.
	replacementDelay = 3 * time.Second
	// convergencePeriod is the time without faults after which all views must
	// agree.
	convergencePeriod = 30 * time.Second
	// stablePeriod is the time after convergencePeriod in which no state may
	// change and nothing may be written.
	stablePeriod = 15 * time.Second
)

// fault is one step of a history. Kind indexes faultKinds, Pick chooses the VM
// or zones, and Amount sets a duration or probability.
type fault struct {
	Kind   int
	Pick   int
	Amount int
}

var faultKinds = []func(s *sim, f fault){
	func(s *sim, f fault) { s.faultTarget(f).running = false },
	func(s *sim, f fault) { s.replace(s.faultTarget(f)) },
	func(s *sim, f fault) {
		s.faultTarget(f).pausedUntil = s.now.Add(time.Duration(f.Amount) * 200 * time.Millisecond)
	},
	func(s *sim, f fault) { s.replacePaused(s.faultTarget(f), f) },
	func(s *sim, f fault) { s.leave(s.faultTarget(f)) },
	func(s *sim, f fault) { s.partitionZones(f) },
	func(s *sim, f fault) { s.partitioned = func(a, b model.Zone) bool { return false } },
	func(s *sim, f fault) { s.loss = float64(f.Amount%4) / 10 },
	func(s *sim, f fault) { s.store.down = f.Amount%2 == 0 },
	func(s *sim, f fault) { s.store.responseLoss = float64(f.Amount%3) / 2 },
	func(s *sim, f fault) { s.run(time.Duration(f.Amount) * 300 * time.Millisecond) },
	func(s *sim, f fault) { s.run(time.Duration(f.Amount) * 50 * time.Millisecond) },
}

func (s *sim) faultTarget(f fault) *simProcess { return s.procs[s.slots[f.Pick%len(s.slots)].VM] }

// replace starts another process in a slot after replacementDelay.
func (s *sim) replace(p *simProcess) {
	s.run(replacementDelay)
	s.boot(p.self)
}

// replacePaused pauses a process and replaces it. The paused process may
// resume later.
func (s *sim) replacePaused(p *simProcess, f fault) {
	p.pausedUntil = s.now.Add(time.Duration(f.Amount) * 200 * time.Millisecond)
	s.replace(p)
}

func (s *sim) leave(p *simProcess) {
	p.leaveRequested = true
	s.deliver(p, LeaveRequested{})
}

// partitionZones splits the zones into two groups that cannot reach each
// other.
func (s *sim) partitionZones(f fault) {
	group := map[model.Zone]bool{}
	for i, slot := range s.slots {
		if f.Pick>>(i%8)&1 == 1 {
			group[slot.Zone] = true
		}
	}
	s.partitioned = func(a, b model.Zone) bool { return group[a] != group[b] }
}

func genHistory() gopter.Gen {
	one := gopter.CombineGens(
		gen.IntRange(0, len(faultKinds)-1), gen.IntRange(0, 255), gen.IntRange(0, 60),
	).Map(func(v []any) fault {
		return fault{Kind: v[0].(int), Pick: v[1].(int), Amount: v[2].(int)}
	})
	return gen.IntRange(1, maxFaults).FlatMap(func(n any) gopter.Gen {
		return gen.SliceOfN(n.(int), one)
	}, nil)
}

// viewChecker checks every published view. It uses only Views, no internal
// state of a Node.
type viewChecker struct {
	seen      map[*simProcess]map[model.VMID][]model.Incarnation
	leaving   map[*simProcess]map[model.Incarnation]bool
	version   map[*simProcess]uint64
	violation string
}

func newViewChecker() *viewChecker {
	return &viewChecker{
		seen:    map[*simProcess]map[model.VMID][]model.Incarnation{},
		leaving: map[*simProcess]map[model.Incarnation]bool{},
		version: map[*simProcess]uint64{},
	}
}

func (c *viewChecker) watch(p *simProcess, v *View) {
	if c.seen[p] == nil {
		c.seen[p] = map[model.VMID][]model.Incarnation{}
		c.leaving[p] = map[model.Incarnation]bool{}
	}
	if v.Version <= c.version[p] {
		c.fail("%s published version %d after %d", p.self.VM, v.Version, c.version[p])
	}
	c.version[p] = v.Version
	for _, m := range v.Members {
		c.watchMember(p, m)
	}
}

func (c *viewChecker) watchMember(p *simProcess, m Member) {
	incs := c.seen[p][m.VM]
	newest := len(incs) - 1
	for i, inc := range incs {
		if inc == m.Incarnation && i != newest {
			c.fail("%s shows replaced incarnation %d of %s again", p.self.VM, inc, m.VM)
		}
	}
	if newest < 0 || incs[newest] != m.Incarnation {
		c.seen[p][m.VM] = append(incs, m.Incarnation)
	}
	if m.State == StateLeaving {
		c.leaving[p][m.Incarnation] = true
	}
	if c.leaving[p][m.Incarnation] && m.CanOwn() {
		c.fail("%s shows member %s, which is leaving, as %s", p.self.VM, m.VM, m.State)
	}
}

func (c *viewChecker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// runHistory applies a history to a fresh deployment and returns a description
// of the first violation, or an empty string.
func runHistory(seed int64, history []fault, injectBug func(*Node, Event, map[model.VMID]Record)) string {
	s := newSim(seed, simSlots(9, 5, 3))
	s.injectBug = injectBug
	s.limitEvents = true
	c := newViewChecker()
	s.onView = c.watch
	s.bootAll()
	s.run(6 * time.Second)
	for _, f := range history {
		faultKinds[f.Kind](s, f)
	}
	s.heal()
	s.run(convergencePeriod)
	if s.exceedsEventLimit() {
		return fmt.Sprintf("%d events in %s", s.eventCount, s.now.Sub(s.start))
	}
	if c.violation != "" {
		return c.violation
	}
	if diff := s.firstViewError(); diff != "" {
		return diff
	}
	return s.checkStable()
}

// heal ends all faults. Slots whose process left or died stay empty.
func (s *sim) heal() {
	s.partitioned = func(a, b model.Zone) bool { return false }
	s.loss = 0
	s.store.down = false
	s.store.responseLoss = 0
	for _, p := range s.procs {
		p.pausedUntil = time.Time{}
		if p.leaveRequested {
			p.running = false
		}
	}
	for _, p := range s.replaced {
		p.pausedUntil = time.Time{}
		if !s.procs[p.self.VM].running {
			p.running = false
		}
	}
}

// checkStable requires that no state changes, that each slot has at most one
// process and that the store matches the running processes.
func (s *sim) checkStable() string {
	writes := s.store.writes
	changed := ""
	s.onView = func(p *simProcess, v *View) {
		for _, m := range v.Members {
			if before, _ := p.view.Find(m.VM); before.State != m.State {
				changed = fmt.Sprintf("%s changed %s from %s to %s in the stable period", p.self.VM, m.VM, before.State, m.State)
			}
		}
	}
	s.run(stablePeriod)
	if s.store.writes != writes {
		return fmt.Sprintf("%d store writes in the stable period", s.store.writes-writes)
	}
	for _, p := range s.procs {
		if p.yielded {
			return fmt.Sprintf("the newest process of %s yielded its slot", p.self.VM)
		}
	}
	for _, p := range s.replaced {
		if p.running && s.procs[p.self.VM].running {
			return fmt.Sprintf("two processes of %s are running", p.self.VM)
		}
	}
	if changed != "" {
		return changed
	}
	return s.checkRecords()
}

func (s *sim) checkRecords() string {
	for _, p := range s.procs {
		if !p.running {
			continue
		}
		stored := map[model.VMID]Record{}
		for _, r := range s.store.records[p.self.Zone].Members {
			stored[r.VM] = r
		}
		if r := stored[p.self.VM]; r.Incarnation != p.self.Incarnation || r.State != StateAlive {
			return fmt.Sprintf("the store has incarnation %d of %s in state %s", r.Incarnation, p.self.VM, r.State)
		}
	}
	return ""
}

func TestHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(*historySeed)
	parameters.MinSuccessfulTests = *histories
	parameters.MaxSize = maxFaults
	parameters.MaxShrinkCount = maxShrinks
	parameters.Workers = 1
	properties := gopter.NewProperties(parameters)
	properties.Property("connected VMs agree on which VMs are alive", prop.ForAll(
		func(seed int64, history []fault) string { return runHistory(seed, history, nil) },
		gen.Int64(), genHistory(),
	))
	properties.TestingRun(t)
}

// TestOracleCatchesBrokenNodes checks that the oracle detects deliberately
// injected bugs.
func TestOracleCatchesBrokenNodes(t *testing.T) {
	broken := map[string]func(*Node, Event, map[model.VMID]Record){
		"replaced incarnation is accepted": acceptReplacedProcess,
		"suspicion is never refuted":       neverRefuteSuspicion,
		"store is written without changes": func(n *Node, _ Event, _ map[model.VMID]Record) { n.leadership.stored = nil },
	}
	for name, injectBug := range broken {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewSource(*historySeed))
			for range 200 {
				history, _ := genHistory()(&gopter.GenParameters{Rng: rng, MinSize: 0, MaxSize: maxFaults}).Retrieve()
				seed := rng.Int63()
				found := runHistory(seed, history.([]fault), injectBug)
				if found == "" {
					continue
				}
				if sound := runHistory(seed, history.([]fault), nil); sound != "" {
					t.Fatalf("the Node fails without the injected bug too: %s", sound)
				}
				t.Logf("detected: %s", found)
				return
			}
			t.Error("no history detected the injected bug")
		})
	}
}

// acceptReplacedProcess accepts any record that names another process.
func acceptReplacedProcess(n *Node, e Event, before map[model.VMID]Record) {
	d, ok := e.(DeltaReceived)
	if !ok {
		return
	}
	for _, r := range d.Delta.Records {
		if known, ok := before[r.VM]; ok && r.VM != n.self.VM && known.identity() != r.identity() {
			n.table.put(r)
		}
	}
}

// neverRefuteSuspicion keeps a member suspect or dead although the process
// itself refutes it.
func neverRefuteSuspicion(n *Node, _ Event, before map[model.VMID]Record) {
	for _, vm := range sortedKeys(before) {
		old, now := before[vm], n.table.records[vm]
		doubted := old.State == StateSuspect || old.State == StateDead
		if doubted && now.State == StateAlive && vm != n.self.VM && old.identity() == now.identity() {
			n.table.put(old)
		}
	}
}
