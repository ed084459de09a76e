package config

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform"
)

// manyBlocks returns count blocks with two places each.
func manyBlocks(count int) []Block {
	blocks := make([]Block, count)
	for i := range blocks {
		addr := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		blocks[i] = Block{
			Prefix: netip.PrefixFrom(addr, 32),
			Places: []Place{{Zone: "lj-1", Weight: 3}, {Zone: "mb-1", Weight: 1}},
		}
	}
	return blocks
}

func TestObjectsHoldTheBlocksOfTheExpectedSize(t *testing.T) {
	const blocks = 160_000
	tests := map[string]int{"one account": 1, "800 accounts": 800}
	for name, accounts := range tests {
		t.Run(name, func(t *testing.T) {
			doc := testDocument()
			all := manyBlocks(blocks)
			per := blocks / accounts
			doc.Accounts = nil
			for i := range accounts {
				a := testAccount(model.AccountID(fmt.Sprintf("acct%04d", i)), 10)
				a.Blocks = all[i*per : (i+1)*per]
				doc.Accounts = append(doc.Accounts, a)
			}
			encoded, err := encodeObjects(doc, nil, nil)
			if err != nil {
				t.Fatal(err)
			}
			for _, data := range encoded.data {
				if len(data) > platform.MaxValueBytes {
					t.Fatalf("an object has %d bytes", len(data))
				}
			}
			checkHeadSize(t, encoded.manifest, 1)
			checkHeadSize(t, encoded.manifest, maxCommitKeys)
			back, err := decodeObjects(doc.Revision, encoded)
			if err != nil {
				t.Fatal(err)
			}
			if !equalEncoding(doc, back) {
				t.Error("the decoded document differs")
			}
		})
	}
}

// checkHeadSize checks the sizes of a head with the maximum number of recent
// commits and of its pointer.
func checkHeadSize(t *testing.T, manifest []ManifestEntry, keysPerCommit int) {
	t.Helper()
	const mostPointerBytes = 512
	keys := make([]Key, keysPerCommit)
	for i := range keys {
		keys[i] = AccountKey(model.AccountID(strings.Repeat("x", maxNameBytes)))
	}
	var head *Head
	for i := range 2 * maxRecentCommits {
		head = head.next(Commit{
			Revision: model.Revision(i + 1),
			ChangeID: ChangeID(fmt.Sprintf("%032d", i)),
			Operator: "operator",
			Time:     time.Unix(int64(i), 0),
			Keys:     keys,
		}, manifest)
	}
	object, err := encodeHead(head)
	if err != nil || len(object) > platform.MaxValueBytes {
		t.Fatalf("head of %d bytes, %v", len(object), err)
	}
	pointer, err := encodePointer(head, hashOf(object))
	if err != nil || len(pointer) > mostPointerBytes {
		t.Fatalf("pointer of %d bytes, %v", len(pointer), err)
	}
	t.Logf("%d objects, %d commits of %d keys, head %d bytes, pointer %d bytes",
		len(manifest), len(head.Recent), keysPerCommit, len(object), len(pointer))
}

func TestObjectsOfUntouchedSectionsAreReused(t *testing.T) {
	doc := testDocument()
	before, err := encodeObjects(doc, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	change := shiftCapChange("c", 1, "acct0", 55)
	next, err := Apply(doc, change)
	if err != nil {
		t.Fatal(err)
	}
	reused, err := encodeObjects(next, before, change.Keys())
	if err != nil {
		t.Fatal(err)
	}
	whole, err := encodeObjects(next, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if reused.digest() != whole.digest() {
		t.Error("reusing sections changes the manifest")
	}
	changed := 0
	for hash := range reused.data {
		if before.data[hash] == nil {
			changed++
		}
	}
	if changed != 1 {
		t.Errorf("%d objects changed, want 1", changed)
	}
}

func TestDamagedObjectIsRejected(t *testing.T) {
	o, err := encodeObjects(testDocument(), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	for hash, data := range o.data {
		o.data[hash] = data[:len(data)-1]
		break
	}
	if _, err := decodeObjects(1, o); err == nil {
		t.Error("a damaged object is accepted")
	}
}

// largeDocument returns a document with 160,000 blocks in 800 accounts.
func largeDocument() *Document {
	const accounts, perAccount = 800, 200
	doc := testDocument()
	all := manyBlocks(accounts * perAccount)
	doc.Accounts = nil
	for i := range accounts {
		a := testAccount(model.AccountID(fmt.Sprintf("acct%04d", i)), 10)
		a.Blocks = all[i*perAccount : (i+1)*perAccount]
		doc.Accounts = append(doc.Accounts, a)
	}
	return doc
}

func BenchmarkAdoptChangeOf160kBlocks(b *testing.B) {
	doc := largeDocument()
	encoded, err := encodeObjects(doc, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	base := &version{doc: doc, objects: encoded}
	b.ResetTimer()
	for i := range b.N {
		v, err := prepare(base, shiftCapChange("c", 1, "acct0001", int64(i%1000)))
		if err != nil {
			b.Fatal(err)
		}
		NewSnapshot(v.doc)
	}
}

// BenchmarkFetch160kBlocks builds a version from its objects, as a starting
// process does, and reports the memory that the version retains.
func BenchmarkFetch160kBlocks(b *testing.B) {
	encoded, err := encodeObjects(largeDocument(), nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	stored := 0
	for _, data := range encoded.data {
		stored += len(data)
	}
	before := liveHeap()
	var v *version
	for b.Loop() {
		v, err = newVersion(&Head{Commit: Commit{Revision: 1}}, encoded)
		if err != nil {
			b.Fatal(err)
		}
		v.snapshot = NewSnapshot(v.doc)
	}
	b.ReportMetric(float64(liveHeap()-before), "kept-B")
	b.ReportMetric(float64(stored), "stored-B")
	runtime.KeepAlive(v)
	runtime.KeepAlive(encoded)
}

// liveHeap returns the number of heap bytes in use after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkClassify(b *testing.B) {
	s := NewSnapshot(testDocument())
	b.ReportAllocs()
	for b.Loop() {
		s.Classify("acct0", "lease-desk", "POST", "/reservations/7")
	}
}

func BenchmarkConfirmed(b *testing.B) {
	s := &Service{startedAt: time.Now()}
	s.confirmedUntil.Store(int64(time.Hour))
	now := time.Now()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Confirmed(now)
		}
	})
}
