package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
)

// tableSize is the size of a benchmark's configuration document.
type tableSize struct {
	accounts, blocks, zones int
	// weights is the count of different weights that a place may have. The
	// higher it is, the fewer rows are shared.
	weights int
}

func (s tableSize) String() string {
	return fmt.Sprintf("accounts=%d/blocks=%d/sites=%d/weights=%d", s.accounts, s.blocks, s.zones, s.weights)
}

var tableSizes = []tableSize{
	{accounts: 100, blocks: 10_000, zones: 240, weights: 1},
	{accounts: 100, blocks: 40_000, zones: 240, weights: 1},
	{accounts: 100, blocks: 160_000, zones: 240, weights: 1},
	{accounts: 100, blocks: 160_000, zones: 24, weights: 1},
	{accounts: 1, blocks: 160_000, zones: 240, weights: 1},
	{accounts: 1000, blocks: 160_000, zones: 240, weights: 1},
	{accounts: 100, blocks: 160_000, zones: 240, weights: 8},
}

const (
	benchRegions     = 8
	benchRowZones    = 3
	benchEntryVMs    = 1400
	benchService     = model.ServiceName("plan-vault")
	benchIPv6Percent = 30
)

// input returns a table input of the given size. 30% of the blocks are IPv6.
func (s tableSize) input() TableInput {
	rng := rand.New(rand.NewPCG(1, 2))
	doc := &config.Document{Revision: 1}
	template := config.Template{Name: "t", Service: benchService}
	for i := range s.zones {
		zone := model.Zone(fmt.Sprintf("zone-%03d", i))
		region := model.Region(fmt.Sprintf("region-%d", i%benchRegions))
		doc.Zones = append(doc.Zones, config.Zone{Name: zone, Region: region})
		template.Places = append(template.Places, zone)
	}
	doc.Templates = []config.Template{template}
	for a := range s.accounts {
		account := config.Account{ID: model.AccountID(fmt.Sprintf("account-%04d", a))}
		account.Services = []config.AccountService{{Template: "t"}}
		for range s.blocks / s.accounts {
			account.Blocks = append(account.Blocks, benchBlock(rng, template.Places, s.weights))
		}
		doc.Accounts = append(doc.Accounts, account)
	}
	return TableInput{Revision: 1, TTL: 10 * time.Second, Doc: doc, Entries: benchEntries(doc)}
}

func benchBlock(rng *rand.Rand, zones []model.Zone, weights int) config.Block {
	first := rng.IntN(len(zones))
	places := make([]config.Place, benchRowZones)
	for i := range places {
		places[i] = config.Place{Zone: zones[(first+i*7)%len(zones)], Weight: 1 + rng.IntN(weights)}
	}
	if rng.IntN(100) < benchIPv6Percent {
		var b [16]byte
		b[0], b[1] = 0x20, 0x01
		for i := 2; i < 7; i++ {
			b[i] = byte(rng.Uint32())
		}
		return config.Block{Prefix: netip.PrefixFrom(netip.AddrFrom16(b), 56).Masked(), Places: places}
	}
	v := rng.Uint32()
	addr := netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
	return config.Block{Prefix: netip.PrefixFrom(addr, 16+rng.IntN(9)).Masked(), Places: places}
}

func benchEntries(doc *config.Document) []Entry {
	entries := make([]Entry, 0, benchEntryVMs)
	for i := range benchEntryVMs {
		z := doc.Zones[i%len(doc.Zones)]
		entries = append(entries, Entry{
			VM:      model.VMID(fmt.Sprintf("entry-%04d", i)),
			Zone:    z.Name,
			Region:  z.Region,
			Address: fmt.Sprintf("10.0.%d.%d:8080", i>>8, i&0xff),
		})
	}
	return entries
}

// clients returns n random addresses inside the blocks of a document, and the
// account of each.
func clients(doc *config.Document, n int) ([]netip.Addr, []model.AccountID) {
	rng := rand.New(rand.NewPCG(3, 4))
	addrs := make([]netip.Addr, n)
	accounts := make([]model.AccountID, n)
	for i := range addrs {
		account := doc.Accounts[rng.IntN(len(doc.Accounts))]
		accounts[i] = account.ID
		addrs[i] = account.Blocks[rng.IntN(len(account.Blocks))].Prefix.Addr().Next()
	}
	return addrs, accounts
}

func BenchmarkLookup(b *testing.B) {
	for _, size := range tableSizes {
		b.Run(size.String(), func(b *testing.B) {
			in := size.input()
			table, err := NewTable(in)
			if err != nil {
				b.Fatal(err)
			}
			addrs, accounts := clients(in.Doc, 1<<14)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				at := i & (1<<14 - 1)
				if _, ok := table.Lookup(addrs[at], accounts[at], benchService); !ok {
					b.Fatal("no answer")
				}
			}
		})
	}
}

func BenchmarkNewTable(b *testing.B) {
	for _, size := range tableSizes {
		b.Run(size.String(), func(b *testing.B) {
			in := size.input()
			var table *Table
			for range b.N {
				var err error
				if table, err = NewTable(in); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			b.ReportMetric(retainedBytes(&table), "table-bytes")
			b.ReportMetric(float64(table.Stats().Rows), "rows")
		})
	}
}

func BenchmarkWithEntries(b *testing.B) {
	in := tableSize{accounts: 100, blocks: 160_000, zones: 240, weights: 1}.input()
	table, err := NewTable(in)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.WithEntries(in.Entries[1:], nil)
	}
}

// retainedBytes returns the heap bytes that only the table keeps alive. It
// replaces the table by an empty one.
func retainedBytes(table **Table) float64 {
	var with, without runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&with)
	*table = &Table{stats: (*table).stats}
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&without)
	return float64(with.HeapAlloc) - float64(without.HeapAlloc)
}
