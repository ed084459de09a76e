// Package ownership assigns each backend server to one entry VM by rendezvous
// hashing. VMs that know the same candidates compute the same owner without
// exchanging messages, and the loss of a candidate moves only the servers that it
// owned.
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

// tier classifies a candidate by its distance from a server. Candidates of a
// higher tier are nearer and always take precedence.
type tier uint8

const (
	tierNone tier = iota
	tierAnywhere
	tierRegion
	tierZone
)

// Owner returns the entry VM that owns server, which runs in zone and region.
// Candidates in the zone take precedence over those in the region, and those over
// all others. It reports false if there are no candidates.
func Owner(server model.ServerID, zone model.Zone, region model.Region, candidates []Candidate) (model.VMID, bool) {
	seed := hashString(fnvOffset64, string(server))
	var best model.VMID
	bestTier := tierNone
	var bestScore uint64
	for i := range candidates {
		c := &candidates[i]
		candidateTier := tierOf(c, zone, region)
		if candidateTier < bestTier {
			continue
		}
		score := mix(hashString(seed, string(c.VM)))
		if candidateTier == bestTier && !outranks(score, c.VM, bestScore, best) {
			continue
		}
		best, bestTier, bestScore = c.VM, candidateTier, score
	}
	return best, bestTier != tierNone
}

// tierOf returns the tier of a candidate for a server in zone and region.
func tierOf(c *Candidate, zone model.Zone, region model.Region) tier {
	if c.Zone == zone {
		return tierZone
	}
	if c.Region == region {
		return tierRegion
	}
	return tierAnywhere
}

// outranks reports whether a candidate precedes the best one so far of its tier:
// it has a higher score or, with equal scores, the lower VM ID.
func outranks(score uint64, vm model.VMID, bestScore uint64, best model.VMID) bool {
	if score != bestScore {
		return score > bestScore
	}
	return vm < best
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset64 uint64 = 14695981039346656037
	fnvPrime64  uint64 = 1099511628211
)

// hashString extends the FNV-1a hash h by s and a separator byte.
func hashString(h uint64, s string) uint64 {
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= fnvPrime64
	}
	return (h ^ 0xff) * fnvPrime64
}

// mix is the 64-bit finalizer of SplitMix64. It is needed because FNV-1a alone
// leaves the high bits correlated for short names.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
