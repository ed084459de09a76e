package standin

import (
	"context"
	"slices"
	"strings"
	"time"

	"fuchsiaspar/internal/platform"
)

// listChange is one change of the VM list. It becomes visible at a time.
type listChange struct {
	visible time.Time
	vm      platform.VM
	removed bool
}

// SetVM adds a VM to the list or replaces the one with its ID.
func (s *Store) SetVM(vm platform.VM) {
	s.changeList(listChange{vm: vm})
}

// RemoveVM takes a VM off the list.
func (s *Store) RemoveVM(id string) {
	s.changeList(listChange{vm: platform.VM{ID: id}, removed: true})
}

// MarkLeaving marks a listed VM as leaving.
func (s *Store) MarkLeaving(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range s.listAt(s.list) {
		if vm.ID != id {
			continue
		}
		vm.State = platform.VMLeaving
		s.list = append(s.list, listChange{vm: vm, visible: s.now().Add(s.listLag)})
	}
}

// SetListLag sets how long later changes of the list stay invisible.
func (s *Store) SetListLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listLag = lag
}

func (s *Store) changeList(c listChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.visible = s.now().Add(s.listLag)
	s.list = append(s.list, c)
}

// listAt folds changes into the list that they describe, sorted by ID.
func (s *Store) listAt(changes []listChange) []platform.VM {
	vms := make(map[string]platform.VM)
	for _, c := range changes {
		if c.removed {
			delete(vms, c.vm.ID)
			continue
		}
		vms[c.vm.ID] = c.vm
	}
	list := make([]platform.VM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, vm)
	}
	slices.SortFunc(list, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// visibleChanges returns the changes whose lag has passed. The caller holds
// the lock.
func (s *Store) visibleChanges() []listChange {
	now := s.now()
	var visible []listChange
	for _, c := range s.list {
		if !now.Before(c.visible) {
			visible = append(visible, c)
		}
	}
	return visible
}

// VMs implements platform.VMList.
func (c *Client) VMs(ctx context.Context) ([]platform.VM, error) {
	var vms []platform.VM
	err := c.read(ctx, CallVMs, func() error {
		vms = c.store.listAt(c.store.visibleChanges())
		return nil
	})
	return vms, err
}
