// Package standin provides an in-memory fake of the platform for tests and
// demonstrations: a key-value store and a VM list, with fault injection and call
// counts per client.
package standin

import (
	"sync"
	"time"

	"fuchsiaspar/internal/platform"

	"golang.org/x/time/rate"
)

// Default rate limits of the store, in calls per second.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Options configures a Store. Zero values select the defaults.
type Options struct {
	// WritesPerSecond is the limit on writes; the default is
	// DefaultWritesPerSecond.
	WritesPerSecond int
	// ReadsPerSecond is the limit on reads; the default is DefaultReadsPerSecond.
	// A watch counts once however long it waits.
	ReadsPerSecond int
	// ListLag is the delay before a change to the VM list becomes visible.
	ListLag time.Duration
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

// Store is the fake platform. It is safe for concurrent use.
type Store struct {
	now     func() time.Time
	writes  *rate.Limiter
	reads   *rate.Limiter
	listLag time.Duration

	mu       sync.Mutex
	revision uint64
	records  map[string]record
	leases   map[platform.LeaseID]*lease
	faults   map[string]fault
	calls    map[callKey]uint64
	// changed is closed and replaced on each change, to wake waiting watches.
	changed     chan struct{}
	listChanges []listChange
}

// record is the newest state of a key. A deleted key keeps the revision of its
// deletion, so that watches can report it.
type record struct {
	value    []byte
	revision uint64
	deleted  bool
	lease    platform.LeaseID
}

type lease struct {
	client  string
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// New returns a fake platform without keys and VMs.
func New(opts Options) *Store {
	if opts.WritesPerSecond == 0 {
		opts.WritesPerSecond = DefaultWritesPerSecond
	}
	if opts.ReadsPerSecond == 0 {
		opts.ReadsPerSecond = DefaultReadsPerSecond
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Store{
		now:     opts.Now,
		writes:  rate.NewLimiter(rate.Limit(opts.WritesPerSecond), opts.WritesPerSecond),
		reads:   rate.NewLimiter(rate.Limit(opts.ReadsPerSecond), opts.ReadsPerSecond),
		listLag: opts.ListLag,
		records: make(map[string]record),
		leases:  make(map[platform.LeaseID]*lease),
		faults:  make(map[string]fault),
		calls:   make(map[callKey]uint64),
		changed: make(chan struct{}),
	}
}

// Client returns the client with the given name. Clients with the same name share
// their faults and call counts.
func (s *Store) Client(name string) *Client {
	return &Client{store: s, name: name}
}

// nextRevision increments the revision and wakes waiting watches. The caller must
// hold the lock.
func (s *Store) nextRevision() uint64 {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// expireLeases ends the leases that have expired. The caller must hold the lock.
func (s *Store) expireLeases() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and deletes its keys. The caller must hold the lock.
func (s *Store) endLease(id platform.LeaseID) {
	l := s.leases[id]
	delete(s.leases, id)
	for key := range l.keys {
		s.records[key] = record{revision: s.nextRevision(), deleted: true}
	}
}

// version returns the version of key, or zero if it does not exist. The caller
// must hold the lock.
func (s *Store) version(key string) uint64 {
	r, ok := s.records[key]
	if !ok || r.deleted {
		return 0
	}
	return r.revision
}

// untilExpiry returns the time until the next lease expires, or false if there is
// no lease. The caller must hold the lock.
func (s *Store) untilExpiry() (time.Duration, bool) {
	var next time.Time
	for _, l := range s.leases {
		if next.IsZero() || l.expires.Before(next) {
			next = l.expires
		}
	}
	if next.IsZero() {
		return 0, false
	}
	return max(next.Sub(s.now()), time.Millisecond), true
}
