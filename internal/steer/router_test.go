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

// fixedBudget is a Budget with a fixed count of units per key.
type fixedBudget map[quota.Key]int64

func (b fixedBudget) Take(_ time.Time, key quota.Key, n int64) bool {
	if b[key] < n {
		return false
	}
	b[key] -= n
	return true
}

// unlimitedBudget is a Budget that never runs out.
type unlimitedBudget struct{}

func (unlimitedBudget) Take(time.Time, quota.Key, int64) bool { return true }

// routerFault names a fault injected between the model and the router.
type routerFault string

var routerFaults = []routerFault{"draining", "unreachable", "no servers", "busy", "tried", "budget", "region"}

// routerModel drives a router with random events and keeps the state that is
// needed to check its choices.
type routerModel struct {
	fault  routerFault
	rng    *rand.Rand
	now    time.Time
	router *Router
	budget fixedBudget
	zones  []ZoneState
	// everUnavailable holds the zones that were unavailable at some time.
	everUnavailable map[model.Zone]bool
	// shiftedTo holds the zones that ever received a shifted request.
	shiftedTo map[model.Zone]bool
}

func newRouterModel(seed uint64, f routerFault) *routerModel {
	w := &routerModel{
		fault:           f,
		rng:             rand.New(rand.NewPCG(seed, 5)),
		now:             routerStart,
		budget:          fixedBudget{},
		everUnavailable: map[model.Zone]bool{},
		shiftedTo:       map[model.Zone]bool{},
	}
	w.router = NewRouter(w.budget, RouterOptions{})
	if f == "budget" {
		w.router = NewRouter(unlimitedBudget{}, RouterOptions{})
	}
	w.setZones()
	return w
}

// setZones generates new random states for all zones.
func (w *routerModel) setZones() {
	w.zones = nil
	distorted := make([]ZoneState, 0, 6)
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
			w.everUnavailable[z.Zone] = true
		}
		w.zones = append(w.zones, z)
		distorted = append(distorted, w.distort(z))
	}
	w.router.SetZones(w.now, "s", distorted)
}

// distort applies the injected fault to the state that the router gets for a
// zone.
func (w *routerModel) distort(z ZoneState) ZoneState {
	switch w.fault {
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

// choose has the router choose a zone for a random request and checks the choice.
func (w *routerModel) choose() error {
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
	distorted := req
	if w.fault == "tried" {
		distorted.Tried = nil
	}
	key := quota.ShiftKey(req.Account, "s", home.Zone)
	before := maps.Clone(w.budget)
	c := w.router.Choose(w.now, distorted)
	if c.Shift {
		before[key]--
	}
	if !maps.Equal(before, w.budget) {
		return fmt.Errorf("budget after %+v is %v, want %v", c, w.budget, before)
	}
	if !c.OK {
		return w.checkRefusal(req, home, c, w.budget[key])
	}
	return w.checkChoice(req, home, c)
}

// canServe reports whether a zone may serve a request.
func canServe(req Request, z ZoneState) bool {
	return z.Reachable && !z.Draining && z.Slots > 0 && !slices.Contains(req.Tried, z.Zone)
}

func (w *routerModel) checkRefusal(req Request, home ZoneState, c Choice, left int64) error {
	switch {
	case canServe(req, home):
		return fmt.Errorf("refused with %s although home zone %+v can serve the request", c.Reason, home)
	case c.Reason == model.ReasonNone:
		return fmt.Errorf("refused %+v without a reason", req)
	case c.Reason == model.ReasonShiftCap && left > 0:
		return fmt.Errorf("refused by the shift cap with %d units left", left)
	}
	return nil
}

func (w *routerModel) checkChoice(req Request, home ZoneState, c Choice) error {
	at := slices.IndexFunc(w.zones, func(z ZoneState) bool { return z.Zone == c.Zone })
	if at < 0 || !canServe(req, w.zones[at]) {
		return fmt.Errorf("%+v was sent to %s, which cannot serve it", req, c.Zone)
	}
	zone := w.zones[at]
	if c.Shift != (c.Zone != home.Zone) {
		return fmt.Errorf("shift %v from %s to %s", c.Shift, home.Zone, c.Zone)
	}
	if !c.Shift {
		return nil
	}
	homeOpen := canServe(req, home) && !w.everUnavailable[home.Zone]
	spillAllowed := homeOpen && home.Queued > home.Slots && req.Priority != model.PriorityBulk
	if homeOpen && !spillAllowed {
		return fmt.Errorf("shift to %s although home zone %+v can serve the request", c.Zone, home)
	}
	if (req.Priority == model.PriorityBulk || spillAllowed) && zone.Busy+zone.Queued >= zone.Slots {
		return fmt.Errorf("%s request shifted to %+v, which has no free slots", req.Priority, zone)
	}
	err := w.checkOrder(req, home, zone)
	w.shiftedTo[zone.Zone] = true
	return err
}

// checkOrder returns an error if a zone that precedes the chosen one has free
// slots and never received a shifted request, so that no ramp can exclude it.
func (w *routerModel) checkOrder(req Request, home, chosen ZoneState) error {
	for i, z := range w.zones {
		unused := canServe(req, z) && z.Zone != home.Zone && z.Busy+z.Queued < z.Slots && !w.shiftedTo[z.Zone]
		sameRegion, chosenSameRegion := z.Region == home.Region, chosen.Region == home.Region
		earlier := sameRegion == chosenSameRegion && i < slices.Index(w.zones, chosen)
		if unused && (earlier || sameRegion && !chosenSameRegion) {
			return fmt.Errorf("shift to %+v before %+v", chosen, z)
		}
	}
	return nil
}

// step runs one random event. Its type is selected by kind, from 0 to 99.
func (w *routerModel) step(kind int) error {
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

// routerCommands returns the commands for a model with an injected fault.
func routerCommands(f routerFault) commands.Commands {
	return &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(state commands.State) commands.SystemUnderTest {
			return newRouterModel(state.(uint64), f)
		},
		InitialStateGen: gen.UInt64(),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.IntRange(0, 99).Map(func(kind int) commands.Command {
				return &commands.ProtoCommand{
					Name: fmt.Sprintf("step(%d)", kind),
					RunFunc: func(sut commands.SystemUnderTest) commands.Result {
						return sut.(*routerModel).step(kind)
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

// runHistories runs count random histories and stops at the first violation.
func runHistories(f routerFault, count int) *gopter.TestResult {
	params := gopter.DefaultTestParametersWithSeed(*seed)
	params.MinSuccessfulTests = count
	params.MaxSize = 400
	params.MaxShrinkCount = 0
	return commands.Prop(routerCommands(f)).Check(params)
}

func TestRouterRules(t *testing.T) {
	result := runHistories("", *histories)
	if !result.Passed() {
		t.Fatalf("seed %d: %v %v\n%v", *seed, result.Status, result.Labels, result.Args)
	}
}

// TestRouterRulesCatchFlaws verifies that the checks of TestRouterRules detect
// each injected fault.
func TestRouterRulesCatchFlaws(t *testing.T) {
	for _, f := range routerFaults {
		t.Run(string(f), func(t *testing.T) {
			result := runHistories(f, 300)
			if result.Passed() {
				t.Fatal("the checks did not detect the fault")
			}
			t.Logf("detected after %d histories: %v", result.Succeeded, result.Labels)
		})
	}
}

// shiftRouter returns a router whose home zone is unavailable and whose only other
// zone has 60 free slots, and a request of that home zone.
func shiftRouter(budget Budget) (*Router, Request) {
	r := NewRouter(budget, RouterOptions{})
	r.SetZones(routerStart, "s", []ZoneState{
		{Zone: "home", Region: "r"},
		{Zone: "other", Region: "r", Slots: 60, Reachable: true},
	})
	return r, Request{Account: "a", Service: "s", Places: []config.Place{{Zone: "home", Weight: 1}}}
}

// countAdmitted sends up to 100 requests and returns how many were admitted before
// the first refusal, whose reason must be the ramp.
func countAdmitted(t *testing.T, r *Router, now time.Time, req Request) int {
	t.Helper()
	for n := range 100 {
		c := r.Choose(now, req)
		if c.OK {
			continue
		}
		if c.Reason != model.ReasonPlaceRamping {
			t.Errorf("refused with reason %q", c.Reason)
		}
		return n
	}
	return 100
}

func TestShiftsRampUpByAnswers(t *testing.T) {
	r, req := shiftRouter(unlimitedBudget{})
	now := routerStart
	for _, want := range []int{6, 9, 13, 20, 30} {
		n := countAdmitted(t, r, now, req)
		if n != want {
			t.Fatalf("%d requests admitted, want %d", n, want)
		}
		if more := countAdmitted(t, r, now.Add(time.Millisecond), req); more != 0 {
			t.Errorf("%d more requests admitted without an answer", more)
		}
		for range n {
			r.Answered(now, "s", "other")
		}
		now = now.Add(50 * time.Millisecond)
	}
}

func TestUnansweredRequestsDoNotGrowARamp(t *testing.T) {
	r, req := shiftRouter(unlimitedBudget{})
	now := routerStart
	for range countAdmitted(t, r, now, req) {
		r.Failed(now, "s", "other")
	}
	if n := countAdmitted(t, r, now, req); n != 6 {
		t.Errorf("%d requests admitted after failures, want 6", n)
	}
	if n := countAdmitted(t, r, now.Add(3*DefaultAnswerTimeout), req); n != 6 {
		t.Errorf("%d requests admitted after the answer timeout, want 6", n)
	}
	r, req = shiftRouter(unlimitedBudget{})
	r.SetEntryCount(6)
	if n := countAdmitted(t, r, now, req); n != 1 {
		t.Errorf("%d requests admitted at one of 6 entry VMs, want 1", n)
	}
}

func TestReturnOfTheHomeRampsUp(t *testing.T) {
	budget := fixedBudget{quota.ShiftKey("a", "s", "home"): 4}
	r, req := shiftRouter(budget)
	r.SetZones(routerStart, "s", []ZoneState{
		{Zone: "home", Region: "r", Slots: 60, Reachable: true},
		{Zone: "other", Region: "r", Slots: 60, Reachable: true},
	})
	served := map[model.Zone]int{}
	for range 12 {
		served[r.Choose(routerStart, req).Zone]++
	}
	// The ramp admits six home requests and the budget four shifts. The other
	// two requests go home despite the ramp.
	if served["home"] != 8 || served["other"] != 4 {
		t.Errorf("served %v, want 8 in the home zone and 4 in the other", served)
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
			for _, p := range r.ZoneStatuses(routerStart, "s") {
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
	r := NewRouter(unlimitedBudget{}, RouterOptions{})
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
