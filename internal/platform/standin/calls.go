package standin

// CallKind identifies a method of the platform interfaces in the call counters.
type CallKind string

// The kinds of calls.
const (
	CallGet       CallKind = "get"
	CallList      CallKind = "list"
	CallPut       CallKind = "put"
	CallDelete    CallKind = "delete"
	CallGrant     CallKind = "grant"
	CallKeepAlive CallKind = "keepalive"
	CallRevoke    CallKind = "revoke"
	CallWatch     CallKind = "watch"
	CallVMs       CallKind = "vms"
)

type callKey struct {
	client string
	kind   CallKind
}

func (s *Store) countCall(client string, kind CallKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[callKey{client, kind}]++
}

// Calls returns the number of calls of a kind made by client, or by every client
// if it is AllClients. Failed calls are included.
func (s *Store) Calls(client string, kind CallKind) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum uint64
	for key, n := range s.calls {
		if key.kind == kind && (client == AllClients || key.client == client) {
			sum += n
		}
	}
	return sum
}

// TotalCalls returns the number of calls of any kind made by client, or by every
// client if it is AllClients. Failed calls are included.
func (s *Store) TotalCalls(client string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum uint64
	for key, n := range s.calls {
		if client == AllClients || key.client == client {
			sum += n
		}
	}
	return sum
}
