package control

import (
	"fuchsiaspar/internal/entry"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/platform"
	"fuchsiaspar/internal/steer"
)

// places is what the entry VMs' loads say of each service in each zone.
type places struct {
	owners map[owner.Key][]entry.Owner
	loads  map[owner.Key]membership.ServiceLoad
	// reported holds the places that some VM reports on, also with no slots.
	reported map[owner.Key]bool
}

// places joins the loads that members report with those of this VM. Where
// nobody reports yet, as right after a hand-over, the owners are computed.
func (b *builder) places(in inputs) places {
	p := places{
		owners:   make(map[owner.Key][]entry.Owner),
		loads:    make(map[owner.Key]membership.ServiceLoad),
		reported: make(map[owner.Key]bool),
	}
	for _, m := range in.view.Members {
		if m.VM != in.view.Self && m.CanOwn() {
			p.add(entry.Owner{VM: m.VM, Region: m.Region, Address: m.Address}, m.Load)
		}
	}
	p.add(entry.Owner{VM: b.options.Self, Region: b.options.Region}, in.loads)
	b.expectOwners(in, &p)
	return p
}

// add counts the loads of one entry VM.
func (p *places) add(o entry.Owner, loads []membership.ServiceLoad) {
	for _, l := range loads {
		key := owner.Key{Service: l.Service, Zone: l.Zone}
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

// expectOwners adds the computed owners of the servers in places that nobody
// reports on.
func (b *builder) expectOwners(in inputs, p *places) {
	expected := make(map[owner.Key]map[model.VMID]int)
	for _, vm := range in.list.VMs {
		key := owner.Key{Service: vm.Service, Zone: vm.Zone}
		if vm.Role != platform.RoleBackend || vm.State != platform.VMLive || p.reported[key] {
			continue
		}
		who := b.ownerOf(in, vm)
		template, ok := in.config.Template(vm.Service)
		if !ok || who == "" || who == b.options.Self {
			continue
		}
		if expected[key] == nil {
			expected[key] = make(map[model.VMID]int)
		}
		expected[key][who] += template.Server.Slots
	}
	for key, byVM := range expected {
		for vm, slots := range byVM {
			m, ok := in.view.Find(vm)
			if !ok {
				continue
			}
			load := membership.ServiceLoad{Service: key.Service, Zone: key.Zone, Slots: slots}
			p.add(entry.Owner{VM: vm, Region: m.Region, Address: m.Address}, []membership.ServiceLoad{load})
		}
	}
}

// tellRouter tells the router what each place can take.
func (b *builder) tellRouter(in inputs, d drains, p places) {
	for _, t := range in.config.Document().Templates {
		zones := make([]steer.ZoneState, 0, len(t.Places))
		for _, zone := range t.Places {
			load := p.loads[owner.Key{Service: t.Service, Zone: zone}]
			region, _ := in.config.ZoneRegion(zone)
			zones = append(zones, steer.ZoneState{
				Zone:      zone,
				Region:    region,
				Slots:     load.Slots,
				Busy:      load.Busy,
				Queued:    load.Queued,
				Reachable: load.Slots > 0,
				Draining:  d.zones[zone],
			})
		}
		b.options.Router.SetZones(in.now, t.Service, zones)
	}
}
