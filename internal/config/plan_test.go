package config

import (
	"slices"
	"testing"

	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
)

func TestPlanSelectsAcknowledgingVMs(t *testing.T) {
	// In testSlots, vm0 and vm1 share a zone; every other VM is alone in its
	// zone.
	tests := []struct {
		name       string
		dead       []model.VMID
		terminated []model.VMID
		exclude    Exclusion
		skipped    []model.VMID
		refused    []model.VMID
	}{
		{name: "all live"},
		{name: "dead VM in a zone with a live VM", dead: []model.VMID{"vm1"}, skipped: []model.VMID{"vm1"}},
		{name: "unreachable zone", dead: []model.VMID{"vm4"}, refused: []model.VMID{"vm4"}},
		{name: "unreachable zone excluded", dead: []model.VMID{"vm4"}, exclude: Exclusion{Zones: []model.Zone{"mb-2"}}, skipped: []model.VMID{"vm4"}},
		{name: "excluded VM", exclude: Exclusion{VMs: []model.VMID{"vm5"}}, skipped: []model.VMID{"vm5"}},
		{name: "terminated", dead: []model.VMID{"vm4"}, terminated: []model.VMID{"vm4"}, skipped: []model.VMID{"vm4"}},
		{name: "terminated but reachable", terminated: []model.VMID{"vm4"}},
		{
			name:    "no majority",
			dead:    []model.VMID{"vm2", "vm3", "vm4", "vm5"},
			exclude: Exclusion{VMs: []model.VMID{"vm2", "vm3", "vm4", "vm5"}},
			skipped: []model.VMID{"vm2", "vm3", "vm4", "vm5"},
			refused: []model.VMID{"vm0"},
		},
	}
	for _, tt := range tests {
		view := &membership.View{}
		for _, slot := range testSlots {
			state := membership.StateAlive
			if slices.Contains(tt.dead, slot.VM) {
				state = membership.StateDead
			}
			view.Members = append(view.Members, membership.Member{VM: slot.VM, Zone: slot.Zone, State: state})
		}
		p := newPlan(planInput{
			self: "vm0", zone: "lj-1", view: view, slots: testSlots, exclude: tt.exclude,
			terminated: func(vm model.VMID) bool { return slices.Contains(tt.terminated, vm) },
		})
		var refused []model.VMID
		for _, r := range p.refusals {
			refused = append(refused, r.VM)
		}
		if !slices.Equal(p.skipped, tt.skipped) || !slices.Equal(refused, tt.refused) {
			t.Errorf("%s: skipped %v, refused %v", tt.name, p.skipped, refused)
		}
		if want := len(testSlots) - len(p.skipped); len(refused) == 0 && len(p.requiredVMs()) != want {
			t.Errorf("%s: %v must acknowledge", tt.name, p.requiredVMs())
		}
	}
}
