package pick

import (
	"hash/fnv"
	"math/bits"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

// maxRank bounds how far along its ranking a request may move. Beyond it a
// queue of slots and places is full several times over.
const maxRank = 8

// hashOf returns the same value in every process.
func hashOf(text string) uint64 {
	h := fnv.New64a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(text))
	return mix(h.Sum64())
}

// mix spreads the bits of x, so that rankings of similar names differ.
func mix(x uint64) uint64 {
	const a, b = 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	x ^= x >> 30
	x *= a
	x ^= x >> 27
	x *= b
	return x ^ x>>31
}

// weightOf orders servers for an object by rendezvous hashing.
func weightOf(object, server uint64) uint64 { return mix(object ^ bits.RotateLeft64(server, 17)) }

// ObjectHash identifies what a request concerns.
func ObjectHash(host, prefix, object string) uint64 {
	return hashOf(host + "\x00" + prefix + "\x00" + object)
}

// tier orders servers before the hash does; a lower one comes first.
type tier func(*Server) int

// tierOf returns the tiers of a route. Large answers stay in the region of
// this VM while it has servers for them.
func (f *Fleet) tierOf(route *catalog.Route) tier {
	if route.Kind != catalog.Download {
		return func(*Server) int { return 0 }
	}
	return func(s *Server) int {
		if s.Region == f.options.Region {
			return 0
		}
		return 1
	}
}

type ranked struct {
	server *Server
	tier   int
	weight uint64
}

func (a ranked) before(b ranked) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	return a.weight > b.weight
}

// topRanked returns the servers of an object by tier and falling weight, at
// most maxRank of those that usable accepts.
func topRanked(list []*Server, object uint64, tierOf tier, usable func(*Server) bool) []ranked {
	top := make([]ranked, 0, maxRank+1)
	for _, server := range list {
		if !usable(server) {
			continue
		}
		entry := ranked{server, tierOf(server), weightOf(object, server.hash)}
		if len(top) == maxRank && !entry.before(top[maxRank-1]) {
			continue
		}
		at := len(top)
		for at > 0 && entry.before(top[at-1]) {
			at--
		}
		top = append(top, ranked{})
		copy(top[at+1:], top[at:])
		top[at] = entry
		top = top[:min(len(top), maxRank)]
	}
	return top
}

// coldOwners is the count of entry VMs that may send to a cold server. It is
// small, so that the rate divides into whole requests a second, and over one,
// so that the loss of a VM leaves the server some work.
const coldOwners = 4

// ownsCold says whether self is one of the VMs that may send to a cold server,
// and how many there are.
func ownsCold(server *Server, self model.VMID, vms []model.VMID) (owns bool, owners int) {
	mine := mix(hashOf(string(self)) ^ server.hash)
	before := 0
	for _, vm := range vms {
		if vm != self && mix(hashOf(string(vm))^server.hash) > mine {
			before++
		}
	}
	return before < coldOwners, min(coldOwners, max(len(vms), 1))
}
