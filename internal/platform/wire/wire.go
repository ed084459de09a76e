// Package wire is the HTTP protocol between the platform adapter and the
// stand-in: JSON bodies posted to one path an operation, with typed statuses.
package wire

import (
	"net/http"
	"time"

	"fuchsiaspar/internal/platform"

	"github.com/pkg/errors"
)

// ClientHeader names the client on each call.
const ClientHeader = "Platform-Client"

// The paths of the operations.
const (
	PathGet       = "/kv/get"
	PathList      = "/kv/list"
	PathPut       = "/kv/put"
	PathDelete    = "/kv/delete"
	PathGrant     = "/kv/grant"
	PathKeepAlive = "/kv/keepalive"
	PathRevoke    = "/kv/revoke"
	PathWatch     = "/kv/watch"
	PathVMs       = "/vms"
)

// KeyRequest is the body of get and, with a prefix as the key, of list.
type KeyRequest struct {
	Key string `json:"key"`
}

// PutRequest is the body of put.
type PutRequest struct {
	Key    string           `json:"key"`
	Value  []byte           `json:"value"`
	Expect uint64           `json:"expect"`
	Lease  platform.LeaseID `json:"lease"`
}

// DeleteRequest is the body of delete.
type DeleteRequest struct {
	Key    string `json:"key"`
	Expect uint64 `json:"expect"`
}

// GrantRequest is the body of grant.
type GrantRequest struct {
	TTL time.Duration `json:"ttl_ns"`
}

// LeaseRequest is the body of keepalive and revoke.
type LeaseRequest struct {
	Lease platform.LeaseID `json:"lease"`
}

// WatchRequest is the body of watch.
type WatchRequest struct {
	Prefix string `json:"prefix"`
	After  uint64 `json:"after"`
}

// Empty is the body of vms and the answer of calls without a result.
type Empty struct{}

// EntriesAnswer answers get, list and watch.
type EntriesAnswer struct {
	Entries []platform.Entry `json:"entries"`
	Newest  uint64           `json:"newest,omitempty"`
}

// VersionAnswer answers put.
type VersionAnswer struct {
	Version uint64 `json:"version"`
}

// LeaseAnswer answers grant.
type LeaseAnswer struct {
	Lease platform.LeaseID `json:"lease"`
}

// VMsAnswer answers vms.
type VMsAnswer struct {
	VMs []platform.VM `json:"vms"`
}

var statuses = []struct {
	err    error
	status int
}{
	{platform.ErrConflict, http.StatusConflict},
	{platform.ErrNotFound, http.StatusNotFound},
	{platform.ErrRateLimited, http.StatusTooManyRequests},
	{platform.ErrTooLarge, http.StatusRequestEntityTooLarge},
	{platform.ErrUnavailable, http.StatusServiceUnavailable},
}

// Status returns the HTTP status that stands for a platform error.
func Status(err error) int {
	for _, s := range statuses {
		if errors.Is(err, s.err) {
			return s.status
		}
	}
	return http.StatusInternalServerError
}

// Error returns the platform error that an HTTP status stands for, nil for a
// success. An unexpected status is ErrUnavailable.
func Error(status int) error {
	if status == http.StatusOK {
		return nil
	}
	for _, s := range statuses {
		if s.status == status {
			return s.err
		}
	}
	return errors.Wrapf(platform.ErrUnavailable, "status %d", status)
}
