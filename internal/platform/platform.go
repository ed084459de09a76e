// Package platform defines the interfaces to the two external services that
// fuchsiaspar depends on: a key-value store with compare-and-swap, leases and
// watches, and a list of VMs that lags behind reality. The packages below this
// one implement them.
package platform

import (
	"context"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// MaxValueBytes is the maximum size of a value in the store.
const MaxValueBytes = 1 << 20

// Errors returned by a Store. Test for them with errors.Is.
var (
	// ErrConflict reports that the key did not have the expected version.
	ErrConflict = errors.New("store: version conflict")
	// ErrNotFound reports that the key or lease does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrUnavailable reports that the store did not respond. A write may have
	// taken effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrRateLimited reports a call over the rate limit. It was not executed.
	ErrRateLimited = errors.New("store: rate limited")
	// ErrTooLarge reports a value larger than MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.New("store: value too large")
)

// Entry is one key of the store and its value.
type Entry struct {
	Key   string
	Value []byte
	// Version increases with each write of the key. Zero means that the key does
	// not exist.
	Version uint64
}

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Store is the platform's key-value store. Each call counts against the store's
// rate limit; a Watch counts once however long it waits. Every method returns
// when ctx ends.
type Store interface {
	// Get returns the entry at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes value if the key's version equals expect, and returns the new
	// version. An expect of zero requires that the key does not exist. A key
	// written under a lease is deleted when the lease ends. After ErrUnavailable
	// the result is unknown.
	Put(ctx context.Context, key string, value []byte, expect uint64, lease LeaseID) (uint64, error)
	// Delete deletes the key if its version equals expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrNotFound if it has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until a key under prefix changes at a store-wide revision above
	// after. It returns the changed entries and the newest revision. A deleted key
	// has a zero Version.
	Watch(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error)
}

// Role is the purpose of a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// VMState is the state of a VM in the list, which may be outdated.
type VMState string

// The states of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the VM list.
type VM struct {
	// ID is a model.VMID for an entry VM and a model.ServerID for a backend
	// server.
	ID   string     `json:"id"`
	Role Role       `json:"role"`
	Zone model.Zone `json:"zone"`
	// Address is the host:port on which the VM serves HTTP.
	Address string `json:"address"`
	// Service is set only for a backend server.
	Service model.ServiceName `json:"service,omitempty"`
	State   VMState           `json:"state"`
}

// VMList provides the platform's list of live and leaving VMs, which may be
// outdated.
type VMList interface {
	// VMs returns the complete list.
	VMs(ctx context.Context) ([]VM, error)
}
