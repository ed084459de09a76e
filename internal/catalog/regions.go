package catalog

import (
	"slices"

	"fuchsiaspar/internal/model"
)

// Regions is a set of regions in which a request may run. The zero value allows all
// regions.
type Regions struct {
	restricted bool
	allowed    []model.Region
}

// NewRegions returns the regions that every list allows. An empty list allows all.
func NewRegions(lists ...[]model.Region) Regions {
	var r Regions
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !r.restricted:
			r = Regions{restricted: true, allowed: list}
		default:
			r.allowed = intersect(r.allowed, list)
		}
	}
	return r
}

func intersect(a, b []model.Region) []model.Region {
	var both []model.Region
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both
}

// Allows reports whether a request may run in region.
func (r Regions) Allows(region model.Region) bool {
	return !r.restricted || slices.Contains(r.allowed, region)
}
