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

// fakeCluster is the store and the network of one test, with injected faults.
type fakeCluster struct {
	mu          sync.Mutex
	handlers    map[model.VMID]peer.Handler
	partitioned map[model.VMID]bool
	version     uint64
	entries     map[string]platform.Entry
	leaseByKey  map[string]platform.LeaseID
	leaseExpiry map[platform.LeaseID]time.Time
	storeCalls  int
	// storeErr, if not nil, is returned by every call to the store.
	storeErr error
	// dropWriteReplies makes writes take effect but return an error.
	dropWriteReplies bool
}

func newFakeCluster() *fakeCluster {
	return &fakeCluster{
		handlers:    map[model.VMID]peer.Handler{},
		partitioned: map[model.VMID]bool{},
		entries:     map[string]platform.Entry{},
		leaseByKey:  map[string]platform.LeaseID{},
		leaseExpiry: map[platform.LeaseID]time.Time{},
	}
}

// update changes the state under the mutex.
func (c *fakeCluster) update(change func(*fakeCluster)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

// holder returns the VM in the lease record of a lender, if any.
func (c *fakeCluster) holder(id lenderID) model.VMID {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec, _ := decodeRecord(c.entries[id.key()].Value)
	return rec.VM
}

// fakeStore is the store as one VM sees it. Leases expire by time.Now.
type fakeStore struct {
	platform.Store // nil: other methods panic

	self    model.VMID
	cluster *fakeCluster
}

// callStore runs one call to the store after it removed the entries of expired
// leases.
func callStore[T any](s fakeStore, op func(*fakeCluster) (T, error)) (T, error) {
	c := s.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeCalls++
	for key, id := range c.leaseByKey {
		if !time.Now().Before(c.leaseExpiry[id]) {
			delete(c.entries, key)
			delete(c.leaseByKey, key)
		}
	}
	var none T
	if c.partitioned[s.self] {
		return none, platform.ErrUnavailable
	}
	if c.storeErr != nil {
		return none, c.storeErr
	}
	return op(c)
}

func (s fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	return callStore(s, func(c *fakeCluster) (platform.Entry, error) {
		if e, ok := c.entries[key]; ok {
			return e, nil
		}
		return platform.Entry{}, platform.ErrNotFound
	})
}

func (s fakeStore) Put(_ context.Context, key string, value []byte, expect uint64, lease platform.LeaseID) (uint64, error) {
	return callStore(s, func(c *fakeCluster) (uint64, error) {
		if c.entries[key].Version != expect {
			return 0, platform.ErrConflict
		}
		c.version++
		c.entries[key] = platform.Entry{Key: key, Value: value, Version: c.version}
		c.leaseByKey[key] = lease
		if c.dropWriteReplies {
			return 0, platform.ErrUnavailable
		}
		return c.version, nil
	})
}

func (s fakeStore) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return callStore(s, func(c *fakeCluster) (platform.LeaseID, error) {
		c.version++
		c.leaseExpiry[platform.LeaseID(c.version)] = time.Now().Add(ttl)
		return platform.LeaseID(c.version), nil
	})
}

func (s fakeStore) KeepAlive(_ context.Context, id platform.LeaseID) error {
	_, err := callStore(s, func(c *fakeCluster) (any, error) {
		if !time.Now().Before(c.leaseExpiry[id]) {
			return nil, platform.ErrNotFound
		}
		c.leaseExpiry[id] = time.Now().Add(leaseTTL)
		return nil, nil
	})
	return err
}

func (s fakeStore) Revoke(_ context.Context, id platform.LeaseID) error {
	_, err := callStore(s, func(c *fakeCluster) (any, error) {
		c.leaseExpiry[id] = time.Time{}
		return nil, nil
	})
	return err
}

// fakeLinks is the peer network as one VM sees it. Calls from or to a partitioned
// VM block until their context ends.
type fakeLinks struct {
	peer.Links // nil: other methods panic

	self    model.VMID
	cluster *fakeCluster
}

func (l fakeLinks) Handle(_ peer.Kind, h peer.Handler) { l.cluster.handlers[l.self] = h }

func (l fakeLinks) Call(ctx context.Context, to model.VMID, _ peer.Kind, body, reply any) error {
	l.cluster.mu.Lock()
	handler, partitioned := l.cluster.handlers[to], l.cluster.partitioned[to] || l.cluster.partitioned[l.self]
	l.cluster.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return ctx.Err()
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	result, err := handler(ctx, l.self, data)
	if err != nil {
		return peer.ErrRemote
	}
	if data, err = cbor.Marshal(result); err != nil {
		return err
	}
	return cbor.Unmarshal(data, reply)
}
