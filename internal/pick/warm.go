package pick

import "time"

const (
	// warmFor is how long a server is taken to remember an object after this
	// VM's last request for it there. Servers keep the objects of their last
	// requests; a VM sees an object again within seconds while it is in use.
	warmFor = 20 * time.Second
	// warmServers bounds the servers remembered for one object.
	warmServers = 4
	// maxObjects bounds the objects remembered, at about 200 bytes each.
	maxObjects = 20_000
	// warmCost is the cost of a server that is not the first of an object's
	// ranking but has handled it, in units of a full set of slots. It keeps
	// objects at their first server while that is no busier.
	warmCost = 0.35
)

// visit is a request for an object that a server has answered.
type visit struct {
	server *Server
	at     time.Time
}

// memory holds which servers have handled which objects lately.
type memory struct {
	visits map[uint64][]visit
}

func newMemory() memory { return memory{visits: map[uint64][]visit{}} }

// note remembers that server has handled object.
func (m *memory) note(object uint64, server *Server, now time.Time) {
	list := m.visits[object]
	if list == nil && len(m.visits) >= maxObjects {
		m.forget(now)
	}
	kept := list[:0]
	for _, v := range list {
		if v.server != server && m.fresh(v, now) {
			kept = append(kept, v)
		}
	}
	if len(kept) >= warmServers {
		kept = append(kept[:0], kept[1:]...)
	}
	m.visits[object] = append(kept, visit{server, now})
}

// knows says whether server has handled object lately.
func (m *memory) knows(object uint64, server *Server, now time.Time) bool {
	for _, v := range m.visits[object] {
		if v.server == server && m.fresh(v, now) {
			return true
		}
	}
	return false
}

func (m *memory) fresh(v visit, now time.Time) bool { return !v.server.gone && now.Sub(v.at) < warmFor }

// forget drops the objects that no server is taken to remember, or all when
// there are none such.
func (m *memory) forget(now time.Time) {
	for object, list := range m.visits {
		if last := list[len(list)-1]; !m.fresh(last, now) {
			delete(m.visits, object)
		}
	}
	if len(m.visits) >= maxObjects {
		clear(m.visits)
	}
}
