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
	// near lists every place that a client may be in: those that run the
	// service in the template's order, then the others.
	near []Placement
	// served counts the places that run the service.
	served int
	// index holds the position of each zone in near.
	index map[model.Zone]int
	// everywhere is all places that run the service, with equal weights.
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
	// places serve the client, nearest first.
	places []config.Place
	// near is the index of the client's own place.
	near int
}

// entryLists holds the answers for clients of one place, rotated over the
// nearest entry VMs.
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
	weighted := slices.ContainsFunc(row, func(p config.Place) bool { return p.Weight > 0 })
	r := &route{choices: make([]choice, 0, len(row))}
	for _, own := range row {
		weight := uint64(max(own.Weight, 0))
		if !weighted {
			weight = 1
		}
		near, ok := t.index[own.Zone]
		if weight == 0 || !ok {
			continue
		}
		r.total += weight
		r.choices = append(r.choices, choice{
			below:  r.total,
			places: t.nearFirst(served, t.near[near]),
			near:   near,
		})
	}
	if len(r.choices) == 0 {
		return nil
	}
	return r
}

// order returns the places that run the service.
func (t *templateIndex) order() []Placement { return t.near[:t.served] }

// runs reports whether the service runs in a zone.
func (t *templateIndex) runs(zone model.Zone) bool {
	n, ok := t.index[zone]
	return ok && n < t.served
}

// known returns the places of a row that run the template's service, in the
// template's order.
func (t *templateIndex) known(row []config.Place) []config.Place {
	places := make([]config.Place, 0, len(row))
	for _, p := range row {
		if t.runs(p.Zone) {
			places = append(places, p)
		}
	}
	slices.SortFunc(places, func(a, b config.Place) int {
		return cmp.Compare(t.index[a.Zone], t.index[b.Zone])
	})
	return places
}

// nearFirst orders places for a client: its own place, then its region, then
// the template's order.
func (t *templateIndex) nearFirst(places []config.Place, near Placement) []config.Place {
	distance := func(p config.Place) int {
		switch {
		case p.Zone == near.Zone:
			return 0
		case t.near[t.index[p.Zone]].Region == near.Region:
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
