package steer

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var (
	histories = flag.Int("histories", 100, "count of random histories per property")
	seed      = flag.Int64("seed", 1, "seed of the random histories")
)

// lookupFunc is Table.Lookup or a deliberately faulty variant of it.
type lookupFunc func(netip.Addr, model.AccountID, model.ServiceName) (Answer, bool)

// randomInput returns a table input with a small document whose blocks often
// overlap.
func randomInput(rng *rand.Rand) TableInput {
	doc := &config.Document{Revision: 3}
	for i := range 6 {
		doc.Zones = append(doc.Zones, config.Zone{
			Name:   model.Zone(fmt.Sprint("zone-", i)),
			Region: model.Region(fmt.Sprint("region-", i/2)),
		})
	}
	for i := range 2 {
		template := config.Template{Name: fmt.Sprint("t", i), Service: model.ServiceName(fmt.Sprint("s", i))}
		for _, z := range rng.Perm(6)[:3+rng.IntN(4)] {
			template.Places = append(template.Places, doc.Zones[z].Name)
		}
		doc.Templates = append(doc.Templates, template)
	}
	for a := range 2 {
		account := config.Account{ID: model.AccountID(fmt.Sprint("a", a))}
		for _, t := range doc.Templates[:1+rng.IntN(2)] {
			account.Services = append(account.Services, config.AccountService{Template: t.Name})
		}
		used := map[netip.Prefix]bool{}
		for range rng.IntN(24) {
			b := randomBlock(rng, doc)
			if !used[b.Prefix] {
				account.Blocks = append(account.Blocks, b)
			}
			used[b.Prefix] = true
		}
		doc.Accounts = append(doc.Accounts, account)
	}
	in := TableInput{Revision: 3, TTL: time.Second, Doc: doc}
	for i := range rng.IntN(8) {
		z := doc.Zones[rng.IntN(6)]
		in.Entries = append(in.Entries, Entry{VM: model.VMID(fmt.Sprint("vm-", i)), Zone: z.Name, Region: z.Region})
	}
	if rng.IntN(2) == 0 {
		in.DrainingZones = []model.Zone{doc.Zones[rng.IntN(6)].Name}
	}
	return in
}

func randomBlock(rng *rand.Rand, doc *config.Document) config.Block {
	addr := randomClient(rng)
	prefix := netip.PrefixFrom(addr, rng.IntN(addr.BitLen()+1)).Masked()
	block := config.Block{Prefix: prefix}
	for _, z := range rng.Perm(6)[:1+rng.IntN(3)] {
		block.Places = append(block.Places, config.Place{Zone: doc.Zones[z].Name, Weight: rng.IntN(4)})
	}
	return block
}

// randomClient returns an address from a small range, so that blocks often match.
func randomClient(rng *rand.Rand) netip.Addr {
	last := byte(rng.IntN(8) << 5)
	if rng.IntN(2) == 0 {
		return netip.AddrFrom4([4]byte{10, 0, byte(rng.IntN(2)), last})
	}
	return netip.AddrFrom16([16]byte{0: 0x20, 1: 1, 14: byte(rng.IntN(2)), 15: last})
}

// linearScan returns the expected row of a client: that of the longest matching
// block of the account, or all zones of the template.
func linearScan(in TableInput, client netip.Addr, account config.Account, template config.Template) []config.Place {
	var row []config.Place
	longest := -1
	for _, b := range account.Blocks {
		if b.Prefix.Contains(client) && b.Prefix.Bits() > longest {
			row, longest = b.Places, b.Prefix.Bits()
		}
	}
	if len(row) > 0 {
		return row
	}
	return defaultPlaces(template)
}

func defaultPlaces(template config.Template) []config.Place {
	var row []config.Place
	for _, z := range template.Places {
		row = append(row, config.Place{Zone: z, Weight: 1})
	}
	return row
}

// wantPlaces returns the places that are expected to serve the clients of a row.
func wantPlaces(row []config.Place, template config.Template) []config.Place {
	served := slices.DeleteFunc(slices.Clone(row), func(p config.Place) bool {
		return !slices.Contains(template.Places, p.Zone)
	})
	if len(served) > 0 {
		return served
	}
	return defaultPlaces(template)
}

// checkLookup compares the result of one look-up with the linear scan.
func checkLookup(in TableInput, lookup lookupFunc, client netip.Addr, account config.Account, template config.Template) error {
	served := slices.ContainsFunc(account.Services, func(s config.AccountService) bool { return s.Template == template.Name })
	got, ok := lookup(client, account.ID, template.Service)
	if ok != (served && len(in.Entries) > 0) {
		return fmt.Errorf("found %v, account has service %v, %d entries", ok, served, len(in.Entries))
	}
	if !ok {
		return nil
	}
	if again, _ := lookup(client, account.ID, template.Service); !slices.Equal(again.Entries, got.Entries) {
		return errors.New("two answers to one client differ")
	}
	row := linearScan(in, client, account, template)
	if err := checkPlaces(in, got, row, template); err != nil {
		return err
	}
	return checkEntries(in, got, template)
}

// distanceClass returns 0 for the home zone, 1 for a zone of its region and 2 for
// any other.
func distanceClass(in TableInput, home, zone model.Zone) int {
	if zone == home {
		return 0
	}
	if regionIn(in, zone) == regionIn(in, home) {
		return 1
	}
	return 2
}

func regionIn(in TableInput, zone model.Zone) model.Region {
	for _, z := range in.Doc.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// rankOfZone returns the sort key of a zone: by distance from the home zone, then
// by the template's order.
func rankOfZone(in TableInput, template config.Template, home, zone model.Zone) int {
	at := slices.Index(template.Places, zone)
	if at < 0 {
		at = len(template.Places)
	}
	return distanceClass(in, home, zone)*100 + at
}

func checkPlaces(in TableInput, got Answer, row []config.Place, template config.Template) error {
	weighted := slices.ContainsFunc(row, func(p config.Place) bool { return p.Weight > 0 })
	at := slices.IndexFunc(row, func(p config.Place) bool { return p.Zone == got.ClientZone.Zone })
	if at < 0 || weighted && row[at].Weight <= 0 {
		return fmt.Errorf("client zone %v has no weight in %v", got.ClientZone, row)
	}
	if got.ClientZone.Region != regionIn(in, got.ClientZone.Zone) {
		return fmt.Errorf("client zone %v has the wrong region", got.ClientZone)
	}
	want := wantPlaces(row, template)
	slices.SortFunc(want, func(a, b config.Place) int {
		return rankOfZone(in, template, got.ClientZone.Zone, a.Zone) - rankOfZone(in, template, got.ClientZone.Zone, b.Zone)
	})
	if !slices.Equal(got.Places, want) {
		return fmt.Errorf("places %v, want %v", got.Places, want)
	}
	return nil
}

func checkEntries(in TableInput, got Answer, template config.Template) error {
	open := slices.DeleteFunc(slices.Clone(in.Entries), func(e Entry) bool { return slices.Contains(in.DrainingZones, e.Zone) })
	if len(open) == 0 {
		open = in.Entries
	}
	if len(got.Entries) != min(len(open), MaxEntries) {
		return fmt.Errorf("%d entries, with %d available", len(got.Entries), len(open))
	}
	near := got.ClientZone.Zone
	last := -1
	seen := map[model.VMID]bool{}
	for _, e := range got.Entries {
		rank := rankOfZone(in, template, near, e.Zone)
		if !slices.Contains(open, e) || seen[e.VM] || rank < last {
			return fmt.Errorf("entry %v is misplaced in %v for client zone %s", e, got.Entries, near)
		}
		seen[e.VM] = true
		last = rank
	}
	return nil
}

// checkLookups builds tables from random documents and reports whether all
// look-ups agree with the linear scan.
func checkLookups(t *testing.T, build func(TableInput) lookupFunc) bool {
	t.Helper()
	params := gopter.DefaultTestParametersWithSeed(*seed)
	params.MinSuccessfulTests = *histories
	p := prop.ForAll(func(n uint64) (bool, error) {
		rng := rand.New(rand.NewPCG(n, 1))
		in := randomInput(rng)
		lookup := build(in)
		for range 32 {
			account := in.Doc.Accounts[rng.IntN(2)]
			template := in.Doc.Templates[rng.IntN(2)]
			if err := checkLookup(in, lookup, randomClient(rng), account, template); err != nil {
				return false, err
			}
		}
		return true, nil
	}, gen.UInt64())
	result := p.Check(params)
	if !result.Passed() {
		t.Logf("seed %d: %v", *seed, result.Error)
	}
	return result.Passed()
}

func mustTable(t *testing.T, in TableInput) *Table {
	t.Helper()
	table, err := NewTable(in)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestLookupMatchesLinearScan(t *testing.T) {
	if !checkLookups(t, func(in TableInput) lookupFunc { return mustTable(t, in).Lookup }) {
		t.Fatal("Lookup differs from the linear scan")
	}
}

// TestScanCatchesBrokenLookups verifies that the comparison with the linear scan
// detects faulty look-ups.
func TestScanCatchesBrokenLookups(t *testing.T) {
	broken := map[string]func(TableInput) lookupFunc{
		"longest blocks ignored": func(in TableInput) lookupFunc {
			doc := *in.Doc
			doc.Accounts = slices.Clone(doc.Accounts)
			for i := range doc.Accounts {
				doc.Accounts[i].Blocks = slices.DeleteFunc(slices.Clone(doc.Accounts[i].Blocks),
					func(b config.Block) bool { return b.Prefix.Bits() == b.Prefix.Addr().BitLen() })
			}
			in.Doc = &doc
			return mustTable(t, in).Lookup
		},
		"draining zones listed": func(in TableInput) lookupFunc {
			in.DrainingZones = nil
			return mustTable(t, in).Lookup
		},
		"regions ignored": func(in TableInput) lookupFunc {
			doc := *in.Doc
			doc.Zones = nil
			in.Doc = &doc
			return mustTable(t, in).Lookup
		},
		"answer reversed": func(in TableInput) lookupFunc {
			lookup := mustTable(t, in).Lookup
			return func(c netip.Addr, a model.AccountID, s model.ServiceName) (Answer, bool) {
				answer, ok := lookup(c, a, s)
				answer.Entries = slices.Clone(answer.Entries)
				slices.Reverse(answer.Entries)
				return answer, ok
			}
		},
	}
	for name, build := range broken {
		t.Run(name, func(t *testing.T) {
			if checkLookups(t, build) {
				t.Fatal("the linear scan did not detect the faulty look-up")
			}
		})
	}
}

// TestWithEntriesEqualsANewTable checks that WithEntries gives the same answers as
// a table built from the same input by NewTable.
func TestWithEntriesEqualsANewTable(t *testing.T) {
	if !checkLookups(t, func(in TableInput) lookupFunc {
		first := in
		first.Entries, first.DrainingZones = in.Entries[:len(in.Entries)/2], nil
		return mustTable(t, first).WithEntries(in.Entries, in.DrainingZones).Lookup
	}) {
		t.Fatal("a table from WithEntries differs from the linear scan")
	}
}

func TestWeightsSpreadClients(t *testing.T) {
	in := tableSize{accounts: 1, blocks: 1, zones: 8, weights: 1}.input()
	in.Doc.Accounts[0].Blocks = []config.Block{{
		Prefix: netip.MustParsePrefix("10.0.0.0/16"),
		Places: []config.Place{{Zone: "zone-000", Weight: 1}, {Zone: "zone-001", Weight: 3}},
	}}
	table := mustTable(t, in)
	const n = 1 << 14
	homes := map[model.Zone]int{}
	firsts := map[model.VMID]int{}
	for i := range n {
		client := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		answer, _ := table.Lookup(client, in.Doc.Accounts[0].ID, benchService)
		homes[answer.Places[0].Zone]++
		firsts[answer.Entries[0].VM]++
	}
	if share := float64(homes["zone-001"]) / n; share < 0.73 || share > 0.77 {
		t.Errorf("a zone with a weight of 3 of 4 has a share of %.3f", share)
	}
	perZone := benchEntryVMs / 8
	if len(firsts) < 2*perZone*9/10 {
		t.Errorf("clients use %d of %d entry VMs", len(firsts), 2*perZone)
	}
}

func TestNewTableErrors(t *testing.T) {
	if _, err := NewTable(TableInput{}); !errors.Is(err, ErrNoDocument) {
		t.Errorf("no document: %v", err)
	}
	account := config.Account{ID: "a", Services: []config.AccountService{{Template: "none"}}}
	doc := &config.Document{Accounts: []config.Account{account}}
	if _, err := NewTable(TableInput{Doc: doc}); !errors.Is(err, ErrUnknownTemplate) {
		t.Errorf("unknown template: %v", err)
	}
	doc.Accounts = []config.Account{{ID: "a", Blocks: []config.Block{{}}}}
	if _, err := NewTable(TableInput{Doc: doc}); !errors.Is(err, ErrBadBlock) {
		t.Errorf("bad block: %v", err)
	}
}

func TestLookupAllocatesNothing(t *testing.T) {
	in := tableSize{accounts: 2, blocks: 200, zones: 24, weights: 3}.input()
	table := mustTable(t, in)
	addrs, accounts := clients(in.Doc, 64)
	allocs := testing.AllocsPerRun(10, func() {
		for i := range addrs {
			table.Lookup(addrs[i], accounts[i], benchService)
		}
	})
	if allocs != 0 {
		t.Fatalf("%v allocations", allocs)
	}
}
