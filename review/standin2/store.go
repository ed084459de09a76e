package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is how long the store keeps its history, as history_s in the settings.
	historyTime = 20 * time.Second
	// pageItems is the number of items in a page of a listing.
	pageItems = 500
)

// item is a key of the store as it stands in responses, or its deletion in the history.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"created_at,omitempty"`
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
	at        time.Time
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is the platform's metadata store.
type store struct {
	address string

	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	dropped   uint64
	leases    map[uint64]lease
	lastLease uint64
	changed   chan struct{}
}

func startStore(ip string) *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	for pattern, handle := range map[string]http.HandlerFunc{
		"GET /-/kv-key": s.get, "GET /-/kv-range": s.list, "GET /-/kv-watch": s.watch, "POST /-/kv-txn": s.txn,
		"POST /-/kv-lease": s.grant, "POST /-/kv-keep/{id}": s.keep, "DELETE /-/kv-lease-end/{id}": s.end,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Store-Era", "1")
			handle(w, r)
		})
	}
	listener := listen(ip)
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, mux) }()
	return s
}

// listen opens a listener at a free port of a loopback address.
func listen(ip string) net.Listener {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return listener
}

// put writes a key as the operator and the servers do.
func (s *store) put(key string, value any) uint64 {
	data, ok := value.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(value); err != nil {
			cannotRun("encode %s: %v", key, err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(item{Key: key, Value: data})
}

func (s *store) write(i item) uint64 {
	s.revision++
	i.Revision, i.CreatedAt = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.CreatedAt = old.CreatedAt
	}
	s.items[i.Key] = i
	s.record(i)
	return s.revision
}

func (s *store) erase(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) record(i item) {
	i.at = time.Now()
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the history that is older than historyTime.
func (s *store) forget(now time.Time) {
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	respond(w, map[string]any{"items": found[:min(len(found), pageItems)], "more_pages": more, "current_rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		s.forget(time.Now())
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			respond(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []item   `json:"expected_revision"`
		Puts     []item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range body.Expected {
		if s.items[c.Key].Revision != c.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range body.Puts {
		if _, held := s.leases[p.Lease]; p.Lease != 0 && !held {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range body.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range body.Remove {
		s.erase(key)
	}
	respond(w, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id, ttl := s.lastLease, time.Duration(body.TTL)*time.Millisecond
	s.leases[id] = lease{ttl, time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})}
	respond(w, map[string]any{"lease": id, "ttl_ms": body.TTL})
}

func (s *store) endLease(id uint64) {
	held, ok := s.leases[id]
	if !ok {
		return
	}
	held.timer.Stop()
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.erase(key)
		}
	}
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	held.timer.Reset(held.ttl)
	respond(w, map[string]any{"ttl_ms": held.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	w.WriteHeader(http.StatusOK)
}
