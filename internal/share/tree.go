package share

import (
	"maps"
	"slices"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

// treeDegree is the number of children of a VM in the tree of its region. With two, a
// VM with children sends and receives three times as much as one without, and half of
// the VMs have none.
const treeDegree = 2

// tree arranges the live VMs of each region as a binary tree in the order of their rank.
// It keeps no state but the VMs that did not answer. A parent ranks higher than
// its children whatever the views of the VMs, so there are no cycles.
type tree struct {
	self    catalog.VM
	vms     []catalog.VM
	regions map[model.Region][]catalog.VM
	byName  map[model.VMID]catalog.VM
	// capacity is the largest one in the region of self.
	capacity catalog.Capacity
	// suspects holds the VMs that did not answer by name, with the start of the process.
	suspects map[model.VMID]int64
}

func newTree(self catalog.VM) *tree { return &tree{self: self, suspects: map[model.VMID]int64{}} }

// set sets the live VMs.
func (t *tree) set(vms []catalog.VM) {
	if t.regions != nil && slices.Equal(vms, t.vms) {
		return
	}
	t.vms = vms
	t.byName = make(map[model.VMID]catalog.VM, len(vms))
	listed := false
	for _, vm := range vms {
		t.byName[vm.Name] = vm
		if vm.Name == t.self.Name {
			listed, t.self = true, vm
		}
	}
	if !listed {
		vms = append(slices.Clip(vms), t.self)
	}
	t.regions = catalog.RankByRegion(vms)
	t.capacity = catalog.MaxCapacity(t.regions[t.self.Region])
}

// suspect records that a VM did not answer. It is passed over until it answers, ceases to
// be alive, or has another process.
func (t *tree) suspect(vm catalog.VM) { t.suspects[vm.Name] = vm.Started }

func (t *tree) isSuspected(vm catalog.VM) bool {
	started, ok := t.suspects[vm.Name]
	return ok && started == vm.Started
}

// suspected returns the live VMs that are suspected, and forgets the others.
func (t *tree) suspected() []catalog.VM {
	var vms []catalog.VM
	for _, name := range slices.Sorted(maps.Keys(t.suspects)) {
		if vm, ok := t.byName[name]; ok && t.isSuspected(vm) {
			vms = append(vms, vm)
		} else {
			delete(t.suspects, name)
		}
	}
	return vms
}

// parent returns the parent of this VM, and false if it is the root: the closest ancestor
// that is able to relay and not suspected, or else the highest such VM that ranks before
// this one.
func (t *tree) parent() (catalog.VM, bool) {
	ranked := t.regions[t.self.Region]
	own := slices.IndexFunc(ranked, func(vm catalog.VM) bool { return vm.Name == t.self.Name })
	relays := func(i int) bool {
		return (i == 0 || t.capacity.CanTakeEqualShare(ranked[i])) && !t.isSuspected(ranked[i])
	}
	for i := own; i > 0; {
		i = (i - 1) / treeDegree
		if relays(i) {
			return ranked[i], true
		}
	}
	for i := range ranked[:own] {
		if relays(i) {
			return ranked[i], true
		}
	}
	return catalog.VM{}, false
}

// remoteRoots returns the root of each other region: the VM with the highest rank that
// is not suspected.
func (t *tree) remoteRoots() []catalog.VM {
	var roots []catalog.VM
	for _, region := range slices.Sorted(maps.Keys(t.regions)) {
		if region == t.self.Region {
			continue
		}
		for _, vm := range t.regions[region] {
			if !t.isSuspected(vm) {
				roots = append(roots, vm)
				break
			}
		}
	}
	return roots
}

// ranksBefore reports whether vm ranks before this VM in its region.
func (t *tree) ranksBefore(vm catalog.VM) bool { return catalog.CompareRank(vm, t.self) < 0 }
