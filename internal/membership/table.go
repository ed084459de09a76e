package membership

import (
	"slices"

	"fuchsiaspar/internal/model"
)

// table holds the newest record of every known slot, indexed by zone. Its
// digests are the XOR of the record hashes.
type table struct {
	records   map[model.VMID]Record
	zones     map[model.Zone]*zoneTable
	zoneNames []model.Zone
	vms       []model.VMID
	digest    uint32
}

// zoneTable indexes the records of one zone.
type zoneTable struct {
	all    []model.VMID
	digest uint32
	// present has the members considered running, and eligible those of them
	// that may lead. Both are rebuilt on use if stale is set.
	present  []model.VMID
	eligible []model.VMID
	stale    bool
}

func newTable() *table {
	return &table{records: map[model.VMID]Record{}, zones: map[model.Zone]*zoneTable{}}
}

func (t *table) get(vm model.VMID) (Record, bool) {
	r, ok := t.records[vm]
	return r, ok
}

// put stores r in place of any older record of the slot.
func (t *table) put(r Record) {
	old, known := t.records[r.VM]
	if known && old.Zone != r.Zone {
		t.remove(old)
		known = false
	}
	z := t.zone(r.Zone)
	if known {
		t.toggleDigest(z, old.hash())
	} else {
		z.all = insertSorted(z.all, r.VM)
		t.vms = insertSorted(t.vms, r.VM)
	}
	t.toggleDigest(z, r.hash())
	z.stale = true
	t.records[r.VM] = r
}

func (t *table) remove(r Record) {
	z := t.zones[r.Zone]
	z.all = deleteSorted(z.all, r.VM)
	t.vms = deleteSorted(t.vms, r.VM)
	t.toggleDigest(z, r.hash())
	z.stale = true
	delete(t.records, r.VM)
}

// toggleDigest adds a hash to the digests, or removes it again.
func (t *table) toggleDigest(z *zoneTable, hash uint32) {
	z.digest ^= hash
	t.digest ^= hash
}

func (t *table) zone(name model.Zone) *zoneTable {
	z, ok := t.zones[name]
	if !ok {
		z = &zoneTable{}
		t.zones[name] = z
		t.zoneNames = insertSorted(t.zoneNames, name)
	}
	return z
}

// present returns the members of a zone considered running, sorted by name.
func (t *table) present(name model.Zone) []model.VMID { return t.indexedZone(name).present }

// leader returns the first eligible member of a zone by name, or the empty
// VMID.
func (t *table) leader(name model.Zone) model.VMID {
	if eligible := t.indexedZone(name).eligible; len(eligible) > 0 {
		return eligible[0]
	}
	return ""
}

func (t *table) indexedZone(name model.Zone) *zoneTable {
	z, ok := t.zones[name]
	if !ok {
		return &zoneTable{}
	}
	if z.stale {
		t.rebuild(z)
	}
	return z
}

func (t *table) rebuild(z *zoneTable) {
	z.present, z.eligible, z.stale = nil, nil, false
	for _, vm := range z.all {
		state := t.records[vm].State
		if state.present() {
			z.present = append(z.present, vm)
		}
		if state == StateAlive || state == StateSuspect {
			z.eligible = append(z.eligible, vm)
		}
	}
	if len(z.eligible) == 0 {
		z.eligible = z.present
	}
}

// ringNeighbours returns up to width items on each side of self in a sorted
// ring, without self.
func ringNeighbours[T ~string](ring []T, self T, width int) []T {
	if len(ring)-1 <= 2*width {
		return without(ring, self)
	}
	at, ok := slices.BinarySearch(ring, self)
	if !ok {
		return nil
	}
	var found []T
	for d := 1; d <= width; d++ {
		found = append(found, ring[(at+d)%len(ring)], ring[(at-d+len(ring))%len(ring)])
	}
	return found
}

// ringFingers returns the items at distances 1, 2, 4 and so on after self, so
// that a flood along them covers a ring of n items in log2(n) steps.
func ringFingers[T ~string](ring []T, self T) []T {
	at, ok := slices.BinarySearch(ring, self)
	if !ok {
		return nil
	}
	var found []T
	for d := 1; d < len(ring); d *= 2 {
		found = append(found, ring[(at+d)%len(ring)])
	}
	return found
}

// treeChildren returns the children of self in a tree laid over a sorted ring,
// starting at root. The root has one child, so that a leader that relays for
// its zone sends each message once; every other item has up to two.
func treeChildren[T ~string](ring []T, root, self T) []T {
	rootAt, rootKnown := slices.BinarySearch(ring, root)
	selfAt, selfKnown := slices.BinarySearch(ring, self)
	if !rootKnown || !selfKnown {
		return nil
	}
	position := (selfAt - rootAt + len(ring)) % len(ring)
	first, last := 2*position, 2*position+1
	if position == 0 {
		first = 1
	}
	var found []T
	for child := first; child <= last && child < len(ring); child++ {
		found = append(found, ring[(rootAt+child)%len(ring)])
	}
	return found
}

func insertSorted[T ~string](items []T, item T) []T {
	at, _ := slices.BinarySearch(items, item)
	return slices.Insert(items, at, item)
}

func deleteSorted[T ~string](items []T, item T) []T {
	at, ok := slices.BinarySearch(items, item)
	if !ok {
		return items
	}
	return slices.Delete(items, at, at+1)
}

func without[T comparable](items []T, unwanted T) []T {
	var kept []T
	for _, item := range items {
		if item != unwanted {
			kept = append(kept, item)
		}
	}
	return kept
}
