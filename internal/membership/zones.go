package membership

import (
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// zoneRingWidth is the count of zones on each side that a leader watches.
	zoneRingWidth = 2
	// smallFleet is the largest count of zones that all watch one another.
	smallFleet = 8
	// zoneCandidates is the count of members tried when a zone's leader is
	// silent, besides that leader.
	zoneCandidates = 2
	// verifyFor is how long a leader watches a zone that another leader called
	// silent.
	verifyFor = 5 * time.Second
)

// zoneMonitor assesses whether other zones can be reached. A finding holds for
// this zone only: each zone's leader measures for itself, so the findings of a
// cut-off zone cannot mislead others.
type zoneMonitor struct {
	heard   map[model.Zone]time.Time
	watched map[model.Zone]time.Time
	// verify holds zones that other leaders called silent, with the end of
	// the watch on them.
	verify map[model.Zone]time.Time
	// unreachable are the zones that the leader found cut off.
	unreachable map[model.Zone]bool
	// silent are the zones in doubt that the next summary names.
	silent    []model.Zone
	wideUntil time.Time
}

func newZoneMonitor() zoneMonitor {
	return zoneMonitor{
		heard:       map[model.Zone]time.Time{},
		watched:     map[model.Zone]time.Time{},
		verify:      map[model.Zone]time.Time{},
		unreachable: map[model.Zone]bool{},
	}
}

// restart gives every watched zone the full time to be heard.
func (z *zoneMonitor) restart(now time.Time) {
	for zone := range z.watched {
		z.watched[zone] = now
	}
}

// zoneRing returns the zones with running members that can be reached, and
// this VM's own.
func (n *Node) zoneRing() []model.Zone {
	var ring []model.Zone
	for _, zone := range n.table.names {
		if n.zones.unreachable[zone] || len(n.table.present(zone)) == 0 {
			continue
		}
		ring = append(ring, zone)
	}
	return ring
}

// watchedZones returns the zones that this VM, as its zone's leader, watches.
func (n *Node) watchedZones() []model.Zone {
	ring := n.zoneRing()
	if len(ring) <= smallFleet || n.now.Before(n.zones.wideUntil) {
		return without(ring, n.self.Zone)
	}
	watched := ringNeighbours(ring, n.self.Zone, zoneRingWidth)
	for _, zone := range sortedKeys(n.zones.verify) {
		if slices.Contains(ring, zone) && !slices.Contains(watched, zone) {
			watched = append(watched, zone)
		}
	}
	return watched
}

// tickZones assesses other zones by their silence.
func (n *Node) tickZones() {
	if !n.leads() {
		clear(n.zones.watched)
		return
	}
	n.endVerification()
	zones := n.watchedZones()
	n.watchOnlyZones(zones)
	n.zones.silent = nil
	for _, zone := range zones {
		silence := n.zoneSilence(zone)
		if silence >= n.pace.SuspectAfter {
			n.zones.silent = append(n.zones.silent, zone)
		}
		if silence >= n.pace.DeadAfter {
			n.setReachable(zone, false)
		}
	}
	if len(n.zones.silent) > 1 && 2*len(n.zones.silent) >= len(zones) {
		n.zones.wideUntil = n.now.Add(2 * n.pace.DeadAfter)
	}
}

func (n *Node) endVerification() {
	for zone, until := range n.zones.verify {
		if !n.now.Before(until) {
			delete(n.zones.verify, zone)
		}
	}
}

func (n *Node) watchOnlyZones(zones []model.Zone) {
	watched := make(map[model.Zone]time.Time, len(zones))
	for _, zone := range zones {
		since, ok := n.zones.watched[zone]
		if !ok {
			since = n.now
		}
		watched[zone] = since
	}
	n.zones.watched = watched
}

func (n *Node) zoneSilence(zone model.Zone) time.Duration {
	last := n.zones.heard[zone]
	if since := n.zones.watched[zone]; since.After(last) {
		last = since
	}
	return n.now.Sub(last)
}

// hearZone notes that a member of another zone has proved to run.
func (n *Node) hearZone(zone model.Zone) {
	n.zones.heard[zone] = n.now
	if n.zones.unreachable[zone] && n.leads() {
		n.setReachable(zone, true)
	}
}

func (n *Node) setReachable(zone model.Zone, reachable bool) {
	if n.zones.unreachable[zone] == !reachable {
		return
	}
	n.views.dirty = true
	n.spread.urgent = true
	n.local.reachabilityChanged = true
	if reachable {
		delete(n.zones.unreachable, zone)
		delete(n.zones.watched, zone)
		return
	}
	n.zones.unreachable[zone] = true
	n.dropZone(zone)
}

func (n *Node) dropZone(zone model.Zone) {
	for _, vm := range n.table.present(zone) {
		n.do(DropLink{VM: vm})
	}
}

// adoptReachability takes over what this zone's leader found.
func (n *Node) adoptReachability(unreachable []model.Zone) {
	for _, zone := range n.table.names {
		cut := slices.Contains(unreachable, zone)
		if cut == n.zones.unreachable[zone] {
			continue
		}
		n.views.dirty = true
		n.spread.urgent = true
		if !cut {
			delete(n.zones.unreachable, zone)
			continue
		}
		n.zones.unreachable[zone] = true
		n.dropZone(zone)
	}
}

// verifySilent starts to watch zones that another leader does not hear.
func (n *Node) verifySilent(silent []model.Zone) {
	for _, zone := range silent {
		_, watched := n.zones.watched[zone]
		known := len(n.table.present(zone)) > 0
		if zone == n.self.Zone || watched || !known || n.zones.unreachable[zone] {
			continue
		}
		n.zones.verify[zone] = n.now.Add(verifyFor)
		n.zones.watched[zone] = n.now.Add(-n.pace.SuspectAfter)
		for _, vm := range n.candidates(zone) {
			n.sendHeartbeat(vm, Heartbeat{Reply: true})
		}
	}
}

// zoneTargets returns the members of other zones that get heartbeats.
func (n *Node) zoneTargets() []model.VMID {
	if !n.leads() {
		return nil
	}
	var targets []model.VMID
	for _, zone := range n.watchedZones() {
		if n.zoneSilence(zone) >= n.pace.SuspectAfter {
			targets = append(targets, n.candidates(zone)...)
			continue
		}
		targets = append(targets, n.table.leader(zone))
	}
	return targets
}

// candidates returns a zone's leader and the members next in line.
func (n *Node) candidates(zone model.Zone) []model.VMID {
	leader := n.table.leader(zone)
	found := []model.VMID{leader}
	for _, vm := range n.table.present(zone) {
		if len(found) > zoneCandidates {
			break
		}
		if vm != leader {
			found = append(found, vm)
		}
	}
	return found
}
