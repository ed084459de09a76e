package pick

import "time"

const (
	// warmTTL is how long a server is assumed to have an object cached after
	// this VM's last request for it there. Servers cache the objects of their
	// latest requests, and a VM gets requests for an object in use every few
	// seconds.
	warmTTL = 20 * time.Second
	// maxWarmServers bounds the servers recorded for one object.
	maxWarmServers = 4
	// maxObjects bounds the recorded objects, which take about 200 bytes each.
	maxObjects = 20_000
	// warmCost is the cost of a server that is not the first in an object's
	// ranking but has handled it lately. A cost of 1 equals the load of a server
	// whose slots are all in use. It keeps an object at its first server while
	// that one is no busier.
	warmCost = 0.35
)

// use records when a server last answered a request for an object.
type use struct {
	server *Server
	at     time.Time
}

// useLog records which servers have handled which objects lately.
type useLog struct {
	byObject map[uint64][]use
}

func newUseLog() useLog { return useLog{byObject: map[uint64][]use{}} }

// record adds server as the latest one that handled object, and removes expired
// entries, or the oldest one when the list is full.
func (m *useLog) record(object uint64, server *Server, now time.Time) {
	entries := m.byObject[object]
	if entries == nil && len(m.byObject) >= maxObjects {
		m.evict(now)
	}
	kept := entries[:0]
	for _, e := range entries {
		if e.server != server && m.live(e, now) {
			kept = append(kept, e)
		}
	}
	if len(kept) >= maxWarmServers {
		kept = append(kept[:0], kept[1:]...)
	}
	m.byObject[object] = append(kept, use{server, now})
}

// isWarm reports whether server has handled object lately.
func (m *useLog) isWarm(object uint64, server *Server, now time.Time) bool {
	for _, e := range m.byObject[object] {
		if e.server == server && m.live(e, now) {
			return true
		}
	}
	return false
}

// live reports whether e has not expired and its server is still listed.
func (m *useLog) live(e use, now time.Time) bool { return !e.server.removed && now.Sub(e.at) < warmTTL }

// evict removes the objects whose latest entry has expired. If the bound is still
// reached, it removes all objects.
func (m *useLog) evict(now time.Time) {
	for object, entries := range m.byObject {
		if last := entries[len(entries)-1]; !m.live(last, now) {
			delete(m.byObject, object)
		}
	}
	if len(m.byObject) >= maxObjects {
		clear(m.byObject)
	}
}
