package steer

import (
	"cmp"
	"net/netip"
	"slices"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
)

// templateIndex holds the zones and the routes of one template.
type templateIndex struct {
	number int
	// routes is indexed by rowID. Entries for rows that no account of the
	// template uses are nil.
	routes       []*route
	defaultRoute *route
	// zones lists every zone that a client may be in: those that run the
	// service in the template's order, then the others by name.
	zones []Location
	// servingCount is the count of leading elements of zones that run the
	// service.
	servingCount int
	// zoneIndex holds the index of each zone in zones.
	zoneIndex map[model.Zone]int
	// defaultRow lists all zones that run the service, with equal weights.
	defaultRow []config.Place
}

// Location is an availability zone with its region.
type Location struct {
	Zone   model.Zone
	Region model.Region
}

// route spreads the clients of one row over its zones by weight.
type route struct {
	choices []choice
	// total is the sum of the weights of all choices.
	total uint64
}

// choice is a zone that a route may assign to a client as its own.
type choice struct {
	// cumulativeWeight is the sum of the weights up to and including this
	// choice.
	cumulativeWeight uint64
	// places lists the zones that serve the client, nearest first.
	places []config.Place
	// zone is the index of the client's own zone in templateIndex.zones.
	zone int
}

// entryLists holds the lists of entry VMs for clients in one zone, one list for
// each rotation of the nearest entry VMs.
type entryLists struct {
	rotations [][]Entry
}

// route returns the route of a client: that of the longest matching block, or
// the default route if no block matches.
func (t *templateIndex) route(account *accountIndex, client netip.Addr) *route {
	id, ok := account.blocks.Lookup(client)
	if !ok {
		return t.defaultRoute
	}
	if r := t.routes[id]; r != nil {
		return r
	}
	return t.defaultRoute
}

// choose returns the choice that the client's hash selects, nil if there is none.
func (r *route) choose(h uint64) *choice {
	if len(r.choices) == 0 {
		return nil
	}
	point := (h >> 16) % r.total
	for i := range r.choices {
		if point < r.choices[i].cumulativeWeight {
			return &r.choices[i]
		}
	}
	return nil
}

// pick returns the rotation that the client's hash selects, nil if there is none.
func (l *entryLists) pick(h uint64) []Entry {
	if len(l.rotations) == 0 {
		return nil
	}
	return l.rotations[(h&0xffff)%uint64(len(l.rotations))]
}

// newRoute builds the route of one row, nil if none of its zones is known. A
// client in a zone that does not run the service still uses the entry VMs of that
// zone. Its requests are served by the row's other zones or, if none of them runs
// the service, by all zones of the template.
func (t *templateIndex) newRoute(row []config.Place) *route {
	serving := t.servingPlaces(row)
	if len(serving) == 0 {
		serving = t.defaultRow
	}
	weighted := slices.ContainsFunc(row, func(p config.Place) bool { return p.Weight > 0 })
	r := &route{choices: make([]choice, 0, len(row))}
	for _, own := range row {
		weight := uint64(max(own.Weight, 0))
		if !weighted {
			weight = 1
		}
		index, ok := t.zoneIndex[own.Zone]
		if weight == 0 || !ok {
			continue
		}
		r.total += weight
		r.choices = append(r.choices, choice{
			cumulativeWeight: r.total,
			places:           t.sortByDistance(serving, t.zones[index]),
			zone:             index,
		})
	}
	if len(r.choices) == 0 {
		return nil
	}
	return r
}

// servingZones returns the zones that run the service, in the template's order.
func (t *templateIndex) servingZones() []Location { return t.zones[:t.servingCount] }

// serves reports whether the service runs in a zone.
func (t *templateIndex) serves(zone model.Zone) bool {
	n, ok := t.zoneIndex[zone]
	return ok && n < t.servingCount
}

// servingPlaces returns the places of a row that run the template's service, in
// the template's order.
func (t *templateIndex) servingPlaces(row []config.Place) []config.Place {
	places := make([]config.Place, 0, len(row))
	for _, p := range row {
		if t.serves(p.Zone) {
			places = append(places, p)
		}
	}
	slices.SortFunc(places, func(a, b config.Place) int {
		return cmp.Compare(t.zoneIndex[a.Zone], t.zoneIndex[b.Zone])
	})
	return places
}

// sortByDistance returns the places sorted for a client: its own zone, then the
// zones of its region, then the others. Each group keeps its order.
func (t *templateIndex) sortByDistance(places []config.Place, client Location) []config.Place {
	distance := func(p config.Place) int {
		switch {
		case p.Zone == client.Zone:
			return 0
		case t.zones[t.zoneIndex[p.Zone]].Region == client.Region:
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
