package standin

import (
	"context"
	"time"

	"fuchsiaspar/internal/platform"
)

// AllClients names every client in the methods that inject faults.
const AllClients = ""

// fault is what a client's calls suffer. The zero value is a healthy client.
type fault struct {
	down        bool
	cut         bool
	delay       time.Duration
	loseAnswers int
}

// Down makes the client's calls fail at once, or ends that fault. A call that
// fails so has no effect.
func (s *Store) SetDown(client string, down bool) {
	s.editFault(client, func(f *fault) { f.down = down })
}

// Cut makes the client's calls hang until their context ends, as when a
// network partition swallows them, or ends that fault.
func (s *Store) SetPartitioned(client string, cut bool) {
	s.editFault(client, func(f *fault) { f.cut = cut })
}

// Slow delays each of the client's calls before it takes effect. Zero ends the
// fault.
func (s *Store) SetDelay(client string, delay time.Duration) {
	s.editFault(client, func(f *fault) { f.delay = delay })
}

// LoseAnswers makes the next count writes of the client take effect while the
// client sees platform.ErrUnavailable.
func (s *Store) DropResponses(client string, count int) {
	s.editFault(client, func(f *fault) { f.loseAnswers = count })
}

// Lapse ends every lease that the client was granted, with its keys, while the
// client still believes that it holds them.
func (s *Store) ExpireLeases(client string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if client == AllClients || l.client == client {
			s.endLease(id)
		}
	}
}

func (s *Store) editFault(client string, edit func(*fault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[client]
	edit(&f)
	s.faults[client] = f
}

// faultOf returns the faults injected for the client and for all clients.
func (s *Store) faultOf(client string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, own := s.faults[AllClients], s.faults[client]
	return fault{
		down:  all.down || own.down,
		cut:   all.cut || own.cut,
		delay: max(all.delay, own.delay),
	}
}

// takeLostAnswer reports whether the answer of a write that took effect is to
// be lost, and counts it off.
func (s *Store) takeLostAnswer(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range []string{client, AllClients} {
		f := s.faults[name]
		if f.loseAnswers == 0 {
			continue
		}
		f.loseAnswers--
		s.faults[name] = f
		return true
	}
	return false
}

// suffer applies the client's faults before a call takes effect.
func (s *Store) suffer(ctx context.Context, client string) error {
	f := s.faultOf(client)
	if f.cut {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	if f.down {
		return platform.ErrUnavailable
	}
	return sleep(ctx, f.delay)
}

// sleep waits for d or fails with ErrUnavailable when ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return platform.ErrUnavailable
	}
}
