package membership

import (
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// minViewInterval spaces views while many members change at once.
	minViewInterval = 50 * time.Millisecond
	// minLoadViewInterval spaces views that only carry new load.
	minLoadViewInterval = 500 * time.Millisecond
)

// viewState tracks whether a new view is needed.
type viewState struct {
	version uint64
	// dirty requests a view within minViewInterval, loadDirty one within
	// minLoadViewInterval.
	dirty       bool
	loadDirty   bool
	publishedAt time.Time
}

func (n *Node) publishIfDue() {
	v := &n.views
	age := n.now.Sub(v.publishedAt)
	due := v.dirty && (age >= minViewInterval || n.stopped)
	loadDue := v.loadDirty && age >= minLoadViewInterval
	if !due && !loadDue {
		return
	}
	v.dirty = false
	v.loadDirty = false
	v.publishedAt = n.now
	v.version++
	n.emit(Publish{View: n.buildView()})
}

func (n *Node) buildView() *View {
	view := &View{
		Version: n.views.version,
		Self:    n.self.VM,
		Members: make([]Member, 0, len(n.table.records)),
		Zones:   make([]ZoneStatus, 0, len(n.table.zoneNames)),
	}
	for _, vm := range n.table.vms {
		view.Members = append(view.Members, n.member(vm))
	}
	for _, zone := range n.table.zoneNames {
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
		Load:        fromLoadSums(summary.loadOf(vm, len(n.table.present(r.Zone)))),
	}
	if vm == n.self.VM {
		m.Revision = n.local.revision
		m.Load = fromLoadSums(n.local.load)
	}
	return m
}

// effectiveState returns the state to publish: members that left or whose zone
// is unreachable count as dead.
func (n *Node) effectiveState(r Record) State {
	if r.State == stateLeft || n.zones.unreachable[r.Zone] {
		return StateDead
	}
	return r.State
}

// loadOf returns the load of one member if the summary contains it, or nil.
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
		Load:      fromLoadSums(n.local.summaries[zone].Load),
	}
	if all := n.table.zones[zone].all; len(all) > 0 {
		r, _ := n.table.get(all[0])
		status.Region = r.Region
	}
	return status
}
