package control

import (
	"sort"
	"strings"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
)

// drainTargets holds the targets of the planned drains in force.
type drainTargets struct {
	// entries holds the drained entry VMs.
	entries map[model.VMID]bool
	// zones holds the zones that are drained for all accounts.
	zones map[model.Zone]bool
	// servers holds the drained backend servers.
	servers map[model.ServerID]bool
	// accounts lists the zones that are drained for one account only.
	accounts map[model.AccountID][]model.Zone
	// ids lists the IDs of the drains, sorted.
	ids []string
}

// activeDrains returns the targets of the drains that are in force by this VM's
// wall clock.
func activeDrains(in inputs) drainTargets {
	d := drainTargets{
		entries:  make(map[model.VMID]bool),
		zones:    make(map[model.Zone]bool),
		servers:  make(map[model.ServerID]bool),
		accounts: make(map[model.AccountID][]model.Zone),
	}
	for _, drain := range in.config.Document().Drains {
		if drain.Active(in.now) {
			d.add(in.config, drain)
		}
	}
	sort.Strings(d.ids)
	return d
}

func (d *drainTargets) add(snapshot *config.Snapshot, drain config.Drain) {
	d.ids = append(d.ids, drain.ID)
	switch drain.Kind {
	case config.DrainServer:
		d.servers[model.ServerID(drain.Target)] = true
	case config.DrainEntry:
		d.entries[model.VMID(drain.Target)] = true
	case config.DrainZone:
		d.addZone(drain.Account, model.Zone(drain.Target))
	case config.DrainRegion:
		for _, zone := range snapshot.Document().Zones {
			if string(zone.Region) == drain.Target {
				d.addZone(drain.Account, zone.Name)
			}
		}
	}
}

func (d *drainTargets) addZone(account model.AccountID, zone model.Zone) {
	if account == "" {
		d.zones[zone] = true
		return
	}
	d.accounts[account] = append(d.accounts[account], zone)
}

// drainingZones returns the zones that are drained for all accounts, sorted.
func (d *drainTargets) drainingZones() []model.Zone {
	zones := make([]model.Zone, 0, len(d.zones))
	for name := range d.zones {
		zones = append(zones, name)
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	return zones
}

// key returns a string that identifies the set of drains.
func (d *drainTargets) key() string { return strings.Join(d.ids, " ") }
