package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or its deletion in the history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_at,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type heldLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mux *http.ServeMux

	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	leases    map[uint64]heldLease
	lastLease uint64
	changed   chan struct{}
	// busy makes the store answer every call with 503.
	busy bool
	// reads counts the listings and watches of each VM, and failedReads those among
	// them that got 503 since the VM's last one that didn't.
	reads, failedReads map[string]int
	// onWatch, if set, is told the VM of each watch that the store takes.
	onWatch func(vm string)
}

func newStore() *store {
	mux := http.NewServeMux()
	s := &store{
		mux: mux, revision: 1, items: map[string]item{}, leases: map[uint64]heldLease{},
		changed: make(chan struct{}), reads: map[string]int{}, failedReads: map[string]int{},
	}
	mux.HandleFunc("GET /-/kv-key", s.handleGet)
	mux.HandleFunc("GET /-/kv-range", s.handleRange)
	mux.HandleFunc("GET /-/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /-/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /-/kv-lease", s.handleGrant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.handleEnd)
	return s
}

// listen opens an address of the store for one VM.
func (s *store) listen(vm string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Store-Era", "1")
			if s.take(vm, r.URL.Path) {
				s.mux.ServeHTTP(w, r)
				return
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
	}()
	return listener.Addr().String(), nil
}

// take notes a call and reports whether the store executes it.
func (s *store) take(vm, path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if path == "/-/kv-watch" || path == "/-/kv-range" {
		s.reads[vm]++
		s.failedReads[vm]++
		if !s.busy {
			s.failedReads[vm] = 0
		}
	}
	if path == "/-/kv-watch" && !s.busy && s.onWatch != nil {
		go s.onWatch(vm)
	}
	return !s.busy
}

func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

func (s *store) setOnWatch(f func(vm string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWatch = f
}

// unrecovered returns the VMs whose last listing or watch got 503.
func (s *store) unrecovered() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for vm, failed := range s.failedReads {
		if failed > 0 {
			names = append(names, vm)
		}
	}
	return names
}

// put writes a key without a lease, as the operator and the servers do. Its return is
// the acknowledgement.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(item{Key: key, Value: value})
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *store) write(i item) uint64 {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.note(i)
	return s.revision
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) note(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
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
			s.remove(key)
		}
	}
}

func answerJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, i)
}

// pageSize is the number of items in a page of a listing.
const pageSize = 500

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answerJSON(w, map[string]any{
		"items": found[:min(len(found), pageSize)], "more_pages": len(found) > pageSize, "current_rev": s.revision,
	})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		revision, changed := s.revision, s.changed
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answerJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answerJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
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
			answerJSON(w, map[string]any{"items": []item{s.items[c.Key]}})
			return
		}
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, held := s.leases[p.Lease]; p.Lease != 0 && !held {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range body.Puts {
		s.write(p)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	answerJSON(w, map[string]any{"revision": s.revision})
}

func (s *store) handleGrant(w http.ResponseWriter, r *http.Request) {
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
	s.leases[id] = heldLease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})}
	answerJSON(w, map[string]any{"lease": id, "ttl_ms": body.TTL})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	held, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	held.timer.Reset(held.ttl)
	answerJSON(w, map[string]any{"ttl_ms": held.ttl.Milliseconds()})
}

func (s *store) handleEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.endLease(id)
	w.WriteHeader(http.StatusOK)
}

// readCounts returns the number of listings and watches of each VM.
func (s *store) readCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.reads)
}
