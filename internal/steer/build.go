package steer

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// NewTable builds a table from in and does not retain in.Doc. It fails with
// ErrNoDocument, ErrUnknownTemplate or ErrBadBlock, the latter two annotated
// with the client account.
func NewTable(in TableInput) (*Table, error) {
	if in.Doc == nil {
		return nil, ErrNoDocument
	}
	b := newBuilder(in)
	t := &Table{
		revision: in.Revision,
		ttl:      in.TTL,
		accounts: make(map[model.AccountID]*accountIndex, len(in.Doc.Accounts)),
	}
	for i := range in.Doc.Accounts {
		account := &in.Doc.Accounts[i]
		index, err := b.account(account)
		if err != nil {
			return nil, errors.WithMessagef(err, "account %s", account.ID)
		}
		t.accounts[account.ID] = index
	}
	t.templates = b.templateOrder
	t.stats = TableStats{Accounts: len(t.accounts), Blocks: b.blocks, Rows: len(b.rows)}
	t.setEntries(in.Entries, in.DrainingZones)
	return t, nil
}

// WithEntries returns a copy of t with other entry VMs and draining zones. The
// copy shares the address blocks with t, so it is far cheaper than NewTable.
func (t *Table) WithEntries(entries []Entry, draining []model.Zone) *Table {
	next := *t
	next.setEntries(entries, draining)
	return &next
}

// setEntries builds the entry lists of every template and client zone.
func (t *Table) setEntries(entries []Entry, draining []model.Zone) {
	byZone, zones := groupByZone(availableEntries(entries, draining))
	t.lists = make([][]entryLists, len(t.templates))
	t.stats.Lists = 0
	for i, template := range t.templates {
		t.lists[i] = make([]entryLists, len(template.zones))
		for n, location := range template.zones {
			t.lists[i][n] = newEntryLists(template.groups(location, byZone, zones))
			t.stats.Lists += len(t.lists[i][n].rotations)
		}
	}
}

// builder holds the data that all accounts of a table share while it is built.
type builder struct {
	regions       map[model.Zone]model.Region
	templates     map[string]*templateIndex
	templateOrder []*templateIndex
	services      map[string]model.ServiceName
	rowIDs        map[string]rowID
	rows          [][]config.Place
	key           []byte
	blocks        int
}

func newBuilder(in TableInput) *builder {
	b := &builder{
		regions:   make(map[model.Zone]model.Region, len(in.Doc.Zones)),
		templates: make(map[string]*templateIndex, len(in.Doc.Templates)),
		services:  make(map[string]model.ServiceName, len(in.Doc.Templates)),
		rowIDs:    make(map[string]rowID),
	}
	for _, z := range in.Doc.Zones {
		b.regions[z.Name] = z.Region
	}
	for i := range in.Doc.Templates {
		template := &in.Doc.Templates[i]
		b.templates[template.Name] = b.template(template)
		b.services[template.Name] = template.Service
	}
	return b
}

// availableEntries returns the entry VMs outside draining zones, sorted by VM
// ID. If no entry VM is left, it returns all of them.
func availableEntries(entries []Entry, draining []model.Zone) []Entry {
	available := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool {
		return slices.Contains(draining, e.Zone)
	})
	if len(available) == 0 {
		available = slices.Clone(entries)
	}
	slices.SortFunc(available, func(a, b Entry) int { return cmp.Compare(a.VM, b.VM) })
	return available
}

func (b *builder) template(template *config.Template) *templateIndex {
	t := &templateIndex{number: len(b.templateOrder), zoneIndex: make(map[model.Zone]int, len(b.regions))}
	for _, zone := range template.Places {
		t.addZone(zone, b.regions[zone])
	}
	t.servingCount = len(t.zones)
	for _, location := range t.servingZones() {
		t.defaultRow = append(t.defaultRow, config.Place{Zone: location.Zone, Weight: 1})
	}
	for _, zone := range slices.Sorted(maps.Keys(b.regions)) {
		t.addZone(zone, b.regions[zone])
	}
	b.templateOrder = append(b.templateOrder, t)
	t.defaultRoute = t.newRoute(t.defaultRow)
	if t.defaultRoute == nil {
		t.defaultRoute = &route{}
	}
	return t
}

// addZone assigns the next index to a zone, unless it already has one.
func (t *templateIndex) addZone(zone model.Zone, region model.Region) {
	if _, exists := t.zoneIndex[zone]; exists {
		return
	}
	t.zoneIndex[zone] = len(t.zones)
	t.zones = append(t.zones, Location{Zone: zone, Region: region})
}

// groupByZone groups entry VMs by zone and returns the zones sorted by name.
func groupByZone(entries []Entry) (map[Location][]Entry, []Location) {
	groups := make(map[Location][]Entry)
	for _, e := range entries {
		location := Location{Zone: e.Zone, Region: e.Region}
		groups[location] = append(groups[location], e)
	}
	zones := slices.SortedFunc(maps.Keys(groups), func(a, b Location) int {
		return cmp.Compare(a.Zone, b.Zone)
	})
	return groups, zones
}

// entryGroups collects entry VMs by zone, in the order of a look-up answer.
type entryGroups struct {
	byZone map[Location][]Entry
	zones  []model.Zone
	groups [][]Entry
	count  int
}

// full reports whether the groups hold enough entry VMs for a whole answer.
func (g *entryGroups) full() bool { return g.count >= MaxEntries }

// add appends the entry VMs of a zone, unless the zone was added before.
func (g *entryGroups) add(location Location) {
	group := g.byZone[location]
	if len(group) == 0 || slices.Contains(g.zones, location.Zone) {
		return
	}
	g.zones = append(g.zones, location.Zone)
	g.groups = append(g.groups, group)
	g.count += len(group)
}

// addAll adds zones in order until the groups are full. If region is not nil, it
// skips zones outside it.
func (g *entryGroups) addAll(zones []Location, region *model.Region) {
	for _, location := range zones {
		if g.full() {
			return
		}
		if region == nil || location.Region == *region {
			g.add(location)
		}
	}
}

// groups returns the entry VMs by zone for a client in the given location: its
// own zone, then the zones of its region, then the remaining zones. Among the
// latter two, zones that run the service come first, in the template's order.
func (t *templateIndex) groups(client Location, byZone map[Location][]Entry, zones []Location) [][]Entry {
	g := entryGroups{byZone: byZone}
	g.add(client)
	g.addAll(t.servingZones(), &client.Region)
	g.addAll(zones, &client.Region)
	g.addAll(t.servingZones(), nil)
	g.addAll(zones, nil)
	return g.groups
}

// newEntryLists builds one rotation for each entry VM of the nearest zone, so
// that clients are spread over the VMs of each zone.
func newEntryLists(groups [][]Entry) entryLists {
	var lists entryLists
	if len(groups) == 0 {
		return lists
	}
	for r := range groups[0] {
		lists.rotations = append(lists.rotations, rotated(groups, r))
	}
	return lists
}

// rotated concatenates the groups, each rotated by r, up to MaxEntries.
func rotated(groups [][]Entry, r int) []Entry {
	list := make([]Entry, 0, MaxEntries)
	for _, group := range groups {
		for i := range group {
			if len(list) == MaxEntries {
				return list
			}
			list = append(list, group[(i+r)%len(group)])
		}
	}
	return list
}

func (b *builder) account(account *config.Account) (*accountIndex, error) {
	index := &accountIndex{services: make(map[model.ServiceName]*templateIndex, len(account.Services))}
	templates := make([]*templateIndex, 0, len(account.Services))
	for _, s := range account.Services {
		t, ok := b.templates[s.Template]
		if !ok {
			return nil, errors.WithMessagef(ErrUnknownTemplate, "template %s", s.Template)
		}
		index.services[b.services[s.Template]] = t
		templates = append(templates, t)
	}
	for _, block := range account.Blocks {
		if !block.Prefix.IsValid() {
			return nil, ErrBadBlock
		}
		id := b.row(block.Places)
		index.blocks.Insert(block.Prefix.Masked(), id)
		for _, t := range templates {
			t.addRoute(id, b.rows[id])
		}
	}
	b.blocks += len(account.Blocks)
	return index, nil
}

// addRoute builds the template's route for a row, unless it already exists.
func (t *templateIndex) addRoute(id rowID, row []config.Place) {
	if missing := int(id) + 1 - len(t.routes); missing > 0 {
		t.routes = append(t.routes, make([]*route, missing)...)
	}
	if t.routes[id] == nil {
		t.routes[id] = t.newRoute(row)
	}
}

// row returns the ID of a list of places. Equal lists share one ID.
func (b *builder) row(places []config.Place) rowID {
	b.key = b.key[:0]
	for _, p := range places {
		b.key = binary.AppendUvarint(b.key, uint64(len(p.Zone)))
		b.key = append(b.key, p.Zone...)
		b.key = binary.AppendVarint(b.key, int64(p.Weight))
	}
	if id, ok := b.rowIDs[string(b.key)]; ok {
		return id
	}
	id := rowID(len(b.rows))
	b.rows = append(b.rows, places)
	b.rowIDs[string(b.key)] = id
	return id
}
