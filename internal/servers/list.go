package servers

import (
	"cmp"
	"hash/fnv"
	"slices"

	"fuchsiaspar/internal/platform"
)

// List is an immutable list of VMs, sorted by name.
type List struct {
	// Digest tells two lists apart.
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

// announcement tells the VMs of a zone what has changed at its reader.
type announcement struct {
	// Base and Digest name the lists before and after the changes.
	Base   uint64 `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	// Put holds new and changed rows, Gone the names of rows that left.
	Put  []platform.VM `cbor:"3,keyasint,omitempty"`
	Gone []string      `cbor:"4,keyasint,omitempty"`
}

// difference returns what turns the list old into next.
func difference(old, next *List) announcement {
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
			a.Put = append(a.Put, vm)
		}
		delete(before, vm.ID)
	}
	for id := range before {
		a.Gone = append(a.Gone, id)
	}
	slices.Sort(a.Gone)
	return a
}

// apply returns the rows after the changes, or false when list is not the one
// that the changes start from.
func (a announcement) apply(list *List) ([]platform.VM, bool) {
	if list.Digest == a.Digest {
		return list.VMs, true
	}
	if list.Digest != a.Base {
		return nil, false
	}
	vms := slices.DeleteFunc(slices.Clone(list.VMs), func(vm platform.VM) bool {
		return slices.Contains(a.Gone, vm.ID) || slices.ContainsFunc(a.Put, func(put platform.VM) bool { return put.ID == vm.ID })
	})
	return append(vms, a.Put...), true
}
