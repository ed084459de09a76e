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
	histories = flag.Int("histories", 100, "number of random histories per property")
	seed      = flag.Int64("seed", 1, "seed of the random histories")
)

// maxCommands limits the commands of one history.
const maxCommands = 24

// newCommand returns a command that runs f on the world and fails if f returns an
// error.
func newCommand(name string, f func(*world) error) commands.Command {
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

// generateCommand converts random numbers to a command, which causes a fault or
// change and then runs the world for amount milliseconds.
func generateCommand(kind, vm, amount int) commands.Command {
	ms := time.Duration(amount) * time.Millisecond
	name := fmt.Sprintf("%s(vm-%d, %d)", commandNames[kind], vm, amount)
	return newCommand(name, func(w *world) error {
		target := w.vms[vm]
		switch commandNames[kind] {
		case "pause":
			target.pausedUntil = w.now + 2*ms
		case "pause holder":
			w.vms[w.leaseHolder].pausedUntil = w.now + 2*ms
		case "partition":
			target.partitionedUntil = w.now + 2*ms
		case "restart":
			w.restart(target)
		case "replace":
			w.replace(target)
		case "store down":
			w.storeDownUntil = w.now + 2*ms
		case "set cap":
			w.commit(int64(amount/10), w.slots())
		case "set slots":
			w.commitSlots(3 + amount%4)
		case "toggle load":
			target.generatesLoad = !target.generatesLoad
		}
		return w.run(ms)
	})
}

var commandNames = []string{
	"run", "run", "run", "pause", "pause holder", "partition", "restart", "replace",
	"store down", "set cap", "set slots", "toggle load",
}

func (w *world) slots() int { return w.configs[len(w.configs)-1].slots }

func (w *world) commit(perSecond int64, slots int) {
	w.configs = append(w.configs, simConfig{at: w.now, perSecond: perSecond, slots: slots})
}

// commitSlots changes the number of slots. It does nothing within a changeover of
// the previous change, since the package relies on that.
func (w *world) commitSlots(slots int) {
	if w.now-w.slotsChangedAt < simTiming.Changeover() {
		return
	}
	w.slotsChangedAt = w.now
	w.commit(w.configs[len(w.configs)-1].perSecond, slots)
}

// historyCommands returns the command generator for a world with a mutation.
func historyCommands(m mutation) commands.Commands {
	return &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(state commands.State) commands.SystemUnderTest {
			w := newWorld(state.(uint64), m)
			w.run(4 * time.Second)
			return w
		},
		InitialStateGen: gen.UInt64(),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gopter.CombineGens(
				gen.IntRange(0, len(commandNames)-1),
				gen.IntRange(0, simVMs-1),
				gen.IntRange(20, 2500),
			).Map(func(v []any) commands.Command {
				return generateCommand(v[0].(int), v[1].(int), v[2].(int))
			})
		},
	}
}

// runHistories runs random histories and stops at the first violation.
func runHistories(m mutation, count int) *gopter.TestResult {
	params := gopter.DefaultTestParametersWithSeed(*seed)
	params.MinSuccessfulTests = count
	params.MaxSize = maxCommands
	params.MaxShrinkCount = 0
	return commands.Prop(historyCommands(m)).Check(params)
}

func TestCapsHold(t *testing.T) {
	t.Parallel()
	result := runHistories(mutationNone, *histories)
	if !result.Passed() {
		t.Fatalf("seed %d: %v %v\n%v", *seed, result.Status, result.Labels, result.Args)
	}
}

// TestOracleDetectsMutations checks that the oracle of TestCapsHold detects each
// mutation of the system within 300 histories.
func TestOracleDetectsMutations(t *testing.T) {
	for _, m := range allMutations {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			result := runHistories(m, 300)
			if result.Passed() {
				t.Fatal("the oracle did not detect the mutation")
			}
			t.Logf("detected after %d histories: %v", result.Succeeded, result.Labels)
		})
	}
}

// TestMissedConfigurationStaysWithinCap pauses vm-0 while the slots grow from
// three to six, and resumes it when they shrink to three again. vm-0 has missed
// the smaller floors of six slots. Its old, larger floor must not apply while
// the slots to be removed still use theirs, or the sum exceeds the cap.
func TestMissedConfigurationStaysWithinCap(t *testing.T) {
	w := newWorld(1, mutationNone)
	w.configs[0].slots = 3
	for _, vm := range w.vms {
		w.restart(vm)
	}
	maxDelay := simTiming.MaxPropagation - 2*simStep
	run := func(d time.Duration) {
		if err := w.run(d); err != nil {
			t.Fatal(err)
		}
	}
	run(2 * simTiming.Changeover())
	w.vms[0].pausedUntil = w.now + 4*simTiming.Changeover() + simStep
	w.commit(120, 6)
	run(4 * simTiming.Changeover())
	for _, vm := range w.vms {
		vm.adoptDelay = maxDelay
	}
	w.vms[0].adoptDelay = 0
	w.commit(120, 3)
	run(2 * simTiming.Changeover())
}

func TestFloorsAndLendableSumToCap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 10000 {
		c := Cap{PerSecond: rng.Int64N(1000), Slots: 1 + rng.IntN(2000)}
		floors := c.floor(7) * int64(c.Slots)
		if floors+c.lendable(7) != c.PerSecond || c.lendable(7) < 0 {
			t.Fatalf("%+v: floors %d, lendable %d", c, floors, c.lendable(7))
		}
	}
}

// newSettledLimiter returns a limiter whose floor applies, and the time from
// which it does.
func newSettledLimiter(key Key, perSecond int64, slots int) (*Limiter, time.Time) {
	l := NewLimiter("vm-0", LimiterOptions{Timing: simTiming})
	l.SetCaps(simEpoch, slots, []Cap{{Key: key, PerSecond: perSecond}})
	return l, simEpoch.Add(simTiming.Changeover())
}

func TestInForceFollowsTheChangeover(t *testing.T) {
	key := simKeys[0]
	l, now := newSettledLimiter(key, 100, 1)
	expect := func(at time.Time, value int64, pending time.Duration, allowance int64) {
		t.Helper()
		v, p := l.InForce(at, key)
		if v != value || p != pending {
			t.Errorf("in force: %d, pending %v; want %d, pending %v", v, p, value, pending)
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

func TestBulkLeavesRoomForUrgentDemand(t *testing.T) {
	l, now := newSettledLimiter(simKeys[0], 100, 1)
	for range 40 {
		l.Take(now, simKeys[0], 1)
	}
	if got := l.TakeUpToPriority(now, simKeys[0], 100, model.PriorityBulk); got != 10 {
		t.Errorf("bulk work took %d units, want the 10 of 50 that urgent demand leaves", got)
	}
}

// TestLinkIsDividedByPriority saturates a link, with the least urgent work first,
// and checks the share of each priority.
func TestLinkIsDividedByPriority(t *testing.T) {
	for name, c := range map[string]struct {
		flooding []model.Priority
		percent  [model.NumPriorities]int64
	}{
		"all":    {[]model.Priority{model.PriorityBulk, model.PriorityNormal, model.PriorityUrgent}, [model.NumPriorities]int64{75, 9, 9}},
		"urgent": {[]model.Priority{model.PriorityUrgent}, [model.NumPriorities]int64{94, 0, 0}},
		"bulk":   {[]model.Priority{model.PriorityBulk}, [model.NumPriorities]int64{0, 0, 90}},
	} {
		l, now := newSettledLimiter(simKeys[1], 200_000, 1)
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
	l, now := newSettledLimiter(simKeys[0], 100, 1)
	if got := l.TakeUpTo(now, simKeys[0], 100); got != 50 {
		t.Fatalf("took %d units, want the floor of 50", got)
	}
	next := l.NextAvailable(now, simKeys[0], 1, model.PriorityUrgent)
	if l.Take(next.Add(-time.Nanosecond), simKeys[0], 1) {
		t.Error("a unit was available before NextAvailable")
	}
	if !l.Take(next, simKeys[0], 1) {
		t.Error("no unit was available at NextAvailable")
	}
}

func BenchmarkTake(b *testing.B) {
	for _, keys := range []int{10, 1000, 46_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			l, caps := newBenchLimiter(keys)
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
			l, caps := newBenchLimiter(keys)
			b.ReportAllocs()
			for i := range b.N {
				l.SetCaps(simEpoch.Add(time.Duration(i)*time.Second), 7, caps)
			}
		})
	}
}

func newBenchLimiter(keys int) (*Limiter, []Cap) {
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
			lender.LeaseAcquired(now, now.Add(1000*time.Hour), 1)
			now = now.Add(simTiming.Settling())
			req := GrantRequest{Epoch: 1, Demands: []Demand{{Key: simKeys[0], Rate: 50}}}
			b.ReportAllocs()
			for i := range b.N {
				at := now.Add(time.Duration(i) * (200 * time.Millisecond / time.Duration(borrowers)))
				req.ProcessID = uint64(i % borrowers)
				lender.Lend(at, "vm", req)
			}
		})
	}
}
