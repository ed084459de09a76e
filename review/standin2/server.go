package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers between clients, the system and servers.
const (
	headerID          = "X-Fuchsiaspar-Request-Id"
	headerSeal        = "X-Fuchsiaspar-Response-Seal"
	headerExpected    = "X-Fuchsiaspar-Expected-Instance"
	headerInstance    = "X-Fuchsiaspar-Instance-Id"
	headerNotExecuted = "X-Fuchsiaspar-Not-Executed"
	headerLoad        = "X-Fuchsiaspar-Server-Load"
)

// server is a sound backend server: it runs slots requests at once and queues a few.
type server struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	work                       time.Duration
	// reply, if not nil, may answer a request in place of its run.
	reply func(s *server, w http.ResponseWriter, r *http.Request) bool

	mu               sync.Mutex
	running, waiting int
	free             chan struct{}
	sequence         int
	runs             map[string]int
}

// startServer starts a server and registers it in the store, where it writes its entry
// every 1.5 s.
func startServer(st *store, id, service, zone, ip string, slots int, work time.Duration) *server {
	listener := listen(ip)
	s := &server{
		id: id, service: service, zone: zone, address: listener.Addr().String(), slots: slots, work: work,
		born: time.Now().UnixMilli(), free: make(chan struct{}, slots), runs: map[string]int{},
	}
	for range slots {
		s.free <- struct{}{}
	}
	go func() { _ = http.Serve(listener, s) }()
	st.put("servers/"+id, s.entry("ready"))
	return s
}

// entry returns what the server says of itself.
func (s *server) entry(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "cold_left_ms": 0, "sequence": s.sequence},
	}
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerInstance, s.id)
	if r.URL.Path == "/health" {
		return
	}
	w.Header().Set(headerID, id)
	if expected := r.Header.Get(headerExpected); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.reply != nil && s.reply(s, w, r) {
		return
	}
	if !s.enter(r) {
		w.Header().Set(headerLoad, s.load())
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	record("server %s runs %s", s.id, id)
	defer func() { record("server %s ends %s", s.id, id) }()
	work := s.work
	if ms, err := strconv.Atoi(r.URL.Query().Get("ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	w.Header().Set(headerLoad, s.load())
	s.leave()
	w.Header().Set(headerSeal, "seal-"+s.id+"-"+id)
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	part := make([]byte, 16<<10)
	for size > 0 {
		n, err := w.Write(part[:min(size, len(part))])
		if err != nil {
			return
		}
		size -= n
	}
}

// enter waits for a slot. It reports false if the queue is full.
func (s *server) enter(r *http.Request) bool {
	s.mu.Lock()
	if s.waiting >= 3*s.slots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	ok := true
	select {
	case <-s.free:
	case <-r.Context().Done():
		ok = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if ok {
		s.running++
	}
	return ok
}

func (s *server) leave() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.free <- struct{}{}
}

// ran reports whether the server began to work on a request.
func (s *server) ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id] > 0
}
