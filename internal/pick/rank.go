package pick

import (
	"hash/fnv"
	"math/bits"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

// maxRank is the number of servers in an object's ranking that are considered. At
// lower ranks the cost of the rank exceeds that of a full queue several times
// over.
const maxRank = 8

// hashString returns a hash that is the same in every process.
func hashString(text string) uint64 {
	h := fnv.New64a()
	// Write on a hash.Hash never returns an error.
	_, _ = h.Write([]byte(text))
	return mix(h.Sum64())
}

// mix is the splitmix64 finalizer. It makes the rankings of similar names differ.
func mix(x uint64) uint64 {
	const a, b = 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	x ^= x >> 30
	x *= a
	x ^= x >> 27
	x *= b
	return x ^ x>>31
}

// serverWeight returns the weight of a server for an object in rendezvous
// hashing; the server with the highest weight ranks first.
func serverWeight(object, server uint64) uint64 { return mix(object ^ bits.RotateLeft64(server, 17)) }

// ObjectHash returns the hash of the object that a request concerns, the same in
// every process.
func ObjectHash(host, prefix, object string) uint64 {
	return hashString(host + "\x00" + prefix + "\x00" + object)
}

// tier returns a server's tier. Servers of a lower tier rank before all servers of
// a higher one, whatever their weights.
type tier func(*Server) int

// tierOf returns the tier function of a route. Downloads, whose answers are large,
// prefer servers in the region of this VM.
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

// ranked is a server with its sort keys for one object.
type ranked struct {
	server *Server
	tier   int
	weight uint64
}

func (a ranked) ranksBefore(b ranked) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	return a.weight > b.weight
}

// topRanked returns the usable servers for an object, sorted by ascending tier and
// descending weight, at most maxRank of them.
func topRanked(list []*Server, object uint64, tierOf tier, usable func(*Server) bool) []ranked {
	top := make([]ranked, 0, maxRank+1)
	for _, server := range list {
		if !usable(server) {
			continue
		}
		entry := ranked{server, tierOf(server), serverWeight(object, server.hash)}
		if len(top) == maxRank && !entry.ranksBefore(top[maxRank-1]) {
			continue
		}
		index := len(top)
		for index > 0 && entry.ranksBefore(top[index-1]) {
			index--
		}
		top = append(top, ranked{})
		copy(top[index+1:], top[index:])
		top[index] = entry
		top = top[:min(len(top), maxRank)]
	}
	return top
}

// coldSenders is the number of entry VMs that may send to a cold server. It is
// small so that the server's rate divides into whole requests per second for each
// VM, and greater than one so that the loss of a VM does not leave the server
// without requests.
const coldSenders = 4

// isColdSender reports whether self is one of the VMs that may send to a cold
// server, and how many such VMs there are. All VMs make the same choice by
// rendezvous hashing.
func isColdSender(server *Server, self model.VMID, vms []model.VMID) (isSender bool, senders int) {
	ownWeight := mix(hashString(string(self)) ^ server.hash)
	higher := 0
	for _, vm := range vms {
		if vm != self && mix(hashString(string(vm))^server.hash) > ownWeight {
			higher++
		}
	}
	return higher < coldSenders, min(coldSenders, max(len(vms), 1))
}
