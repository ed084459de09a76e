package control

import (
	"fuchsiaspar/internal/entry"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/steer"
)

// peerLoads holds the owners and loads of each service and zone, as known from the
// other entry VMs.
type peerLoads struct {
	// owners lists the other entry VMs that own servers.
	owners map[owner.PoolKey][]entry.Owner
	// loads holds the sum of the loads of these owners.
	loads map[owner.PoolKey]membership.ServiceLoad
	// reported holds the keys for which some VM reports a load, even one
	// without slots.
	reported map[owner.PoolKey]bool
}

// collectPeerLoads combines the loads that other members report. For keys without
// a report, as right after a change of owner, it uses the computed owners.
func (b *builder) collectPeerLoads(in inputs) peerLoads {
	p := peerLoads{
		owners:   make(map[owner.PoolKey][]entry.Owner),
		loads:    make(map[owner.PoolKey]membership.ServiceLoad),
		reported: make(map[owner.PoolKey]bool),
	}
	for _, m := range in.view.Members {
		if m.VM != in.view.Self && m.CanOwn() {
			p.addReported(entry.Owner{VM: m.VM, Region: m.Region, Address: m.Address}, m.Load)
		}
	}
	b.addExpectedOwners(in, &p)
	b.addZoneAggregates(in, &p)
	return p
}

// addZoneAggregates sets the loads of other, large zones from the aggregates of
// the zone, since the members of a large zone are not reported individually.
func (b *builder) addZoneAggregates(in inputs, p *peerLoads) {
	for _, z := range in.view.Zones {
		if z.Zone == b.options.Zone || !z.Reachable {
			continue
		}
		for _, l := range z.Load {
			key := owner.PoolKey{Service: l.Service, Zone: l.Zone}
			if !p.reported[key] && len(p.owners[key]) > 0 {
				p.loads[key] = l
			}
		}
	}
}

// ownPools returns this VM as the owner for each of its pools with slots.
func (b *builder) ownPools() map[owner.PoolKey]entry.Owner {
	owners := make(map[owner.PoolKey]entry.Owner, len(b.loads))
	for _, l := range b.loads {
		if l.Slots > 0 {
			owners[owner.PoolKey{Service: l.Service, Zone: l.Zone}] = entry.Owner{VM: b.options.Self, Region: b.options.Region, Slots: l.Slots}
		}
	}
	return owners
}

// addReported adds the loads that one entry VM reports.
func (p *peerLoads) addReported(o entry.Owner, loads []membership.ServiceLoad) {
	for _, l := range loads {
		key := owner.PoolKey{Service: l.Service, Zone: l.Zone}
		p.reported[key] = true
		if l.Slots == 0 {
			continue
		}
		o.Slots = l.Slots
		p.owners[key] = append(p.owners[key], o)
		sum := p.loads[key]
		sum.Slots += l.Slots
		sum.Busy += l.Busy
		sum.Queued += l.Queued
		p.loads[key] = sum
	}
}

// addExpected adds a computed owner that has not reported a load.
func (p *peerLoads) addExpected(key owner.PoolKey, o entry.Owner) {
	p.owners[key] = append(p.owners[key], o)
	sum := p.loads[key]
	sum.Slots += o.Slots
	p.loads[key] = sum
}

// addExpectedOwners adds the computed owners for each service and zone without a
// reported load.
func (b *builder) addExpectedOwners(in inputs, p *peerLoads) {
	for key, byVM := range b.expected {
		if p.reported[key] {
			continue
		}
		for vm, slots := range byVM {
			m, ok := in.view.Find(vm)
			if !ok || vm == b.options.Self {
				continue
			}
			p.addExpected(key, entry.Owner{VM: vm, Region: m.Region, Address: m.Address, Slots: slots})
		}
	}
}

// updateRouter passes the state of each service in each zone to the router.
func (b *builder) updateRouter(in inputs) {
	own := make(map[owner.PoolKey]membership.ServiceLoad, len(b.loads))
	for _, l := range b.loads {
		own[owner.PoolKey{Service: l.Service, Zone: l.Zone}] = l
	}
	for _, t := range in.config.Document().Templates {
		zones := make([]steer.ZoneState, 0, len(t.Places))
		for _, zone := range t.Places {
			zones = append(zones, b.zoneState(in, own, owner.PoolKey{Service: t.Service, Zone: zone}))
		}
		b.options.Router.SetZones(in.now, t.Service, zones)
	}
}

// zoneState combines the loads of this VM and of its peers for one service and
// zone.
func (b *builder) zoneState(in inputs, own map[owner.PoolKey]membership.ServiceLoad, key owner.PoolKey) steer.ZoneState {
	region, _ := in.config.ZoneRegion(key.Zone)
	local, remote := own[key], b.base.peers.loads[key]
	slots := local.Slots + remote.Slots
	return steer.ZoneState{
		Zone:      key.Zone,
		Region:    region,
		Slots:     slots,
		Busy:      local.Busy + remote.Busy,
		Queued:    local.Queued + remote.Queued,
		Reachable: slots > 0,
		Draining:  b.base.drains.zones[key.Zone],
	}
}
