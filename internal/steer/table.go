// Package steer decides where traffic goes: Table answers which entry VMs a
// client should use, and Router chooses the availability zone that serves one
// request. Both are pure: the caller passes the time in.
package steer

import (
	"net/netip"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"

	"github.com/gaissmai/bart"
	"github.com/pkg/errors"
)

// MaxEntries bounds the entry VMs in one answer.
const MaxEntries = 8

// Errors of NewTable. Test for them with errors.Is.
var (
	// ErrNoDocument reports a table input without a configuration.
	ErrNoDocument = errors.New("steer: no configuration document")
	// ErrUnknownTemplate reports an account that names a missing template.
	ErrUnknownTemplate = errors.New("steer: unknown template")
	// ErrBadBlock reports a block whose prefix is not valid.
	ErrBadBlock = errors.New("steer: invalid block")
)

// Entry is an entry VM that may appear in answers.
type Entry struct {
	VM      model.VMID
	Zone    model.Zone
	Region  model.Region
	Address string
}

// TableInput is all that a Table is built from.
type TableInput struct {
	Revision model.Revision
	// TTL is how long callers may use an answer.
	TTL time.Duration
	Doc *config.Document
	// Entries are the entry VMs that accept new callers.
	Entries []Entry
	// ClosedZones are being drained: their entry VMs appear in answers only
	// when no other entry VM is left.
	ClosedZones []model.Zone
}

// Answer tells a client which entry VMs to use, in order. Its slices are
// shared between answers and must not be modified.
type Answer struct {
	Entries []Entry
	// Near is the client's own place, which need not run the service. Entries
	// are ordered from there.
	ClientZone Placement
	// Located says that a block of the account holds the client, so that Near
	// is where the client is.
	BlockMatched bool
	// Places starts with the place that serves the client's requests.
	Places   []config.Place
	TTL      time.Duration
	Revision model.Revision
}

// Table is an immutable look-up table from client, account and service to
// entry VMs. It is safe for concurrent use.
type Table struct {
	revision  model.Revision
	ttl       time.Duration
	accounts  map[model.AccountID]*accountIndex
	templates []*templateIndex
	// lists holds the entry lists by template and own place.
	lists [][]entryLists
	stats TableStats
}

// TableStats counts what a table holds.
type TableStats struct {
	Accounts int
	Blocks   int
	// Rows counts the distinct rows that the blocks share.
	Rows int
	// Lists counts the distinct entry lists that the answers share.
	Lists int
}

// accountIndex finds the row of a client of one account.
type accountIndex struct {
	blocks   bart.Table[rowID]
	services map[model.ServiceName]*templateIndex
}

// rowID numbers a distinct list of places in the table.
type rowID uint32

// Stats returns the sizes of the table.
func (t *Table) Stats() TableStats { return t.stats }

// Revision returns the configuration that the table was built from.
func (t *Table) Revision() model.Revision { return t.revision }

// Lookup returns the entry VMs for a client. It reports false when the account
// or its service is not configured, or when no entry VM accepts callers.
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
	entries := t.lists[template.number][choice.near].pick(h)
	if len(entries) == 0 {
		return Answer{}, false
	}
	return Answer{
		Entries:      entries,
		ClientZone:   template.near[choice.near],
		BlockMatched: route != template.fallback,
		Places:       choice.places,
		TTL:          t.ttl,
		Revision:     t.revision,
	}, true
}

// hashAddr returns a well-mixed hash of a client's address.
func hashAddr(a netip.Addr) uint64 {
	b := a.As16()
	var hi, lo uint64
	for i := 0; i < 8; i++ {
		hi = hi<<8 | uint64(b[i])
		lo = lo<<8 | uint64(b[i+8])
	}
	return mix(mix(hi+goldenRatio64) ^ lo)
}

// goldenRatio64 separates the two halves of an address before mixing.
const goldenRatio64 = 0x9e3779b97f4a7c15

// mix spreads the bits of h over the whole word.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
