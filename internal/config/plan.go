package config

import (
	"fmt"
	"slices"
	"strings"

	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
)

// Refusal names an entry VM that refused a change and the reason.
type Refusal struct {
	VM     model.VMID `json:"vm"`
	Zone   model.Zone `json:"zone,omitempty"`
	Reason string     `json:"reason"`
}

// RefusedError is returned for a change that was refused and withdrawn. No part
// of it takes effect.
type RefusedError struct {
	By []Refusal
}

// Error lists the refusals.
func (e *RefusedError) Error() string {
	lines := make([]string, len(e.By))
	for i, r := range e.By {
		lines[i] = fmt.Sprintf("%s (zone %s): %s", r.VM, r.Zone, r.Reason)
	}
	return "change refused and withdrawn: " + strings.Join(lines, "; ")
}

// Reasons for a refusal. Each states what the operator can do.
const (
	reasonUnreachable = "not reachable, though it may be serving: wait, replace the VM, or name it or its zone as excluded"
	reasonMajority    = "only %d of the %d provisioned entry VMs can acknowledge and more than half must: restore some first"
)

// plan determines which entry VMs must acknowledge a change.
type plan struct {
	// required lists the entry VMs that must acknowledge, grouped and sorted by
	// zone. It includes the proposer.
	required []zoneGroup
	// skipped lists provisioned entry VMs that need not acknowledge.
	skipped []model.VMID
	// refusals lists the reasons why the change can't be proposed now.
	refusals []Refusal
}

// zoneGroup is a set of entry VMs in one zone.
type zoneGroup struct {
	zone model.Zone
	vms  []model.VMID
}

// planInput is the state from which newPlan derives a plan.
type planInput struct {
	self    model.VMID
	zone    model.Zone
	view    *membership.View
	slots   []Slot
	exclude Exclusion
	// terminated reports whether the VM is missing from the platform's VM list
	// or listed as leaving. It is nil if the list is not known.
	terminated func(model.VMID) bool
}

// newPlan determines which entry VMs must acknowledge a change. Every entry VM
// that is provisioned or a member must, except those that the operator
// excluded, those that the platform no longer runs, and those that another live
// VM of the same zone has declared dead. A zone without a live VM may be
// partitioned off and still serving, so the change is refused while the zone is
// unreachable.
func newPlan(in planInput) plan {
	members := membersOf(in)
	groups := make(map[model.Zone][]model.VMID)
	var p plan
	for _, c := range candidates(in, members) {
		switch {
		case in.exclude.covers(c.VM, c.Zone):
			p.skipped = append(p.skipped, c.VM)
		case isReachable(members[c.VM]):
			groups[c.Zone] = append(groups[c.Zone], c.VM)
		case in.terminated != nil && in.terminated(c.VM), hasLiveMember(members, c.Zone):
			p.skipped = append(p.skipped, c.VM)
		default:
			p.refusals = append(p.refusals, Refusal{VM: c.VM, Zone: c.Zone, Reason: reasonUnreachable})
		}
	}
	p.required = sortedGroups(groups)
	p.requireMajority(in)
	return p
}

// requireMajority refuses the change if at most half of the slots would
// acknowledge it. The other slots could otherwise take an older revision for
// the latest.
func (p *plan) requireMajority(in planInput) {
	acking := 0
	for _, s := range in.slots {
		if p.requires(s.VM) {
			acking++
		}
	}
	if len(in.slots) == 0 || acking >= majority(len(in.slots)) {
		return
	}
	reason := fmt.Sprintf(reasonMajority, acking, len(in.slots))
	p.refusals = append(p.refusals, Refusal{VM: in.self, Zone: in.zone, Reason: reason})
}

func (p *plan) requires(vm model.VMID) bool {
	for _, g := range p.required {
		if slices.Contains(g.vms, vm) {
			return true
		}
	}
	return false
}

// requiredVMs returns all entry VMs that must acknowledge.
func (p *plan) requiredVMs() []model.VMID {
	var vms []model.VMID
	for _, g := range p.required {
		vms = append(vms, g.vms...)
	}
	return vms
}

func membersOf(in planInput) map[model.VMID]membership.Member {
	members := make(map[model.VMID]membership.Member)
	if in.view != nil {
		for _, m := range in.view.Members {
			members[m.VM] = m
		}
	}
	self := members[in.self]
	self.VM = in.self
	self.Zone = in.zone
	self.State = membership.StateAlive
	members[in.self] = self
	return members
}

// candidates returns the provisioned entry VMs and the reachable members,
// without duplicates, sorted by name.
func candidates(in planInput, members map[model.VMID]membership.Member) []Slot {
	zones := make(map[model.VMID]model.Zone)
	for vm, m := range members {
		if isReachable(m) {
			zones[vm] = m.Zone
		}
	}
	for _, s := range in.slots {
		if _, member := zones[s.VM]; !member {
			zones[s.VM] = s.Zone
		}
	}
	out := make([]Slot, 0, len(zones))
	for vm, zone := range zones {
		out = append(out, Slot{VM: vm, Zone: zone})
	}
	slices.SortFunc(out, func(a, b Slot) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return out
}

// isReachable reports whether membership considers the member reachable.
func isReachable(m membership.Member) bool {
	return m.State != 0 && m.State != membership.StateDead
}

func hasLiveMember(members map[model.VMID]membership.Member, zone model.Zone) bool {
	for _, m := range members {
		if m.Zone == zone && isReachable(m) {
			return true
		}
	}
	return false
}

func sortedGroups(groups map[model.Zone][]model.VMID) []zoneGroup {
	out := make([]zoneGroup, 0, len(groups))
	for zone, vms := range groups {
		out = append(out, zoneGroup{zone: zone, vms: vms})
	}
	slices.SortFunc(out, func(a, b zoneGroup) int { return strings.Compare(string(a.zone), string(b.zone)) })
	return out
}

// zoneWatcher returns the entry VM that reads the store for a zone: the last
// live member by name. The first one spreads membership, and choosing different
// VMs distributes the traffic.
func zoneWatcher(view *membership.View, zone model.Zone) (model.VMID, bool) {
	if view == nil {
		return "", false
	}
	for _, m := range slices.Backward(view.Members) {
		if m.Zone == zone && isReachable(m) {
			return m.VM, true
		}
	}
	return "", false
}
