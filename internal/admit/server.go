package admit

import "fuchsiaspar/internal/model"

// server is a backend server with its running requests.
type server struct {
	id     model.ServerID
	limit  int
	busy   int
	listed bool
}

func (s *server) free() int { return max(0, s.limit-s.busy) }

// fleet is the set of servers whose slots the queue hands out.
type serverSet struct {
	all  []*server
	byID map[model.ServerID]*server
	// slots is the sum of limits, free the count of idle slots.
	totalSlots, freeSlots int
	// usable is the count of servers with a limit above zero.
	usableServers int
}

// set replaces the servers. A server that is no longer listed stays, without
// new work, until its running requests are done.
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

// forget drops the servers that are neither listed nor busy.
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

// pick returns the server with most idle slots other than exclude, or nil.
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

// couldRun reports whether some server may take an item that excludes one.
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
