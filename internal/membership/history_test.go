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
	histories   = flag.Int("histories", 100, "generated histories of each state-machine test")
	historySeed = flag.Int64("historyseed", 20261, "seed of the generated histories")
)

const (
	maxFaults = 24
	// maxShrinks bounds the search for a shorter history that fails too.
	maxShrinks = 200
	// replaceTime is how long the platform takes to replace a VM.
	replaceTime = 3 * time.Second
	// quiet is the time without faults after which all must agree.
	quiet = 30 * time.Second
	// still is the time after that in which nothing may change.
	still = 15 * time.Second
)

// fault is one step of a history. Its meaning follows from kind; pick chooses
// the VM or zone, and amount the length or share.
type fault struct {
	Kind   int
	Pick   int
	Amount int
}

var faultKinds = []func(s *sim, f fault){
	func(s *sim, f fault) { s.victim(f).running = false },
	func(s *sim, f fault) { s.replace(s.victim(f)) },
	func(s *sim, f fault) {
		s.victim(f).paused = s.now.Add(time.Duration(f.Amount) * 200 * time.Millisecond)
	},
	func(s *sim, f fault) { s.replacePaused(s.victim(f), f) },
	func(s *sim, f fault) { s.leave(s.victim(f)) },
	func(s *sim, f fault) { s.cutOff(f) },
	func(s *sim, f fault) { s.cut = func(a, b model.Zone) bool { return false } },
	func(s *sim, f fault) { s.loss = float64(f.Amount%4) / 10 },
	func(s *sim, f fault) { s.store.down = f.Amount%2 == 0 },
	func(s *sim, f fault) { s.store.lost = float64(f.Amount%3) / 2 },
	func(s *sim, f fault) { s.run(time.Duration(f.Amount) * 300 * time.Millisecond) },
	func(s *sim, f fault) { s.run(time.Duration(f.Amount) * 50 * time.Millisecond) },
}

func (s *sim) victim(f fault) *proc { return s.procs[s.slots[f.Pick%len(s.slots)].VM] }

// replace starts another process in a slot, which takes the platform some
// seconds.
func (s *sim) replace(p *proc) {
	s.run(replaceTime)
	s.boot(p.self)
}

// replacePaused pauses a process and replaces it. It may wake up later.
func (s *sim) replacePaused(p *proc, f fault) {
	p.paused = s.now.Add(time.Duration(f.Amount) * 200 * time.Millisecond)
	s.replace(p)
}

func (s *sim) leave(p *proc) {
	p.left = true
	s.deliver(p, LeaveRequested{})
}

// cutOff splits the zones in two groups.
func (s *sim) cutOff(f fault) {
	group := map[model.Zone]bool{}
	for i, slot := range s.slots {
		if f.Pick>>(i%8)&1 == 1 {
			group[slot.Zone] = true
		}
	}
	s.cut = func(a, b model.Zone) bool { return group[a] != group[b] }
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

// viewChecker watches every view that is published. It knows Views only.
type viewChecker struct {
	seen      map[*proc]map[model.VMID][]model.Incarnation
	leaving   map[*proc]map[model.Incarnation]bool
	version   map[*proc]uint64
	violation string
}

func newViewChecker() *viewChecker {
	return &viewChecker{
		seen:    map[*proc]map[model.VMID][]model.Incarnation{},
		leaving: map[*proc]map[model.Incarnation]bool{},
		version: map[*proc]uint64{},
	}
}

func (c *viewChecker) watch(p *proc, v *View) {
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

func (c *viewChecker) watchMember(p *proc, m Member) {
	incs := c.seen[p][m.VM]
	newest := len(incs) - 1
	for i, inc := range incs {
		if inc == m.Incarnation && i != newest {
			c.fail("%s shows incarnation %d of %s again", p.self.VM, inc, m.VM)
		}
	}
	if newest < 0 || incs[newest] != m.Incarnation {
		c.seen[p][m.VM] = append(incs, m.Incarnation)
	}
	if m.State == StateLeaving {
		c.leaving[p][m.Incarnation] = true
	}
	if c.leaving[p][m.Incarnation] && m.CanOwn() {
		c.fail("%s shows leaving %s as %s", p.self.VM, m.VM, m.State)
	}
}

func (c *viewChecker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// runHistory applies a history to a fresh deployment and returns what was
// violated, or nothing.
func runHistory(seed int64, history []fault, breakNode func(*Node, Event, map[model.VMID]Record)) string {
	s := newSim(seed, simSlots(9, 5, 3))
	s.breakNode = breakNode
	s.bounded = true
	c := newViewChecker()
	s.onView = c.watch
	s.bootAll()
	s.run(6 * time.Second)
	for _, f := range history {
		faultKinds[f.Kind](s, f)
	}
	s.heal()
	s.run(quiet)
	if s.storm() {
		return fmt.Sprintf("%d events in %s", s.number, s.now.Sub(s.start))
	}
	if c.violation != "" {
		return c.violation
	}
	if diff := s.disagreement(); diff != "" {
		return diff
	}
	return s.checkStill()
}

// heal ends all faults. Slots whose process left or died stay empty.
func (s *sim) heal() {
	s.cut = func(a, b model.Zone) bool { return false }
	s.loss = 0
	s.store.down = false
	s.store.lost = 0
	for _, p := range s.procs {
		p.paused = time.Time{}
		if p.left {
			p.running = false
		}
	}
	for _, p := range s.replaced {
		p.paused = time.Time{}
		if !s.procs[p.self.VM].running {
			p.running = false
		}
	}
}

// checkStill requires that nothing changes and that the store holds the truth.
func (s *sim) checkStill() string {
	writes := s.store.writes
	changed := ""
	s.onView = func(p *proc, v *View) {
		for _, m := range v.Members {
			if before, _ := p.view.Find(m.VM); before.State != m.State {
				changed = fmt.Sprintf("%s changed %s from %s to %s in quiet time", p.self.VM, m.VM, before.State, m.State)
			}
		}
	}
	s.run(still)
	if s.store.writes != writes {
		return fmt.Sprintf("%d store writes in quiet time", s.store.writes-writes)
	}
	for _, p := range s.procs {
		if p.stopped {
			return fmt.Sprintf("the newest process of %s gave its slot up", p.self.VM)
		}
	}
	for _, p := range s.replaced {
		if p.running && s.procs[p.self.VM].running {
			return fmt.Sprintf("two processes of %s run", p.self.VM)
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
			return fmt.Sprintf("the store has incarnation %d of %s as %s", r.Incarnation, p.self.VM, r.State)
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
	properties.Property("connected VMs agree on the live ones", prop.ForAll(
		func(seed int64, history []fault) string { return runHistory(seed, history, nil) },
		gen.Int64(), genHistory(),
	))
	properties.TestingRun(t)
}

// TestOracleCatchesBrokenNodes proves that the oracle can fail.
func TestOracleCatchesBrokenNodes(t *testing.T) {
	broken := map[string]func(*Node, Event, map[model.VMID]Record){
		"old incarnation returns":       acceptOld,
		"suspicion is never withdrawn":  neverWithdraw,
		"store is written without need": func(n *Node, _ Event, _ map[model.VMID]Record) { n.duty.stored = nil },
	}
	for name, breakNode := range broken {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewSource(*historySeed))
			for range 200 {
				history, _ := genHistory()(&gopter.GenParameters{Rng: rng, MinSize: 0, MaxSize: maxFaults}).Retrieve()
				seed := rng.Int63()
				found := runHistory(seed, history.([]fault), breakNode)
				if found == "" {
					continue
				}
				if sound := runHistory(seed, history.([]fault), nil); sound != "" {
					t.Fatalf("the sound Node fails too: %s", sound)
				}
				t.Logf("caught: %s", found)
				return
			}
			t.Error("no history showed the fault")
		})
	}
}

// acceptOld takes in any record that names another process.
func acceptOld(n *Node, e Event, before map[model.VMID]Record) {
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

// neverWithdraw keeps a member suspect or dead whatever it says itself.
func neverWithdraw(n *Node, _ Event, before map[model.VMID]Record) {
	for _, vm := range sortedKeys(before) {
		old, now := before[vm], n.table.records[vm]
		doubted := old.State == StateSuspect || old.State == StateDead
		if doubted && now.State == StateAlive && vm != n.self.VM && old.identity() == now.identity() {
			n.table.put(old)
		}
	}
}
