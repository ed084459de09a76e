package catalog

// minCapacityShare is the fraction of the largest link and CPU share that a VM
// needs to take an equal share of common work. A VM with less would be the
// bottleneck.
const minCapacityShare = 0.45

// Capacity is the largest link (in Mbit/s) and the largest CPU share in a set of
// VMs. The two may be those of different VMs.
type Capacity struct {
	linkMbps, cpuShare float64
}

// MaxCapacity returns the largest link and the largest CPU share among vms.
func MaxCapacity(vms []VM) Capacity {
	var most Capacity
	for _, vm := range vms {
		most.linkMbps, most.cpuShare = max(most.linkMbps, vm.LinkMbps), max(most.cpuShare, vm.CPUShare)
	}
	return most
}

// Fraction returns the fraction of the capacity that vm has, by its link or its
// CPU share, whichever is lower.
func (c Capacity) Fraction(vm VM) float64 {
	return min(ratio(vm.LinkMbps, c.linkMbps), ratio(vm.CPUShare, c.cpuShare))
}

// CanTakeEqualShare reports whether vm has the capacity for an equal share of
// common work.
func (c Capacity) CanTakeEqualShare(vm VM) bool { return c.Fraction(vm) >= minCapacityShare }

// ratio returns amount/reference, or 1 if no VM declares the resource and
// reference is therefore zero.
func ratio(amount, reference float64) float64 {
	if reference == 0 {
		return 1
	}
	return amount / reference
}
