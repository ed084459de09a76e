package ownership

import (
	"fuchsiaspar/internal/model"
)

// Index finds owners among many candidates. It returns the same owners as the
// function Owner, but a look-up visits only the candidates of the nearest tier. It
// is immutable and safe for concurrent use.
type Index struct {
	zones   map[model.Zone][]Candidate
	regions map[model.Region][]Candidate
	all     []Candidate
}

// NewIndex returns an index of the candidates. It copies the slice.
func NewIndex(candidates []Candidate) *Index {
	x := &Index{
		zones:   make(map[model.Zone][]Candidate),
		regions: make(map[model.Region][]Candidate),
		all:     append([]Candidate(nil), candidates...),
	}
	for _, c := range candidates {
		x.zones[c.Zone] = append(x.zones[c.Zone], c)
		x.regions[c.Region] = append(x.regions[c.Region], c)
	}
	return x
}

// Owner returns the entry VM that owns server, which runs in zone and region. It
// reports false if the index has no candidates.
func (x *Index) Owner(server model.ServerID, zone model.Zone, region model.Region) (model.VMID, bool) {
	return Owner(server, zone, region, x.nearestTier(zone, region))
}

// nearestTier returns the candidates of the nearest tier that is not empty.
func (x *Index) nearestTier(zone model.Zone, region model.Region) []Candidate {
	if c := x.zones[zone]; len(c) > 0 {
		return c
	}
	if c := x.regions[region]; len(c) > 0 {
		return c
	}
	return x.all
}
