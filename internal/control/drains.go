package control

import (
	"sort"
	"strings"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
)

// drains is what the planned drains in force empty.
type drains struct {
	entries  map[model.VMID]bool
	zones    map[model.Zone]bool
	servers  map[model.ServerID]bool
	accounts map[model.AccountID][]model.Zone
	ids      []string
}

// activeDrains collects the drains that are in force by this VM's wall clock.
func activeDrains(in inputs) drains {
	d := drains{
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

func (d *drains) add(snapshot *config.Snapshot, drain config.Drain) {
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

func (d *drains) addZone(account model.AccountID, zone model.Zone) {
	if account == "" {
		d.zones[zone] = true
		return
	}
	d.accounts[account] = append(d.accounts[account], zone)
}

// closedZones lists the zones that are drained for every account.
func (d *drains) closedZones() []model.Zone {
	closed := make([]model.Zone, 0, len(d.zones))
	for zone := range d.zones {
		closed = append(closed, zone)
	}
	sort.Slice(closed, func(i, j int) bool { return closed[i] < closed[j] })
	return closed
}

func (d *drains) key() string { return strings.Join(d.ids, " ") }
