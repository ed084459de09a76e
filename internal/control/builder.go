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
	options   Options
	revision  model.Revision
	table     *steer.Table
	tableKey  tableKey
	assignKey assignKey
	index     *ownership.Index
	owned     map[model.ServerID]bool
	// expected counts the slots of each place's live servers by owner.
	expected map[owner.PoolKey]map[model.VMID]int
	base     base
	// loads are those of this VM's own pools at the last build.
	loads []membership.ServiceLoad
}

// tableKey tells whether the look-up table has to be built again.
type tableKey struct {
	revision model.Revision
	entries  string
	drains   string
}

// assignKey tells whether the servers have to be assigned again.
type assignKey struct {
	table    tableKey
	list     uint64
	draining uint64
}

// baseKey tells whether the base has to be built again.
type baseKey struct {
	revision model.Revision
	view     uint64
	list     uint64
	draining uint64
	drains   string
	stopping bool
}

// base is the part of a state that does not depend on this VM's own loads. It
// is shared between states.
type base struct {
	key     baseKey
	drains  drains
	members map[model.VMID]entry.Member
	others  places
}

func (b *builder) build(in inputs) (*entry.State, error) {
	b.adopt(in)
	if err := b.rebase(in); err != nil {
		return nil, err
	}
	b.loads = b.options.Pools.Loads()
	state := &entry.State{
		Config:       in.config,
		Table:        b.table,
		RemoteOwners: b.base.others.owners,
		LocalOwners:  b.own(),
		Members:      b.base.members,
		DrainedZones: b.base.drains.accounts,
		Stopping:     in.stopping,
	}
	b.tellRouter(in)
	return state, nil
}

// rebase builds the base again when one of its inputs has changed.
func (b *builder) rebase(in inputs) error {
	drains := activeDrains(in)
	key := baseKey{
		revision: in.config.Revision(),
		view:     in.view.Version,
		list:     in.list.Digest,
		draining: b.options.DrainVersion(),
		drains:   drains.key(),
		stopping: in.stopping,
	}
	if key == b.base.key {
		return nil
	}
	entries := activeEntries(in, drains)
	if err := b.updateTable(in, drains, entries); err != nil {
		return err
	}
	b.assign(in, drains, entries)
	b.options.Router.SetEntries(len(entries))
	b.base = base{key: key, drains: drains, members: members(in.view), others: b.others(in)}
	return nil
}

// adopt hands a new revision to the parts that keep their own limits.
func (b *builder) adopt(in inputs) {
	if in.config.Revision() == b.revision {
		return
	}
	b.revision = in.config.Revision()
	b.options.Limits.SetDocument(in.config.Document())
	for _, t := range in.config.Document().Templates {
		b.options.Retries.SetPercent(t.Service, t.RetryPercent)
	}
	b.options.Explain.Record(explain.Decision{
		At:       in.now,
		Kind:     explain.KindAdoption,
		Revision: b.revision,
		Detail:   "configuration adopted",
	})
}

// updateTable builds the look-up table for the accepting entry VMs and open
// places when they have changed.
func (b *builder) updateTable(in inputs, d drains, entries []steer.Entry) error {
	key := tableKey{revision: in.config.Revision(), entries: entriesKey(entries), drains: d.key()}
	if b.table != nil && key == b.tableKey {
		return nil
	}
	if b.table != nil && key.revision == b.tableKey.revision {
		b.table = b.table.WithEntries(entries, d.closedZones())
		b.tableKey = key
		return nil
	}
	table, err := steer.NewTable(steer.TableInput{
		Revision:    in.config.Revision(),
		TTL:         in.config.Document().Lookup.TTL.Std(),
		Doc:         in.config.Document(),
		Entries:     entries,
		ClosedZones: d.closedZones(),
	})
	if err != nil {
		return errors.Wrap(err, "build look-up table")
	}
	b.table = table
	b.tableKey = key
	return nil
}

// activeEntries lists the entry VMs that may appear in look-up answers and own
// servers.
func activeEntries(in inputs, d drains) []steer.Entry {
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

// ownerIndex finds the owners of servers among the active entry VMs.
func ownerIndex(entries []steer.Entry) *ownership.Index {
	live := make([]ownership.Candidate, 0, len(entries))
	for _, e := range entries {
		live = append(live, ownership.Candidate{VM: e.VM, Zone: e.Zone, Region: e.Region})
	}
	return ownership.NewIndex(live)
}

// assign gives this VM's pools the servers that it owns, when anything that
// decides it has changed.
func (b *builder) assign(in inputs, d drains, entries []steer.Entry) {
	key := assignKey{table: b.tableKey, list: in.list.Digest, draining: b.options.DrainVersion()}
	if key == b.assignKey {
		return
	}
	b.assignKey = key
	b.index = ownerIndex(entries)
	byPool := make(map[owner.PoolKey]*owner.Assignment)
	owned := make(map[model.ServerID]bool)
	b.expected = make(map[owner.PoolKey]map[model.VMID]int)
	for _, vm := range in.list.VMs {
		if vm.Role != platform.RoleBackend {
			continue
		}
		who := b.ownerOf(in, vm)
		b.expect(in, vm, who)
		if who != b.options.Self {
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

// expect counts the slots of a live server for its owner.
func (b *builder) expect(in inputs, vm platform.VM, who model.VMID) {
	template, ok := in.config.Template(vm.Service)
	if !ok || who == "" || vm.State != platform.VMLive {
		return
	}
	key := owner.PoolKey{Service: vm.Service, Zone: vm.Zone}
	if b.expected[key] == nil {
		b.expected[key] = make(map[model.VMID]int)
	}
	b.expected[key][who] += template.Server.Slots
}

// ownerOf returns the entry VM that owns a server, empty when there is none.
func (b *builder) ownerOf(in inputs, vm platform.VM) model.VMID {
	region, _ := in.config.ZoneRegion(vm.Zone)
	who, _ := b.index.Owner(model.ServerID(vm.ID), vm.Zone, region)
	return who
}

func (b *builder) addServer(in inputs, d drains, byPool map[owner.PoolKey]*owner.Assignment, vm platform.VM) {
	template, ok := in.config.Template(vm.Service)
	if !ok {
		return
	}
	key := owner.PoolKey{Service: vm.Service, Zone: vm.Zone}
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
		Kind:     explain.KindOwnership,
		Revision: b.revision,
		Server:   id,
		Detail:   detail,
	})
}
