package standin

import (
	"context"
	"slices"
	"strings"
	"time"

	"fuchsiaspar/internal/platform"
)

// listChange is an update or removal of one VM in the list. Clients see it from
// the time visible on.
type listChange struct {
	visible time.Time
	vm      platform.VM
	removed bool
}

// SetVM adds a VM to the list, or replaces the one with the same ID.
func (s *Store) SetVM(vm platform.VM) {
	s.changeList(listChange{vm: vm})
}

// RemoveVM removes a VM from the list.
func (s *Store) RemoveVM(id string) {
	s.changeList(listChange{vm: platform.VM{ID: id}, removed: true})
}

// MarkLeaving sets the state of a listed VM to leaving. It does nothing if there
// is no such VM.
func (s *Store) MarkLeaving(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range s.applyListChanges(s.listChanges) {
		if vm.ID != id {
			continue
		}
		vm.State = platform.VMLeaving
		s.listChanges = append(s.listChanges, listChange{vm: vm, visible: s.now().Add(s.listLag)})
	}
}

// SetListLag sets the delay before later changes to the list become visible.
func (s *Store) SetListLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listLag = lag
}

func (s *Store) changeList(c listChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.visible = s.now().Add(s.listLag)
	s.listChanges = append(s.listChanges, c)
}

// applyListChanges returns the list that results from changes, sorted by ID.
func (s *Store) applyListChanges(changes []listChange) []platform.VM {
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

// visibleChanges returns the changes that clients can see now. The caller must
// hold the lock.
func (s *Store) visibleChanges() []listChange {
	now := s.now()
	var visible []listChange
	for _, c := range s.listChanges {
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
		vms = c.store.applyListChanges(c.store.visibleChanges())
		return nil
	})
	return vms, err
}
