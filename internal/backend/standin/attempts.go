package standin

import (
	"context"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/model"
)

// attempt is what the server knows of one attempt. It is kept for the life of
// the server.
type attempt struct {
	state backend.AttemptState
	// sealed refuses the attempt for good.
	sealed bool
	runs   int
	cancel context.CancelFunc
}

func (s *Server) state(id string) backend.AttemptState {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Asked++
	a, ok := s.attempts[id]
	if !ok {
		return backend.StateNotStarted
	}
	if a.state == backend.StateNotStarted && !a.sealed {
		return backend.StateWaiting
	}
	return a.state
}

// cancel seals an attempt that has not started and stops one that runs.
func (s *Server) cancel(id string) backend.AttemptState {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempt(id)
	if a.state == backend.StateNotStarted {
		a.sealed = true
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

// attempt returns the state of an attempt; the caller holds s.mu.
func (s *Server) attempt(id string) *attempt {
	a, ok := s.attempts[id]
	if !ok {
		a = &attempt{state: backend.StateNotStarted}
		s.attempts[id] = a
	}
	return a
}

// arrive notes how to cancel an attempt that waits or runs. It returns false
// when the attempt was sealed.
func (s *Server) arrive(id string, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempt(id)
	a.cancel = cancel
	return !a.sealed
}

// seal refuses an attempt for good.
func (s *Server) seal(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Shed++
	s.attempt(id).sealed = true
}

// begin records a run. It returns false when the attempt was sealed.
func (s *Server) begin(id, order string) (run int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempt(id)
	if a.sealed {
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

// end records the end of a run, unless a cancellation has done so.
func (s *Server) end(id string, state backend.AttemptState) {
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
