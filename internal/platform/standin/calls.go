package standin

// CallKind names a kind of call for the counters.
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

func (s *Store) count(client string, kind CallKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[callKey{client, kind}]++
}

// Calls returns how many calls of a kind the client made, or all clients made
// when client is AllClients. Calls that failed count too.
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

// TotalCalls returns how many calls of every kind the client made, or all
// clients made when client is AllClients.
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
