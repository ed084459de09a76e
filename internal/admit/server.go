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
type fleet struct {
	servers []*server
	byID    map[model.ServerID]*server
	// slots is the sum of limits, free the count of idle slots.
	slots, free int
	// usable is the count of servers with a limit above zero.
	usable int
}

// set replaces the servers. A server that is no longer listed stays, without
// new work, until its running requests are done.
func (f *fleet) set(servers []Server) {
	for _, s := range f.servers {
		s.limit = 0
		s.listed = false
	}
	for _, want := range servers {
		s := f.find(want.ID)
		s.limit = max(0, want.Limit)
		s.listed = true
	}
	f.forget()
	f.count()
}

func (f *fleet) find(id model.ServerID) *server {
	if s, ok := f.byID[id]; ok {
		return s
	}
	s := &server{id: id}
	f.servers = append(f.servers, s)
	f.byID[id] = s
	return s
}

// forget drops the servers that are neither listed nor busy.
func (f *fleet) forget() {
	kept := f.servers[:0]
	for _, s := range f.servers {
		if s.listed || s.busy > 0 {
			kept = append(kept, s)
			continue
		}
		delete(f.byID, s.id)
	}
	clear(f.servers[len(kept):])
	f.servers = kept
}

func (f *fleet) count() {
	f.slots, f.free, f.usable = 0, 0, 0
	for _, s := range f.servers {
		f.slots += s.limit
		f.free += s.free()
		if s.limit > 0 {
			f.usable++
		}
	}
}

// pick returns the server with most idle slots other than exclude, or nil.
func (f *fleet) pick(exclude model.ServerID) *server {
	if f.free == 0 {
		return nil
	}
	var best *server
	for _, s := range f.servers {
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
func (f *fleet) couldRun(exclude model.ServerID) bool {
	if exclude == "" || f.usable != 1 {
		return f.usable > 0
	}
	for _, s := range f.servers {
		if s.limit > 0 {
			return s.id != exclude
		}
	}
	return false
}

func (f *fleet) acquire(s *server) {
	s.busy++
	f.free--
}

func (f *fleet) release(s *server) {
	before := s.free()
	s.busy--
	f.free += s.free() - before
	if s.busy == 0 && !s.listed {
		f.forget()
	}
}
