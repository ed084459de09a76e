// Package kvstore implements platform.Store and platform.VMList on top of the
// platform's HTTP key-value store. It retries rate-limited calls.
package kvstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform"
	"fuchsiaspar/internal/replica"
	kv "fuchsiaspar/platform"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

const (
	// watchWait is how long one watch call waits for a change.
	watchWait = 20 * time.Second
	// initialBackoff is the mean wait before the first retry of a rate-limited
	// call. It doubles with each further retry.
	initialBackoff = 20 * time.Millisecond
	// maxRetries limits the retries of a rate-limited call.
	maxRetries = 4
)

// Store adapts the HTTP client to platform.Store and platform.VMList. It is safe
// for concurrent use.
type Store struct {
	client *kv.Client
	logger *log.Logger

	mu     sync.Mutex
	random *rand.Rand
	// watchEras holds the era of the store in which the last watch of each prefix
	// returned. Revisions from before a restore mean nothing in a later era.
	watchEras map[string]uint64
}

var (
	_ platform.Store  = (*Store)(nil)
	_ platform.VMList = (*Store)(nil)
)

// New returns a Store that makes its calls through client. The source random
// provides the jitter of retries.
func New(client *kv.Client, random *rand.Rand, logger *log.Logger) *Store {
	return &Store{client: client, random: random, logger: logger, watchEras: map[string]uint64{}}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	item, err := retryRateLimited(ctx, s, func() (replica.Event, error) { return s.client.Get(ctx, key) })
	return toEntry(item), err
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	batch, err := s.list(ctx, prefix)
	return toEntries(batch), err
}

func (s *Store) list(ctx context.Context, prefix string) (replica.Batch, error) {
	return retryRateLimited(ctx, s, func() (replica.Batch, error) { return s.client.List(ctx, prefix) })
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect uint64, lease platform.LeaseID) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	return retryRateLimited(ctx, s, func() (uint64, error) { return s.client.PutIf(ctx, key, value, expect, uint64(lease)) })
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, expect uint64) error {
	return s.retryCall(ctx, func() error { return s.client.DeleteIf(ctx, key, expect) })
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	lease, err := retryRateLimited(ctx, s, func() (uint64, error) { return s.client.Grant(ctx, ttl) })
	return platform.LeaseID(lease), err
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	return s.retryCall(ctx, func() error { return s.client.KeepAlive(ctx, uint64(lease)) })
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, lease platform.LeaseID) error {
	return s.retryCall(ctx, func() error { return s.client.End(ctx, uint64(lease)) })
}

// Watch implements platform.Store. If the store no longer keeps the history after
// the given revision, or has been restored from an older copy since the last Watch of
// prefix, Watch returns all current entries under prefix. Deletions made in the meantime
// are then missing.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]platform.Entry, uint64, error) {
	for {
		batch, err := retryRateLimited(ctx, s, func() (replica.Batch, error) { return s.client.Watch(ctx, prefix, after, watchWait) })
		switch {
		case errors.Is(err, kv.ErrCompacted), err == nil && s.isRestored(prefix, batch.Era):
			return s.relist(ctx, prefix, after)
		case err != nil:
			return nil, after, err
		}
		s.setWatchEra(prefix, batch.Era)
		if len(batch.Events) > 0 {
			return toEntries(batch), batch.To, nil
		}
		after = max(after, batch.To)
	}
}

// relist returns all entries under prefix, for a watch that can't continue from after.
func (s *Store) relist(ctx context.Context, prefix string, after uint64) ([]platform.Entry, uint64, error) {
	batch, err := s.list(ctx, prefix)
	if err != nil {
		return nil, after, err
	}
	s.setWatchEra(prefix, batch.Era)
	return toEntries(batch), batch.To, nil
}

// isRestored reports whether the store has been restored since the last watch of prefix.
func (s *Store) isRestored(prefix string, era uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.watchEras[prefix]
	return ok && last != era
}

func (s *Store) setWatchEra(prefix string, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchEras[prefix] = era
}

// VMs implements platform.VMList. It returns the backend servers registered in
// the store, but no entry VMs, which find each other through their seeds and the
// zones' records. It skips and logs invalid items.
func (s *Store) VMs(ctx context.Context) ([]platform.VM, error) {
	listed, err := s.List(ctx, kv.PrefixServers)
	if err != nil {
		return nil, err
	}
	vms := make([]platform.VM, 0, len(listed))
	for _, e := range listed {
		server, err := kv.DecodeServer(e.Key, e.Value, nil)
		if err != nil {
			s.logger.Warn("server entry unusable", "key", e.Key, "cause", err)
			continue
		}
		state := platform.VMLive
		if server.Draining {
			state = platform.VMLeaving
		}
		vms = append(vms, platform.VM{
			ID: string(server.ID), Role: platform.RoleBackend, Zone: model.Zone(server.Zone),
			Address: server.Address, Service: server.Service, State: state,
		})
	}
	return vms, nil
}

// retryCall is retryRateLimited for calls without a result.
func (s *Store) retryCall(ctx context.Context, do func() error) error {
	_, err := retryRateLimited(ctx, s, func() (struct{}, error) { return struct{}{}, do() })
	return err
}

// retryRateLimited makes a call and retries it with exponential backoff and
// jitter while it is rate limited. That is safe for writes, since the store does
// not execute rate-limited calls.
func retryRateLimited[T any](ctx context.Context, s *Store, do func() (T, error)) (T, error) {
	wait := initialBackoff
	for retries := 0; ; retries++ {
		result, err := do()
		if !errors.Is(err, kv.ErrRateLimited) || retries == maxRetries || !background.Sleep(ctx, s.jitter(wait)) {
			return result, translateError(err)
		}
		wait *= 2
	}
}

// jitter returns a random duration between 0.5 and 1.5 times mean.
func (s *Store) jitter(mean time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// translateError maps the client's errors to those of platform.Store. It keeps
// ErrCompacted, which Watch handles.
func translateError(err error) error {
	switch {
	case err == nil, errors.Is(err, kv.ErrCompacted):
		return err
	case errors.Is(err, kv.ErrConflict):
		return errors.WithMessage(platform.ErrConflict, err.Error())
	case errors.Is(err, kv.ErrNotFound):
		return errors.WithMessage(platform.ErrNotFound, err.Error())
	case errors.Is(err, kv.ErrRateLimited):
		return errors.WithMessage(platform.ErrRateLimited, err.Error())
	default:
		return errors.WithMessage(platform.ErrUnavailable, err.Error())
	}
}

func toEntry(item replica.Event) platform.Entry {
	if item.Deleted {
		return platform.Entry{Key: item.Key}
	}
	return platform.Entry{Key: item.Key, Value: item.Value, Version: item.Revision}
}

func toEntries(batch replica.Batch) []platform.Entry {
	var list []platform.Entry
	for _, item := range batch.Events {
		list = append(list, toEntry(item))
	}
	return list
}
