package admit

import "fuchsiaspar/internal/model"

// server is a backend server with the number of its running requests.
type server struct {
	id    model.ServerID
	limit int
	busy  int
	// listed is unset when the last update did not include the server.
	listed bool
}

// free returns the number of idle slots, zero if a lowered limit is exceeded.
func (s *server) free() int { return max(0, s.limit-s.busy) }

// serverSet is the set of servers whose slots a queue assigns.
type serverSet struct {
	all  []*server
	byID map[model.ServerID]*server
	// totalSlots is the sum of the limits, freeSlots the number of idle slots.
	totalSlots, freeSlots int
	// usableServers is the number of servers with a limit above zero.
	usableServers int
}

// update replaces the servers. A server that is no longer listed gets no new
// requests and is removed once its running requests are done.
func (set *serverSet) update(servers []Server) {
	for _, s := range set.all {
		s.limit = 0
		s.listed = false
	}
	for _, spec := range servers {
		s := set.findOrAdd(spec.ID)
		s.limit = max(0, spec.Limit)
		s.listed = true
	}
	set.dropUnused()
	set.recount()
}

func (set *serverSet) findOrAdd(id model.ServerID) *server {
	if s, ok := set.byID[id]; ok {
		return s
	}
	s := &server{id: id}
	set.all = append(set.all, s)
	set.byID[id] = s
	return s
}

// dropUnused removes the servers that are neither listed nor busy.
func (set *serverSet) dropUnused() {
	kept := set.all[:0]
	for _, s := range set.all {
		if s.listed || s.busy > 0 {
			kept = append(kept, s)
			continue
		}
		delete(set.byID, s.id)
	}
	clear(set.all[len(kept):])
	set.all = kept
}

func (set *serverSet) recount() {
	set.totalSlots, set.freeSlots, set.usableServers = 0, 0, 0
	for _, s := range set.all {
		set.totalSlots += s.limit
		set.freeSlots += s.free()
		if s.limit > 0 {
			set.usableServers++
		}
	}
}

// mostFree returns the server with the most idle slots, or nil if no server other
// than exclude has one.
func (set *serverSet) mostFree(exclude model.ServerID) *server {
	if set.freeSlots == 0 {
		return nil
	}
	var best *server
	for _, s := range set.all {
		if s.free() == 0 || s.id == exclude {
			continue
		}
		if best == nil || s.free() > best.free() {
			best = s
		}
	}
	return best
}

// canRun reports whether any server other than exclude has a limit above zero.
func (set *serverSet) canRun(exclude model.ServerID) bool {
	if exclude == "" || set.usableServers != 1 {
		return set.usableServers > 0
	}
	for _, s := range set.all {
		if s.limit > 0 {
			return s.id != exclude
		}
	}
	return false
}

func (set *serverSet) acquire(s *server) {
	s.busy++
	set.freeSlots--
}

func (set *serverSet) release(s *server) {
	before := s.free()
	s.busy--
	set.freeSlots += s.free() - before
	if s.busy == 0 && !s.listed {
		set.dropUnused()
	}
}
