// Package kvstore gives the own interface of the product the users' store: it
// implements platform.Store and platform.VMList by calls of the one client.
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
	// watchWait is how long one call of a watch waits for a change.
	watchWait = 20 * time.Second
	// backOffBase is the mean wait before the first repeat of a call that was
	// over the rate limit; it doubles with each further one.
	backOffBase = 20 * time.Millisecond
	// maxRepeats bounds the repeats of a call that was over the rate limit.
	maxRepeats = 4
)

// Store is the users' store as the product sees it. It is safe for concurrent
// use.
type Store struct {
	client *kv.Client
	logger *log.Logger

	mu     sync.Mutex
	random *rand.Rand
}

var (
	_ platform.Store  = (*Store)(nil)
	_ platform.VMList = (*Store)(nil)
)

// New returns a Store that calls through client. Random draws the jitter of
// repeats.
func New(client *kv.Client, random *rand.Rand, logger *log.Logger) *Store {
	return &Store{client: client, random: random, logger: logger}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	item, err := repeat(ctx, s, func() (replica.Event, error) { return s.client.Get(ctx, key) })
	return entry(item), err
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	entries, _, err := s.list(ctx, prefix)
	return entries, err
}

func (s *Store) list(ctx context.Context, prefix string) ([]platform.Entry, uint64, error) {
	batch, err := repeat(ctx, s, func() (replica.Batch, error) { return s.client.List(ctx, prefix) })
	return entries(batch), batch.To, err
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect uint64, lease platform.LeaseID) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	return repeat(ctx, s, func() (uint64, error) { return s.client.PutIf(ctx, key, value, expect, uint64(lease)) })
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, expect uint64) error {
	return s.call(ctx, func() error { return s.client.RemoveIf(ctx, key, expect) })
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	lease, err := repeat(ctx, s, func() (uint64, error) { return s.client.Grant(ctx, ttl) })
	return platform.LeaseID(lease), err
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	return s.call(ctx, func() error { return s.client.KeepAlive(ctx, uint64(lease)) })
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, lease platform.LeaseID) error {
	return s.call(ctx, func() error { return s.client.End(ctx, uint64(lease)) })
}

// Watch implements platform.Store. A watch whose history the store has dropped
// returns what the prefix holds now, which lacks keys removed meanwhile.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]platform.Entry, uint64, error) {
	for {
		batch, err := repeat(ctx, s, func() (replica.Batch, error) { return s.client.Watch(ctx, prefix, after, watchWait) })
		switch {
		case errors.Is(err, kv.ErrCompacted):
			return s.list(ctx, prefix)
		case err != nil:
			return nil, after, err
		case len(batch.Events) > 0:
			return entries(batch), batch.To, nil
		}
		after = max(after, batch.To)
	}
}

// VMs implements platform.VMList with the backend servers that the store
// lists. Entry VMs know one another from their seeds and the zones' records.
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

// call is repeat for calls without a result.
func (s *Store) call(ctx context.Context, do func() error) error {
	_, err := repeat(ctx, s, func() (struct{}, error) { return struct{}{}, do() })
	return err
}

// repeat makes a call and repeats it, with growing jittered waits, while the
// store refuses it unrun for being over the rate limit.
func repeat[T any](ctx context.Context, s *Store, do func() (T, error)) (T, error) {
	wait := backOffBase
	for tries := 0; ; tries++ {
		result, err := do()
		if !errors.Is(err, kv.ErrRateLimited) || tries == maxRepeats || !background.Sleep(ctx, s.jitter(wait)) {
			return result, translate(err)
		}
		wait *= 2
	}
}

// jitter returns between half and one and a half of mean.
func (s *Store) jitter(mean time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// translate turns the client's errors into those of platform.Store. A dropped
// history stays what it is for Watch.
func translate(err error) error {
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

func entry(item replica.Event) platform.Entry {
	if item.Deleted {
		return platform.Entry{Key: item.Key}
	}
	return platform.Entry{Key: item.Key, Value: item.Value, Version: item.Revision}
}

func entries(batch replica.Batch) []platform.Entry {
	var list []platform.Entry
	for _, item := range batch.Events {
		list = append(list, entry(item))
	}
	return list
}
