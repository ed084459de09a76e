package intake

import (
	"sync"

	"fuchsiaspar/internal/model"
)

// minServerBytes is the least limit on the bytes of request bodies that are sent to one
// server concurrently.
const minServerBytes = 64 << 20

// ServerBytes bounds the bytes of request bodies that this VM sends to one backend server
// concurrently, since a server fails if the requests that it holds exceed its memory. It
// is safe for concurrent use; nil bounds nothing.
type ServerBytes struct {
	mu    sync.Mutex
	limit int64
	sizes map[model.ServerID]int64
}

// NewServerBytes returns a bound without requests.
func NewServerBytes() *ServerBytes {
	return &ServerBytes{limit: minServerBytes, sizes: map[model.ServerID]int64{}}
}

// SetMaxBody sets the operator's limit on a body, zero if there is none. The bound is
// never below it.
func (b *ServerBytes) SetMaxBody(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(minServerBytes, bytes)
}

// Add accounts bytes that are sent to a server and reports whether they fit. A single
// request always fits, whatever its size.
func (b *ServerBytes) Add(server model.ServerID, bytes int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if sent := b.sizes[server]; bytes > 0 && sent > 0 && sent+bytes > b.limit {
		return false
	}
	if bytes > 0 {
		b.sizes[server] += bytes
	}
	return true
}

// Remove ends the accounting of a request.
func (b *ServerBytes) Remove(server model.ServerID, bytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sizes[server] -= bytes; b.sizes[server] <= 0 {
		delete(b.sizes, server)
	}
}
