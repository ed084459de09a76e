package feed

import (
	"cmp"
	"hash/fnv"
	"slices"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

// SelectReaders returns the reader of each region, that of self's region first
// and the others in an order that differs by self. The reader is the live VM
// with the highest name hash among those with enough capacity, since it sends
// every change to its whole region. VMs with the same view of the live VMs
// select the same readers.
func SelectReaders(alive []catalog.VM, self catalog.VM) []catalog.VM {
	best := map[model.Region]catalog.VM{}
	for region, vms := range groupByRegion(alive, self) {
		maxCapacity := catalog.MaxCapacity(vms)
		for _, vm := range vms {
			current, ok := best[region]
			if maxCapacity.CanTakeEqualShare(vm) && (!ok || nameHash(vm.Name) > nameHash(current.Name)) {
				best[region] = vm
			}
		}
		if _, ok := best[region]; !ok {
			// No VM has enough of both the largest link and the largest CPU share.
			best[region] = vms[0]
		}
	}
	readers := []catalog.VM{best[self.Region]}
	var others []catalog.VM
	for region, vm := range best {
		if region != self.Region {
			others = append(others, vm)
		}
	}
	slices.SortFunc(others, func(a, b catalog.VM) int {
		return cmp.Compare(nameHash(a.Name+self.Name), nameHash(b.Name+self.Name))
	})
	return append(readers, others...)
}

// groupByRegion groups the live VMs by region and adds self if it is missing.
func groupByRegion(alive []catalog.VM, self catalog.VM) map[model.Region][]catalog.VM {
	regions := map[model.Region][]catalog.VM{}
	listed := false
	for _, vm := range alive {
		regions[vm.Region] = append(regions[vm.Region], vm)
		listed = listed || vm.Name == self.Name
	}
	if !listed {
		regions[self.Region] = append(regions[self.Region], self)
	}
	return regions
}

// nameHash returns the FNV-1a hash of name, which is the same on every VM.
func nameHash(name model.VMID) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
