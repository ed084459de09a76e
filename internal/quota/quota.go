// Package quota enforces deployment-wide rate caps without a central check per
// request: caps on requests shifted between availability zones and on bytes
// sent between regions. Each provisioned VM slot owns a fixed share of a cap,
// its floor. One VM, the lender, holds a lease in the store and lends the rest
// of the cap in grants that expire.
package quota

import (
	"cmp"

	"fuchsiaspar/internal/model"
)

// Kind is what a cap limits.
type Kind uint8

// The kinds of caps.
const (
	// KindShift caps the requests per second of one account and service that
	// are shifted from one availability zone to others.
	KindShift Kind = iota + 1
	// KindLink caps the bytes per second that the entry VMs of one region send
	// to another region.
	KindLink
	// KindInbound caps the bytes per second that the entry VMs of one region
	// read from clients and backend servers of another region.
	KindInbound
)

// Key identifies one cap. It is comparable.
type Key struct {
	Kind    Kind              `cbor:"1,keyasint"`
	Account model.AccountID   `cbor:"2,keyasint,omitempty"`
	Service model.ServiceName `cbor:"3,keyasint,omitempty"`
	// Zone is the availability zone that requests are shifted away from.
	Zone model.Zone `cbor:"4,keyasint,omitempty"`
	// From is the region that sends over a link, To the one that receives.
	From model.Region `cbor:"5,keyasint,omitempty"`
	To   model.Region `cbor:"6,keyasint,omitempty"`
}

// ShiftKey returns the key of the cap on shifting an account's requests for a
// service away from zone.
func ShiftKey(a model.AccountID, s model.ServiceName, zone model.Zone) Key {
	return Key{Kind: KindShift, Account: a, Service: s, Zone: zone}
}

// LinkKey returns the key of the cap on bytes sent from one region to another.
func LinkKey(from, to model.Region) Key {
	return Key{Kind: KindLink, From: from, To: to}
}

// InboundKey returns the key of the cap on bytes that the entry VMs of region
// to read from clients and backend servers of region from.
func InboundKey(from, to model.Region) Key {
	return Key{Kind: KindInbound, From: from, To: to}
}

// Cap limits one key for the whole deployment.
type Cap struct {
	Key Key
	// PerSecond is in requests or bytes per second, depending on the kind.
	PerSecond int64
	// Slots is the number of slots with a floor of this cap; 0 means all
	// provisioned slots.
	Slots int
	// NoFloor is set if this VM is not one of these slots.
	NoFloor bool
}

// floor returns the floor of this VM in units per second, given the number of
// all provisioned slots.
func (c Cap) floor(totalSlots int) int64 {
	if c.NoFloor {
		return 0
	}
	return floorPerSlot(c.PerSecond, c.slots(totalSlots))
}

// lendable returns the part of the cap that is not divided into floors.
func (c Cap) lendable(totalSlots int) int64 {
	count := c.slots(totalSlots)
	return c.PerSecond - floorPerSlot(c.PerSecond, count)*int64(count)
}

// slots returns the number of slots with a floor of this cap.
func (c Cap) slots(totalSlots int) int {
	if c.Slots > 0 {
		return c.Slots
	}
	return max(totalSlots, 0)
}

// compare returns the order of two keys, as cmp.Compare does.
func (k Key) compare(o Key) int {
	return cmp.Or(
		cmp.Compare(k.Kind, o.Kind),
		cmp.Compare(k.Account, o.Account),
		cmp.Compare(k.Service, o.Service),
		cmp.Compare(k.Zone, o.Zone),
		cmp.Compare(k.From, o.From),
		cmp.Compare(k.To, o.To),
	)
}
