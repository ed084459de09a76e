package catalog

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"fuchsiaspar/internal/model"
)

// RankByRegion groups VMs by region and sorts each group by rank. The rank of a VM
// follows from its own record only: a larger capacity, in powers of two, and then a
// higher hash of the name come first. VMs with different views of who is alive
// therefore agree which of two VMs ranks higher.
func RankByRegion(vms []VM) map[model.Region][]VM {
	regions := map[model.Region][]VM{}
	for _, vm := range vms {
		regions[vm.Region] = append(regions[vm.Region], vm)
	}
	for _, group := range regions {
		slices.SortFunc(group, CompareRank)
	}
	return regions
}

// CompareRank compares two VMs by rank; the higher rank is the lesser.
func CompareRank(a, b VM) int {
	return cmp.Or(cmp.Compare(capacityClass(b), capacityClass(a)), cmp.Compare(rankHash(b.Name), rankHash(a.Name)), cmp.Compare(a.Name, b.Name))
}

// capacityClass returns the binary order of magnitude of a VM's CPU share and link.
func capacityClass(vm VM) int {
	class := 0
	for _, amount := range []float64{vm.CPUShare, vm.LinkMbps} {
		if amount > 0 {
			class += math.Ilogb(amount)
		}
	}
	return class
}

func rankHash(name model.VMID) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(name))
	// FNV-1a leaves names with a common prefix close together; the multiplication and
	// the shift spread them.
	sum := h.Sum64() * 0x9e3779b97f4a7c15
	return sum ^ sum>>32
}
