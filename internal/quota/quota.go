// Package quota divides caps that many entry VMs spend together: caps on
// shifts of traffic between places and caps on links between regions. Each
// slot holds a floor share that is always valid; a lender, held under a lease,
// lends the remainder in grants that expire.
package quota

import (
	"cmp"

	"fuchsiaspar/internal/model"
)

// Kind says what a cap bounds.
type Kind uint8

// The kinds of caps.
const (
	// KindShift caps requests a second of one account and service that leave
	// one availability zone for others.
	KindShift Kind = iota + 1
	// KindLink caps bytes a second that the entry VMs of one region send to
	// another region.
	KindLink
	// KindInbound caps bytes a second that the entry VMs of one region read
	// from processes of another region: callers and backend servers.
	KindInbound
)

// Key names one cap. It is comparable.
type Key struct {
	Kind    Kind              `cbor:"1,keyasint"`
	Account model.AccountID   `cbor:"2,keyasint,omitempty"`
	Service model.ServiceName `cbor:"3,keyasint,omitempty"`
	// Zone is the place that a shift leaves.
	Zone model.Zone `cbor:"4,keyasint,omitempty"`
	// From and To are the regions at the ends of a link.
	From model.Region `cbor:"5,keyasint,omitempty"`
	To   model.Region `cbor:"6,keyasint,omitempty"`
}

// ShiftKey names the cap on an account's shifts away from zone.
func ShiftKey(a model.AccountID, s model.ServiceName, zone model.Zone) Key {
	return Key{Kind: KindShift, Account: a, Service: s, Zone: zone}
}

// LinkKey names the cap on the link from one region to another.
func LinkKey(from, to model.Region) Key {
	return Key{Kind: KindLink, From: from, To: to}
}

// InboundKey names the cap on what the entry VMs of region to read from
// processes of region from.
func InboundKey(from, to model.Region) Key {
	return Key{Kind: KindInbound, From: from, To: to}
}

// Cap is the bound on one key, in units a second, for the whole deployment.
type Cap struct {
	Key       Key
	PerSecond int64
	// Slots is the count of slots that share the floors of this cap, where it
	// differs from the count of all slots.
	Slots int
	// NoFloor marks a cap of which this VM has no floor, since it is not among
	// the slots that share them.
	NoFloor bool
}

// floor returns the floor of this VM, given the count of all slots.
func (c Cap) floor(totalSlots int) int64 {
	if c.NoFloor {
		return 0
	}
	return floorPerSlot(c.PerSecond, c.slots(totalSlots))
}

// lendable returns what the floors of all slots leave.
func (c Cap) lendable(totalSlots int) int64 {
	count := c.slots(totalSlots)
	return c.PerSecond - floorPerSlot(c.PerSecond, count)*int64(count)
}

// slots returns the count of slots that share the floors, given that of all.
func (c Cap) slots(totalSlots int) int {
	if c.Slots > 0 {
		return c.Slots
	}
	return max(totalSlots, 0)
}

// compare orders keys.
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
