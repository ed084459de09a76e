package quota

import (
	"context"
	"sync"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"

	"github.com/fxamacker/cbor/v2"
)

// fakeStore is a Store whose leases lapse by the clock.
type fakeStore struct {
	platform.Store // panics on methods that the service must not use

	mu      sync.Mutex
	version uint64
	entries map[string]platform.Entry
	owner   map[string]platform.LeaseID
	leases  map[platform.LeaseID]time.Time
	calls   int
	down    bool
	limited bool
	// loseAnswers makes writes take effect without an answer.
	loseAnswers bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries: map[string]platform.Entry{},
		owner:   map[string]platform.LeaseID{},
		leases:  map[platform.LeaseID]time.Time{},
	}
}

// begin counts a call and drops what has lapsed. The caller holds s.mu.
func (s *fakeStore) begin() error {
	s.calls++
	if s.down {
		return platform.ErrUnavailable
	}
	if s.limited {
		return platform.ErrRateLimited
	}
	for key, id := range s.owner {
		if !time.Now().Before(s.leases[id]) {
			delete(s.entries, key)
			delete(s.owner, key)
		}
	}
	return nil
}

// set changes the faults.
func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return platform.Entry{}, err
	}
	if e, ok := s.entries[key]; ok {
		return e, nil
	}
	return platform.Entry{}, platform.ErrNotFound
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, expect uint64, lease platform.LeaseID) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return 0, err
	}
	if s.entries[key].Version != expect {
		return 0, platform.ErrConflict
	}
	s.version++
	s.entries[key] = platform.Entry{Key: key, Value: value, Version: s.version}
	s.owner[key] = lease
	if s.loseAnswers {
		return 0, platform.ErrUnavailable
	}
	return s.version, nil
}

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return 0, err
	}
	s.version++
	id := platform.LeaseID(s.version)
	s.leases[id] = time.Now().Add(ttl)
	return id, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, id platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return err
	}
	if !time.Now().Before(s.leases[id]) {
		return platform.ErrNotFound
	}
	s.leases[id] = time.Now().Add(leaseTTL)
	return nil
}

func (s *fakeStore) Revoke(_ context.Context, id platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[id] = time.Time{}
	return s.begin()
}

// holder returns the VM named by a lender's record, if any.
func (s *fakeStore) holder(id lenderID) model.VMID {
	entry, err := s.Get(context.Background(), id.key())
	if err != nil {
		return ""
	}
	rec, _ := decodeRecord(entry.Value)
	return rec.VM
}

// cutStore is the store as seen by one VM, which may be cut off.
type cutStore struct {
	*fakeStore
	link *fakeLinks
}

func (s cutStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.link.isCut() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return s.fakeStore.Get(ctx, key)
}

func (s cutStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if s.link.isCut() {
		return platform.ErrUnavailable
	}
	return s.fakeStore.KeepAlive(ctx, id)
}

func (s cutStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if s.link.isCut() {
		return 0, platform.ErrUnavailable
	}
	return s.fakeStore.Grant(ctx, ttl)
}

// fakeLinks connects the services of one test.
type fakeLinks struct {
	peer.Links

	self    model.VMID
	network map[model.VMID]*fakeLinks
	handler peer.Handler
	mu      sync.Mutex
	cut     bool
}

func (l *fakeLinks) Handle(_ peer.Kind, h peer.Handler) { l.handler = h }

func (l *fakeLinks) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *fakeLinks) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *fakeLinks) Call(ctx context.Context, to model.VMID, _ peer.Kind, body, reply any) error {
	remote, ok := l.network[to]
	if !ok {
		return peer.ErrNoLink
	}
	if l.isCut() || remote.isCut() {
		<-ctx.Done()
		return ctx.Err()
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	answer, err := remote.handler(ctx, l.self, data)
	if err != nil {
		return peer.ErrRemote
	}
	if data, err = cbor.Marshal(answer); err != nil {
		return err
	}
	return cbor.Unmarshal(data, reply)
}
