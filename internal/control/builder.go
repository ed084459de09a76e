package control

import (
	"time"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/entry"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/ownership"
	"fuchsiaspar/internal/platform"
	"fuchsiaspar/internal/servers"
	"fuchsiaspar/internal/steer"

	"github.com/pkg/errors"
)

// inputs are everything that a state is built from.
type inputs struct {
	now      time.Time
	config   *config.Snapshot
	view     *membership.View
	list     *servers.List
	stopping bool
}

// builder derives states and remembers what the last one was made from, so
// that unchanged parts are not built again.
type builder struct {
	options  Options
	revision model.Revision
	table    *steer.Table
	tableKey tableKey
	owned    map[model.ServerID]bool
}

// tableKey tells whether the look-up table has to be built again.
type tableKey struct {
	revision model.Revision
	entries  string
	drains   string
}

func (b *builder) build(in inputs) (*entry.State, error) {
	b.adopt(in)
	drains := activeDrains(in)
	table, err := b.lookupTable(in, drains)
	if err != nil {
		return nil, err
	}
	b.assign(in, drains)
	state := &entry.State{
		Config:   in.config,
		Table:    table,
		Owners:   b.owners(in),
		Members:  members(in.view),
		Drained:  drains.accounts,
		Stopping: in.stopping,
	}
	b.zones(in, drains, state)
	return state, nil
}

// adopt hands a new revision to the parts that keep their own limits.
func (b *builder) adopt(in inputs) {
	if in.config.Revision() == b.revision {
		return
	}
	b.revision = in.config.Revision()
	b.options.Limits.SetDocument(in.config.Document())
	b.options.Explain.Record(explain.Decision{
		At:       in.now,
		VM:       b.options.Self,
		Kind:     explain.KindAdoption,
		Revision: b.revision,
		Detail:   "configuration adopted",
	})
}

// lookupTable returns the table for the accepting entry VMs and open places.
func (b *builder) lookupTable(in inputs, d drains) (*steer.Table, error) {
	entries := acceptingEntries(in, d)
	key := tableKey{revision: in.config.Revision(), entries: entriesKey(entries), drains: d.key()}
	if b.table != nil && key == b.tableKey {
		return b.table, nil
	}
	table, err := steer.NewTable(steer.TableInput{
		Revision:    in.config.Revision(),
		TTL:         in.config.Document().Lookup.TTL.Std(),
		Doc:         in.config.Document(),
		Entries:     entries,
		ClosedZones: d.closedZones(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "build look-up table")
	}
	b.table = table
	b.tableKey = key
	return table, nil
}

// acceptingEntries lists the entry VMs that may appear in look-up answers.
func acceptingEntries(in inputs, d drains) []steer.Entry {
	var entries []steer.Entry
	for _, m := range in.view.Members {
		self := m.VM == in.view.Self
		if !m.CanOwn() || d.entries[m.VM] || (self && in.stopping) {
			continue
		}
		entries = append(entries, steer.Entry{VM: m.VM, Zone: m.Zone, Region: m.Region, Address: m.Address})
	}
	return entries
}

func entriesKey(entries []steer.Entry) string {
	var key []byte
	for _, e := range entries {
		key = append(key, e.VM...)
		key = append(key, ' ')
		key = append(key, e.Address...)
		key = append(key, '\n')
	}
	return string(key)
}

func members(view *membership.View) map[model.VMID]entry.Member {
	known := make(map[model.VMID]entry.Member, len(view.Members))
	for _, m := range view.Members {
		if m.State != membership.StateDead {
			known[m.VM] = entry.Member{Region: m.Region, Address: m.Address}
		}
	}
	return known
}

// candidates lists the members that may own servers.
func candidates(in inputs, d drains) []ownership.Candidate {
	var live []ownership.Candidate
	for _, m := range in.view.Members {
		self := m.VM == in.view.Self
		if !m.CanOwn() || d.entries[m.VM] || (self && in.stopping) {
			continue
		}
		live = append(live, ownership.Candidate{VM: m.VM, Zone: m.Zone, Region: m.Region})
	}
	return live
}

// assign gives this VM's pools the servers that it owns.
func (b *builder) assign(in inputs, d drains) {
	live := candidates(in, d)
	byPool := make(map[owner.Key]*owner.Assignment)
	owned := make(map[model.ServerID]bool)
	for _, vm := range in.list.VMs {
		if vm.Role != platform.RoleBackend || !b.owns(in, live, vm) {
			continue
		}
		owned[model.ServerID(vm.ID)] = true
		b.addServer(in, d, byPool, vm)
	}
	b.noteOwned(in, owned)
	assignments := make([]owner.Assignment, 0, len(byPool))
	for _, a := range byPool {
		assignments = append(assignments, *a)
	}
	b.options.Pools.Update(in.now, assignments)
}

func (b *builder) owns(in inputs, live []ownership.Candidate, vm platform.VM) bool {
	region, _ := in.config.ZoneRegion(vm.Zone)
	who, ok := ownership.Owner(model.ServerID(vm.ID), vm.Zone, region, live)
	return ok && who == b.options.Self
}

func (b *builder) addServer(in inputs, d drains, byPool map[owner.Key]*owner.Assignment, vm platform.VM) {
	template, ok := in.config.Template(vm.Service)
	if !ok {
		return
	}
	key := owner.Key{Service: vm.Service, Zone: vm.Zone}
	a := byPool[key]
	if a == nil {
		a = &owner.Assignment{
			Key:       key,
			Policy:    policy(in.config, template),
			Slots:     template.Server.Slots,
			ColdStart: template.Server.ColdStart.Std(),
		}
		byPool[key] = a
	}
	id := model.ServerID(vm.ID)
	a.Servers = append(a.Servers, owner.Server{
		Target:   backend.Target{ID: id, Address: vm.Address, MaxConns: template.Server.MaxConns},
		Draining: vm.State == platform.VMLeaving || d.servers[id] || d.zones[vm.Zone] || b.options.Draining(id),
	})
}

// policy is the admission policy of one service.
func policy(snapshot *config.Snapshot, t *config.Template) admit.Policy {
	p := admit.DefaultPolicy()
	for i := range p.Floors {
		p.Floors[i] = t.Floors.Percent(model.Priority(i))
	}
	if t.QueueLimit > 0 {
		p.QueueLimit = t.QueueLimit
	}
	p.Weight = func(a model.AccountID) int {
		w, ok := snapshot.Weight(a, t.Service)
		if !ok {
			return 1
		}
		return int(w)
	}
	return p
}

// noteOwned records servers that this VM began or ceased to own.
func (b *builder) noteOwned(in inputs, owned map[model.ServerID]bool) {
	for id := range owned {
		if !b.owned[id] {
			b.recordOwner(in, id, "took over the server")
		}
	}
	for id := range b.owned {
		if !owned[id] {
			b.recordOwner(in, id, "handed the server over")
		}
	}
	b.owned = owned
}

func (b *builder) recordOwner(in inputs, id model.ServerID, detail string) {
	b.options.Explain.Record(explain.Decision{
		At:       in.now,
		VM:       b.options.Self,
		Kind:     explain.KindOwner,
		Revision: b.revision,
		Server:   id,
		Detail:   detail,
	})
}

// owners lists who serves each service in each zone, from members' own
// reports and from this VM's pools.
func (b *builder) owners(in inputs) map[owner.Key][]entry.Owner {
	owners := make(map[owner.Key][]entry.Owner)
	for _, m := range in.view.Members {
		if m.VM == in.view.Self || !m.CanOwn() {
			continue
		}
		addOwner(owners, m.VM, m.Region, m.Address, m.Load)
	}
	addOwner(owners, b.options.Self, b.options.Region, "", b.options.Pools.Loads())
	return owners
}

func addOwner(owners map[owner.Key][]entry.Owner, vm model.VMID, region model.Region, address string, loads []membership.ServiceLoad) {
	for _, l := range loads {
		if l.Slots == 0 {
			continue
		}
		key := owner.Key{Service: l.Service, Zone: l.Zone}
		owners[key] = append(owners[key], entry.Owner{VM: vm, Region: region, Address: address, Slots: l.Slots})
	}
}

// zones tells the router what each place can take.
func (b *builder) zones(in inputs, d drains, state *entry.State) {
	for _, t := range in.config.Document().Templates {
		zones := make([]steer.ZoneState, 0, len(t.Places))
		for _, zone := range t.Places {
			zones = append(zones, b.zone(in, d, t.Service, zone))
		}
		b.options.Router.SetZones(in.now, t.Service, zones)
	}
}

func (b *builder) zone(in inputs, d drains, service model.ServiceName, zone model.Zone) steer.ZoneState {
	region, _ := in.config.ZoneRegion(zone)
	z := steer.ZoneState{Zone: zone, Region: region, Draining: d.zones[zone]}
	for _, m := range in.view.Members {
		if m.VM != in.view.Self && m.CanOwn() {
			addLoad(&z, service, m.Load)
		}
	}
	addLoad(&z, service, b.options.Pools.Loads())
	z.Reachable = z.Slots > 0
	return z
}

func addLoad(z *steer.ZoneState, service model.ServiceName, loads []membership.ServiceLoad) {
	for _, l := range loads {
		if l.Service != service || l.Zone != z.Zone {
			continue
		}
		z.Slots += l.Slots
		z.Busy += l.Busy
		z.Queued += l.Queued
	}
}
