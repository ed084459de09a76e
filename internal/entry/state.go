// Package entry implements the HTTP data path of an entry VM. It accepts requests from
// callers and attempts relayed by other entry VMs, selects a backend server for each,
// and copies the bodies in both directions in bounded memory.
//
// Each backend server is owned by one entry VM, which alone sends attempts to it. A
// request whose server has another owner is relayed there, at most once. Every failure
// carries an Outcome that tells whether the request may have run, and a request is
// attempted again only if that is safe.
package entry

import (
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/steer"
)

// State is an immutable snapshot of the control state that request handlers read.
type State struct {
	// Config is the current configuration.
	Config *config.Snapshot
	// Table answers lookups of the entry VMs and places for a client.
	Table *steer.Table
	// RemoteOwners lists the other entry VMs that own servers, by service and
	// availability zone. LocalOwners contains this VM for each key where it owns
	// servers.
	RemoteOwners map[owner.PoolKey][]Owner
	LocalOwners  map[owner.PoolKey]Owner
	// Members contains the entry VMs that are not known to be dead.
	Members map[model.VMID]Member
	// DrainedZones lists the availability zones that are drained for a client account.
	DrainedZones map[model.AccountID][]model.Zone
	// Stopping is set while this VM shuts down. It then issues no tickets.
	Stopping bool
}

// HasOwner reports whether any entry VM is known to own servers of the service and
// availability zone of key.
func (s *State) HasOwner(key owner.PoolKey) bool {
	return len(s.RemoteOwners[key]) > 0 || s.LocalOwners[key].Slots > 0
}

// Member is the region and address of an entry VM.
type Member struct {
	Region  model.Region
	Address string
}

// Owner is an entry VM that owns servers of a service in an availability zone.
type Owner struct {
	VM      model.VMID
	Region  model.Region
	Address string
	// Slots is the number of requests that its servers can run concurrently.
	Slots int
}

// Source provides the current State to request handlers.
type Source interface {
	// State returns the current state, which may be nil before the first
	// configuration.
	State() *State
	// Confirmed reports whether the current configuration is known to be the newest
	// one.
	Confirmed(now time.Time) bool
}
