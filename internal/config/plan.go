package config

import (
	"fmt"
	"slices"
	"strings"

	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
)

// Refusal says which entry VM refused a change and why.
type Refusal struct {
	VM     model.VMID `json:"vm"`
	Zone   model.Zone `json:"zone,omitempty"`
	Reason string     `json:"reason"`
}

// RefusedError reports a change that was withdrawn: nothing of it is in force.
type RefusedError struct {
	By []Refusal
}

// Error lists who refused and why.
func (e *RefusedError) Error() string {
	lines := make([]string, len(e.By))
	for i, r := range e.By {
		lines[i] = fmt.Sprintf("%s (zone %s): %s", r.VM, r.Zone, r.Reason)
	}
	return "change refused and withdrawn: " + strings.Join(lines, "; ")
}

// Reasons for refusing a change that name what the operator can do.
const (
	reasonUnreachable = "not reachable, though it may be serving: wait, replace the VM, or name it or its zone as excluded"
	reasonMajority    = "only %d of the %d provisioned entry VMs can acknowledge and more than half must: restore some first"
)

// plan says who must acknowledge a change.
type plan struct {
	// required lists the entry VMs that must acknowledge, by zone, each zone
	// in order of names. The proposer is among them.
	required []zoneGroup
	// skipped lists provisioned entry VMs that need not acknowledge.
	skipped []model.VMID
	// refusals tell why the change can't be proposed now.
	refusals []Refusal
}

// zoneGroup is the entry VMs of one zone.
type zoneGroup struct {
	zone model.Zone
	vms  []model.VMID
}

// planInput is what a plan is made from.
type planInput struct {
	self    model.VMID
	zone    model.Zone
	view    *membership.View
	slots   []Slot
	exclude Exclusion
	// gone reports whether the platform's VM list lacks the VM or calls it
	// leaving. Nil when the list is not known.
	terminated func(model.VMID) bool
}

// newPlan decides who must acknowledge. Every entry VM that is provisioned or
// a member must, but for: those that the operator excluded; those that the
// platform no longer runs; and those that another live VM of their own zone
// has declared dead. A zone without any live VM may be cut off and serving, so
// its silence refuses the change.
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

// requireMajority refuses a change that at most half of the slots would
// acknowledge: the others could take their revision for the newest.
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

// all returns every entry VM that must acknowledge.
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

// candidates returns the provisioned entry VMs and the members, once each, in
// order of names.
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

// answers reports whether the member is believed to answer.
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

// watcherOf returns the entry VM that reads the store for a zone: the last live
// member by name. The first one spreads membership, and both cost bytes.
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
