package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or its deletion in the history.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"created_at,omitempty"`
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is a stand-in for the platform's key-value store. It loses nothing, answers at once
// and keeps its whole history.
type store struct {
	address string

	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	leases    map[uint64]lease
	lastLease uint64
	changed   chan struct{}
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), revision: 1, items: map[string]item{},
		leases: map[uint64]lease{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.endCall)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a key as an operator or a backend server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: data})
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *store) write(it item) {
	s.revision++
	it.Revision, it.CreatedAt = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.CreatedAt = old.CreatedAt
	}
	s.items[it.Key] = it
	s.append(it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) append(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageSize
	answer(w, map[string]any{"items": found[:min(len(found), pageSize)], "more_pages": more, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("path_prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Conditions []item   `json:"expected_revision"`
		Puts       []item   `json:"puts"`
		Remove     []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range body.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, put := range body.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range body.Puts {
		s.write(put)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	answer(w, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id, ttl := s.lastLease, time.Duration(body.TTLMS)*time.Millisecond
	s.leases[id] = lease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.end(id)
	})}
	answer(w, map[string]any{"lease": id, "ttl_ms": body.TTLMS})
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
	answer(w, map[string]any{"ttl_ms": held.ttl.Milliseconds()})
}

func (s *store) endCall(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
	answer(w, map[string]any{})
}

func (s *store) end(id uint64) {
	held, ok := s.leases[id]
	if !ok {
		return
	}
	held.timer.Stop()
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}
