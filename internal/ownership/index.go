package ownership

import (
	"fuchsiaspar/internal/model"
)

// Index finds owners among many candidates. It gives the same owners as Owner
// at the cost of the nearest tier only. It is immutable.
type Index struct {
	zones    map[model.Zone][]Candidate
	regions  map[model.Region][]Candidate
	anywhere []Candidate
}

// NewIndex returns an index of the candidates.
func NewIndex(live []Candidate) *Index {
	x := &Index{
		zones:    make(map[model.Zone][]Candidate),
		regions:  make(map[model.Region][]Candidate),
		anywhere: append([]Candidate(nil), live...),
	}
	for _, c := range live {
		x.zones[c.Zone] = append(x.zones[c.Zone], c)
		x.regions[c.Region] = append(x.regions[c.Region], c)
	}
	return x
}

// Owner returns the entry VM that owns server, as the function Owner does.
func (x *Index) Owner(server model.ServerID, zone model.Zone, region model.Region) (model.VMID, bool) {
	return Owner(server, zone, region, x.nearest(zone, region))
}

// nearest returns the candidates of the nearest tier that has any.
func (x *Index) nearest(zone model.Zone, region model.Region) []Candidate {
	if c := x.zones[zone]; len(c) > 0 {
		return c
	}
	if c := x.regions[region]; len(c) > 0 {
		return c
	}
	return x.anywhere
}
