package steer

import (
	"net/netip"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
)

// templateIndex holds the routes of one template by row.
type templateIndex struct {
	// routes is indexed by rowID; rows that no account of the template uses
	// are nil.
	routes   []*route
	fallback *route
	// lists holds the entry lists by the client's own zone.
	lists map[model.Zone]*entryLists
	// order is the template's places with their regions.
	order []Placement
	// everywhere is all places of the template with equal weights.
	everywhere []config.Place
}

// Placement is an availability zone with its region.
type Placement struct {
	Zone   model.Zone
	Region model.Region
}

// route spreads the clients of one row over its places.
type route struct {
	choices []choice
	// total is the sum of the weights of all choices.
	total uint64
}

// choice is one place that a client may have as its own.
type choice struct {
	// below is the sum of the weights up to and including this choice.
	below uint64
	near  Placement
	// places is the places that serve the client, nearest first.
	places []config.Place
	lists  *entryLists
}

// entryLists holds the answers for clients of one place, rotated over the
// nearest entry VMs.
type entryLists struct {
	near      Placement
	rotations [][]Entry
}

// route returns the route of a client: that of its longest matching block, or
// the template's own places.
func (t *templateIndex) route(account *accountIndex, client netip.Addr) *route {
	id, ok := account.blocks.Lookup(client)
	if !ok {
		return t.fallback
	}
	if r := t.routes[id]; r != nil {
		return r
	}
	return t.fallback
}

// choose returns the own place for a client's hash.
func (r *route) choose(h uint64) *choice {
	if len(r.choices) == 0 {
		return nil
	}
	point := (h >> 16) % r.total
	for i := range r.choices {
		if point < r.choices[i].below {
			return &r.choices[i]
		}
	}
	return nil
}

// pick returns the rotation for a client's hash.
func (l *entryLists) pick(h uint64) []Entry {
	if len(l.rotations) == 0 {
		return nil
	}
	return l.rotations[(h&0xffff)%uint64(len(l.rotations))]
}

// newRoute builds the route of one row. A client of a place that does not run
// the service keeps that place's entry VMs; its requests are served by the
// row's other places or, without any, by the template's.
func (t *templateIndex) newRoute(row []config.Place) *route {
	served := t.known(row)
	if len(served) == 0 {
		served = t.everywhere
	}
	r := &route{}
	for _, p := range row {
		weight := weightOf(p, row)
		lists, ok := t.lists[p.Zone]
		if weight == 0 || !ok {
			continue
		}
		r.total += weight
		r.choices = append(r.choices, choice{
			below:  r.total,
			near:   lists.near,
			places: t.nearFirst(served, lists.near),
			lists:  lists,
		})
	}
	if len(r.choices) == 0 {
		return nil
	}
	return r
}

// known returns the places of a row that run the template's service.
func (t *templateIndex) known(row []config.Place) []config.Place {
	places := make([]config.Place, 0, len(row))
	for _, p := range row {
		if t.runs(p.Zone) {
			places = append(places, p)
		}
	}
	return places
}

func (t *templateIndex) runs(zone model.Zone) bool {
	for _, at := range t.order {
		if at.Zone == zone {
			return true
		}
	}
	return false
}

// weightOf returns the share of p. When no place has a positive weight, all
// have the same share.
func weightOf(p config.Place, places []config.Place) uint64 {
	if p.Weight > 0 {
		return uint64(p.Weight)
	}
	for _, other := range places {
		if other.Weight > 0 {
			return 0
		}
	}
	return 1
}

// nearFirst orders places for a client: its own place, then its region, then
// the template's order.
func (t *templateIndex) nearFirst(places []config.Place, near Placement) []config.Place {
	ordered := make([]config.Place, 0, len(places))
	if p, ok := findPlace(places, near.Zone); ok {
		ordered = append(ordered, p)
	}
	for _, inRegion := range []bool{true, false} {
		for _, at := range t.order {
			if at.Zone == near.Zone || (at.Region == near.Region) != inRegion {
				continue
			}
			if p, ok := findPlace(places, at.Zone); ok {
				ordered = append(ordered, p)
			}
		}
	}
	return ordered
}

func findPlace(places []config.Place, zone model.Zone) (config.Place, bool) {
	for _, p := range places {
		if p.Zone == zone {
			return p, true
		}
	}
	return config.Place{}, false
}
