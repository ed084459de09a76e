package standin

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"time"

	"fuchsiaspar/internal/platform"
)

// Client is a named client of the fake platform, to which faults and call counts
// apply. It implements platform.Store and platform.VMList.
type Client struct {
	store *Store
	name  string
}

var (
	_ platform.Store  = (*Client)(nil)
	_ platform.VMList = (*Client)(nil)
)

// read counts a read call, injects faults, enforces the rate limit and runs fn
// under the lock.
func (c *Client) read(ctx context.Context, kind CallKind, fn func() error) error {
	s := c.store
	s.countCall(c.name, kind)
	if err := s.applyFaults(ctx, c.name); err != nil {
		return err
	}
	if !s.reads.AllowN(s.now(), 1) {
		return platform.ErrRateLimited
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return fn()
}

// write does the same as read for calls that modify the store. An injected fault
// may also lose the response after the write took effect.
func (c *Client) write(ctx context.Context, kind CallKind, fn func() error) error {
	s := c.store
	s.countCall(c.name, kind)
	if err := s.applyFaults(ctx, c.name); err != nil {
		return err
	}
	if !s.writes.AllowN(s.now(), 1) {
		return platform.ErrRateLimited
	}
	err := s.runLocked(fn)
	if s.consumeLostResponse(c.name) {
		return platform.ErrUnavailable
	}
	return err
}

func (s *Store) runLocked(fn func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return fn()
}

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, key string) (platform.Entry, error) {
	var entry platform.Entry
	err := c.read(ctx, CallGet, func() error {
		r, ok := c.store.records[key]
		if !ok || r.deleted {
			return platform.ErrNotFound
		}
		entry = r.entry(key)
		return nil
	})
	return entry, err
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	var entries []platform.Entry
	err := c.read(ctx, CallList, func() error {
		for key, r := range c.store.records {
			if !r.deleted && strings.HasPrefix(key, prefix) {
				entries = append(entries, r.entry(key))
			}
		}
		return nil
	})
	sortEntries(entries)
	return entries, err
}

// Put implements platform.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64, id platform.LeaseID) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	var version uint64
	err := c.write(ctx, CallPut, func() error {
		s := c.store
		if s.version(key) != expect {
			return platform.ErrConflict
		}
		if id != 0 && s.leases[id] == nil {
			return platform.ErrNotFound
		}
		s.detachLease(key)
		version = s.nextRevision()
		s.records[key] = record{value: bytes.Clone(value), revision: version, lease: id}
		if id != 0 {
			s.leases[id].keys[key] = struct{}{}
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	return c.write(ctx, CallDelete, func() error {
		s := c.store
		version := s.version(key)
		if version == 0 {
			return platform.ErrNotFound
		}
		if version != expect {
			return platform.ErrConflict
		}
		s.detachLease(key)
		s.records[key] = record{revision: s.nextRevision(), deleted: true}
		return nil
	})
}

// detachLease removes key from its lease, if it has one. The caller must hold the
// lock.
func (s *Store) detachLease(key string) {
	if l := s.leases[s.records[key].lease]; l != nil {
		delete(l.keys, key)
	}
}

// Grant implements platform.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var id platform.LeaseID
	err := c.write(ctx, CallGrant, func() error {
		s := c.store
		id = platform.LeaseID(s.nextRevision())
		s.leases[id] = &lease{
			client:  c.name,
			ttl:     ttl,
			expires: s.now().Add(ttl),
			keys:    make(map[string]struct{}),
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// KeepAlive implements platform.Store.
func (c *Client) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	return c.write(ctx, CallKeepAlive, func() error {
		l := c.store.leases[id]
		if l == nil {
			return platform.ErrNotFound
		}
		l.expires = c.store.now().Add(l.ttl)
		return nil
	})
}

// Revoke implements platform.Store.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	return c.write(ctx, CallRevoke, func() error {
		if c.store.leases[id] == nil {
			return platform.ErrNotFound
		}
		c.store.endLease(id)
		return nil
	})
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]platform.Entry, uint64, error) {
	if err := c.read(ctx, CallWatch, func() error { return nil }); err != nil {
		return nil, after, err
	}
	for {
		entries, newest, wake, wait := c.store.changesAfter(prefix, after)
		if len(entries) > 0 {
			return entries, newest, c.store.applyFaults(ctx, c.name)
		}
		if !waitForChange(ctx, wake, wait) {
			return nil, after, platform.ErrUnavailable
		}
	}
}

// changesAfter returns the entries under prefix that changed after a revision,
// the newest revision, a channel that is closed on the next change, and the time
// until the next lease expires, zero if there is no lease.
func (s *Store) changesAfter(prefix string, after uint64) ([]platform.Entry, uint64, <-chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var entries []platform.Entry
	for key, r := range s.records {
		if r.revision > after && strings.HasPrefix(key, prefix) {
			entries = append(entries, r.entry(key))
		}
	}
	sortEntries(entries)
	wait, _ := s.untilExpiry()
	return entries, s.revision, s.changed, wait
}

// waitForChange waits for wake or, if wait is positive, for that time. It returns
// false if ctx ends first.
func waitForChange(ctx context.Context, wake <-chan struct{}, wait time.Duration) bool {
	var expiry <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		expiry = timer.C
	}
	select {
	case <-wake:
		return true
	case <-expiry:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r record) entry(key string) platform.Entry {
	if r.deleted {
		return platform.Entry{Key: key}
	}
	return platform.Entry{Key: key, Value: bytes.Clone(r.value), Version: r.revision}
}

func sortEntries(entries []platform.Entry) {
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
}
