package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/share"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const coldRate, coldFactor, coldSlack = 3.5, 1.5, 5

var (
	start  = time.Unix(1_800_000_000, 0)
	lookup = &catalog.Route{Name: "lookup", Kind: catalog.Idempotent}
	pack   = &catalog.Route{Name: "pack", Kind: catalog.Download}
)

func config() *catalog.Config {
	return &catalog.Config{Services: map[model.ServiceName]catalog.Service{
		"desk": {ColdRate: coldRate, ColdDuration: 3 * time.Second},
	}}
}

func servers(count int, regions ...model.Region) []*catalog.Server {
	var list []*catalog.Server
	for i := range count {
		region := regions[i%len(regions)]
		list = append(list, &catalog.Server{
			ID: model.ServerID(fmt.Sprint("i-", i)), Service: "desk", Address: fmt.Sprint("10.0.0.", i, ":1"),
			Zone: model.Zone(region + "-a"), Region: region, Slots: 3,
		})
	}
	return list
}

func vms(count int) []catalog.VM {
	var list []catalog.VM
	for i := range count {
		list = append(list, catalog.VM{Name: model.VMID(fmt.Sprint("vm-", i))})
	}
	return list
}

func newFleet(self string, region model.Region, all []catalog.VM, list []*catalog.Server) *Fleet {
	f := NewFleet(Options{Self: model.VMID(self), Region: region, ColdFactor: coldFactor, ColdSlack: coldSlack})
	f.SetVMs(all)
	f.SetSnapshot(snapshot(list, nil), start)
	return f
}

func snapshot(list []*catalog.Server, evacuated map[model.Zone]bool) *catalog.Snapshot {
	return catalog.NewSnapshot(1, config(), list, evacuated, nil)
}

func choose(t *testing.T, f *Fleet, route *catalog.Route, object uint64, now time.Time) Choice {
	t.Helper()
	choice, reason := f.Pick(Query{Route: route, Service: "desk", Object: object}, now)
	if reason != "" {
		t.Fatalf("no server for object %d: %s", object, reason)
	}
	return choice
}

func TestEqualObjectsMeetAtOneServerFromEveryVM(t *testing.T) {
	list := servers(20, "lj", "mb")
	a, b := newFleet("vm-0", "lj", vms(7), list), newFleet("vm-1", "mb", vms(7), list)
	for i := range 100 {
		object := ObjectHash("h", "/p/", fmt.Sprint(i))
		at, bt := choose(t, a, lookup, object, start), choose(t, b, lookup, object, start)
		if at.Target.ID != bt.Target.ID {
			t.Errorf("object %d goes to %s and to %s", i, at.Target.ID, bt.Target.ID)
		}
		a.Done(at, Answered, nil, start)
		b.Done(bt, Answered, nil, start)
	}
}

func TestOnlyTheObjectsOfALostServerMove(t *testing.T) {
	list := servers(20, "lj")
	f := newFleet("vm-0", "lj", vms(7), list)
	before := map[uint64]model.ServerID{}
	for i := range uint64(200) {
		c := choose(t, f, lookup, mix(i), start)
		before[i] = c.Target.ID
		f.Done(c, Answered, nil, start)
	}
	f.SetSnapshot(snapshot(list[1:], nil), start)
	for i := range uint64(200) {
		c := choose(t, f, lookup, mix(i), start)
		if before[i] != list[0].ID && c.Target.ID != before[i] {
			t.Errorf("object %d moved from %s to %s", i, before[i], c.Target.ID)
		}
		f.Done(c, Answered, nil, start)
	}
}

func TestLargeAnswersStayInTheRegion(t *testing.T) {
	list := servers(12, "lj", "mb", "kp")
	f := newFleet("vm-0", "mb", vms(7), list)
	for i := range uint64(50) {
		c := choose(t, f, pack, mix(i), start)
		if c.Target.Region != "mb" {
			t.Errorf("object %d goes to %s", i, c.Target.Region)
		}
		f.Done(c, Answered, nil, start)
	}
	f.SetSnapshot(snapshot(servers(2, "lj", "kp"), nil), start)
	choose(t, f, pack, 1, start)
}

func TestServersThatGetNothing(t *testing.T) {
	tests := []struct {
		desc string
		make func(f *Fleet, list []*catalog.Server) Query
		want Reason
	}{
		{"another region only", func(*Fleet, []*catalog.Server) Query {
			return Query{Route: &catalog.Route{Regions: []model.Region{"kp"}}, Service: "desk"}
		}, NoServers},
		{"unknown service", func(*Fleet, []*catalog.Server) Query { return Query{Route: lookup, Service: "x"} }, NoServers},
		{"all tried", func(_ *Fleet, list []*catalog.Server) Query {
			return Query{Route: lookup, Service: "desk", Exclude: []model.ServerID{list[0].ID, list[1].ID}}
		}, AllFull},
		{"evacuated", func(f *Fleet, list []*catalog.Server) Query {
			f.SetSnapshot(snapshot(list, map[model.Zone]bool{"lj-a": true}), start)
			return Query{Route: lookup, Service: "desk"}
		}, NoServers},
		{"no connection to any", func(f *Fleet, list []*catalog.Server) Query {
			for range list {
				c, _ := f.Pick(Query{Route: lookup, Service: "desk"}, start)
				f.Done(c, Unanswered, nil, start)
			}
			return Query{Route: lookup, Service: "desk"}
		}, AllFull},
		{"full by their own report", func(f *Fleet, list []*catalog.Server) Query {
			for range list {
				c, _ := f.Pick(Query{Route: lookup, Service: "desk"}, start)
				f.Done(c, Answered, &Report{Running: 4, Waiting: 9, Slots: 3}, start)
			}
			return Query{Route: lookup, Service: "desk"}
		}, AllFull},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			list := servers(2, "lj")
			f := newFleet("vm-0", "lj", vms(3), list)
			if c, got := f.Pick(tt.make(f, list), start); got != tt.want {
				t.Errorf("got %+v, %q; want %q", c, got, tt.want)
			}
		})
	}
}

func TestServerIsTriedAgainAfterItsEjection(t *testing.T) {
	f := newFleet("vm-0", "lj", vms(1), servers(1, "lj"))
	var told []Ejection
	f.options.OnEject = func(e Ejection) { told = append(told, e) }
	c := choose(t, f, lookup, 1, start)
	f.Done(c, Unanswered, nil, start)
	want := Ejection{Server: c.Target, Duration: minEject, Unanswered: 1, FailureRate: failureWeight}
	if len(told) != 1 || told[0] != want {
		t.Errorf("told of %+v, want %+v", told, want)
	}
	if _, reason := f.Pick(Query{Route: lookup, Service: "desk"}, start.Add(minEject-1)); reason != AllFull {
		t.Errorf("got %q, want %q", reason, AllFull)
	}
	choose(t, f, lookup, 1, start.Add(minEject))
}

func TestFailingServerLosesItsObjects(t *testing.T) {
	f := newFleet("vm-0", "lj", vms(1), servers(4, "lj"))
	first := choose(t, f, lookup, 1, start)
	f.Done(first, Failed, nil, start)
	now := start
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		c := choose(t, f, lookup, 1, now)
		if c.Target.ID != first.Target.ID {
			return
		}
		f.Done(c, Failed, nil, now)
	}
	t.Error("a server that fails every request keeps its object")
}

// TestColdServerKeepsToItsRateOverAllVMs plays requests at random moments from
// many VMs, which share nothing but the list of VMs, and counts what one cold
// server gets in any second.
func TestColdServerKeepsToItsRateOverAllVMs(t *testing.T) {
	const bound = coldRate*coldFactor + coldSlack
	parameters := gopter.DefaultTestParametersWithSeed(20403)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("rate", prop.ForAll(func(seed uint64, count int) string {
		random := rand.New(rand.NewPCG(seed, 3))
		cold := servers(1, "lj")
		cold[0].ColdRemaining = time.Minute
		all := vms(count)
		var fleets []*Fleet
		for _, vm := range all {
			fleets = append(fleets, newFleet(string(vm.Name), "lj", all, cold))
		}
		var sent []time.Time
		now := start
		for range 400 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			f := fleets[random.IntN(count)]
			if c, reason := f.Pick(Query{Route: lookup, Service: "desk", Object: 1}, now); reason == "" {
				sent = append(sent, now)
				f.Done(c, Answered, nil, now)
			}
		}
		if len(sent) == 0 {
			return "the server gets nothing"
		}
		for i, from := range sent {
			in := 0
			for _, at := range sent[i:] {
				if at.Sub(from) <= time.Second {
					in++
				}
			}
			if float64(in) > bound {
				return fmt.Sprintf("%d requests in a second from %d VMs, bound %.1f", in, count, bound)
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 60)))
	properties.TestingRun(t)
}

func TestServersThatKnowAnObjectShareItByLoad(t *testing.T) {
	f := newFleet("vm-0", "lj", vms(1), servers(4, "lj"))
	first := choose(t, f, lookup, 1, start)
	home := first.Target.ID
	busy := func(now time.Time) {
		f.Done(first, Answered, &Report{Running: 4, Waiting: 1, Slots: 3}, now)
	}
	busy(start)
	if c := choose(t, f, lookup, 1, start); c.Target.ID != home {
		t.Fatalf("an object left its server behind a load of %.2f", c.Load)
	} else {
		f.Done(c, Answered, &Report{Running: 4, Waiting: 5, Slots: 3}, start)
	}
	second := choose(t, f, lookup, 1, start)
	if second.Target.ID == home {
		t.Fatalf("an object stayed behind a load of %.2f", second.Load)
	}
	f.Done(second, Answered, nil, start)
	now := start.Add(reportFor)
	first = choose(t, f, lookup, 1, now)
	if first.Target.ID != home {
		t.Fatal("an object did not return to its idle server")
	}
	busy(now)
	if c := choose(t, f, lookup, 1, now); c.Target.ID != second.Target.ID {
		t.Error("a server that knows the object is not used while the first one is busier")
	}
}

func TestForgottenObjectsMakeRoom(t *testing.T) {
	m := newMemory()
	server := &Server{}
	for object := range uint64(maxObjects + 10) {
		m.note(object, server, start)
	}
	if len(m.visits) > maxObjects {
		t.Errorf("%d objects remembered, bound %d", len(m.visits), maxObjects)
	}
	if m.knows(maxObjects+9, server, start.Add(warmFor)) {
		t.Error("a server is taken to remember an object for ever")
	}
	server.gone = true
	if m.knows(maxObjects+9, server, start) {
		t.Error("a server that is gone is taken to know an object")
	}
}

func TestServersOfAZoneThatIsTakenBackAreCold(t *testing.T) {
	list := servers(1, "lj")
	f := newFleet("vm-0", "lj", vms(1), list)
	f.SetSnapshot(snapshot(list, map[model.Zone]bool{"lj-a": true}), start)
	f.SetSnapshot(snapshot(list, nil), start)
	if c := choose(t, f, lookup, 1, start); !c.Cold {
		t.Error("the server counts as warm")
	}
}

func BenchmarkPick(b *testing.B) {
	f := newFleet("vm-0", "lj", vms(33), servers(240, "lj", "mb", "kp"))
	for i := 0; b.Loop(); i++ {
		c, _ := f.Pick(Query{Route: lookup, Service: "desk", Object: mix(uint64(i % 400))}, start)
		f.Done(c, Answered, nil, start)
	}
}

// TestOverloadDoesNotSpreadObjects has an object whose own server is full. A
// busy server that does not know the object must not get it: its work would
// take several times as long there and push other objects out.
func TestOverloadDoesNotSpreadObjects(t *testing.T) {
	const full, busy = 12, 4
	tests := []struct {
		desc   string
		others int
		known  bool
		want   Reason
	}{
		{"others have a free slot", 2, false, ""},
		{"others are busy", busy, false, AllFull},
		{"another one is busy and knows the object", busy, true, ""},
		{"another one is full and knows the object", full, true, AllFull},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFleet("vm-0", "lj", vms(2), servers(4, "lj"))
			home := choose(t, f, lookup, 1, start)
			f.Done(home, Answered, nil, start)
			counts := share.Counts{}
			for _, server := range f.byGroup["desk"] {
				counts[server.hash] = tt.others
				if tt.known && server != home.Server {
					f.memory.note(1, server, start)
				}
			}
			counts[home.Server.hash] = full
			f.SetRemote("vm-1", counts, start)
			c, got := f.Pick(Query{Route: lookup, Service: "desk", Object: 1}, start)
			if got != tt.want {
				t.Errorf("got %q at load %.2f, want %q", got, c.Load, tt.want)
			}
		})
	}
}
