package control

import (
	"fuchsiaspar/internal/entry"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/steer"
)

// places is what the entry VMs' loads say of each service in each zone.
type places struct {
	owners map[owner.PoolKey][]entry.Owner
	loads  map[owner.PoolKey]membership.ServiceLoad
	// reported holds the places that some VM reports on, also with no slots.
	reported map[owner.PoolKey]bool
}

// others joins the loads that other members report. Where nobody reports yet,
// as right after a hand-over, the owners are computed.
func (b *builder) others(in inputs) places {
	p := places{
		owners:   make(map[owner.PoolKey][]entry.Owner),
		loads:    make(map[owner.PoolKey]membership.ServiceLoad),
		reported: make(map[owner.PoolKey]bool),
	}
	for _, m := range in.view.Members {
		if m.VM != in.view.Self && m.CanOwn() {
			p.add(entry.Owner{VM: m.VM, Region: m.Region, Address: m.Address}, m.Load)
		}
	}
	b.expectOwners(in, &p)
	b.addZoneSums(in, &p)
	return p
}

// addZoneSums takes the load of places in other, large zones from the zone's
// sums, since the members of a large zone are not reported one by one.
func (b *builder) addZoneSums(in inputs, p *places) {
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

// own returns this VM as the owner of its servers.
func (b *builder) own() map[owner.PoolKey]entry.Owner {
	owners := make(map[owner.PoolKey]entry.Owner, len(b.loads))
	for _, l := range b.loads {
		if l.Slots > 0 {
			owners[owner.PoolKey{Service: l.Service, Zone: l.Zone}] = entry.Owner{VM: b.options.Self, Region: b.options.Region, Slots: l.Slots}
		}
	}
	return owners
}

// add counts the loads of one entry VM.
func (p *places) add(o entry.Owner, loads []membership.ServiceLoad) {
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

// expect adds an owner that has not reported.
func (p *places) expect(key owner.PoolKey, o entry.Owner) {
	p.owners[key] = append(p.owners[key], o)
	sum := p.loads[key]
	sum.Slots += o.Slots
	p.loads[key] = sum
}

// expectOwners adds the computed owners of the servers in places that nobody
// reports on.
func (b *builder) expectOwners(in inputs, p *places) {
	for key, byVM := range b.expected {
		if p.reported[key] {
			continue
		}
		for vm, slots := range byVM {
			m, ok := in.view.Find(vm)
			if !ok || vm == b.options.Self {
				continue
			}
			p.expect(key, entry.Owner{VM: vm, Region: m.Region, Address: m.Address, Slots: slots})
		}
	}
}

// tellRouter tells the router what each place can take.
func (b *builder) tellRouter(in inputs) {
	own := make(map[owner.PoolKey]membership.ServiceLoad, len(b.loads))
	for _, l := range b.loads {
		own[owner.PoolKey{Service: l.Service, Zone: l.Zone}] = l
	}
	for _, t := range in.config.Document().Templates {
		zones := make([]steer.ZoneState, 0, len(t.Places))
		for _, zone := range t.Places {
			zones = append(zones, b.zone(in, own, owner.PoolKey{Service: t.Service, Zone: zone}))
		}
		b.options.Router.SetZones(in.now, t.Service, zones)
	}
}

func (b *builder) zone(in inputs, own map[owner.PoolKey]membership.ServiceLoad, key owner.PoolKey) steer.ZoneState {
	region, _ := in.config.ZoneRegion(key.Zone)
	mine, theirs := own[key], b.base.others.loads[key]
	slots := mine.Slots + theirs.Slots
	return steer.ZoneState{
		Zone:      key.Zone,
		Region:    region,
		Slots:     slots,
		Busy:      mine.Busy + theirs.Busy,
		Queued:    mine.Queued + theirs.Queued,
		Reachable: slots > 0,
		Draining:  b.base.drains.zones[key.Zone],
	}
}
