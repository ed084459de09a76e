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
	// lists holds the entry lists by home zone.
	lists map[model.Zone]*entryLists
	// order is the template's places with their regions.
	order []placement
}

// placement is an availability zone with its region.
type placement struct {
	zone   model.Zone
	region model.Region
}

// route spreads the clients of one row over its places.
type route struct {
	choices []choice
	// total is the sum of the weights of all choices.
	total uint64
}

// choice is one place that a client may have as its home.
type choice struct {
	// below is the sum of the weights up to and including this choice.
	below uint64
	// places is the row with this choice first.
	places []config.Place
	lists  *entryLists
}

// entryLists holds the answers for one home zone, rotated over its entry VMs.
type entryLists struct {
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

// choose returns the home place for a client's hash.
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

// newRoute builds the route of one row. Places that the template does not list
// are left out; a row without any other place has no route.
func (t *templateIndex) newRoute(row []config.Place) *route {
	places := t.known(row)
	if len(places) == 0 {
		return nil
	}
	r := &route{}
	for i, p := range places {
		weight := weightOf(p, places)
		if weight == 0 {
			continue
		}
		r.total += weight
		r.choices = append(r.choices, choice{
			below:  r.total,
			places: t.homeFirst(places, i),
			lists:  t.lists[p.Zone],
		})
	}
	return r
}

// known returns the places of a row that run the template's service.
func (t *templateIndex) known(row []config.Place) []config.Place {
	places := make([]config.Place, 0, len(row))
	for _, p := range row {
		if _, ok := t.lists[p.Zone]; ok {
			places = append(places, p)
		}
	}
	return places
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

// homeFirst orders a row for a client whose home is places[home]: the home,
// then its region, then the template's order.
func (t *templateIndex) homeFirst(places []config.Place, home int) []config.Place {
	region := t.regionOf(places[home].Zone)
	ordered := make([]config.Place, 0, len(places))
	ordered = append(ordered, places[home])
	for _, inRegion := range []bool{true, false} {
		for _, at := range t.order {
			if at.zone == places[home].Zone || (at.region == region) != inRegion {
				continue
			}
			if p, ok := findPlace(places, at.zone); ok {
				ordered = append(ordered, p)
			}
		}
	}
	return ordered
}

func (t *templateIndex) regionOf(zone model.Zone) model.Region {
	for _, at := range t.order {
		if at.zone == zone {
			return at.region
		}
	}
	return ""
}

func findPlace(places []config.Place, zone model.Zone) (config.Place, bool) {
	for _, p := range places {
		if p.Zone == zone {
			return p, true
		}
	}
	return config.Place{}, false
}
