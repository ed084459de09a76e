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

// inputs holds everything that one state is built from.
type inputs struct {
	now      time.Time
	config   *config.Snapshot
	view     *membership.View
	list     *servers.List
	stopping bool
}

// builder builds states. It caches the parts of the last one together with the
// inputs that they depend on, so that unchanged parts are not built again.
type builder struct {
	options   Options
	revision  model.Revision
	table     *steer.Table
	tableKey  tableKey
	assignKey assignKey
	index     *ownership.Index
	owned     map[model.ServerID]bool
	// expected counts the slots of the live servers of each service and zone
	// by computed owner.
	expected map[owner.PoolKey]map[model.VMID]int
	base     base
	// loads are the loads of this VM's own pools at the last build.
	loads []membership.ServiceLoad
}

// tableKey identifies the inputs of a look-up table. The table is built again when
// it changes.
type tableKey struct {
	revision model.Revision
	entries  string
	drains   string
}

// assignKey identifies the inputs of the assignment of servers to pools. The
// servers are assigned again when it changes.
type assignKey struct {
	table    tableKey
	list     uint64
	draining uint64
}

// baseKey identifies the inputs of a base. The base is built again when it changes.
type baseKey struct {
	revision model.Revision
	view     uint64
	list     uint64
	draining uint64
	drains   string
	stopping bool
}

// base is the part of a state that does not depend on this VM's own loads.
// Consecutive states share it.
type base struct {
	key     baseKey
	drains  drainTargets
	members map[model.VMID]entry.Member
	peers   peerLoads
}

// build returns a new state and passes the loads of all zones to the router.
func (b *builder) build(in inputs) (*entry.State, error) {
	b.applyRevision(in)
	if err := b.refreshBase(in); err != nil {
		return nil, err
	}
	b.loads = b.options.Pools.Loads()
	state := &entry.State{
		Config:       in.config,
		Table:        b.table,
		RemoteOwners: b.base.peers.owners,
		LocalOwners:  b.ownPools(),
		Members:      b.base.members,
		DrainedZones: b.base.drains.accounts,
		Stopping:     in.stopping,
	}
	b.updateRouter(in)
	return state, nil
}

// refreshBase builds the base again if one of its inputs has changed.
func (b *builder) refreshBase(in inputs) error {
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
	entries := ownerCandidates(in, drains)
	if err := b.updateTable(in, drains, entries); err != nil {
		return err
	}
	b.assign(in, drains, entries)
	b.options.Router.SetEntryCount(len(entries))
	b.base = base{key: key, drains: drains, members: knownMembers(in.view), peers: b.collectPeerLoads(in)}
	return nil
}

// applyRevision passes a new configuration to the components that enforce limits
// from it, and records its adoption.
func (b *builder) applyRevision(in inputs) {
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

// updateTable builds the look-up table again if the revision, the entry VMs or the
// drains have changed. With an unchanged revision it replaces only the entry VMs.
func (b *builder) updateTable(in inputs, d drainTargets, entries []steer.Entry) error {
	key := tableKey{revision: in.config.Revision(), entries: entriesKey(entries), drains: d.key()}
	if b.table != nil && key == b.tableKey {
		return nil
	}
	if b.table != nil && key.revision == b.tableKey.revision {
		b.table = b.table.WithEntries(entries, d.drainingZones())
		b.tableKey = key
		return nil
	}
	table, err := steer.NewTable(steer.TableInput{
		Revision:      in.config.Revision(),
		TTL:           in.config.Document().Lookup.TTL.Std(),
		Doc:           in.config.Document(),
		Entries:       entries,
		DrainingZones: d.drainingZones(),
	})
	if err != nil {
		return errors.Wrap(err, "build look-up table")
	}
	b.table = table
	b.tableKey = key
	return nil
}

// ownerCandidates lists the entry VMs that may own servers and appear in look-up
// answers: neither drained nor, for this VM, stopping.
func ownerCandidates(in inputs, d drainTargets) []steer.Entry {
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

// entriesKey returns a string that identifies the VMs and addresses of entries.
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

// knownMembers returns the members that are not known to be dead.
func knownMembers(view *membership.View) map[model.VMID]entry.Member {
	known := make(map[model.VMID]entry.Member, len(view.Members))
	for _, m := range view.Members {
		if m.State != membership.StateDead {
			known[m.VM] = entry.Member{Region: m.Region, Address: m.Address}
		}
	}
	return known
}

// newOwnerIndex returns an index of the entries as candidates for owning servers.
func newOwnerIndex(entries []steer.Entry) *ownership.Index {
	candidates := make([]ownership.Candidate, 0, len(entries))
	for _, e := range entries {
		candidates = append(candidates, ownership.Candidate{VM: e.VM, Zone: e.Zone, Region: e.Region})
	}
	return ownership.NewIndex(candidates)
}

// assign updates this VM's pools with the servers that it owns, if an input of the
// assignment has changed.
func (b *builder) assign(in inputs, d drainTargets, entries []steer.Entry) {
	key := assignKey{table: b.tableKey, list: in.list.Digest, draining: b.options.DrainVersion()}
	if key == b.assignKey {
		return
	}
	b.assignKey = key
	b.index = newOwnerIndex(entries)
	byPool := make(map[owner.PoolKey]*owner.Assignment)
	owned := make(map[model.ServerID]bool)
	b.expected = make(map[owner.PoolKey]map[model.VMID]int)
	for _, vm := range in.list.VMs {
		if vm.Role != platform.RoleBackend {
			continue
		}
		ownerVM := b.ownerOf(in, vm)
		b.countExpectedSlots(in, vm, ownerVM)
		if ownerVM != b.options.Self {
			continue
		}
		owned[model.ServerID(vm.ID)] = true
		b.addServer(in, d, byPool, vm)
	}
	b.recordOwnershipChanges(in, owned)
	assignments := make([]owner.Assignment, 0, len(byPool))
	for _, a := range byPool {
		assignments = append(assignments, *a)
	}
	b.options.Pools.Update(in.now, assignments)
}

// countExpectedSlots adds the slots of a live server to those expected at its
// owner.
func (b *builder) countExpectedSlots(in inputs, vm platform.VM, ownerVM model.VMID) {
	template, ok := in.config.Template(vm.Service)
	if !ok || ownerVM == "" || vm.State != platform.VMLive {
		return
	}
	key := owner.PoolKey{Service: vm.Service, Zone: vm.Zone}
	if b.expected[key] == nil {
		b.expected[key] = make(map[model.VMID]int)
	}
	b.expected[key][ownerVM] += template.Server.Slots
}

// ownerOf returns the entry VM that owns a server, empty if there is none.
func (b *builder) ownerOf(in inputs, vm platform.VM) model.VMID {
	region, _ := in.config.ZoneRegion(vm.Zone)
	ownerVM, _ := b.index.Owner(model.ServerID(vm.ID), vm.Zone, region)
	return ownerVM
}

// addServer adds a server to the assignment of its service and zone. It ignores a
// server whose service is not configured.
func (b *builder) addServer(in inputs, d drainTargets, byPool map[owner.PoolKey]*owner.Assignment, vm platform.VM) {
	template, ok := in.config.Template(vm.Service)
	if !ok {
		return
	}
	key := owner.PoolKey{Service: vm.Service, Zone: vm.Zone}
	a := byPool[key]
	if a == nil {
		a = &owner.Assignment{
			Key:       key,
			Policy:    admissionPolicy(in.config, template),
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

// admissionPolicy returns the admission policy of a service. Accounts without a
// weight for the service get a weight of one.
func admissionPolicy(snapshot *config.Snapshot, t *config.Template) admit.Policy {
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

// recordOwnershipChanges records which servers this VM acquired and released since
// the last assignment.
func (b *builder) recordOwnershipChanges(in inputs, owned map[model.ServerID]bool) {
	for id := range owned {
		if !b.owned[id] {
			b.recordOwnership(in, id, "took over the server")
		}
	}
	for id := range b.owned {
		if !owned[id] {
			b.recordOwnership(in, id, "handed the server over")
		}
	}
	b.owned = owned
}

func (b *builder) recordOwnership(in inputs, id model.ServerID, detail string) {
	b.options.Explain.Record(explain.Decision{
		At:       in.now,
		Kind:     explain.KindOwnership,
		Revision: b.revision,
		Server:   id,
		Detail:   detail,
	})
}
