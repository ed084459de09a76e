// Package steer implements traffic steering. A Table maps clients to the entry
// VMs that they should use, and a Router chooses the availability zone that serves
// each request.
//
// A client's home zone is the zone that serves its requests while it can. A
// request served by any other zone is a shift: it spends a unit of the client
// account's shift cap. The package has no goroutines and reads no clock; callers
// pass the time in.
package steer

import (
	"net/netip"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"

	"github.com/gaissmai/bart"
	"github.com/pkg/errors"
)

// MaxEntries is the maximum count of entry VMs in one answer.
const MaxEntries = 8

// Errors returned by NewTable, possibly wrapped.
var (
	// ErrNoDocument reports that TableInput.Doc is nil.
	ErrNoDocument = errors.New("steer: no configuration document")
	// ErrUnknownTemplate reports that an account refers to a template that the
	// document does not have.
	ErrUnknownTemplate = errors.New("steer: unknown template")
	// ErrBadBlock reports an address block with an invalid prefix.
	ErrBadBlock = errors.New("steer: invalid block")
)

// Entry is an entry VM that may appear in look-up answers.
type Entry struct {
	VM      model.VMID
	Zone    model.Zone
	Region  model.Region
	Address string
}

// TableInput holds the inputs of NewTable.
type TableInput struct {
	Revision model.Revision
	// TTL is how long callers may use an answer.
	TTL time.Duration
	// Doc is the configuration. NewTable does not modify or retain it.
	Doc *config.Document
	// Entries lists the entry VMs that accept new callers.
	Entries []Entry
	// DrainingZones lists the zones that are being drained. Their entry VMs
	// appear in answers only when no other entry VM is left.
	DrainingZones []model.Zone
}

// Answer is the result of a look-up. Its slices are shared between answers and
// must not be modified.
type Answer struct {
	// Entries lists up to MaxEntries entry VMs to use, nearest first.
	Entries []Entry
	// ClientZone is the location of the client's own zone, which need not run
	// the service. Entries and Places are ordered by distance from it.
	ClientZone Location
	// BlockMatched reports whether an address block of the account contains
	// the client. If not, ClientZone is only derived from a hash of the
	// client's address.
	BlockMatched bool
	// Places lists the zones that serve the client. The first is its home zone.
	Places   []config.Place
	TTL      time.Duration
	Revision model.Revision
}

// Table is an immutable look-up table from client address, client account and
// service to entry VMs. It is safe for concurrent use.
type Table struct {
	revision  model.Revision
	ttl       time.Duration
	accounts  map[model.AccountID]*accountIndex
	templates []*templateIndex
	// lists is indexed by templateIndex.number, then by the index of the
	// client's own zone in templateIndex.zones.
	lists [][]entryLists
	stats TableStats
}

// TableStats holds the sizes of a table.
type TableStats struct {
	Accounts int
	Blocks   int
	// Rows counts the distinct lists of weighted zones that the blocks share.
	Rows int
	// Lists counts the lists of entry VMs that the answers share.
	Lists int
}

// accountIndex maps the client addresses of one account to rows and its services
// to templates.
type accountIndex struct {
	blocks   bart.Table[rowID]
	services map[model.ServiceName]*templateIndex
}

// rowID identifies a row: a distinct list of weighted zones that address blocks
// share.
type rowID uint32

// Stats returns the sizes of the table.
func (t *Table) Stats() TableStats { return t.stats }

// Revision returns the revision of the configuration that the table was built
// from.
func (t *Table) Revision() model.Revision { return t.revision }

// Lookup returns the answer for a client address. It reports false if the account
// or its service is not configured, or if no entry VM accepts callers.
func (t *Table) Lookup(client netip.Addr, account model.AccountID, service model.ServiceName) (Answer, bool) {
	index, ok := t.accounts[account]
	if !ok {
		return Answer{}, false
	}
	template, ok := index.services[service]
	if !ok {
		return Answer{}, false
	}
	client = client.Unmap()
	h := hashAddr(client)
	route := template.route(index, client)
	choice := route.choose(h)
	if choice == nil {
		return Answer{}, false
	}
	entries := t.lists[template.number][choice.zone].pick(h)
	if len(entries) == 0 {
		return Answer{}, false
	}
	return Answer{
		Entries:      entries,
		ClientZone:   template.zones[choice.zone],
		BlockMatched: route != template.defaultRoute,
		Places:       choice.places,
		TTL:          t.ttl,
		Revision:     t.revision,
	}, true
}

// hashAddr returns a well-mixed hash of a client address. Its low 16 bits select
// the rotation of entry VMs, the others the client's own zone.
func hashAddr(a netip.Addr) uint64 {
	b := a.As16()
	var hi, lo uint64
	for i := 0; i < 8; i++ {
		hi = hi<<8 | uint64(b[i])
		lo = lo<<8 | uint64(b[i+8])
	}
	return mix(mix(hi+goldenRatio64) ^ lo)
}

// goldenRatio64 is added to the high half of an address before mixing, since mix
// maps zero, the high half of every IPv4 address, to zero.
const goldenRatio64 = 0x9e3779b97f4a7c15

// mix is the 64-bit finalizer of SplitMix64: each input bit affects all output
// bits.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
