// Package platform describes the two outside systems that fuchsiaspar relies
// on: the key-value store with compare-and-swap, leases and watches, and the
// lagging list of VMs. Only adapters below this package know a wire protocol.
package platform

import (
	"context"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Errors that a Store returns. Test for them with errors.Is.
var (
	// ErrConflict reports that the key's version was not the expected one.
	ErrConflict = errors.New("store: version conflict")
	// ErrNotFound reports a key or lease that does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrUnavailable reports that the store did not answer. A write may have
	// taken effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrRateLimited reports that the store refused the call unrun.
	ErrRateLimited = errors.New("store: rate limited")
	// ErrTooLarge reports a value over MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("store: value too large")
)

// Entry is one key of the store with its value.
type Entry struct {
	Key   string
	Value []byte
	// Version grows with each write of the key; zero means absent.
	Version uint64
}

// LeaseID names a lease. Zero means no lease.
type LeaseID uint64

// Store is the platform's key-value store. Each call counts against the
// store's rate limit, a waiting Watch as one. Every method honours ctx.
type Store interface {
	// Get returns the entry at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes value if the key's version equals expect, where zero expects
	// the key to be absent, and returns the new version. A key written under a
	// lease disappears with it. ErrUnavailable leaves the result unknown.
	Put(ctx context.Context, key string, value []byte, expect uint64, lease LeaseID) (uint64, error)
	// Delete removes the key if its version equals expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Grant creates a lease that lapses after ttl unless kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrNotFound when it has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until an entry under prefix has a store-wide change number
	// above after, and returns those entries with the newest number. A deleted
	// key is returned with a zero Version.
	Watch(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error)
}

// Role says what a VM is for.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// VMState says what the platform knows of a VM. It may lag.
type VMState string

// The states of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the VM list.
type VM struct {
	// ID is a model.VMID for an entry VM and a model.ServerID for a backend
	// server.
	ID   string     `json:"id"`
	Role Role       `json:"role"`
	Zone model.Zone `json:"zone"`
	// Address is the host:port on which the VM's process serves HTTP.
	Address string `json:"address"`
	// Service is set for a backend server.
	Service model.ServiceName `json:"service,omitempty"`
	State   VMState           `json:"state"`
}

// VMList is the platform's lagging list of live and leaving VMs.
type VMList interface {
	// VMs returns the whole list as the platform knows it now.
	VMs(ctx context.Context) ([]VM, error)
}
