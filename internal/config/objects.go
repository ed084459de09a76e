package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"fuchsiaspar/internal/model"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Sizes of stored objects.
const (
	// maxObjectBytes is the size above which a section continues in another
	// object. It is well below platform.MaxValueBytes.
	maxObjectBytes = 256 << 10
	// blocksPerRecord is the maximum number of blocks in one record.
	blocksPerRecord = 256
	// accountBuckets is the number of buckets over which accounts are
	// distributed, so that a change rewrites few objects and the manifest stays
	// small.
	accountBuckets = 64
)

// Sections of an encoded document. Accounts and their blocks are distributed
// over buckets, each of which is a section.
const (
	sectionDeployment = "deployment"
	sectionTemplates  = "templates"
	sectionDrains     = "drains"
	sectionAccounts   = "accounts"
	sectionBlocks     = "blocks"
)

// ErrBadObject is returned for stored objects that are missing, damaged or
// don't form a valid document.
var ErrBadObject = errors.New("config: objects don't make a document")

// Hash is the SHA-256 hash of an object's content, in hexadecimal.
type Hash string

func hashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

// ManifestEntry identifies one object of a document.
type ManifestEntry struct {
	Name string `json:"name"`
	Hash Hash   `json:"hash"`
}

// section returns the name of the section to which the object belongs.
func (e ManifestEntry) section() string {
	at := strings.LastIndexByte(e.Name, '/')
	return e.Name[:max(at, 0)]
}

// objects is an encoded document: a manifest and the objects by hash.
type objects struct {
	manifest []ManifestEntry
	data     map[Hash][]byte
}

// deployment is the record of the settings that are edited as a unit.
type deployment struct {
	Lookup Lookup
	Zones  []Zone
	Slots  []Slot
	Links  []Link
}

// blockRun is a record of consecutive blocks of one account.
type blockRun struct {
	Account model.AccountID
	Blocks  []Block
}

// encodeObjects encodes doc. Sections that edits of keys can't have changed are
// taken from prev, the encoding of the previous document. If prev is nil, all
// sections are encoded.
func encodeObjects(doc *Document, prev *objects, keys []Key) (*objects, error) {
	e := &objectEncoder{out: &objects{data: make(map[Hash][]byte)}, prev: prev, dirty: dirtySections(keys)}
	e.encodeSection(sectionDeployment, func() {
		e.encodeRecord(deployment{doc.Lookup, doc.Zones, doc.Slots, doc.Links})
	})
	e.encodeSection(sectionTemplates, func() {
		for i := range doc.Templates {
			e.encodeRecord(&doc.Templates[i])
		}
	})
	e.encodeSection(sectionDrains, func() {
		for i := range doc.Drains {
			e.encodeRecord(&doc.Drains[i])
		}
	})
	buckets := bucketsOf(doc.Accounts)
	for b, accounts := range buckets {
		e.encodeSection(bucketSection(sectionAccounts, b), func() { e.encodeAccounts(accounts) })
		e.encodeSection(bucketSection(sectionBlocks, b), func() { e.encodeBlocks(accounts) })
	}
	slices.SortFunc(e.out.manifest, func(a, b ManifestEntry) int { return strings.Compare(a.Name, b.Name) })
	return e.out, e.err
}

// objectEncoder packs records into objects of bounded size.
type objectEncoder struct {
	out     *objects
	prev    *objects
	dirty   map[string]bool
	name    string
	parts   int
	pending []cbor.RawMessage
	size    int
	err     error
}

// encodeSection encodes one section by calling encode, or reuses it from prev
// if it is not dirty.
func (e *objectEncoder) encodeSection(name string, encode func()) {
	if e.prev != nil && !e.dirty[name] {
		e.reuseSection(name)
		return
	}
	e.name = name
	e.parts = 0
	encode()
	e.flush()
}

func (e *objectEncoder) reuseSection(name string) {
	for _, entry := range e.prev.manifest {
		if entry.section() == name {
			e.out.manifest = append(e.out.manifest, entry)
			e.out.data[entry.Hash] = e.prev.data[entry.Hash]
		}
	}
}

func (e *objectEncoder) encodeRecord(v any) {
	data, err := cborEnc.Marshal(v)
	if err != nil {
		e.err = errors.Wrap(err, "encode record")
		return
	}
	if e.size+len(data) > maxObjectBytes {
		e.flush()
	}
	e.pending = append(e.pending, data)
	e.size += len(data)
}

// flush writes the pending records as an object.
func (e *objectEncoder) flush() {
	if len(e.pending) == 0 {
		return
	}
	data, err := cborEnc.Marshal(e.pending)
	if err != nil {
		e.err = errors.Wrap(err, "encode object")
		return
	}
	hash := hashOf(data)
	e.out.manifest = append(e.out.manifest, ManifestEntry{Name: fmt.Sprintf("%s/%04d", e.name, e.parts), Hash: hash})
	e.out.data[hash] = data
	e.parts++
	e.pending = nil
	e.size = 0
}

func (e *objectEncoder) encodeAccounts(accounts []*Account) {
	for _, a := range accounts {
		withoutBlocks := *a
		withoutBlocks.Blocks = nil
		e.encodeRecord(&withoutBlocks)
	}
}

func (e *objectEncoder) encodeBlocks(accounts []*Account) {
	for _, a := range accounts {
		for run := range slices.Chunk(a.Blocks, blocksPerRecord) {
			e.encodeRecord(blockRun{Account: a.ID, Blocks: run})
		}
	}
}

func bucketOf(id model.AccountID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % accountBuckets)
}

func bucketSection(section string, bucket int) string {
	return fmt.Sprintf("%s/%02d", section, bucket)
}

func bucketsOf(accounts []Account) [accountBuckets][]*Account {
	var buckets [accountBuckets][]*Account
	for i := range accounts {
		b := bucketOf(accounts[i].ID)
		buckets[b] = append(buckets[b], &accounts[i])
	}
	return buckets
}

// dirtySections returns the sections that edits of keys may change.
func dirtySections(keys []Key) map[string]bool {
	dirty := make(map[string]bool)
	for _, key := range keys {
		id, isAccount := strings.CutPrefix(string(key), accountKeyPrefix)
		switch {
		case isAccount:
			b := bucketOf(model.AccountID(id))
			dirty[bucketSection(sectionAccounts, b)] = true
			dirty[bucketSection(sectionBlocks, b)] = true
		case strings.HasPrefix(string(key), templateKeyPrefix):
			dirty[sectionTemplates] = true
		case strings.HasPrefix(string(key), drainKeyPrefix):
			dirty[sectionDrains] = true
		default:
			dirty[sectionDeployment] = true
		}
	}
	return dirty
}
