package config

import (
	"bytes"
	"math/rand"
	"slices"
	"strconv"

	"fuchsiaspar/internal/model"
)

// ChangeID identifies a change. The client chooses it at random. A change that
// is sent twice under the same ID is committed once.
type ChangeID string

// Key names the part of a document that a change edits, such as "lookup" or
// "account/kanal". Two changes conflict only if they share a key.
type Key string

// Keys of the deployment settings, each replaced as a unit, and key prefixes of
// the sections edited item by item.
const (
	KeyLookup         Key = "lookup"
	KeyZones          Key = "zones"
	KeySlots          Key = "slots"
	KeyLinks          Key = "links"
	templateKeyPrefix     = "template/"
	accountKeyPrefix      = "account/"
	drainKeyPrefix        = "drain/"
)

// TemplateKey returns the key of a template.
func TemplateKey(name string) Key { return Key(templateKeyPrefix + name) }

// AccountKey returns the key of a client account.
func AccountKey(id model.AccountID) Key { return Key(accountKeyPrefix + string(id)) }

// DrainKey returns the key of a drain.
func DrainKey(id string) Key { return Key(drainKeyPrefix + id) }

// Change is a set of edits of a document. Nil fields leave their part of the
// document unchanged.
type Change struct {
	ID       ChangeID `json:"id,omitzero" toml:"id,omitempty"`
	Operator string   `json:"operator,omitzero" toml:"operator,omitempty"`
	// Base is the revision that the operator edited. Zero means the revision
	// that is active when the change arrives, so the change conflicts with
	// nothing.
	Base model.Revision `json:"base,omitzero" toml:"base,omitempty"`

	Lookup *Lookup `json:"lookup,omitempty" toml:"lookup,omitempty"`
	Zones  []Zone  `json:"zones,omitzero" toml:"zones,omitempty"`
	Slots  []Slot  `json:"slots,omitzero" toml:"slots,omitempty"`
	Links  []Link  `json:"links,omitzero" toml:"links,omitempty"`

	Templates       []Template        `json:"templates,omitzero" toml:"templates,omitempty"`
	DeleteTemplates []string          `json:"delete_templates,omitzero" toml:"delete_templates,omitempty"`
	Accounts        []Account         `json:"accounts,omitzero" toml:"accounts,omitempty"`
	DeleteAccounts  []model.AccountID `json:"delete_accounts,omitzero" toml:"delete_accounts,omitempty"`
	Drains          []Drain           `json:"drains,omitzero" toml:"drains,omitempty"`
	DeleteDrains    []string          `json:"delete_drains,omitzero" toml:"delete_drains,omitempty"`

	// Exclude names entry VMs that the operator declares partitioned off or
	// dead. They need not acknowledge the change, and adopt it before they
	// rejoin.
	Exclude Exclusion `json:"exclude,omitzero" toml:"exclude,omitempty"`
}

// Exclusion names entry VMs, directly or by zone, that need not acknowledge a
// change.
type Exclusion struct {
	VMs   []model.VMID `json:"vms,omitzero" toml:"vms,omitempty"`
	Zones []model.Zone `json:"zones,omitzero" toml:"zones,omitempty"`
}

// covers reports whether the exclusion names the VM or its zone.
func (e Exclusion) covers(vm model.VMID, zone model.Zone) bool {
	return slices.Contains(e.VMs, vm) || slices.Contains(e.Zones, zone)
}

// Keys returns the keys that the change edits, sorted.
func (c *Change) Keys() []Key {
	keys := c.deploymentKeys()
	for _, t := range c.Templates {
		keys = append(keys, TemplateKey(t.Name))
	}
	for _, name := range c.DeleteTemplates {
		keys = append(keys, TemplateKey(name))
	}
	for i := range c.Accounts {
		keys = append(keys, AccountKey(c.Accounts[i].ID))
	}
	for _, id := range c.DeleteAccounts {
		keys = append(keys, AccountKey(id))
	}
	for _, d := range c.Drains {
		keys = append(keys, DrainKey(d.ID))
	}
	for _, id := range c.DeleteDrains {
		keys = append(keys, DrainKey(id))
	}
	slices.Sort(keys)
	return keys
}

func (c *Change) deploymentKeys() []Key {
	var keys []Key
	if c.Lookup != nil {
		keys = append(keys, KeyLookup)
	}
	if c.Zones != nil {
		keys = append(keys, KeyZones)
	}
	if c.Slots != nil {
		keys = append(keys, KeySlots)
	}
	if c.Links != nil {
		keys = append(keys, KeyLinks)
	}
	return keys
}

// NewChangeID returns a random ID of 128 bits in hexadecimal.
func NewChangeID(r *rand.Rand) ChangeID {
	const hexadecimal = 16
	return ChangeID(strconv.FormatUint(r.Uint64(), hexadecimal) + strconv.FormatUint(r.Uint64(), hexadecimal))
}

// ParseChangeTOML decodes a change. Unknown keys are an error; errors are of
// type *ParseError.
func ParseChangeTOML(text []byte) (*Change, error) {
	change := new(Change)
	if err := decodeTOML(text, change); err != nil {
		return nil, err
	}
	return change, nil
}

// MarshalChangeTOML encodes a change in the format that ParseChangeTOML reads.
func MarshalChangeTOML(change *Change) ([]byte, error) {
	return encodeTOML(change)
}

// ParseChangeJSON decodes a change. Unknown keys are an error; errors are of
// type *ParseError.
func ParseChangeJSON(text []byte) (*Change, error) {
	change := new(Change)
	if err := decodeJSON(text, change); err != nil {
		return nil, err
	}
	return change, nil
}

// ChangeBetween returns the change, based on old, that turns old into next. It
// contains only the parts that differ.
func ChangeBetween(old, next *Document) Change {
	c := Change{Base: old.Revision}
	if !equalEncoding(old.Lookup, next.Lookup) {
		c.Lookup = &next.Lookup
	}
	c.Zones = changedList(old.Zones, next.Zones)
	c.Slots = changedList(old.Slots, next.Slots)
	c.Links = changedList(old.Links, next.Links)
	c.Templates, c.DeleteTemplates = changedItems(old.Templates, next.Templates, templateKey)
	c.Accounts, c.DeleteAccounts = changedItems(old.Accounts, withSortedBlocks(next.Accounts), accountKey)
	c.Drains, c.DeleteDrains = changedItems(old.Drains, next.Drains, drainKey)
	return c
}

// equalEncoding reports whether two values have the same CBOR encoding.
func equalEncoding(a, b any) bool {
	encodedA, errA := cborEnc.Marshal(a)
	encodedB, errB := cborEnc.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// changedList returns next, or an empty list if next is nil. It returns nil if
// next has the same encoding as old.
func changedList[T any](old, next []T) []T {
	if equalEncoding(old, next) {
		return nil
	}
	if next == nil {
		return []T{}
	}
	return next
}

// changedItems returns the items of next that are missing from old or differ
// from it, and the keys of the items that are only in old.
func changedItems[T any, K comparable](old, next []T, key func(*T) K) (upserts []T, deletes []K) {
	before := make(map[K]*T, len(old))
	for i := range old {
		before[key(&old[i])] = &old[i]
	}
	for i := range next {
		prev, known := before[key(&next[i])]
		if !known || !equalEncoding(prev, &next[i]) {
			upserts = append(upserts, next[i])
		}
		delete(before, key(&next[i]))
	}
	for i := range old {
		if _, removed := before[key(&old[i])]; removed {
			deletes = append(deletes, key(&old[i]))
		}
	}
	return upserts, deletes
}

func templateKey(t *Template) string        { return t.Name }
func accountKey(a *Account) model.AccountID { return a.ID }
func drainKey(d *Drain) string              { return d.ID }
