package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

var (
	histories = flag.Int("histories", 100, "count of random histories per oracle")
	seed      = flag.Int64("seed", 1, "seed of the random histories")
)

// maxCommands bounds the commands of one history.
const maxCommands = 24

// event makes a command that runs f on the world and fails on a violation.
func event(name string, f func(*world) error) commands.Command {
	return &commands.ProtoCommand{
		Name: name,
		RunFunc: func(sut commands.SystemUnderTest) commands.Result {
			return f(sut.(*world))
		},
		PostConditionFunc: func(_ commands.State, result commands.Result) *gopter.PropResult {
			if err, ok := result.(error); ok && err != nil {
				return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{err.Error()}}
			}
			return &gopter.PropResult{Status: gopter.PropTrue}
		},
	}
}

// makeEvent turns random numbers into a command.
func makeEvent(kind, vm, amount int) commands.Command {
	ms := time.Duration(amount) * time.Millisecond
	name := fmt.Sprintf("%s(vm-%d, %d)", eventNames[kind], vm, amount)
	return event(name, func(w *world) error {
		target := w.vms[vm]
		switch eventNames[kind] {
		case "pause":
			target.paused = w.now + 2*ms
		case "pause holder":
			w.vms[w.leaseHolder].paused = w.now + 2*ms
		case "cut":
			target.cut = w.now + 2*ms
		case "restart":
			w.restart(target)
		case "replace":
			w.replace(target)
		case "store down":
			w.storeDown = w.now + 2*ms
		case "set cap":
			w.commit(int64(amount/10), w.slots())
		case "set slots":
			w.commitSlots(3 + amount%4)
		case "appetite":
			target.hungry = !target.hungry
		}
		return w.run(ms)
	})
}

var eventNames = []string{
	"run", "run", "run", "pause", "pause holder", "cut", "restart", "replace",
	"store down", "set cap", "set slots", "appetite",
}

func (w *world) slots() int { return w.configs[len(w.configs)-1].slots }

func (w *world) commit(perSecond int64, slots int) {
	w.configs = append(w.configs, simConfig{at: w.now, perSecond: perSecond, slots: slots})
}

// commitSlots changes the count of slots, at most once in a changeover.
func (w *world) commitSlots(slots int) {
	if w.now-w.slotsSetAt < simTiming.Changeover() {
		return
	}
	w.slotsSetAt = w.now
	w.commit(w.configs[len(w.configs)-1].perSecond, slots)
}

// quotaCommands returns the commands for a world with a flaw.
func quotaCommands(f flaw) commands.Commands {
	return &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(state commands.State) commands.SystemUnderTest {
			w := newWorld(state.(uint64), f)
			w.run(4 * time.Second)
			return w
		},
		InitialStateGen: gen.UInt64(),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gopter.CombineGens(
				gen.IntRange(0, len(eventNames)-1),
				gen.IntRange(0, simVMs-1),
				gen.IntRange(20, 2500),
			).Map(func(v []any) commands.Command {
				return makeEvent(v[0].(int), v[1].(int), v[2].(int))
			})
		},
	}
}

// capsHold runs histories and stops at the first violation.
func capsHold(f flaw, count int) *gopter.TestResult {
	params := gopter.DefaultTestParametersWithSeed(*seed)
	params.MinSuccessfulTests = count
	params.MaxSize = maxCommands
	params.MaxShrinkCount = 0
	return commands.Prop(quotaCommands(f)).Check(params)
}

func TestCapsHold(t *testing.T) {
	t.Parallel()
	result := capsHold(flawNone, *histories)
	if !result.Passed() {
		t.Fatalf("seed %d: %v %v\n%v", *seed, result.Status, result.Labels, result.Args)
	}
}

// TestOracleCatchesFlaws proves that the oracle can fail.
func TestOracleCatchesFlaws(t *testing.T) {
	for _, f := range allFlaws {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			result := capsHold(f, 300)
			if result.Passed() {
				t.Fatal("the oracle accepts a flawed system")
			}
			t.Logf("caught after %d histories: %v", result.Succeeded, result.Labels)
		})
	}
}

// TestMissedConfigurationKeepsTheCap lets vm-0 sleep while the slots grow from
// three to six, and wake when they shrink to three again. Its floor of before
// must not meet those of the slots that have yet to go.
func TestMissedConfigurationKeepsTheCap(t *testing.T) {
	w := newWorld(1, flawNone)
	w.configs[0].slots = 3
	for _, vm := range w.vms {
		w.restart(vm)
	}
	late := simTiming.MaxPropagation - 2*simStep
	run := func(d time.Duration) {
		if err := w.run(d); err != nil {
			t.Fatal(err)
		}
	}
	run(2 * simTiming.Changeover())
	w.vms[0].paused = w.now + 4*simTiming.Changeover() + simStep
	w.commit(120, 6)
	run(4 * simTiming.Changeover())
	for _, vm := range w.vms {
		vm.adoptDelay = late
	}
	w.vms[0].adoptDelay = 0
	w.commit(120, 3)
	run(2 * simTiming.Changeover())
}

func TestFloorsNeverPassTheCap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 10000 {
		c := Cap{PerSecond: rng.Int64N(1000), Slots: 1 + rng.IntN(2000)}
		floors := c.floor(7) * int64(c.Slots)
		if floors+c.lendable(7) != c.PerSecond || c.lendable(7) < 0 {
			t.Fatalf("%+v: floors %d, lendable %d", c, floors, c.lendable(7))
		}
	}
}

// settledLedger returns a ledger whose floor is in force, and the time then.
func settledLedger(key Key, perSecond int64, slots int) (*Limiter, time.Time) {
	l := NewLimiter("vm-0", LimiterOptions{Timing: simTiming})
	l.SetCaps(simEpoch, slots, []Cap{{Key: key, PerSecond: perSecond}})
	return l, simEpoch.Add(simTiming.Changeover())
}

func TestInForceFollowsTheChangeover(t *testing.T) {
	key := simKeys[0]
	l, now := settledLedger(key, 100, 1)
	expect := func(at time.Time, value int64, pending time.Duration, allowance int64) {
		t.Helper()
		v, p := l.InForce(at, key)
		if v != value || p != pending {
			t.Errorf("in force %d for %v, want %d for %v", v, p, value, pending)
		}
		if a := l.Allowance(at, key); a != allowance {
			t.Errorf("allowance %d, want %d", a, allowance)
		}
	}
	expect(now, 100, 0, 50)
	l.SetCaps(now, 1, []Cap{{Key: key, PerSecond: 20}})
	expect(now, 100, simTiming.Changeover(), 10)
	now = now.Add(simTiming.Changeover())
	expect(now, 20, 0, 10)
	l.SetCaps(now, 1, []Cap{{Key: key, PerSecond: 200}})
	expect(now, 20, simTiming.Changeover(), 10)
	expect(now.Add(simTiming.Changeover()), 200, 0, 100)
}

func TestUrgentDemandIsKeptFree(t *testing.T) {
	l, now := settledLedger(simKeys[0], 100, 1)
	for range 40 {
		l.Take(now, simKeys[0], 1)
	}
	if got := l.TakeUpToPriority(now, simKeys[0], 100, model.PriorityBulk); got != 10 {
		t.Errorf("bulk work took %d beside 40 urgent units of 50", got)
	}
}

// TestLinkIsDividedByPriority floods a link, the least urgent work first.
func TestLinkIsDividedByPriority(t *testing.T) {
	for name, c := range map[string]struct {
		flooding []model.Priority
		percent  [model.NumPriorities]int64
	}{
		"all":    {[]model.Priority{model.PriorityBulk, model.PriorityNormal, model.PriorityUrgent}, [model.NumPriorities]int64{75, 9, 9}},
		"urgent": {[]model.Priority{model.PriorityUrgent}, [model.NumPriorities]int64{94, 0, 0}},
		"bulk":   {[]model.Priority{model.PriorityBulk}, [model.NumPriorities]int64{0, 0, 90}},
	} {
		l, now := settledLedger(simKeys[1], 200_000, 1)
		var got [model.NumPriorities]int64
		for step := range 1000 {
			at := now.Add(time.Duration(step) * 10 * time.Millisecond)
			for _, p := range c.flooding {
				got[p] += l.TakeUpToPriority(at, simKeys[1], 1<<20, p)
			}
		}
		for p, want := range c.percent {
			if percent := got[p] / 10 * 100 / 100_000; percent < want {
				t.Errorf("%s: %s got %d %% of the link, want %d %%", name, model.Priority(p), percent, want)
			}
		}
	}
}

func TestNextAvailableIsWhenUnitsReturn(t *testing.T) {
	l, now := settledLedger(simKeys[0], 100, 1)
	if got := l.TakeUpTo(now, simKeys[0], 100); got != 50 {
		t.Fatalf("took %d of a floor of 50", got)
	}
	next := l.NextAvailable(now, simKeys[0], 1, model.PriorityUrgent)
	if l.Take(next.Add(-time.Nanosecond), simKeys[0], 1) {
		t.Error("units were free before NextAvailable")
	}
	if !l.Take(next, simKeys[0], 1) {
		t.Error("no unit was free at NextAvailable")
	}
}

func BenchmarkTake(b *testing.B) {
	for _, keys := range []int{10, 1000, 46_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			l, caps := benchLedger(keys)
			now := simEpoch.Add(simTiming.Changeover())
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.Take(now.Add(time.Duration(i)*time.Microsecond), caps[i%keys].Key, 1)
			}
		})
	}
}

func BenchmarkSetCaps(b *testing.B) {
	for _, keys := range []int{1000, 46_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			l, caps := benchLedger(keys)
			b.ReportAllocs()
			for i := range b.N {
				l.SetCaps(simEpoch.Add(time.Duration(i)*time.Second), 7, caps)
			}
		})
	}
}

func benchLedger(keys int) (*Limiter, []Cap) {
	l := NewLimiter("vm-0", LimiterOptions{Timing: simTiming})
	caps := make([]Cap, keys)
	for i := range caps {
		account, zone := model.AccountID(fmt.Sprint("account-", i/23)), model.Zone(fmt.Sprint("zone-", i%23))
		caps[i] = Cap{Key: ShiftKey(account, "plan-vault", zone), PerSecond: 1000}
	}
	l.SetCaps(simEpoch, 7, caps)
	return l, caps
}

func BenchmarkLend(b *testing.B) {
	for _, borrowers := range []int{7, 175, 1400} {
		b.Run(fmt.Sprintf("borrowers=%d", borrowers), func(b *testing.B) {
			lender := NewLender(LenderOptions{Timing: simTiming})
			lender.SetCaps(simEpoch, borrowers, []Cap{{Key: simKeys[0], PerSecond: 100_000}})
			now := simEpoch.Add(simTiming.Changeover())
			lender.Acquired(now, now.Add(1000*time.Hour), 1)
			now = now.Add(simTiming.Settling())
			req := GrantRequest{Epoch: 1, Demands: []Demand{{Key: simKeys[0], Want: 50}}}
			b.ReportAllocs()
			for i := range b.N {
				at := now.Add(time.Duration(i) * (200 * time.Millisecond / time.Duration(borrowers)))
				req.Process = uint64(i % borrowers)
				lender.Lend(at, "vm", req)
			}
		})
	}
}
