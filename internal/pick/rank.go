package pick

import (
	"hash/fnv"
	"math"
	"math/bits"
	"slices"
	"time"

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

// limitRotation is the time in which every object of a limited server has its turn: longer
// than warmTTL, so that few objects move at any moment.
const limitRotation = 30 * time.Second

// limitPosition returns the place of an object in the order in which the objects get
// the requests that a server takes: from 0 to 1, about the same on all VMs. Those that
// rank the server first come before those that moved there. The order rotates, so that no
// object is refused for as long as the limit lasts.
func limitPosition(object uint64, server *Server, first bool, now time.Time) float64 {
	const mantissaBits = 53
	position := float64(mix(object^bits.RotateLeft64(server.hash, 41))>>(64-mantissaBits)) / (1 << mantissaBits)
	position += float64(now.UnixMilli()%limitRotation.Milliseconds()) / float64(limitRotation.Milliseconds())
	position -= math.Floor(position)
	if first {
		return position / 2
	}
	return (1 + position) / 2
}

// ObjectHash returns the hash of the object that a request concerns, the same in
// every process.
func ObjectHash(host, prefix, object string) uint64 {
	return hashString(host + "\x00" + prefix + "\x00" + object)
}

// candidate is a server of a service with what its rank depends on. Candidates lie
// next to each other in memory, since every choice walks all of them.
type candidate struct {
	server *Server
	hash   uint64
	// local reports that the server is in the region of this VM.
	local bool
}

// preferLocal reports whether the servers in the region of this VM rank before all
// others for a route. They do where requests or answers are large.
func preferLocal(route *catalog.Route) bool {
	return route.Kind == catalog.Download || route.Kind == catalog.Upload
}

// ranked is a server with its sort keys for one object.
type ranked struct {
	server *Server
	remote bool
	weight uint64
}

func (a ranked) ranksBefore(b ranked) bool {
	if a.remote != b.remote {
		return b.remote
	}
	return a.weight > b.weight
}

// ranking holds the first servers of an object's ranking, at most maxRank.
type ranking struct {
	entries [maxRank]ranked
	count   int
}

// topRanked returns the usable servers for an object, the local ones first if
// localFirst is set, sorted by descending weight.
func topRanked(list []candidate, object uint64, localFirst bool, usable func(*Server) bool) ranking {
	var top ranking
	for i := range list {
		c := &list[i]
		entry := ranked{c.server, localFirst && !c.local, serverWeight(object, c.hash)}
		if top.count == maxRank && !entry.ranksBefore(top.entries[maxRank-1]) {
			continue
		}
		if usable(c.server) {
			top.insert(entry)
		}
	}
	return top
}

// anyLimited reports whether one of the servers limits its requests.
func (r *ranking) anyLimited() bool {
	return slices.ContainsFunc(r.entries[:r.count], func(e ranked) bool { return e.server.limit.current.limited })
}

// insert adds an entry, which must rank before the last one if there are maxRank.
func (r *ranking) insert(entry ranked) {
	if r.count < maxRank {
		r.count++
	}
	index := r.count - 1
	for index > 0 && entry.ranksBefore(r.entries[index-1]) {
		r.entries[index] = r.entries[index-1]
		index--
	}
	r.entries[index] = entry
}

// coldSenders is the number of entry VMs that may send to a cold server. It is
// small so that the server's rate divides into whole requests per second for each
// VM, and greater than one so that the loss of a VM does not leave the server
// without requests.
const coldSenders = 4

// senders is the set of entry VMs that divide the rate of each cold server. All
// VMs choose the same ones by rendezvous hashing.
type senders struct {
	self   uint64
	others []uint64
	vms    []model.VMID
	// generation changes with the set.
	generation uint64
}

// set replaces the VMs. It keeps the generation if they are the same.
func (s *senders) set(vms []catalog.VM, self model.VMID) {
	if slices.EqualFunc(s.vms, vms, func(name model.VMID, vm catalog.VM) bool { return name == vm.Name }) {
		return
	}
	s.vms, s.others = s.vms[:0], s.others[:0]
	for _, vm := range vms {
		s.vms = append(s.vms, vm.Name)
		if vm.Name != self {
			s.others = append(s.others, hashString(string(vm.Name)))
		}
	}
	s.generation++
}

// includeSelf reports whether this VM may send to a cold server.
func (s *senders) includeSelf(server uint64) bool {
	ownWeight := mix(s.self ^ server)
	higher := 0
	for _, vm := range s.others {
		if mix(vm^server) > ownWeight {
			if higher++; higher == coldSenders {
				return false
			}
		}
	}
	return true
}

// count returns the number of VMs that may send to one cold server.
func (s *senders) count() int { return min(coldSenders, max(len(s.vms), 1)) }
