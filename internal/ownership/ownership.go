// Package ownership assigns each backend server to one entry VM by rendezvous
// hashing. Every VM that knows the same candidates computes the same owner
// without a message, and the loss of a candidate moves only its own servers.
package ownership

import (
	"fuchsiaspar/internal/model"
)

// Candidate is an entry VM that may own backend servers.
type Candidate struct {
	VM     model.VMID
	Zone   model.Zone
	Region model.Region
}

// tier ranks candidates by their distance from a server. A nearer tier always
// wins over a farther one.
type tier uint8

const (
	tierNone tier = iota
	tierAnywhere
	tierRegion
	tierZone
)

// Owner returns the entry VM that owns server, which runs in zone and region.
// A candidate in the zone wins over one in the region, and that over any other.
// It reports false when live is empty.
func Owner(server model.ServerID, zone model.Zone, region model.Region, live []Candidate) (model.VMID, bool) {
	seed := hashString(offset64, string(server))
	var best model.VMID
	bestTier := tierNone
	var bestScore uint64
	for i := range live {
		c := &live[i]
		t := distance(c, zone, region)
		if t < bestTier {
			continue
		}
		score := mix(hashString(seed, string(c.VM)))
		if t == bestTier && !wins(score, c.VM, bestScore, best) {
			continue
		}
		best, bestTier, bestScore = c.VM, t, score
	}
	return best, bestTier != tierNone
}

func distance(c *Candidate, zone model.Zone, region model.Region) tier {
	if c.Zone == zone {
		return tierZone
	}
	if c.Region == region {
		return tierRegion
	}
	return tierAnywhere
}

// wins orders candidates of one tier; equal scores fall back to the VM's name.
func wins(score uint64, vm model.VMID, bestScore uint64, best model.VMID) bool {
	if score != bestScore {
		return score > bestScore
	}
	return vm < best
}

// Constants of the 64-bit FNV-1a hash.
const (
	offset64 uint64 = 14695981039346656037
	prime64  uint64 = 1099511628211
)

// hashString extends an FNV-1a hash by s and a separator.
func hashString(h uint64, s string) uint64 {
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= prime64
	}
	return (h ^ 0xff) * prime64
}

// mix spreads the bits of h, since FNV-1a alone leaves the high bits of short
// names correlated.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
