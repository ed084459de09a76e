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

// NewTable builds a table. It does not keep in.Doc.
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
	t.templates = b.ordered
	t.stats = TableStats{Accounts: len(t.accounts), Blocks: b.blocks, Rows: len(b.rows)}
	t.setEntries(in.Entries, in.ClosedZones)
	return t, nil
}

// WithEntries returns a table that differs only in the entry VMs of its
// answers. It shares the blocks with t and costs far less than NewTable.
func (t *Table) WithEntries(entries []Entry, closed []model.Zone) *Table {
	next := *t
	next.setEntries(entries, closed)
	return &next
}

// setEntries builds the entry lists of all templates.
func (t *Table) setEntries(entries []Entry, closed []model.Zone) {
	byZone, zones := groupByZone(openEntries(entries, closed))
	t.lists = make([][]entryLists, len(t.templates))
	t.stats.Lists = 0
	for i, template := range t.templates {
		t.lists[i] = make([]entryLists, len(template.near))
		for n, at := range template.near {
			t.lists[i][n] = newEntryLists(template.groups(at, byZone, zones))
			t.stats.Lists += len(t.lists[i][n].rotations)
		}
	}
}

// builder holds what the accounts of one table share.
type builder struct {
	regions   map[model.Zone]model.Region
	templates map[string]*templateIndex
	ordered   []*templateIndex
	services  map[string]model.ServiceName
	rowIDs    map[string]rowID
	rows      [][]config.Place
	key       []byte
	blocks    int
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

// openEntries returns the entry VMs outside closed zones in order of VM, or
// all of them when every zone is closed.
func openEntries(entries []Entry, closed []model.Zone) []Entry {
	open := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool {
		return slices.Contains(closed, e.Zone)
	})
	if len(open) == 0 {
		open = slices.Clone(entries)
	}
	slices.SortFunc(open, func(a, b Entry) int { return cmp.Compare(a.VM, b.VM) })
	return open
}

func (b *builder) template(template *config.Template) *templateIndex {
	t := &templateIndex{number: len(b.ordered), index: make(map[model.Zone]int, len(b.regions))}
	for _, zone := range template.Places {
		t.addNear(zone, b.regions[zone])
	}
	t.served = len(t.near)
	for _, at := range t.order() {
		t.everywhere = append(t.everywhere, config.Place{Zone: at.Zone, Weight: 1})
	}
	for _, zone := range slices.Sorted(maps.Keys(b.regions)) {
		t.addNear(zone, b.regions[zone])
	}
	b.ordered = append(b.ordered, t)
	t.fallback = t.newRoute(t.everywhere)
	if t.fallback == nil {
		t.fallback = &route{}
	}
	return t
}

// addNear numbers a place that clients may be in.
func (t *templateIndex) addNear(zone model.Zone, region model.Region) {
	if _, twice := t.index[zone]; twice {
		return
	}
	t.index[zone] = len(t.near)
	t.near = append(t.near, Placement{Zone: zone, Region: region})
}

// groupByZone splits entry VMs by zone and returns the zones in order of name.
func groupByZone(entries []Entry) (map[Placement][]Entry, []Placement) {
	groups := make(map[Placement][]Entry)
	for _, e := range entries {
		at := Placement{Zone: e.Zone, Region: e.Region}
		groups[at] = append(groups[at], e)
	}
	zones := slices.SortedFunc(maps.Keys(groups), func(a, b Placement) int {
		return cmp.Compare(a.Zone, b.Zone)
	})
	return groups, zones
}

// entryGroups collects the entry VMs of zones in the order of an answer.
type entryGroups struct {
	byZone map[Placement][]Entry
	zones  []model.Zone
	groups [][]Entry
	count  int
}

// full reports that the groups fill an answer in any rotation.
func (g *entryGroups) full() bool { return g.count >= MaxEntries }

// add appends the entry VMs of a zone that is not there yet.
func (g *entryGroups) add(at Placement) {
	group := g.byZone[at]
	if len(group) == 0 || slices.Contains(g.zones, at.Zone) {
		return
	}
	g.zones = append(g.zones, at.Zone)
	g.groups = append(g.groups, group)
	g.count += len(group)
}

// addAll adds zones in order; with a region, only those in it.
func (g *entryGroups) addAll(zones []Placement, region *model.Region) {
	for _, at := range zones {
		if g.full() {
			return
		}
		if region == nil || at.Region == *region {
			g.add(at)
		}
	}
}

// groups orders the zones with entry VMs for a client's own place: that place,
// then its region, then the template's order, then zones that the template leaves out.
func (t *templateIndex) groups(near Placement, byZone map[Placement][]Entry, zones []Placement) [][]Entry {
	g := entryGroups{byZone: byZone}
	g.add(near)
	g.addAll(t.order(), &near.Region)
	g.addAll(zones, &near.Region)
	g.addAll(t.order(), nil)
	g.addAll(zones, nil)
	return g.groups
}

// newEntryLists builds one list for each entry VM of the nearest zone, so that
// clients spread over the VMs of each zone.
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

// rotated joins the groups, each starting at its r-th entry VM.
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

// addRoute builds the template's route for a row at its first use.
func (t *templateIndex) addRoute(id rowID, row []config.Place) {
	if missing := int(id) + 1 - len(t.routes); missing > 0 {
		t.routes = append(t.routes, make([]*route, missing)...)
	}
	if t.routes[id] == nil {
		t.routes[id] = t.newRoute(row)
	}
}

// row returns the number of a list of places, the same for equal lists.
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
