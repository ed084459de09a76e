package accountlimit

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

const (
	testWindow = 5 * time.Second
	testExcess = 0.1
	testSlack  = 20.0
	tick       = 10 * time.Millisecond
)

var epoch = time.Unix(1_800_000_000, 0)

// fleet plays VMs that exchange reports each 100 ms, with delays and losses, and counts
// the requests of one account that they let through.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	vms    []*vm
	// rate and burst are the limit in force at each VM's next configuration.
	rate, burst float64
	// delay is the time that a report takes, and loss the share of lost ones.
	delay time.Duration
	loss  float64
	// cut reports whether messages between two VMs are lost.
	cut      func(a, b int) bool
	inFlight []delivery
	// sent holds the times of the requests let through.
	sent            []time.Time
	offered, denied int
	// clocksStop makes the clocks of paused VMs stand still.
	clocksStop bool
	// obedient clients send no request that would exceed the limit without tolerance in a
	// window. arrivals holds the times of theirs.
	obedient bool
	arrivals []time.Time
	// store reports whether the VMs have a connection to the store; its records lapse
	// after 4 s.
	store func(vm int) bool
	// renewed is when each VM last renewed its record. records are those that the store
	// listed at listedAt.
	renewed  map[int]time.Time
	stored   map[int]catalog.VM
	records  map[model.VMID]catalog.VM
	listedAt time.Time
}

type vm struct {
	id      int
	limiter *Limiter
	reach   *Reach
	process uint32
	down    bool
	// paused VMs do nothing. behind is how far the clock is behind.
	paused  bool
	behind  time.Duration
	offset  time.Duration
	records map[model.VMID]catalog.VM
	copied  time.Time
	gossip  map[int]time.Time
}

type delivery struct {
	at       time.Time
	from, to int
	process  uint32
	uses     Uses
}

// names are the names of the VMs.
var names = func() (names [512]model.VMID) {
	for i := range names {
		names[i] = model.VMID(fmt.Sprintf("vm-%03d", i))
	}
	return names
}()

func name(i int) model.VMID { return names[i] }

// record returns the VM's record. As in deployment A, 12 VMs of 26 have a wide link.
func (v *vm) record() catalog.VM {
	record := catalog.VM{Name: name(v.id), LinkMbps: 10, CPUShare: 0.4, Started: int64(v.process)}
	if v.id%26 < 12 {
		record.LinkMbps, record.CPUShare = 200, 0.8
	}
	return record
}

func newFleet(t *testing.T, vms int, rate, burst float64) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(uint64(vms), *seed)), now: epoch, rate: rate, burst: burst,
		delay: 15 * time.Millisecond, loss: 0.04, cut: func(int, int) bool { return false },
		store: func(int) bool { return true }, renewed: map[int]time.Time{},
		stored: map[int]catalog.VM{},
	}
	for range vms {
		f.add()
	}
	f.run(6*time.Second, nil)
	return f
}

// add starts a further VM.
func (f *fleet) add() {
	f.vms = append(f.vms, &vm{id: len(f.vms), offset: time.Duration(f.random.IntN(10)) * tick})
	f.start(f.vms[len(f.vms)-1])
}

// start starts a process at a VM, which knows nothing of earlier ones.
func (f *fleet) start(v *vm) {
	v.process++
	v.down, v.records, v.gossip, v.copied = false, nil, map[int]time.Time{}, time.Time{}
	v.limiter = New(Options{Window: testWindow, Excess: testExcess, Slack: testSlack, Process: v.process<<16 | uint32(v.id), Seed: 1})
	v.reach = NewReach(name(v.id), int64(v.process), f.clock(v))
	f.configure(v)
}

func (f *fleet) configure(v *vm) {
	var accounts catalog.Accounts
	if err := accounts.Add(&catalog.Account{ID: "a", RatePerSecond: f.rate, Burst: f.burst}, nil); err != nil {
		f.t.Fatal(err)
	}
	v.limiter.SetAccounts(&accounts, f.clock(v))
}

func (f *fleet) clock(v *vm) time.Time { return f.now.Add(-v.behind) }

// run plays a time in which demand returns the requests per second at each VM. Requests
// arrive at random.
func (f *fleet) run(d time.Duration, demand func(vm int, now time.Time) float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.deliver()
		for _, v := range f.vms {
			if v.paused {
				if f.clocksStop {
					v.behind += tick
				}
				continue
			}
			if v.down {
				continue
			}
			if (f.now.Sub(epoch)-v.offset)%(100*time.Millisecond) == 0 {
				f.report(v)
			}
			if demand != nil {
				f.request(v, demand(v.id, f.now)*tick.Seconds())
			}
		}
	}
}

func (f *fleet) request(v *vm, expected float64) {
	for n := f.poisson(expected); n > 0; n-- {
		if f.obedient {
			oldest := len(f.arrivals) - int(f.rate*testWindow.Seconds()+f.burst)
			if oldest >= 0 && f.now.Sub(f.arrivals[oldest]) < testWindow {
				continue
			}
			f.arrivals = append(f.arrivals, f.now)
		}
		f.offered++
		if ok, _ := v.limiter.Take("a", f.clock(v)); ok {
			f.sent = append(f.sent, f.now)
		} else {
			f.denied++
		}
	}
}

// poisson draws the number of events of which so many are expected.
func (f *fleet) poisson(expected float64) int {
	n := 0
	for t := f.random.ExpFloat64(); t < expected; t += f.random.ExpFloat64() {
		n++
	}
	return n
}

// report updates the reach of a VM and sends its report.
func (f *fleet) report(v *vm) {
	now := f.clock(v)
	if f.store(v.id) {
		if !v.copied.IsZero() {
			// A process reads the store before it writes its record.
			f.renewed[v.id], f.stored[v.id] = f.now, v.record()
		}
		v.records, v.copied = f.listed(), now
	}
	var alive []catalog.VM
	for _, other := range f.vms {
		if other == v || f.gossiped(v, other) {
			alive = append(alive, other.record())
		}
	}
	v.limiter.SetReach(v.reach.Update(View{Records: v.records, CopyAge: now.Sub(v.copied), Alive: alive, LastHeard: v.limiter.LastHeard}, now), now)
	uses := v.limiter.Uses(now)
	for _, other := range f.vms {
		if other != v && !f.cut(v.id, other.id) && f.random.Float64() >= f.loss {
			delay := f.delay/2 + time.Duration(f.random.Int64N(int64(f.delay)+1))
			f.inFlight = append(f.inFlight, delivery{f.now.Add(delay), v.id, other.id, v.process, uses})
		}
	}
}

// gossiped reports whether v counts other as alive by gossip, from other itself or from a
// VM that heard it.
func (f *fleet) gossiped(v, other *vm) bool {
	const timeout = 2400 * time.Millisecond
	heard := func(by, from *vm) bool {
		at, ok := by.gossip[from.id]
		return ok && f.clock(by).Sub(at) < timeout
	}
	if heard(v, other) {
		return true
	}
	return slices.ContainsFunc(f.vms, func(relay *vm) bool { return !relay.down && heard(v, relay) && heard(relay, other) })
}

// listed returns the records in the store, as of up to 200 ms ago.
func (f *fleet) listed() map[model.VMID]catalog.VM {
	if f.now.Sub(f.listedAt) >= 200*time.Millisecond {
		f.records, f.listedAt = map[model.VMID]catalog.VM{}, f.now
		for id, at := range f.renewed {
			if f.now.Sub(at) < 4*time.Second {
				f.records[name(id)] = f.stored[id]
			}
		}
	}
	return f.records
}

func (f *fleet) deliver() {
	kept := f.inFlight[:0]
	for _, m := range f.inFlight {
		v := f.vms[m.to]
		switch {
		case v.down:
		case m.at.After(f.now) || v.paused:
			kept = append(kept, m)
		default:
			v.gossip[m.from] = f.clock(v)
			if err := v.limiter.SetRemoteUses(name(m.from), m.uses, f.clock(v)); err != nil {
				f.t.Fatal(err)
			}
		}
	}
	f.inFlight = kept
}

// checkBound fails if a window of the time from start contains more requests than the
// bound of a limit allows. It returns the largest part of the bound that one used.
func (f *fleet) checkBound(start time.Time, rate, burst float64) float64 {
	f.t.Helper()
	bound := (rate*testWindow.Seconds()+burst)*(1+testExcess) + testSlack
	most, first := 0, 0
	var at time.Time
	for i, sent := range f.sent {
		for f.sent[first].Before(start) && first < i || sent.Sub(f.sent[first]) >= testWindow {
			first++
		}
		if n := i - first + 1; n > most && !sent.Before(start) {
			most, at = n, sent
		}
	}
	f.t.Logf("offered %d, refused %d (%.2f %%), most in a window %d of %.0f, ending %v", f.offered, f.denied,
		100*float64(f.denied)/float64(max(f.offered, 1)), most, bound, at.Sub(epoch))
	if float64(most) > bound {
		f.t.Errorf("%d requests in a window that ends after %v, want at most %.0f", most, at.Sub(epoch), bound)
	}
	return float64(most) / bound
}

// checkServed fails if more than one in 100 requests was refused, or more than one of
// fewer than 100.
func (f *fleet) checkServed() {
	f.t.Helper()
	if f.denied*100 > max(f.offered, 100) {
		f.t.Errorf("%d of %d requests within the limit were refused", f.denied, f.offered)
	}
}

// spread returns the demand of the first VMs, evenly.
func spread(vms int, total float64) func(int, time.Time) float64 {
	return func(vm int, _ time.Time) float64 {
		if vm >= vms {
			return 0
		}
		return total / float64(vms)
	}
}

// full plays each scenario with each limit. Otherwise the tests that have many scenarios
// take turns with the limits.
var full = flag.Bool("full", false, "play all scenarios with all limits")

// seed seeds the arrivals, the delays and the losses.
var seed = flag.Uint64("seed", 7, "seed of the arrivals, delays and losses")

// limitsFor returns the limits to play a scenario with.
func limitsFor(scenario int) []accountLimit {
	if *full {
		return limits
	}
	return []accountLimit{limits[scenario%len(limits)]}
}

type accountLimit struct{ rate, burst float64 }

// limits are small, middle and large ones, with and without a burst.
var limits = []accountLimit{{0.5, 0}, {5, 10}, {40, 0}, {60, 120}, {250, 50}, {1500, 500}}

// Guards against refusals of an account within its limit, and too many requests of one
// over it, in normal operation.
func TestNormalOperation(t *testing.T) {
	moving := func(period time.Duration) func(rate float64) func(int, time.Time) float64 {
		return func(rate float64) func(int, time.Time) float64 {
			return func(vm int, now time.Time) float64 {
				// Within a second, the requests move to the next VM.
				passed := now.Sub(epoch)
				from := int(passed/period) % 12
				moved := min((passed % period).Seconds(), 1)
				switch vm {
				case from:
					return rate * moved
				case (from + 11) % 12:
					return rate * (1 - moved)
				}
				return 0
			}
		}
	}
	tests := []struct {
		desc   string
		within bool
		demand func(rate float64) func(int, time.Time) float64
	}{
		{"all at one VM", true, func(rate float64) func(int, time.Time) float64 { return spread(1, 0.9*rate) }},
		{"evenly at 12 VMs", true, func(rate float64) func(int, time.Time) float64 { return spread(12, 0.9*rate) }},
		{"evenly at all VMs", false, func(rate float64) func(int, time.Time) float64 { return spread(26, 0.9*rate) }},
		{"moving each 10 s", true, func(rate float64) func(int, time.Time) float64 { return moving(10 * time.Second)(0.9 * rate) }},
		{"moving each 3 s", true, func(rate float64) func(int, time.Time) float64 { return moving(3 * time.Second)(0.6 * rate) }},
		{"oscillating up to the limit", true, func(rate float64) func(int, time.Time) float64 {
			return func(vm int, now time.Time) float64 {
				phase := 2 * math.Pi * now.Sub(epoch).Seconds() / 36
				return spread(12, rate*0.645*(1+0.55*math.Sin(phase+float64(vm%3)*2*math.Pi/9)))(vm, now)
			}
		}},
		{"at the limit", false, func(rate float64) func(int, time.Time) float64 { return spread(12, rate) }},
		{"three times the limit at 12 VMs", false, func(rate float64) func(int, time.Time) float64 { return spread(12, 3*rate) }},
		{"ten times the limit at all VMs", false, func(rate float64) func(int, time.Time) float64 { return spread(26, 10*rate) }},
		{"bursts of ten times the limit", false, func(rate float64) func(int, time.Time) float64 {
			return func(vm int, now time.Time) float64 {
				if now.Sub(epoch)%(7*time.Second) < time.Second {
					return 10 * rate / 26
				}
				return 0
			}
		}},
	}
	for i, tt := range tests {
		for _, lim := range limitsFor(i) {
			t.Run(fmt.Sprintf("%s/%v,%v", tt.desc, lim.rate, lim.burst), func(t *testing.T) {
				f := newFleet(t, 26, lim.rate, lim.burst)
				f.obedient = tt.within
				// Few requests need a longer time to show a part of one in 100.
				f.run(time.Duration(min(max(40, 1500/lim.rate), 200))*time.Second, tt.demand(lim.rate))
				f.checkBound(epoch, lim.rate, lim.burst)
				// With less than a request for each VM in the tolerance, a VM may not send two
				// within 0.2 s, before others hear of the first.
				if tt.within && lim.rate >= 1 {
					f.checkServed()
				}
			})
		}
	}
}
