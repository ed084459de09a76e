package feed

import (
	"cmp"
	"hash/fnv"
	"slices"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

// Readers returns one VM of each region, the reader of self's own region
// first. The reader of a region is its live VM with the highest weight, so
// that all VMs with the same view agree on it.
func Readers(alive []catalog.VM, self catalog.VM) []catalog.VM {
	best := map[model.Region]catalog.VM{self.Region: self}
	for _, vm := range alive {
		current, ok := best[vm.Region]
		if !ok || weight(vm.Name) > weight(current.Name) {
			best[vm.Region] = vm
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

func weight(name model.VMID) uint64 {
	h := fnv.New64a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
