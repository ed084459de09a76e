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

// fakeNet is the store and the network of one test, with their faults.
type fakeNet struct {
	mu       sync.Mutex
	handlers map[model.VMID]peer.Handler
	cut      map[model.VMID]bool
	version  uint64
	entries  map[string]platform.Entry
	owner    map[string]platform.LeaseID
	leases   map[platform.LeaseID]time.Time
	calls    int
	// fault is returned by each call of the store.
	fault error
	// loseAnswers makes writes take effect without an answer.
	loseAnswers bool
}

func newFakeNet() *fakeNet {
	return &fakeNet{
		handlers: map[model.VMID]peer.Handler{},
		cut:      map[model.VMID]bool{},
		entries:  map[string]platform.Entry{},
		owner:    map[string]platform.LeaseID{},
		leases:   map[platform.LeaseID]time.Time{},
	}
}

// set changes the faults.
func (n *fakeNet) set(change func(*fakeNet)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

// holder returns the VM named by a lender's record, if any.
func (n *fakeNet) holder(id lenderID) model.VMID {
	n.mu.Lock()
	defer n.mu.Unlock()
	rec, _ := decodeRecord(n.entries[id.key()].Value)
	return rec.VM
}

// fakeStore is the store as one VM sees it. Leases lapse by the clock.
type fakeStore struct {
	platform.Store // panics on methods that the service must not use

	self model.VMID
	net  *fakeNet
}

// call runs one call of the store after dropping what has lapsed.
func call[T any](s fakeStore, run func(*fakeNet) (T, error)) (T, error) {
	n := s.net
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	for key, id := range n.owner {
		if !time.Now().Before(n.leases[id]) {
			delete(n.entries, key)
			delete(n.owner, key)
		}
	}
	var none T
	if n.cut[s.self] {
		return none, platform.ErrUnavailable
	}
	if n.fault != nil {
		return none, n.fault
	}
	return run(n)
}

func (s fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	return call(s, func(n *fakeNet) (platform.Entry, error) {
		if e, ok := n.entries[key]; ok {
			return e, nil
		}
		return platform.Entry{}, platform.ErrNotFound
	})
}

func (s fakeStore) Put(_ context.Context, key string, value []byte, expect uint64, lease platform.LeaseID) (uint64, error) {
	return call(s, func(n *fakeNet) (uint64, error) {
		if n.entries[key].Version != expect {
			return 0, platform.ErrConflict
		}
		n.version++
		n.entries[key] = platform.Entry{Key: key, Value: value, Version: n.version}
		n.owner[key] = lease
		if n.loseAnswers {
			return 0, platform.ErrUnavailable
		}
		return n.version, nil
	})
}

func (s fakeStore) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return call(s, func(n *fakeNet) (platform.LeaseID, error) {
		n.version++
		n.leases[platform.LeaseID(n.version)] = time.Now().Add(ttl)
		return platform.LeaseID(n.version), nil
	})
}

func (s fakeStore) KeepAlive(_ context.Context, id platform.LeaseID) error {
	_, err := call(s, func(n *fakeNet) (any, error) {
		if !time.Now().Before(n.leases[id]) {
			return nil, platform.ErrNotFound
		}
		n.leases[id] = time.Now().Add(leaseTTL)
		return nil, nil
	})
	return err
}

func (s fakeStore) Revoke(_ context.Context, id platform.LeaseID) error {
	_, err := call(s, func(n *fakeNet) (any, error) {
		n.leases[id] = time.Time{}
		return nil, nil
	})
	return err
}

// fakeLinks are the links of one VM.
type fakeLinks struct {
	peer.Links // panics on methods that the service must not use

	self model.VMID
	net  *fakeNet
}

func (l fakeLinks) Handle(_ peer.Kind, h peer.Handler) { l.net.handlers[l.self] = h }

func (l fakeLinks) Call(ctx context.Context, to model.VMID, _ peer.Kind, body, reply any) error {
	l.net.mu.Lock()
	handler, cut := l.net.handlers[to], l.net.cut[to] || l.net.cut[l.self]
	l.net.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	answer, err := handler(ctx, l.self, data)
	if err != nil {
		return peer.ErrRemote
	}
	if data, err = cbor.Marshal(answer); err != nil {
		return err
	}
	return cbor.Unmarshal(data, reply)
}
