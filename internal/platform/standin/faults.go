package standin

import (
	"context"
	"time"

	"fuchsiaspar/internal/platform"
)

// AllClients selects every client in the methods that inject faults or count
// calls.
const AllClients = ""

// fault holds the faults injected into a client's calls. The zero value injects
// none.
type fault struct {
	down          bool
	partitioned   bool
	delay         time.Duration
	lostResponses int
}

// SetDown starts or ends a fault in which the client's calls fail immediately,
// without effect.
func (s *Store) SetDown(client string, down bool) {
	s.updateFault(client, func(f *fault) { f.down = down })
}

// SetPartitioned starts or ends a fault in which the client's calls hang until
// their context ends, without effect, as in a network partition.
func (s *Store) SetPartitioned(client string, partitioned bool) {
	s.updateFault(client, func(f *fault) { f.partitioned = partitioned })
}

// SetDelay delays each of the client's calls before it takes effect. A delay of
// zero ends the fault.
func (s *Store) SetDelay(client string, delay time.Duration) {
	s.updateFault(client, func(f *fault) { f.delay = delay })
}

// DropResponses makes the next count writes of the client take effect, but return
// platform.ErrUnavailable.
func (s *Store) DropResponses(client string, count int) {
	s.updateFault(client, func(f *fault) { f.lostResponses = count })
}

// ExpireLeases expires every lease granted to the client and deletes its keys,
// without notifying the client.
func (s *Store) ExpireLeases(client string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if client == AllClients || l.client == client {
			s.endLease(id)
		}
	}
}

func (s *Store) updateFault(client string, edit func(*fault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[client]
	edit(&f)
	s.faults[client] = f
}

// faultFor combines the faults injected for the client and for all clients.
func (s *Store) faultFor(client string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, own := s.faults[AllClients], s.faults[client]
	return fault{
		down:        all.down || own.down,
		partitioned: all.partitioned || own.partitioned,
		delay:       max(all.delay, own.delay),
	}
}

// consumeLostResponse reports whether to lose the response of a write that took
// effect. If so, it decrements the count set by DropResponses.
func (s *Store) consumeLostResponse(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range []string{client, AllClients} {
		f := s.faults[name]
		if f.lostResponses == 0 {
			continue
		}
		f.lostResponses--
		s.faults[name] = f
		return true
	}
	return false
}

// applyFaults injects the client's faults before a call takes effect.
func (s *Store) applyFaults(ctx context.Context, client string) error {
	f := s.faultFor(client)
	if f.partitioned {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	if f.down {
		return platform.ErrUnavailable
	}
	return sleep(ctx, f.delay)
}

// sleep waits for d. It returns platform.ErrUnavailable if ctx ends first.
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
