package membership

import (
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// viewGap spaces views while many members change at once.
	viewGap = 50 * time.Millisecond
	// loadViewGap spaces views that only bring new load.
	loadViewGap = 500 * time.Millisecond
)

// viewState tracks what the next view would change.
type viewState struct {
	version uint64
	// dirty asks for a view within viewGap, loadDirty for one within loadViewGap.
	dirty     bool
	loadDirty bool
	published time.Time
}

func (n *Node) publishIfDue() {
	v := &n.views
	age := n.now.Sub(v.published)
	due := v.dirty && (age >= viewGap || n.stopped)
	loadDue := v.loadDirty && age >= loadViewGap
	if !due && !loadDue {
		return
	}
	v.dirty = false
	v.loadDirty = false
	v.published = n.now
	v.version++
	n.do(Publish{View: n.buildView()})
}

func (n *Node) buildView() *View {
	view := &View{
		Version: n.views.version,
		Self:    n.self.VM,
		Members: make([]Member, 0, len(n.table.records)),
		Zones:   make([]ZoneStatus, 0, len(n.table.names)),
	}
	for _, vm := range n.table.vms {
		view.Members = append(view.Members, n.member(vm))
	}
	for _, zone := range n.table.names {
		view.Zones = append(view.Zones, n.zoneStatus(zone))
		if leader := n.table.leader(zone); leader != "" && !n.zones.unreachable[zone] {
			view.Leaders = append(view.Leaders, Leader{Zone: zone, VM: leader})
		}
	}
	return view
}

func (n *Node) member(vm model.VMID) Member {
	r, _ := n.table.get(vm)
	if vm == n.self.VM {
		r = n.self
	}
	summary := n.local.summaries[r.Zone]
	m := Member{
		VM:          r.VM,
		Zone:        r.Zone,
		Region:      r.Region,
		Incarnation: r.Incarnation,
		Address:     r.Address,
		State:       n.effectiveState(r),
		Left:        r.State == stateLeft,
		Revision:    summary.revisionOf(vm),
		Load:        fromSums(summary.loadOf(vm, len(n.table.present(r.Zone)))),
	}
	if vm == n.self.VM {
		m.Revision = n.local.revision
		m.Load = fromSums(n.local.load)
	}
	return m
}

// effectiveState is the state as this VM can use the member.
func (n *Node) effectiveState(r Record) State {
	if r.State == stateLeft || n.zones.unreachable[r.Zone] {
		return StateDead
	}
	return r.State
}

// loadOf returns the load of one member, where the summary has it.
func (s Summary) loadOf(vm model.VMID, members int) []LoadSum {
	for _, m := range s.Members {
		if m.VM == vm {
			return m.Load
		}
	}
	if members == 1 && len(s.Members) == 0 {
		return s.Load
	}
	return nil
}

func (n *Node) zoneStatus(zone model.Zone) ZoneStatus {
	status := ZoneStatus{
		Zone:      zone,
		Reachable: !n.zones.unreachable[zone],
		Load:      fromSums(n.local.summaries[zone].Load),
	}
	if all := n.table.zones[zone].all; len(all) > 0 {
		r, _ := n.table.get(all[0])
		status.Region = r.Region
	}
	return status
}
