package ownership

import (
	"errors"
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

const (
	testZones          = 6
	testZonesPerRegion = 2
)

// ownerFunc is Owner or a deliberately faulty variant of it.
type ownerFunc func(model.ServerID, model.Zone, model.Region, []Candidate) (model.VMID, bool)

// view is a set of candidates and the location of one server.
type view struct {
	candidates []Candidate
	server     model.ServerID
	zone       model.Zone
	region     model.Region
}

// makeView returns a view with one VM in the zone of each number in places.
func makeView(places []int, server int) view {
	v := view{server: model.ServerID(fmt.Sprint("server-", server))}
	v.zone, v.region = placeOf(server)
	for i, p := range places {
		zone, region := placeOf(p)
		v.candidates = append(v.candidates, Candidate{VM: model.VMID(fmt.Sprint("vm-", i)), Zone: zone, Region: region})
	}
	return v
}

// placeOf returns the zone of number n, modulo testZones, and its region.
func placeOf(n int) (model.Zone, model.Region) {
	zone := n % testZones
	return model.Zone(fmt.Sprint("zone-", zone)), model.Region(fmt.Sprint("region-", zone/testZonesPerRegion))
}

// nearest returns the VMs of the nearest tier, any of which may be the owner.
func nearest(v view) []model.VMID {
	var tiers [3][]model.VMID
	for _, c := range v.candidates {
		switch {
		case c.Zone == v.zone:
			tiers[0] = append(tiers[0], c.VM)
		case c.Region == v.region:
			tiers[1] = append(tiers[1], c.VM)
		default:
			tiers[2] = append(tiers[2], c.VM)
		}
	}
	at := slices.IndexFunc(tiers[:2], func(vms []model.VMID) bool { return len(vms) > 0 })
	if at < 0 {
		return tiers[2]
	}
	return tiers[at]
}

// checkOwner returns an error if owner violates an invariant for a view: the owner
// is one of the nearest VMs, it does not depend on the order of the candidates,
// and only its own loss moves the server.
func checkOwner(owner ownerFunc, v view) error {
	got, ok := owner(v.server, v.zone, v.region, v.candidates)
	if !ok && len(v.candidates) == 0 {
		return nil
	}
	if !ok || !slices.Contains(nearest(v), got) {
		return fmt.Errorf("owner %q is not among the nearest %v", got, nearest(v))
	}
	reversed := slices.Clone(v.candidates)
	slices.Reverse(reversed)
	if other, _ := owner(v.server, v.zone, v.region, reversed); other != got {
		return fmt.Errorf("owner depends on the order of the candidates: %s and %s", got, other)
	}
	for i, lost := range v.candidates {
		left := slices.Delete(slices.Clone(v.candidates), i, i+1)
		after, _ := owner(v.server, v.zone, v.region, left)
		if lost.VM != got && after != got {
			return fmt.Errorf("loss of %s moved the server from %s to %s", lost.VM, got, after)
		}
	}
	return nil
}

// checkRandomViews checks owner with random views and returns the first violation,
// if any.
func checkRandomViews(owner ownerFunc) error {
	params := gopter.DefaultTestParametersWithSeed(*seed)
	params.MinSuccessfulTests = *histories
	params.MaxSize = 24
	p := prop.ForAll(func(at []int, server int) (bool, error) {
		err := checkOwner(owner, makeView(at, server))
		return err == nil, err
	}, gen.SliceOf(gen.IntRange(0, testZones-1)), gen.IntRange(0, 1000))
	result := p.Check(params)
	if !result.Passed() && result.Error == nil {
		return errors.New(result.Status.String())
	}
	return result.Error
}

func TestOwnerRules(t *testing.T) {
	if err := checkRandomViews(Owner); err != nil {
		t.Fatalf("seed %d: %v", *seed, err)
	}
	same := func(s model.ServerID, z model.Zone, r model.Region, live []Candidate) (model.VMID, bool) {
		owner, ok := Owner(s, z, r, live)
		if indexed, _ := NewIndex(live).Owner(s, z, r); indexed != owner {
			t.Errorf("the index returns %q, want %q", indexed, owner)
		}
		return owner, ok
	}
	if err := checkRandomViews(same); err != nil {
		t.Error(err)
	}
}

// TestRulesCatchBrokenOwners verifies that checkOwner detects faulty variants of
// Owner.
func TestRulesCatchBrokenOwners(t *testing.T) {
	broken := map[string]ownerFunc{
		"modulo": func(s model.ServerID, z model.Zone, r model.Region, live []Candidate) (model.VMID, bool) {
			vms := nearest(view{candidates: live, zone: z, region: r})
			if len(vms) == 0 {
				return "", false
			}
			slices.Sort(vms)
			return vms[hashString(fnvOffset64, string(s))%uint64(len(vms))], true
		},
		"no zones": func(s model.ServerID, _ model.Zone, _ model.Region, live []Candidate) (model.VMID, bool) {
			return Owner(s, "", "", live)
		},
		"first": func(_ model.ServerID, z model.Zone, r model.Region, live []Candidate) (model.VMID, bool) {
			vms := nearest(view{candidates: live, zone: z, region: r})
			return append(vms, "")[0], len(vms) > 0
		},
	}
	for name, owner := range broken {
		err := checkRandomViews(owner)
		if err == nil {
			t.Errorf("the checks did not detect the faulty variant %q", name)
		}
		t.Logf("%s: %v", name, err)
	}
}

func TestOwnerSpreadsServers(t *testing.T) {
	const servers, vms = 6000, 6
	v := makeView(make([]int, vms), 0)
	counts := map[model.VMID]int{}
	for i := range servers {
		vm, _ := Owner(model.ServerID(fmt.Sprint("server-", i)), v.zone, v.region, v.candidates)
		counts[vm]++
	}
	for _, c := range v.candidates {
		if n := counts[c.VM]; n < servers/vms*8/10 || n > servers/vms*12/10 {
			t.Errorf("%s owns %d of %d servers", c.VM, n, servers)
		}
	}
	if allocs := testing.AllocsPerRun(100, func() { Owner(v.server, v.zone, v.region, v.candidates) }); allocs != 0 {
		t.Errorf("%v allocations", allocs)
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{7, 70, 1400} {
		places := make([]int, n)
		for i := range places {
			places[i] = i
		}
		v := makeView(places, 3)
		x := NewIndex(v.candidates)
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			for b.Loop() {
				Owner(v.server, v.zone, v.region, v.candidates)
			}
		})
		b.Run(fmt.Sprintf("candidates=%d/indexed", n), func(b *testing.B) {
			for b.Loop() {
				x.Owner(v.server, v.zone, v.region)
			}
		})
	}
}
