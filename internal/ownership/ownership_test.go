package ownership

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"fuchsiaspar/internal/model"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var (
	histories = flag.Int("histories", 100, "count of random views per property")
	seed      = flag.Int64("seed", 1, "seed of the random views")
)

// ownerFunc is Owner or a broken variant of it.
type ownerFunc func(model.ServerID, model.Zone, model.Region, []Candidate) (model.VMID, bool)

// view is a random set of candidates with one server's place.
type view struct {
	live   []Candidate
	server model.ServerID
	zone   model.Zone
	region model.Region
}

const (
	testRegions        = 3
	testZonesPerRegion = 2
)

// makeView turns random numbers into a view: each number places one VM.
func makeView(places []int, server int) view {
	v := view{server: model.ServerID(fmt.Sprintf("server-%d", server))}
	v.zone, v.region = placeOf(server)
	for i, p := range places {
		zone, region := placeOf(p)
		v.live = append(v.live, Candidate{VM: model.VMID(fmt.Sprintf("vm-%d", i)), Zone: zone, Region: region})
	}
	return v
}

func placeOf(n int) (model.Zone, model.Region) {
	zone := n % (testRegions * testZonesPerRegion)
	return model.Zone(fmt.Sprint("zone-", zone)), model.Region(fmt.Sprint("region-", zone/testZonesPerRegion))
}

// nearest returns the VMs that the rules allow as the owner.
func nearest(v view) []model.VMID {
	inZone := func(c Candidate) bool { return c.Zone == v.zone }
	inRegion := func(c Candidate) bool { return c.Region == v.region }
	anywhere := func(Candidate) bool { return true }
	for _, allowed := range []func(Candidate) bool{inZone, inRegion, anywhere} {
		var vms []model.VMID
		for _, c := range v.live {
			if allowed(c) {
				vms = append(vms, c.VM)
			}
		}
		if len(vms) > 0 {
			return vms
		}
	}
	return nil
}

// check reports the first rule that owner breaks for a view.
func check(owner ownerFunc, v view) error {
	got, ok := owner(v.server, v.zone, v.region, v.live)
	if ok != (len(v.live) > 0) {
		return fmt.Errorf("owner exists: %v with %d candidates", ok, len(v.live))
	}
	if !ok {
		return nil
	}
	if !slices.Contains(nearest(v), got) {
		return fmt.Errorf("owner %s is not among the nearest %v", got, nearest(v))
	}
	reversed := slices.Clone(v.live)
	slices.Reverse(reversed)
	if other, _ := owner(v.server, v.zone, v.region, reversed); other != got {
		return fmt.Errorf("owner depends on the order: %s and %s", got, other)
	}
	return checkLoss(owner, v, got)
}

// checkLoss removes each candidate in turn: only the owner's loss may move the
// server.
func checkLoss(owner ownerFunc, v view, before model.VMID) error {
	for i := range v.live {
		lost := v.live[i].VM
		left := slices.Delete(slices.Clone(v.live), i, i+1)
		after, ok := owner(v.server, v.zone, v.region, left)
		if lost == before {
			continue
		}
		if !ok || after != before {
			return fmt.Errorf("loss of %s moved the server from %s to %s", lost, before, after)
		}
	}
	return nil
}

// holds runs the property and reports whether no view broke it.
func holds(t *testing.T, owner ownerFunc) bool {
	t.Helper()
	params := gopter.DefaultTestParametersWithSeed(*seed)
	params.MinSuccessfulTests = *histories
	params.MaxSize = 24
	places := gen.SliceOf(gen.IntRange(0, testRegions*testZonesPerRegion-1))
	p := prop.ForAll(func(at []int, server int) (bool, error) {
		err := check(owner, makeView(at, server))
		return err == nil, err
	}, places, gen.IntRange(0, 1000))
	result := p.Check(params)
	if !result.Passed() {
		t.Logf("seed %d: %v %v", *seed, result.Status, result.Error)
	}
	return result.Passed()
}

func TestOwnerRules(t *testing.T) {
	if !holds(t, Owner) {
		t.Fatal("Owner breaks a rule")
	}
}

// TestRulesCatchBrokenOwners proves that the rules can fail.
func TestRulesCatchBrokenOwners(t *testing.T) {
	broken := map[string]ownerFunc{
		"modulo": func(s model.ServerID, z model.Zone, r model.Region, live []Candidate) (model.VMID, bool) {
			vms := nearest(view{live: live, zone: z, region: r})
			if len(vms) == 0 {
				return "", false
			}
			slices.Sort(vms)
			return vms[hashString(offset64, string(s))%uint64(len(vms))], true
		},
		"no zones": func(s model.ServerID, _ model.Zone, _ model.Region, live []Candidate) (model.VMID, bool) {
			return Owner(s, "", "", live)
		},
		"first": func(_ model.ServerID, z model.Zone, r model.Region, live []Candidate) (model.VMID, bool) {
			vms := nearest(view{live: live, zone: z, region: r})
			if len(vms) == 0 {
				return "", false
			}
			return vms[0], true
		},
	}
	for name, owner := range broken {
		t.Run(name, func(t *testing.T) {
			if holds(t, owner) {
				t.Fatal("the rules accept a broken owner")
			}
		})
	}
}

func TestOwnerSpreadsServers(t *testing.T) {
	const servers, vms = 6000, 6
	v := makeView(make([]int, vms), 0)
	counts := map[model.VMID]int{}
	for i := range servers {
		vm, _ := Owner(model.ServerID(fmt.Sprint("server-", i)), v.zone, v.region, v.live)
		counts[vm]++
	}
	if len(counts) != vms {
		t.Errorf("%d of %d VMs own servers", len(counts), vms)
	}
	for vm, n := range counts {
		if n < servers/vms*8/10 || n > servers/vms*12/10 {
			t.Errorf("%s owns %d of %d servers", vm, n, servers)
		}
	}
}

func TestOwnerAllocatesNothing(t *testing.T) {
	v := makeView([]int{0, 1, 2, 3, 4, 5, 0}, 7)
	allocs := testing.AllocsPerRun(100, func() { Owner(v.server, v.zone, v.region, v.live) })
	if allocs != 0 {
		t.Fatalf("%v allocations", allocs)
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{7, 70, 1400} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			places := make([]int, n)
			for i := range places {
				places[i] = i
			}
			v := makeView(places, 3)
			b.ReportAllocs()
			for range b.N {
				Owner(v.server, v.zone, v.region, v.live)
			}
		})
	}
}
