// Package standin is a small in-memory platform for tests and demonstrations:
// a key-value store and a VM list whose faults can be injected.
package standin

import (
	"sync"
	"time"

	"fuchsiaspar/internal/platform"

	"golang.org/x/time/rate"
)

// Default rate limits of the store, in calls a second.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Options configure a Store. Zero fields take defaults.
type Options struct {
	// Writes is the limit on writes a second.
	WritesPerSecond int
	// Reads is the limit on reads a second. A waiting watch counts as one.
	ReadsPerSecond int
	// ListLag is how long a change of the VM list stays invisible.
	ListLag time.Duration
	// Now is the clock of the stand-in.
	Now func() time.Time
}

// Store is the stand-in platform. It is safe for concurrent use.
type Store struct {
	now     func() time.Time
	writes  *rate.Limiter
	reads   *rate.Limiter
	listLag time.Duration

	mu      sync.Mutex
	change  uint64
	records map[string]record
	leases  map[platform.LeaseID]*lease
	faults  map[string]fault
	calls   map[callKey]uint64
	// changed is closed and replaced at each change, to wake watches.
	changed chan struct{}
	list    []listChange
}

// record is a key's newest state. A deleted key keeps its change number.
type record struct {
	value   []byte
	change  uint64
	deleted bool
	lease   platform.LeaseID
}

type lease struct {
	client  string
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// New returns an empty stand-in platform.
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

// Client returns the handle through which the named client calls the platform.
func (s *Store) Client(name string) *Client {
	return &Client{store: s, name: name}
}

// nextChange numbers a change and wakes the waiting watches. The caller holds
// the lock.
func (s *Store) nextChange() uint64 {
	s.change++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.change
}

// expire ends the leases whose time has run out. The caller holds the lock.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *Store) endLease(id platform.LeaseID) {
	l := s.leases[id]
	delete(s.leases, id)
	for key := range l.keys {
		s.records[key] = record{change: s.nextChange(), deleted: true}
	}
}

// version returns the version of key, zero when absent. The caller holds the
// lock.
func (s *Store) version(key string) uint64 {
	r, ok := s.records[key]
	if !ok || r.deleted {
		return 0
	}
	return r.change
}

// untilExpiry returns the time until the next lease runs out. The caller holds
// the lock.
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
