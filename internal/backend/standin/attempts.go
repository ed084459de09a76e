package standin

import (
	"context"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/model"
)

// attempt is the record of one attempt. It is kept until the server ends.
type attempt struct {
	state backend.AttemptState
	// rejected is set once the attempt must never start.
	rejected bool
	runs     int
	cancel   context.CancelFunc
}

func (s *Server) state(id string) backend.AttemptState {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.StateQueries++
	a, ok := s.attempts[id]
	if !ok {
		return backend.StateNotStarted
	}
	if a.state == backend.StateNotStarted && !a.rejected {
		return backend.StateWaiting
	}
	return a.state
}

// cancel rejects an attempt that has not started and stops a running one.
func (s *Server) cancel(id string) backend.AttemptState {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempt(id)
	if a.state == backend.StateNotStarted {
		a.rejected = true
	}
	if a.state == backend.StateRunning {
		a.state = backend.StateStopped
		s.counts.Stopped++
	}
	if a.cancel != nil {
		a.cancel()
	}
	return a.state
}

// attempt returns the record of an attempt and creates it if necessary. The caller
// holds s.mu.
func (s *Server) attempt(id string) *attempt {
	a, ok := s.attempts[id]
	if !ok {
		a = &attempt{state: backend.StateNotStarted}
		s.attempts[id] = a
	}
	return a
}

// register stores the function that cancels a queued or running attempt. It
// returns false if the attempt was rejected.
func (s *Server) register(id string, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempt(id)
	a.cancel = cancel
	return !a.rejected
}

// reject prevents an attempt from ever starting and counts it as shed.
func (s *Server) reject(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Shed++
	s.attempt(id).rejected = true
}

// startRun records a run and returns its number, counted from zero over all
// attempts. It returns false if the attempt was rejected.
func (s *Server) startRun(id, order string) (run int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempt(id)
	if a.rejected {
		return 0, false
	}
	a.state = backend.StateRunning
	a.runs++
	s.runs[order]++
	run = s.counts.Started
	s.counts.Started++
	if s.opts.OnStart != nil {
		s.opts.OnStart(order)
	}
	return run, true
}

// endRun records the end of a run unless a cancellation already did.
func (s *Server) endRun(id string, state backend.AttemptState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempt(id)
	if a.state != backend.StateRunning {
		return
	}
	a.state = state
	if state == backend.StateStopped {
		s.counts.Stopped++
		return
	}
	s.counts.Finished++
}

// Arrived reports whether an attempt has reached the server.
func (s *Server) Arrived(id model.AttemptID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.attempts[string(id)]
	return ok
}
