package steer

import (
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
	b.stats.Accounts = len(t.accounts)
	b.stats.Rows = len(b.rows)
	t.stats = b.stats
	return t, nil
}

// builder holds what the accounts of one table share.
type builder struct {
	open      []Entry
	regions   map[model.Zone]model.Region
	templates map[string]*templateIndex
	services  map[string]model.ServiceName
	rowIDs    map[string]rowID
	rows      [][]config.Place
	key       []byte
	stats     TableStats
}

func newBuilder(in TableInput) *builder {
	b := &builder{
		open:      openEntries(in),
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
func openEntries(in TableInput) []Entry {
	open := make([]Entry, 0, len(in.Entries))
	for _, e := range in.Entries {
		if !slices.Contains(in.ClosedZones, e.Zone) {
			open = append(open, e)
		}
	}
	if len(open) == 0 {
		open = append(open, in.Entries...)
	}
	slices.SortFunc(open, func(a, c Entry) int {
		if a.VM < c.VM {
			return -1
		}
		return 1
	})
	return open
}

func (b *builder) template(template *config.Template) *templateIndex {
	t := &templateIndex{lists: make(map[model.Zone]*entryLists, len(b.regions))}
	for _, zone := range template.Places {
		t.order = append(t.order, Placement{Zone: zone, Region: b.regions[zone]})
		t.everywhere = append(t.everywhere, config.Place{Zone: zone, Weight: 1})
	}
	byZone := groupByZone(b.open)
	for _, near := range b.nearPlaces(t) {
		lists := newEntryLists(near, t.groups(near, byZone))
		t.lists[near.Zone] = lists
		b.stats.Lists += len(lists.rotations)
	}
	t.fallback = t.newRoute(t.everywhere)
	if t.fallback == nil {
		t.fallback = &route{}
	}
	return t
}

// nearPlaces lists every place that a client may be in.
func (b *builder) nearPlaces(t *templateIndex) []Placement {
	places := slices.Clone(t.order)
	for zone, region := range b.regions {
		if !t.runs(zone) {
			places = append(places, Placement{Zone: zone, Region: region})
		}
	}
	return places
}

func groupByZone(entries []Entry) map[Placement][]Entry {
	groups := make(map[Placement][]Entry)
	for _, e := range entries {
		at := Placement{Zone: e.Zone, Region: e.Region}
		groups[at] = append(groups[at], e)
	}
	return groups
}

// groups orders the zones with entry VMs for a client's own place: that place,
// then its region, then the template's order, then zones that the template leaves out.
func (t *templateIndex) groups(near Placement, byZone map[Placement][]Entry) [][]Entry {
	rest := slices.SortedFunc(maps.Keys(byZone), func(a, b Placement) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
	candidates := append(slices.Clone(t.order), rest...)
	seen := map[model.Zone]bool{}
	var groups [][]Entry
	add := func(at Placement) {
		if seen[at.Zone] || len(byZone[at]) == 0 {
			return
		}
		seen[at.Zone] = true
		groups = append(groups, byZone[at])
	}
	add(near)
	for _, at := range candidates {
		if at.Region == near.Region {
			add(at)
		}
	}
	for _, at := range candidates {
		add(at)
	}
	return groups
}

// newEntryLists builds one list for each entry VM of the nearest zone, so that
// clients spread over the VMs of each zone.
func newEntryLists(near Placement, groups [][]Entry) *entryLists {
	lists := &entryLists{near: near}
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
	b.stats.Blocks += len(account.Blocks)
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
