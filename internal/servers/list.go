package servers

import (
	"cmp"
	"hash/fnv"
	"slices"

	"fuchsiaspar/internal/platform"
)

// List is an immutable list of VMs, sorted by ID.
type List struct {
	// Digest is a hash of all entries. Lists with equal digests are considered
	// equal.
	Digest uint64
	VMs    []platform.VM
}

func newList(vms []platform.VM) *List {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) })
	return &List{Digest: digestOf(sorted), VMs: sorted}
}

func digestOf(vms []platform.VM) uint64 {
	h := fnv.New64a()
	for _, vm := range vms {
		for _, part := range []string{vm.ID, string(vm.Role), string(vm.Zone), vm.Address, string(vm.Service), string(vm.State)} {
			_, _ = h.Write([]byte(part))
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}

// announcement is the message by which a zone's reader distributes changes to the
// other VMs of the zone.
type announcement struct {
	// Base and Digest are the digests of the list before and after the changes.
	Base   uint64 `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	// Updated holds new and changed entries, Removed the IDs of removed ones.
	Updated []platform.VM `cbor:"3,keyasint,omitempty"`
	Removed []string      `cbor:"4,keyasint,omitempty"`
}

// diff returns the changes that turn the list old into next.
func diff(old, next *List) announcement {
	a := announcement{Base: old.Digest, Digest: next.Digest}
	if old == next {
		return a
	}
	before := make(map[string]platform.VM, len(old.VMs))
	for _, vm := range old.VMs {
		before[vm.ID] = vm
	}
	for _, vm := range next.VMs {
		if before[vm.ID] != vm {
			a.Updated = append(a.Updated, vm)
		}
		delete(before, vm.ID)
	}
	for id := range before {
		a.Removed = append(a.Removed, id)
	}
	slices.Sort(a.Removed)
	return a
}

// apply returns the entries of list after the changes. It returns false if list
// is neither the base of the changes nor their result.
func (a announcement) apply(list *List) ([]platform.VM, bool) {
	if list.Digest == a.Digest {
		return list.VMs, true
	}
	if list.Digest != a.Base {
		return nil, false
	}
	vms := slices.DeleteFunc(slices.Clone(list.VMs), func(vm platform.VM) bool {
		return slices.Contains(a.Removed, vm.ID) || slices.ContainsFunc(a.Updated, func(put platform.VM) bool { return put.ID == vm.ID })
	})
	return append(vms, a.Updated...), true
}
