package steer

import (
	"cmp"
	"net/netip"
	"slices"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
)

// templateIndex holds the routes of one template by row.
type templateIndex struct {
	number int
	// routes is indexed by rowID; rows that no account of the template uses
	// are nil.
	routes   []*route
	fallback *route
	// order is the template's places with their regions.
	order []placement
	// index holds the position of each zone in order.
	index map[model.Zone]int
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
	// home is the index of this choice in the template's order.
	home int
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
	weighted := slices.ContainsFunc(places, func(p config.Place) bool { return p.Weight > 0 })
	r := &route{choices: make([]choice, 0, len(places))}
	for _, home := range places {
		weight := uint64(max(home.Weight, 0))
		if !weighted {
			weight = 1
		}
		if weight == 0 {
			continue
		}
		r.total += weight
		r.choices = append(r.choices, choice{
			below:  r.total,
			places: t.homeFirst(places, home.Zone),
			home:   t.index[home.Zone],
		})
	}
	return r
}

// known returns the places of a row that run the template's service, in the
// template's order.
func (t *templateIndex) known(row []config.Place) []config.Place {
	places := make([]config.Place, 0, len(row))
	for _, p := range row {
		if _, ok := t.index[p.Zone]; ok {
			places = append(places, p)
		}
	}
	slices.SortFunc(places, func(a, b config.Place) int {
		return cmp.Compare(t.index[a.Zone], t.index[b.Zone])
	})
	return places
}

// homeFirst orders a row for a client's home: the home, then its region, then
// the template's order.
func (t *templateIndex) homeFirst(places []config.Place, home model.Zone) []config.Place {
	distance := func(p config.Place) int {
		switch {
		case p.Zone == home:
			return 0
		case t.regionOf(p.Zone) == t.regionOf(home):
			return 1
		default:
			return 2
		}
	}
	ordered := slices.Clone(places)
	slices.SortStableFunc(ordered, func(a, b config.Place) int {
		return cmp.Compare(distance(a), distance(b))
	})
	return ordered
}

func (t *templateIndex) regionOf(zone model.Zone) model.Region {
	return t.order[t.index[zone]].region
}
