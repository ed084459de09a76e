package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	upload = &catalog.Route{Name: "upload", Kind: catalog.Upload}
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
	return newFleetWith(Options{Self: model.VMID(self), Region: region}, all, list)
}

func newFleetWith(options Options, all []catalog.VM, list []*catalog.Server) *Fleet {
	options.ColdFactor, options.ColdSlack = coldFactor, coldSlack
	f := NewFleet(options)
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

func TestAllVMsSendAnObjectToTheSameServer(t *testing.T) {
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

func TestLargeBodiesStayInTheRegion(t *testing.T) {
	list := servers(12, "lj", "mb", "kp")
	f := newFleet("vm-0", "mb", vms(7), list)
	for _, route := range []*catalog.Route{pack, upload} {
		for i := range uint64(50) {
			c := choose(t, f, route, mix(i), start)
			if c.Target.Region != "mb" {
				t.Errorf("object %d of %s goes to %s", i, route.Name, c.Target.Region)
			}
			f.Done(c, Answered, nil, start)
		}
	}
	f.SetSnapshot(snapshot(servers(2, "lj", "kp"), nil), start)
	choose(t, f, pack, 1, start)
}

func TestPickWithoutUsableServer(t *testing.T) {
	tests := []struct {
		desc string
		make func(f *Fleet, list []*catalog.Server) Query
		want Reason
	}{
		{"no server in the allowed regions", func(*Fleet, []*catalog.Server) Query {
			return Query{Route: &catalog.Route{}, Regions: catalog.NewRegions([]model.Region{"kp"}), Service: "desk"}
		}, NoServers},
		{"unknown service", func(*Fleet, []*catalog.Server) Query { return Query{Route: lookup, Service: "x"} }, NoServers},
		{"all servers excluded", func(_ *Fleet, list []*catalog.Server) Query {
			return Query{Route: lookup, Service: "desk", Exclude: []model.ServerID{list[0].ID, list[1].ID}}
		}, AllFull},
		{"zone evacuated", func(f *Fleet, list []*catalog.Server) Query {
			f.SetSnapshot(snapshot(list, map[model.Zone]bool{"lj-a": true}), start)
			return Query{Route: lookup, Service: "desk"}
		}, NoServers},
		{"all servers ejected", func(f *Fleet, list []*catalog.Server) Query {
			for range list {
				c, _ := f.Pick(Query{Route: lookup, Service: "desk"}, start)
				f.Done(c, Unanswered, nil, start)
			}
			return Query{Route: lookup, Service: "desk"}
		}, AllFull},
		{"all servers report full queues", func(f *Fleet, list []*catalog.Server) Query {
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
	var ejections []Ejection
	f.options.OnEject = func(e Ejection) { ejections = append(ejections, e) }
	c := choose(t, f, lookup, 1, start)
	f.Done(c, Unanswered, nil, start)
	want := Ejection{Server: c.Target, Duration: minEjection, Unanswered: 1, FailureRate: failureWeight}
	if len(ejections) != 1 || ejections[0] != want {
		t.Errorf("ejections %+v, want %+v", ejections, want)
	}
	if _, reason := f.Pick(Query{Route: lookup, Service: "desk"}, start.Add(minEjection-1)); reason != AllFull {
		t.Errorf("got %q, want %q", reason, AllFull)
	}
	choose(t, f, lookup, 1, start.Add(minEjection))
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

// TestColdServerKeepsToItsRateOverAllVMs sends requests at random times from many
// VMs, which share only the list of VMs, and checks the number of requests that
// one cold server gets in any second.
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
			return "the cold server gets no requests"
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

func TestWarmServersShareAnObjectByLoad(t *testing.T) {
	f := newFleet("vm-0", "lj", vms(1), servers(4, "lj"))
	first := choose(t, f, lookup, 1, start)
	home := first.Target.ID
	busy := func(now time.Time) {
		f.Done(first, Answered, &Report{Running: 4, Waiting: 1, Slots: 3}, now)
	}
	busy(start)
	if c := choose(t, f, lookup, 1, start); c.Target.ID != home {
		t.Fatalf("the object left its first server at a load of %.2f", c.Load)
	} else {
		f.Done(c, Answered, &Report{Running: 4, Waiting: 5, Slots: 3}, start)
	}
	second := choose(t, f, lookup, 1, start)
	if second.Target.ID == home {
		t.Fatalf("the object stayed at its first server; load of the choice %.2f", second.Load)
	}
	f.Done(second, Answered, nil, start)
	now := start.Add(reportMaxAge)
	first = choose(t, f, lookup, 1, now)
	if first.Target.ID != home {
		t.Fatal("the object did not return to its idle first server")
	}
	busy(now)
	if c := choose(t, f, lookup, 1, now); c.Target.ID != second.Target.ID {
		t.Error("a warm server is not used while the first one is busier")
	}
}

func TestUseLogEvictsOldObjects(t *testing.T) {
	m := newUseLog()
	server := &Server{}
	for object := range uint64(maxObjects + 10) {
		m.record(object, server, start)
	}
	if len(m.byObject) > maxObjects {
		t.Errorf("%d objects recorded, bound %d", len(m.byObject), maxObjects)
	}
	if m.isWarm(maxObjects+9, server, start.Add(warmTTL)) {
		t.Error("a server is still warm for an object after warmTTL")
	}
	server.removed = true
	if m.isWarm(maxObjects+9, server, start) {
		t.Error("a removed server is still warm for an object")
	}
}

func TestServersOfAZoneAreColdAfterItsEvacuation(t *testing.T) {
	list := servers(1, "lj")
	f := newFleet("vm-0", "lj", vms(1), list)
	f.SetSnapshot(snapshot(list, map[model.Zone]bool{"lj-a": true}), start)
	f.SetSnapshot(snapshot(list, nil), start)
	if c := choose(t, f, lookup, 1, start); !c.Cold {
		t.Error("the server is not cold after the evacuation of its zone")
	}
}

// BenchmarkPick chooses servers of a service of which no server is cold, and of one
// of which all are, as after the loss of power in a zone.
func BenchmarkPick(b *testing.B) { benchmarkPick(b, false, 0) }

// BenchmarkPickWithLearnedCapacity is BenchmarkPick with estimates of the servers, for which
// requests must take time.
func BenchmarkPickWithLearnedCapacity(b *testing.B) { benchmarkPick(b, true, 50*time.Millisecond) }

func benchmarkPick(b *testing.B, learn bool, took time.Duration) {
	for _, count := range []int{20, 160, 753, 5000} {
		for _, cold := range []time.Duration{0, time.Hour} {
			b.Run(fmt.Sprintf("servers=%d/cold=%v", count, cold > 0), func(b *testing.B) {
				list := servers(count, "lj", "mb", "kp")
				for _, s := range list {
					s.ColdRemaining = cold
				}
				f := newFleetWith(Options{Self: "vm-0", Region: "lj", LearnCapacity: learn}, vms(117), list)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now := start.Add(time.Duration(i) * time.Millisecond)
					c, reason := f.Pick(Query{Route: lookup, Service: "desk", Object: mix(uint64(i % 400))}, now)
					if reason == "" {
						f.Done(c, Answered, nil, now.Add(took))
					}
				}
			})
		}
	}
}

// TestTheLossOfAVMKeepsColdServersServed checks that the VMs that send to a cold
// server are chosen anew when the live VMs change.
func TestTheLossOfAVMKeepsColdServersServed(t *testing.T) {
	cold := servers(1, "lj")
	cold[0].ColdRemaining = time.Minute
	all := vms(30)
	senders := func(live []catalog.VM) (list []catalog.VM) {
		for _, vm := range live {
			f := newFleet(string(vm.Name), "lj", all, cold)
			f.SetVMs(live)
			if c, reason := f.Pick(Query{Route: lookup, Service: "desk", Object: 1}, start); reason == "" {
				f.Done(c, Answered, nil, start)
				list = append(list, vm)
			}
		}
		return list
	}
	first := senders(all)
	if len(first) != coldSenders {
		t.Fatalf("%d VMs send to a cold server, want %d", len(first), coldSenders)
	}
	live := slices.DeleteFunc(slices.Clone(all), func(vm catalog.VM) bool { return vm.Name == first[0].Name })
	if got := senders(live); len(got) != coldSenders {
		t.Errorf("%d VMs send to a cold server after the loss of one, want %d", len(got), coldSenders)
	}
}

// TestOverloadDoesNotSpreadObjects checks where requests go when the first server
// of an object is full. A busy server that has not handled the object must not get
// them: each would take several times as long there and evict other objects from
// the server's cache.
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
		{"others are busy and warm for the object", busy, true, ""},
		{"others are full and warm for the object", full, true, AllFull},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFleet("vm-0", "lj", vms(2), servers(4, "lj"))
			home := choose(t, f, lookup, 1, start)
			f.Done(home, Answered, nil, start)
			counts := share.Counts{}
			for _, c := range f.byService["desk"] {
				server := c.server
				counts[server.hash] = tt.others
				if tt.known && server != home.Server {
					f.uses.record(1, server, start)
				}
			}
			counts[home.Server.hash] = full
			f.AddRemoteCounts(counts)
			c, got := f.Pick(Query{Route: lookup, Service: "desk", Object: 1}, start)
			if got != tt.want {
				t.Errorf("got %q at load %.2f, want %q", got, c.Load, tt.want)
			}
		})
	}
}
