package catalog

// ableShare is the part of the strongest VM's link and processor that a VM
// must have to take an equal share of common work. A weaker one would be the
// bottleneck.
const ableShare = 0.45

// Capacity is the resources of the strongest of some VMs.
type Capacity struct {
	linkMbps, cpuShare float64
}

// StrongestOf returns the largest link and the largest processor among vms.
func MaxCapacity(vms []VM) Capacity {
	var most Capacity
	for _, vm := range vms {
		most.linkMbps, most.cpuShare = max(most.linkMbps, vm.LinkMbps), max(most.cpuShare, vm.CPUShare)
	}
	return most
}

// Strength returns how much of the capacity vm has, by its link or its
// processor, whichever is less.
func (c Capacity) Fraction(vm VM) float64 {
	return min(part(vm.LinkMbps, c.linkMbps), part(vm.CPUShare, c.cpuShare))
}

// Able says whether vm can take an equal share of common work.
func (c Capacity) CanTakeEqualShare(vm VM) bool { return c.Fraction(vm) >= ableShare }

// part returns some of whole; what nobody tells is taken as equal.
func part(some, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return some / whole
}
