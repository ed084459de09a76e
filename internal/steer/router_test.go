package steer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/quota"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

var routerStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// countedBudget is a Budget with a count of units per key.
type countedBudget map[quota.Key]int64

func (b countedBudget) Take(_ time.Time, key quota.Key, n int64) bool {
	if b[key] < n {
		return false
	}
	b[key] -= n
	return true
}

// openBudget is a Budget without a bound.
type openBudget struct{}

func (openBudget) Take(time.Time, quota.Key, int64) bool { return true }

// routerFlaw names a deliberate fault between the world and the router.
type routerFlaw string

var routerFlaws = []routerFlaw{"draining", "unreachable", "no servers", "busy", "tried", "budget", "region"}

// routerWorld drives a router and keeps what the rules need to judge it.
type routerWorld struct {
	flaw   routerFlaw
	rng    *rand.Rand
	now    time.Time
	router *Router
	budget countedBudget
	zones  []ZoneState
	// lost holds the zones that were unavailable at some time.
	lost map[model.Zone]bool
	// sent holds the zones that ever got a shift.
	sent map[model.Zone]bool
}

func newRouterWorld(seed uint64, f routerFlaw) *routerWorld {
	w := &routerWorld{
		flaw:   f,
		rng:    rand.New(rand.NewPCG(seed, 5)),
		now:    routerStart,
		budget: countedBudget{},
		lost:   map[model.Zone]bool{},
		sent:   map[model.Zone]bool{},
	}
	w.router = NewRouter(w.budget, RouterOptions{})
	if f == "budget" {
		w.router = NewRouter(openBudget{}, RouterOptions{})
	}
	w.setZones()
	return w
}

// setZones draws new states for all zones.
func (w *routerWorld) setZones() {
	w.zones = nil
	seen := make([]ZoneState, 0, 6)
	for i := range 6 {
		slots := w.rng.IntN(4) * 4
		z := ZoneState{
			Zone:      model.Zone(fmt.Sprint("zone-", i)),
			Region:    model.Region(fmt.Sprint("region-", i/2)),
			Slots:     slots,
			Busy:      w.rng.IntN(slots + 1),
			Queued:    w.rng.IntN(3),
			Reachable: w.rng.IntN(5) > 0,
			Draining:  w.rng.IntN(5) == 0,
		}
		if !z.Reachable || z.Slots == 0 {
			w.lost[z.Zone] = true
		}
		w.zones = append(w.zones, z)
		seen = append(seen, w.distort(z))
	}
	w.router.SetZones(w.now, "s", seen)
}

// distort applies the flaw to what the router sees of a zone.
func (w *routerWorld) distort(z ZoneState) ZoneState {
	switch w.flaw {
	case "draining":
		z.Draining = false
	case "unreachable":
		z.Reachable = true
	case "no servers":
		z.Slots = max(z.Slots, 1)
	case "busy":
		z.Busy, z.Queued = 0, 0
	case "region":
		z.Region = ""
	}
	return z
}

// choose sends one random request through the router and checks the choice.
func (w *routerWorld) choose() error {
	home := w.zones[w.rng.IntN(len(w.zones))]
	req := Request{
		Account:  model.AccountID(fmt.Sprint("a", w.rng.IntN(2))),
		Service:  "s",
		Priority: model.Priority(w.rng.IntN(model.NumPriorities)),
		Places:   []config.Place{{Zone: home.Zone, Weight: 1}},
	}
	for range w.rng.IntN(3) {
		req.Tried = append(req.Tried, w.zones[w.rng.IntN(len(w.zones))].Zone)
	}
	seen := req
	if w.flaw == "tried" {
		seen.Tried = nil
	}
	key := quota.ShiftKey(req.Account, "s", home.Zone)
	before := maps.Clone(w.budget)
	c := w.router.Choose(w.now, seen)
	if c.Shift {
		before[key]--
	}
	if !maps.Equal(before, w.budget) {
		return fmt.Errorf("%+v left the budget %v, want %v", c, w.budget, before)
	}
	if !c.OK {
		return w.checkRefusal(req, home, c, w.budget[key])
	}
	return w.checkChoice(req, home, c)
}

// open reports that a zone may serve a request at all.
func open(req Request, z ZoneState) bool {
	return z.Reachable && !z.Draining && z.Slots > 0 && !slices.Contains(req.Tried, z.Zone)
}

func (w *routerWorld) checkRefusal(req Request, home ZoneState, c Choice, left int64) error {
	switch {
	case open(req, home):
		return fmt.Errorf("refused with %s although home %+v is open", c.Reason, home)
	case c.Reason == model.ReasonNone:
		return fmt.Errorf("refused %+v without a reason", req)
	case c.Reason == model.ReasonShiftCap && left > 0:
		return fmt.Errorf("refused for the shift cap with %d units left", left)
	}
	return nil
}

func (w *routerWorld) checkChoice(req Request, home ZoneState, c Choice) error {
	at := slices.IndexFunc(w.zones, func(z ZoneState) bool { return z.Zone == c.Zone })
	if at < 0 || !open(req, w.zones[at]) {
		return fmt.Errorf("%+v was sent to %s, which is closed to it", req, c.Zone)
	}
	zone := w.zones[at]
	if c.Shift != (c.Zone != home.Zone) {
		return fmt.Errorf("shift %v from %s to %s", c.Shift, home.Zone, c.Zone)
	}
	if !c.Shift {
		return nil
	}
	settled := open(req, home) && !w.lost[home.Zone]
	spills := settled && home.Queued > home.Slots && req.Priority != model.PriorityBulk
	if settled && !spills {
		return fmt.Errorf("shift to %s although home %+v is open", c.Zone, home)
	}
	if (req.Priority == model.PriorityBulk || spills) && zone.Busy+zone.Queued >= zone.Slots {
		return fmt.Errorf("shift of %s work to the busy %+v", req.Priority, zone)
	}
	err := w.checkOrder(req, home, zone)
	w.sent[zone.Zone] = true
	return err
}

// checkOrder looks for a free place, never used by a shift, that should have
// come first.
func (w *routerWorld) checkOrder(req Request, home, chosen ZoneState) error {
	for i, z := range w.zones {
		fresh := open(req, z) && z.Zone != home.Zone && z.Busy+z.Queued < z.Slots && !w.sent[z.Zone]
		near, chosenNear := z.Region == home.Region, chosen.Region == home.Region
		earlier := near == chosenNear && i < slices.Index(w.zones, chosen)
		if fresh && (earlier || near && !chosenNear) {
			return fmt.Errorf("shift to %+v before %+v", chosen, z)
		}
	}
	return nil
}

// step turns a random number into one event.
func (w *routerWorld) step(kind int) error {
	switch {
	case kind < 60:
		return w.choose()
	case kind < 75:
		w.router.Answered(w.now, "s", w.zones[w.rng.IntN(6)].Zone)
	case kind < 80:
		w.router.Failed(w.now, "s", w.zones[w.rng.IntN(6)].Zone)
	case kind < 90:
		w.now = w.now.Add(time.Duration(w.rng.IntN(800)) * time.Millisecond)
	case kind < 95:
		home := w.zones[w.rng.IntN(6)].Zone
		key := quota.ShiftKey(model.AccountID(fmt.Sprint("a", w.rng.IntN(2))), "s", home)
		w.budget[key] += int64(w.rng.IntN(8))
	default:
		w.setZones()
	}
	return nil
}

// routerCommands returns the commands for a world with a flaw.
func routerCommands(f routerFlaw) commands.Commands {
	return &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(state commands.State) commands.SystemUnderTest {
			return newRouterWorld(state.(uint64), f)
		},
		InitialStateGen: gen.UInt64(),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.IntRange(0, 99).Map(func(kind int) commands.Command {
				return &commands.ProtoCommand{
					Name: fmt.Sprintf("step(%d)", kind),
					RunFunc: func(sut commands.SystemUnderTest) commands.Result {
						return sut.(*routerWorld).step(kind)
					},
					PostConditionFunc: func(_ commands.State, result commands.Result) *gopter.PropResult {
						if err, ok := result.(error); ok {
							return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{err.Error()}}
						}
						return &gopter.PropResult{Status: gopter.PropTrue}
					},
				}
			})
		},
	}
}

// routerHolds runs histories and stops at the first broken rule.
func routerHolds(f routerFlaw, count int) *gopter.TestResult {
	params := gopter.DefaultTestParametersWithSeed(*seed)
	params.MinSuccessfulTests = count
	params.MaxSize = 400
	params.MaxShrinkCount = 0
	return commands.Prop(routerCommands(f)).Check(params)
}

func TestRouterRules(t *testing.T) {
	result := routerHolds("", *histories)
	if !result.Passed() {
		t.Fatalf("seed %d: %v %v\n%v", *seed, result.Status, result.Labels, result.Args)
	}
}

// TestRouterRulesCatchFlaws proves that the rules can fail.
func TestRouterRulesCatchFlaws(t *testing.T) {
	for _, f := range routerFlaws {
		t.Run(string(f), func(t *testing.T) {
			result := routerHolds(f, 300)
			if result.Passed() {
				t.Fatal("the rules accept a flawed router")
			}
			t.Logf("caught after %d histories: %v", result.Succeeded, result.Labels)
		})
	}
}

// shiftRouter returns a router whose home zone is lost, with one other zone of
// 60 free slots.
func shiftRouter(budget Budget) (*Router, Request) {
	r := NewRouter(budget, RouterOptions{})
	r.SetZones(routerStart, "s", []ZoneState{
		{Zone: "home", Region: "r"},
		{Zone: "other", Region: "r", Slots: 60, Reachable: true},
	})
	return r, Request{Account: "a", Service: "s", Places: []config.Place{{Zone: "home", Weight: 1}}}
}

// admitted sends 100 requests and returns how many were shifted before the
// first refusal, which must be for the ramp.
func admitted(t *testing.T, r *Router, now time.Time, req Request) int {
	t.Helper()
	for n := range 100 {
		c := r.Choose(now, req)
		if c.OK {
			continue
		}
		if c.Reason != model.ReasonPlaceRamping {
			t.Errorf("refused for %q", c.Reason)
		}
		return n
	}
	return 100
}

func TestShiftsRampUpByAnswers(t *testing.T) {
	r, req := shiftRouter(openBudget{})
	now := routerStart
	for _, want := range []int{6, 9, 13, 20, 30} {
		n := admitted(t, r, now, req)
		if n != want {
			t.Fatalf("%d requests admitted, want %d", n, want)
		}
		if more := admitted(t, r, now.Add(time.Millisecond), req); more != 0 {
			t.Errorf("%d more without an answer", more)
		}
		for range n {
			r.Answered(now, "s", "other")
		}
		now = now.Add(50 * time.Millisecond)
	}
}

func TestUnansweredRequestsDoNotGrowARamp(t *testing.T) {
	r, req := shiftRouter(openBudget{})
	now := routerStart
	for range admitted(t, r, now, req) {
		r.Failed(now, "s", "other")
	}
	if n := admitted(t, r, now, req); n != 6 {
		t.Errorf("%d requests admitted after failures, want 6", n)
	}
	if n := admitted(t, r, now.Add(3*DefaultAnswerTimeout), req); n != 6 {
		t.Errorf("%d requests admitted after the answer timeout, want 6", n)
	}
	r, req = shiftRouter(openBudget{})
	r.SetEntries(6)
	if n := admitted(t, r, now, req); n != 1 {
		t.Errorf("one of 6 entry VMs began with %d requests", n)
	}
}

func TestReturnOfTheHomeRampsUp(t *testing.T) {
	budget := countedBudget{quota.ShiftKey("a", "s", "home"): 4}
	r, req := shiftRouter(budget)
	r.SetZones(routerStart, "s", []ZoneState{
		{Zone: "home", Region: "r", Slots: 60, Reachable: true},
		{Zone: "other", Region: "r", Slots: 60, Reachable: true},
	})
	served := map[model.Zone]int{}
	for range 12 {
		served[r.Choose(routerStart, req).Zone]++
	}
	// Six go home, four go elsewhere, and without budget the rest go home.
	if served["home"] != 8 || served["other"] != 4 {
		t.Errorf("served %v, want 8 at home and 4 at the other place", served)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, zones := range []int{6, 23, 240} {
		for _, kind := range []string{"home", "shift", "refuse"} {
			b.Run(fmt.Sprintf("zones=%d/%s", zones, kind), func(b *testing.B) {
				r, req := benchRouter(zones, kind)
				b.ReportAllocs()
				for now := routerStart; b.Loop(); now = now.Add(time.Microsecond) {
					if c := r.Choose(now, req); c.OK {
						r.Answered(now, req.Service, c.Zone)
					}
				}
			})
		}
	}
}

func BenchmarkSetZones(b *testing.B) {
	for _, zones := range []int{6, 240} {
		b.Run(fmt.Sprintf("zones=%d", zones), func(b *testing.B) {
			r, _ := benchRouter(zones, "home")
			states := make([]ZoneState, 0, zones)
			for _, p := range r.Places(routerStart, "s") {
				states = append(states, p.State)
			}
			b.ReportAllocs()
			for b.Loop() {
				r.SetZones(routerStart, "s", states)
			}
		})
	}
}

func benchRouter(zones int, kind string) (*Router, Request) {
	r := NewRouter(openBudget{}, RouterOptions{})
	states := make([]ZoneState, zones)
	for i := range states {
		states[i] = ZoneState{
			Zone:      model.Zone(fmt.Sprint("zone-", i)),
			Region:    model.Region(fmt.Sprint("region-", i%8)),
			Slots:     60,
			Reachable: kind != "refuse",
		}
	}
	states[0].Reachable = kind == "home"
	r.SetZones(routerStart, "s", states)
	return r, Request{Account: "a", Service: "s", Places: []config.Place{{Zone: "zone-0", Weight: 1}}}
}
