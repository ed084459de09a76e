// Package standin is a small backend server for tests and the demo. It listens
// on a real socket, speaks the protocol of package backend, records every run
// and brings about the failures that backend servers have.
package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/model"
)

const (
	// defaultSlots is the count of requests that run at once.
	defaultSlots = 3
	// defaultMaxConns is the count of connections that are accepted.
	defaultMaxConns = 360
	// queuePerSlot is the count of waiting requests per slot.
	queuePerSlot = 1
	// defaultDrainGrace is how long a draining server takes new work.
	defaultDrainGrace = 3 * time.Second
)

// Options configures a Server. Zero fields take defaults.
type Options struct {
	ID model.ServerID
	// Address is where to listen; empty means a free port of 127.0.0.1.
	Address string
	// Slots is the count of requests that run at once.
	Slots int
	// MaxConns is the count of connections that are accepted.
	MaxConns int
	// ConnSetup delays the first byte of each connection.
	ConnSetup time.Duration
	// ServiceTime is how long a request for path runs.
	ServiceTime func(path string) time.Duration
	// ColdFactor multiplies the service time of the first request; it falls
	// evenly to one over ColdWork requests.
	ColdFactor float64
	ColdWork   int
	// ReportLag is the age that load reports may have.
	ReportLag time.Duration
	// DrainGrace is how long a draining server takes new work.
	DrainGrace time.Duration
	// OnStart is told of each run that begins; nil tells nobody.
	OnStart func(order string)
	// Plain makes a server without the control protocol.
	Plain bool
	// Seed is part of the server's instance name; zero draws one at random.
	Seed uint64
}

// Server is a running backend server.
type Server struct {
	opts     Options
	instance string
	listener *listener
	http     *http.Server
	slots    chan struct{}
	served   sync.WaitGroup

	mu       sync.Mutex
	attempts map[string]*attempt
	runs     map[string]int
	counts   Counts
	waiting  int
	drainAt  time.Time
	mislead  func(load float64) float64
	mute     bool
	load     float64
	loadAt   time.Time
}

// Counts tells what a Server has done.
type Counts struct {
	// Started counts runs, Finished those that came to their end and Stopped
	// those that a cancellation, deadline or lost connection ended.
	Started, Finished, Stopped int
	// Shed counts requests that were refused unrun.
	Shed int
	// Late counts requests that arrived more than DrainGrace after Drain.
	Late int
	// Asked counts questions about the state of an attempt.
	Asked int
}

// Start returns a listening server.
func Start(opts Options) (*Server, error) {
	opts = opts.withDefaults()
	inner, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts:     opts,
		instance: fmt.Sprintf("%s-%s-%x", opts.ID, inner.Addr(), opts.Seed),
		listener: newListener(inner, opts),
		slots:    make(chan struct{}, opts.Slots),
		attempts: make(map[string]*attempt),
		runs:     make(map[string]int),
	}
	s.http = &http.Server{Handler: s}
	s.served.Go(func() { _ = s.http.Serve(s.listener) })
	return s, nil
}

func (o Options) withDefaults() Options {
	o.Address = cmp.Or(o.Address, "127.0.0.1:0")
	o.Slots = cmp.Or(o.Slots, defaultSlots)
	o.MaxConns = cmp.Or(o.MaxConns, defaultMaxConns)
	o.DrainGrace = cmp.Or(o.DrainGrace, defaultDrainGrace)
	o.Seed = cmp.Or(o.Seed, rand.Uint64())
	if o.ServiceTime == nil {
		o.ServiceTime = func(string) time.Duration { return 0 }
	}
	return o
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Target returns the server as a target of package backend.
func (s *Server) Target() backend.Target {
	return backend.Target{ID: s.opts.ID, Address: s.Address(), MaxConns: s.opts.MaxConns}
}

// Close stops the server after the requests in flight, at the latest after
// Options.DrainGrace.
func (s *Server) Close() {
	s.listener.gate.open()
	ctx, stop := context.WithTimeout(context.Background(), s.opts.DrainGrace)
	defer stop()
	_ = s.http.Shutdown(ctx)
	s.Kill()
}

// Kill ends the server abruptly: its connections are reset.
func (s *Server) Kill() {
	s.listener.kill()
	_ = s.http.Close()
	s.served.Wait()
}

// Silence makes the present connections silent for good: nothing more is read
// from them or written to them and they are not closed. New ones work.
func (s *Server) Silence() { s.listener.silence() }

// Pause stops all traffic of the server, as when its process is suspended.
func (s *Server) Pause() { s.listener.gate.close() }

// Resume ends Pause.
func (s *Server) Resume() { s.listener.gate.open() }

// Drain makes the server leave: it says so in its answers, and after
// Options.DrainGrace it refuses new work.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainAt.IsZero() {
		s.drainAt = time.Now()
	}
}

// Mislead changes the load that the server reports.
func (s *Server) SetLoadOverride(report func(load float64) float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mislead = report
}

// StopReports makes the server answer no more questions about its health.
func (s *Server) StopHealthReports() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = true
}

func (s *Server) muted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mute
}

// Runs returns how often the request with an order identifier was started.
func (s *Server) Runs(orderID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[orderID]
}

// Orders returns how often each order identifier was started.
func (s *Server) Orders() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// AttemptRuns returns how often an attempt was started.
func (s *Server) AttemptRuns(id model.AttemptID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.attempts[string(id)]; ok {
		return a.runs
	}
	return 0
}

// Counts returns what the server has done so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP handles control requests and work.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.opts.Plain && strings.HasPrefix(r.URL.Path, backend.ControlPath) {
		http.NotFound(w, r)
		return
	}
	if !s.opts.Plain {
		w.Header().Set(backend.HeaderInstance, s.instance)
	}
	if s.draining() {
		w.Header().Set(backend.HeaderDraining, "true")
	}
	id, isAttempt := strings.CutPrefix(r.URL.Path, backend.AttemptsPath)
	switch {
	case r.URL.Path == backend.HealthPath && s.muted():
		w.WriteHeader(http.StatusInternalServerError)
	case r.URL.Path == backend.HealthPath:
		writeJSON(w, s.health())
	case isAttempt && r.Method == http.MethodGet:
		writeJSON(w, backend.StateResponse{State: s.state(id)})
	case isAttempt && r.Method == http.MethodDelete:
		writeJSON(w, backend.StateResponse{State: s.cancel(id)})
	default:
		s.work(w, r)
	}
}

func writeJSON(w io.Writer, answer any) { _ = json.NewEncoder(w).Encode(answer) }

func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.drainAt.IsZero()
}

func (s *Server) health() backend.HealthResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.loadAt.IsZero() || now.Sub(s.loadAt) >= s.opts.ReportLag {
		s.load = float64(len(s.slots)+s.waiting) / float64(s.opts.Slots)
		s.loadAt = now
	}
	load := s.load
	if s.mislead != nil {
		load = s.mislead(load)
	}
	leaving := !s.drainAt.IsZero()
	return backend.HealthResponse{Ready: !leaving, Draining: leaving, Load: load}
}
