// Package standin provides a small backend server for tests and the demo. It
// listens on a real socket, implements the protocol of package backend, records
// every execution of a request and can simulate failures of backend servers.
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
	// defaultSlots is the default of Options.Slots.
	defaultSlots = 3
	// defaultMaxConns is the default of Options.MaxConns.
	defaultMaxConns = 360
	// queuePerSlot is the number of queued requests per slot.
	queuePerSlot = 1
	// defaultDrainGrace is the default of Options.DrainGrace.
	defaultDrainGrace = 3 * time.Second
)

// Options configures a Server. Zero fields take defaults.
type Options struct {
	ID model.ServerID
	// Address is the listen address; the default is a free port of 127.0.0.1.
	Address string
	// Slots is the number of requests that run at once; the default is 3.
	Slots int
	// MaxConns is the number of connections that are accepted; the default is 360.
	MaxConns int
	// ConnSetup delays the first read of each connection.
	ConnSetup time.Duration
	// ServiceTime returns how long a request for path runs; the default is zero.
	ServiceTime func(path string) time.Duration
	// ColdFactor multiplies the service time of the first request. It decreases
	// linearly to one over ColdWork requests.
	ColdFactor float64
	ColdWork   int
	// ReportLag is the maximum age of the reported load.
	ReportLag time.Duration
	// DrainGrace is how long a draining server accepts new requests; the default
	// is 3 s. It also bounds Close.
	DrainGrace time.Duration
	// OnStart, if set, is called at the start of each run. It must not call the
	// Server.
	OnStart func(order string)
	// Plain disables the control protocol.
	Plain bool
	// Seed is part of the server's instance name; the default is random.
	Seed uint64
}

// Server is a running backend server.
type Server struct {
	opts     Options
	instance string
	listener *listener
	http     *http.Server
	slots    chan struct{}
	serving  sync.WaitGroup

	mu             sync.Mutex
	attempts       map[string]*attempt
	runs           map[string]int
	counts         Counts
	waiting        int
	drainAt        time.Time
	loadOverride   func(load float64) float64
	reportsStopped bool
	load           float64
	loadAt         time.Time
}

// Counts holds the totals of a Server since its start.
type Counts struct {
	// Started counts runs, Finished the completed ones and Stopped those ended by
	// a cancellation, a deadline or a lost connection.
	Started, Finished, Stopped int
	// Shed counts requests that were refused without running.
	Shed int
	// Late counts requests that arrived more than DrainGrace after Drain.
	Late int
	// StateQueries counts queries for the state of an attempt.
	StateQueries int
}

// Start starts a server. The caller ends it with Close or Kill.
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
	s.serving.Go(func() { _ = s.http.Serve(s.listener) })
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

// Target returns the server as a backend.Target.
func (s *Server) Target() backend.Target {
	return backend.Target{ID: s.opts.ID, Address: s.Address(), MaxConns: s.opts.MaxConns}
}

// Close stops the server after the requests in flight have ended, at the latest
// after Options.DrainGrace.
func (s *Server) Close() {
	s.listener.gate.open()
	ctx, stop := context.WithTimeout(context.Background(), s.opts.DrainGrace)
	defer stop()
	_ = s.http.Shutdown(ctx)
	s.Kill()
}

// Kill ends the server at once and resets its connections.
func (s *Server) Kill() {
	s.listener.kill()
	_ = s.http.Close()
	s.serving.Wait()
}

// Silence makes all open connections permanently silent: nothing more is read from
// them or written to them, and they are not closed. New connections work.
func (s *Server) Silence() { s.listener.silence() }

// Pause stops all traffic of the server, like a suspended process.
func (s *Server) Pause() { s.listener.gate.close() }

// Resume continues the traffic after Pause.
func (s *Server) Resume() { s.listener.gate.open() }

// Drain starts draining: responses announce it, and after Options.DrainGrace new
// requests are refused.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainAt.IsZero() {
		s.drainAt = time.Now()
	}
}

// SetLoadOverride makes the server report the load that report returns for the actual
// load, to simulate wrong load reports.
func (s *Server) SetLoadOverride(report func(load float64) float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadOverride = report
}

// StopHealthReports makes all further health requests fail with status 500.
func (s *Server) StopHealthReports() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportsStopped = true
}

func (s *Server) reportsAreStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportsStopped
}

// Runs returns how often the request with an order ID was started.
func (s *Server) Runs(orderID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[orderID]
}

// Orders returns how often each order ID was started.
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

// Counts returns the totals so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP handles control requests and application requests.
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
	case r.URL.Path == backend.HealthPath && s.reportsAreStopped():
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
	if s.loadOverride != nil {
		load = s.loadOverride(load)
	}
	leaving := !s.drainAt.IsZero()
	return backend.HealthResponse{Ready: !leaving, Draining: leaving, Load: load}
}
