package config

import (
	"bytes"
	"math/rand"
	"slices"
	"strconv"

	"fuchsiaspar/internal/model"
)

// ChangeID names a change. The one who makes the change draws it at random,
// and sending a change twice under one ID commits it once.
type ChangeID string

// Key names the part of a document that a change edits, such as lookup or
// account/kanal. Two changes whose keys are disjoint don't conflict.
type Key string

// Keys of the parts that are edited whole, and prefixes of the others.
const (
	KeyLookup      Key = "lookup"
	KeyZones       Key = "zones"
	KeySlots       Key = "slots"
	KeyLinks       Key = "links"
	prefixTemplate     = "template/"
	prefixAccount      = "account/"
	prefixDrain        = "drain/"
)

// TemplateKey returns the key of a template.
func TemplateKey(name string) Key { return Key(prefixTemplate + name) }

// AccountKey returns the key of a client account.
func AccountKey(id model.AccountID) Key { return Key(prefixAccount + string(id)) }

// DrainKey returns the key of a drain.
func DrainKey(id string) Key { return Key(prefixDrain + id) }

// Change is a set of edits of a document. Nil parts stay as they are.
type Change struct {
	ID       ChangeID `json:"id,omitzero" toml:"id,omitempty"`
	Operator string   `json:"operator,omitzero" toml:"operator,omitempty"`
	// Base is the revision that the operator looked at; zero takes the one in
	// force when the change arrives, so that it conflicts with nothing.
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

	// Exclude names what the operator declares cut off or dead: its entry VMs
	// need not acknowledge the change, and adopt it before they rejoin.
	Exclude Exclusion `json:"exclude,omitzero" toml:"exclude,omitempty"`
}

// Exclusion names entry VMs that need not acknowledge a change.
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
	keys := c.wholeKeys()
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

func (c *Change) wholeKeys() []Key {
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

// NewChangeID draws the ID of a change.
func NewChangeID(r *rand.Rand) ChangeID {
	const hexadecimal = 16
	return ChangeID(strconv.FormatUint(r.Uint64(), hexadecimal) + strconv.FormatUint(r.Uint64(), hexadecimal))
}

// ParseChangeTOML decodes a change. Unknown keys are faults.
func ParseChangeTOML(text []byte) (*Change, error) {
	change := new(Change)
	if err := decodeTOML(text, change); err != nil {
		return nil, err
	}
	return change, nil
}

// MarshalChangeTOML encodes a change so that ParseChangeTOML reads it back.
func MarshalChangeTOML(change *Change) ([]byte, error) {
	return encodeTOML(change)
}

// ParseChangeJSON decodes a change. Unknown keys are faults.
func ParseChangeJSON(text []byte) (*Change, error) {
	change := new(Change)
	if err := decodeJSON(text, change); err != nil {
		return nil, err
	}
	return change, nil
}

// Between returns the change that turns the document old into next, based on
// old. It edits only what differs.
func ChangeBetween(old, next *Document) Change {
	c := Change{Base: old.Revision}
	if !same(old.Lookup, next.Lookup) {
		c.Lookup = &next.Lookup
	}
	c.Zones = changedWhole(old.Zones, next.Zones)
	c.Slots = changedWhole(old.Slots, next.Slots)
	c.Links = changedWhole(old.Links, next.Links)
	c.Templates, c.DeleteTemplates = changedItems(old.Templates, next.Templates, templateName)
	c.Accounts, c.DeleteAccounts = changedItems(old.Accounts, sortedBlocks(next.Accounts), accountID)
	c.Drains, c.DeleteDrains = changedItems(old.Drains, next.Drains, drainID)
	return c
}

// same reports whether two values are stored alike.
func same(a, b any) bool {
	encodedA, errA := encoding.Marshal(a)
	encodedB, errB := encoding.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// changedWhole returns next, never nil, unless it is the same as old.
func changedWhole[T any](old, next []T) []T {
	if same(old, next) {
		return nil
	}
	if next == nil {
		return []T{}
	}
	return next
}

// changedItems returns the items of next that old lacks or holds otherwise,
// and the names of the old items that next lacks.
func changedItems[T any, K comparable](old, next []T, name func(*T) K) (put []T, gone []K) {
	before := make(map[K]*T, len(old))
	for i := range old {
		before[name(&old[i])] = &old[i]
	}
	for i := range next {
		was, known := before[name(&next[i])]
		if !known || !same(was, &next[i]) {
			put = append(put, next[i])
		}
		delete(before, name(&next[i]))
	}
	for i := range old {
		if _, left := before[name(&old[i])]; left {
			gone = append(gone, name(&old[i]))
		}
	}
	return put, gone
}

func templateName(t *Template) string      { return t.Name }
func accountID(a *Account) model.AccountID { return a.ID }
func drainID(d *Drain) string              { return d.ID }
