package membership

import (
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// watchedZonesPerSide is the number of zones on each side that a leader
	// watches.
	watchedZonesPerSide = 2
	// maxFullMeshZones is the largest number of zones that all watch each
	// other.
	maxFullMeshZones = 8
	// maxExtraCandidates is the number of members contacted besides the leader
	// when a zone is silent.
	maxExtraCandidates = 2
	// verifyDuration is how long a leader watches a zone that another leader
	// reported as silent.
	verifyDuration = 5 * time.Second
)

// zoneMonitor is the failure detector for other zones. Its findings apply to
// this zone only: each zone's leader measures for itself, so that the findings
// of a partitioned zone cannot mislead others.
type zoneMonitor struct {
	lastHeard    map[model.Zone]time.Time
	watchedSince map[model.Zone]time.Time
	// verifyUntil contains the zones that other leaders reported as silent,
	// with the end of the watch on each.
	verifyUntil map[model.Zone]time.Time
	// unreachable contains the zones that this zone's leader found
	// unreachable.
	unreachable map[model.Zone]bool
	// silent lists the watched zones not heard for SuspectAfter, for the next
	// summary.
	silent        []model.Zone
	watchAllUntil time.Time
}

func newZoneMonitor() zoneMonitor {
	return zoneMonitor{
		lastHeard:    map[model.Zone]time.Time{},
		watchedSince: map[model.Zone]time.Time{},
		verifyUntil:  map[model.Zone]time.Time{},
		unreachable:  map[model.Zone]bool{},
	}
}

// restart gives every watched zone the full timeout again.
func (z *zoneMonitor) restart(now time.Time) {
	for zone := range z.watchedSince {
		z.watchedSince[zone] = now
	}
}

// zoneRing returns the reachable zones with running members, and this VM's own
// zone.
func (n *Node) zoneRing() []model.Zone {
	var ring []model.Zone
	for _, zone := range n.table.zoneNames {
		if n.zones.unreachable[zone] || len(n.table.present(zone)) == 0 {
			continue
		}
		ring = append(ring, zone)
	}
	return ring
}

// watchedZones returns the zones that this VM watches if it leads its zone.
func (n *Node) watchedZones() []model.Zone {
	ring := n.zoneRing()
	if len(ring) <= maxFullMeshZones || n.now.Before(n.zones.watchAllUntil) {
		return without(ring, n.self.Zone)
	}
	watched := ringNeighbours(ring, n.self.Zone, watchedZonesPerSide)
	for _, zone := range sortedKeys(n.zones.verifyUntil) {
		if slices.Contains(ring, zone) && !slices.Contains(watched, zone) {
			watched = append(watched, zone)
		}
	}
	return watched
}

// tickZones updates the reachability of other zones from their silence.
func (n *Node) tickZones() {
	if !n.isLeader() {
		clear(n.zones.watchedSince)
		return
	}
	n.expireVerifications()
	zones := n.watchedZones()
	n.watchOnlyZones(zones)
	n.zones.silent = nil
	for _, zone := range zones {
		silence := n.zoneSilence(zone)
		if silence >= n.intervals.SuspectAfter {
			n.zones.silent = append(n.zones.silent, zone)
		}
		if silence >= n.intervals.DeadAfter {
			n.setReachable(zone, false)
		}
	}
	if len(n.zones.silent) > 1 && 2*len(n.zones.silent) >= len(zones) {
		n.zones.watchAllUntil = n.now.Add(2 * n.intervals.DeadAfter)
	}
}

func (n *Node) expireVerifications() {
	for zone, until := range n.zones.verifyUntil {
		if !n.now.Before(until) {
			delete(n.zones.verifyUntil, zone)
		}
	}
}

func (n *Node) watchOnlyZones(zones []model.Zone) {
	watched := make(map[model.Zone]time.Time, len(zones))
	for _, zone := range zones {
		since, ok := n.zones.watchedSince[zone]
		if !ok {
			since = n.now
		}
		watched[zone] = since
	}
	n.zones.watchedSince = watched
}

func (n *Node) zoneSilence(zone model.Zone) time.Duration {
	last := n.zones.lastHeard[zone]
	if since := n.zones.watchedSince[zone]; since.After(last) {
		last = since
	}
	return n.now.Sub(last)
}

// markZoneHeard records that a member of another zone has just proved to be
// running.
func (n *Node) markZoneHeard(zone model.Zone) {
	n.zones.lastHeard[zone] = n.now
	if n.zones.unreachable[zone] && n.isLeader() {
		n.setReachable(zone, true)
	}
}

func (n *Node) setReachable(zone model.Zone, reachable bool) {
	if n.zones.unreachable[zone] == !reachable {
		return
	}
	n.views.dirty = true
	n.dissemination.flushNow = true
	n.local.reachabilityChanged = true
	if reachable {
		delete(n.zones.unreachable, zone)
		delete(n.zones.watchedSince, zone)
		return
	}
	n.zones.unreachable[zone] = true
	n.dropZoneLinks(zone)
}

func (n *Node) dropZoneLinks(zone model.Zone) {
	for _, vm := range n.table.present(zone) {
		n.emit(DropLink{VM: vm})
	}
}

// adoptReachability applies the findings of this zone's leader.
func (n *Node) adoptReachability(unreachable []model.Zone) {
	for _, zone := range n.table.zoneNames {
		isUnreachable := slices.Contains(unreachable, zone)
		if isUnreachable == n.zones.unreachable[zone] {
			continue
		}
		n.views.dirty = true
		n.dissemination.flushNow = true
		if !isUnreachable {
			delete(n.zones.unreachable, zone)
			continue
		}
		n.zones.unreachable[zone] = true
		n.dropZoneLinks(zone)
	}
}

// verifySilent starts to watch zones that another leader reported as silent.
func (n *Node) verifySilent(silent []model.Zone) {
	for _, zone := range silent {
		_, watched := n.zones.watchedSince[zone]
		known := len(n.table.present(zone)) > 0
		if zone == n.self.Zone || watched || !known || n.zones.unreachable[zone] {
			continue
		}
		n.zones.verifyUntil[zone] = n.now.Add(verifyDuration)
		n.zones.watchedSince[zone] = n.now.Add(-n.intervals.SuspectAfter)
		for _, vm := range n.candidates(zone) {
			n.sendHeartbeat(vm, Heartbeat{Reply: true})
		}
	}
}

// zoneTargets returns the members of other zones that get regular heartbeats.
func (n *Node) zoneTargets() []model.VMID {
	if !n.isLeader() {
		return nil
	}
	var targets []model.VMID
	for _, zone := range n.watchedZones() {
		if n.zoneSilence(zone) >= n.intervals.SuspectAfter {
			targets = append(targets, n.candidates(zone)...)
			continue
		}
		targets = append(targets, n.table.leader(zone))
	}
	return targets
}

// candidates returns a zone's leader and up to maxExtraCandidates other
// members.
func (n *Node) candidates(zone model.Zone) []model.VMID {
	leader := n.table.leader(zone)
	found := []model.VMID{leader}
	for _, vm := range n.table.present(zone) {
		if len(found) > maxExtraCandidates {
			break
		}
		if vm != leader {
			found = append(found, vm)
		}
	}
	return found
}
