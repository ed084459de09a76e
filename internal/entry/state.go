// Package entry is the HTTP data path of one entry VM: it takes requests from
// callers and relays from other entry VMs, finds a backend server for each and
// carries bodies both ways in bounded memory.
package entry

import (
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/steer"
)

// State is the immutable control state that traffic goroutines read.
type State struct {
	// Config is the configuration in force.
	Config *config.Snapshot
	// Table answers look-ups.
	Table *steer.Table
	// Others lists, for each service and availability zone, the other entry
	// VMs that own servers there. Own names this VM where it owns some.
	RemoteOwners map[owner.PoolKey][]Owner
	LocalOwners  map[owner.PoolKey]Owner
	// Members holds the entry VMs that are not known to be dead.
	Members map[model.VMID]Member
	// Drained lists the places that a client account has left.
	DrainedZones map[model.AccountID][]model.Zone
	// Stopping is set when this VM leaves: it issues no tickets.
	Stopping bool
}

// Owned reports whether any entry VM is known to own servers of a service in a
// zone.
func (s *State) HasOwner(key owner.PoolKey) bool {
	return len(s.RemoteOwners[key]) > 0 || s.LocalOwners[key].Slots > 0
}

// Member is an entry VM as the data path sees it.
type Member struct {
	Region  model.Region
	Address string
}

// Owner is an entry VM that owns servers of one service in one zone.
type Owner struct {
	VM      model.VMID
	Region  model.Region
	Address string
	// Slots is the count of requests its servers run at once.
	Slots int
}

// Source gives traffic goroutines the current State, which may be nil before
// the first configuration.
type Source interface {
	State() *State
	// Confirmed reports whether the configuration in force is known to be the
	// newest one.
	Confirmed(now time.Time) bool
}
