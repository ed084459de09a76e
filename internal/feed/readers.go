package feed

import (
	"cmp"
	"hash/fnv"
	"slices"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

// Readers returns one VM of each region, the reader of self's own region
// first. The reader of a region is the live VM with the highest weight among
// those with wide links, so that all VMs with the same view agree on it. It
// hands every change on to the whole region.
func Readers(alive []catalog.VM, self catalog.VM) []catalog.VM {
	best := map[model.Region]catalog.VM{}
	for region, vms := range byRegion(alive, self) {
		strongest := catalog.MaxCapacity(vms)
		for _, vm := range vms {
			current, ok := best[region]
			if strongest.CanTakeEqualShare(vm) && (!ok || weight(vm.Name) > weight(current.Name)) {
				best[region] = vm
			}
		}
		if _, ok := best[region]; !ok {
			// The widest link and the fastest processor are those of different VMs.
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
		return cmp.Compare(weight(a.Name+self.Name), weight(b.Name+self.Name))
	})
	return append(readers, others...)
}

// byRegion returns the VMs of each region, self among them.
func byRegion(alive []catalog.VM, self catalog.VM) map[model.Region][]catalog.VM {
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

func weight(name model.VMID) uint64 {
	h := fnv.New64a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
