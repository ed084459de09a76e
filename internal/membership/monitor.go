package membership

import (
	"cmp"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// neighboursPerSide is the number of neighbours on each side of a VM in
	// its zone's ring.
	neighboursPerSide = 2
	// maxProbeHelpers is the number of helpers asked to contact a silent
	// neighbour.
	maxProbeHelpers = 2
)

// monitor is the failure detector for the neighbours of this VM in its zone.
type monitor struct {
	// lastHeard is when a VM last proved to be running. watchedSince is when
	// this VM started to expect heartbeats from it.
	lastHeard    map[model.VMID]time.Time
	watchedSince map[model.VMID]time.Time
	// declaredDead contains the members that this VM itself declared dead.
	declaredDead map[model.VMID]bool
	// watchAllUntil extends the watch to all members of the zone until this
	// time. It is set when at least half of the neighbours are silent at once.
	watchAllUntil time.Time
	nextHeartbeat time.Time
	// targets are the VMs that get a heartbeat each interval.
	targets map[model.VMID]bool
}

func newMonitor(now time.Time, offset time.Duration) monitor {
	return monitor{
		lastHeard:     map[model.VMID]time.Time{},
		watchedSince:  map[model.VMID]time.Time{},
		declaredDead:  map[model.VMID]bool{},
		targets:       map[model.VMID]bool{},
		nextHeartbeat: now.Add(offset),
	}
}

// restart gives every watched VM the full timeout again.
func (m *monitor) restart(now time.Time) {
	for vm := range m.watchedSince {
		m.watchedSince[vm] = now
	}
}

// neighbours returns the members of the zone that this VM watches.
func (n *Node) neighbours() []model.VMID {
	ring := n.table.present(n.self.Zone)
	if n.now.Before(n.monitor.watchAllUntil) {
		return without(ring, n.self.VM)
	}
	return ringNeighbours(ring, n.self.VM, neighboursPerSide)
}

// tickMonitor updates the state of each neighbour from its silence.
func (n *Node) tickMonitor() {
	neighbours := n.neighbours()
	n.watchOnly(neighbours)
	silent := 0
	for _, vm := range neighbours {
		if n.silence(vm) >= n.intervals.SuspectAfter {
			silent++
		}
		n.checkSilence(vm)
	}
	if silent > 1 && 2*silent >= len(neighbours) {
		n.monitor.watchAllUntil = n.now.Add(2 * n.intervals.DeadAfter)
	}
}

func (n *Node) watchOnly(neighbours []model.VMID) {
	watched := make(map[model.VMID]time.Time, len(neighbours))
	for _, vm := range neighbours {
		since, ok := n.monitor.watchedSince[vm]
		if !ok {
			since = n.now
		}
		watched[vm] = since
	}
	n.monitor.watchedSince = watched
}

// silence returns how long a watched VM has not been heard.
func (n *Node) silence(vm model.VMID) time.Duration {
	last := n.monitor.lastHeard[vm]
	if since := n.monitor.watchedSince[vm]; since.After(last) {
		last = since
	}
	return n.now.Sub(last)
}

func (n *Node) checkSilence(vm model.VMID) {
	r, _ := n.table.get(vm)
	silence := n.silence(vm)
	switch {
	case silence >= n.intervals.DeadAfter:
		n.declareState(r, deadState(r.State))
		n.monitor.declaredDead[vm] = true
	case silence >= n.intervals.SuspectAfter && r.State == StateAlive:
		n.declareState(r, StateSuspect)
	}
}

func deadState(s State) State {
	if s == StateLeaving {
		return stateLeft
	}
	return StateDead
}

func (n *Node) declareState(r Record, state State) {
	r.State = state
	n.storeRecord(r)
	n.dissemination.queue(r.VM)
}

// tickHeartbeats sends the heartbeats and indirect probes of this interval.
func (n *Node) tickHeartbeats() {
	if n.now.Before(n.monitor.nextHeartbeat) {
		return
	}
	n.monitor.nextHeartbeat = n.monitor.nextHeartbeat.Add(n.intervals.Heartbeat)
	if n.monitor.nextHeartbeat.Before(n.now) {
		n.monitor.nextHeartbeat = n.now.Add(n.intervals.Heartbeat)
	}
	clear(n.monitor.targets)
	for _, vm := range n.neighbours() {
		n.sendRegularHeartbeat(vm, n.silence(vm) >= n.intervals.SuspectAfter)
	}
	for _, vm := range n.zoneTargets() {
		n.sendRegularHeartbeat(vm, false)
	}
	n.probeSilent()
}

// sendRegularHeartbeat sends the heartbeat of this interval to a target.
func (n *Node) sendRegularHeartbeat(vm model.VMID, reply bool) {
	n.monitor.targets[vm] = true
	n.sendHeartbeat(vm, Heartbeat{Reply: reply})
}

// sendHeartbeat fills in the common fields of h and sends it.
func (n *Node) sendHeartbeat(to model.VMID, h Heartbeat) {
	target, _ := n.table.get(to)
	h.Epoch = n.self.Epoch
	h.Incarnation = n.self.Incarnation
	h.Seq = n.self.Seq
	h.State = n.self.State
	h.TargetEpoch = target.Epoch
	h.TargetSeq = target.Seq
	h.TargetState = target.State
	h.Digest = n.table.digest
	n.emit(SendHeartbeat{To: to, Heartbeat: h})
}

// probeSilent asks helpers to contact the neighbours that are silent.
func (n *Node) probeSilent() {
	for _, vm := range n.neighbours() {
		if n.silence(vm) < n.intervals.SuspectAfter {
			continue
		}
		for _, helper := range n.helpers(vm) {
			n.emit(SendProbe{To: helper, Probe: Probe{Target: vm}})
		}
	}
}

// helpers returns up to maxProbeHelpers random alive members of the zone,
// without target and this VM.
func (n *Node) helpers(target model.VMID) []model.VMID {
	ring := n.table.present(n.self.Zone)
	var found []model.VMID
	for _, at := range n.rng.Perm(len(ring)) {
		vm := ring[at]
		r, _ := n.table.get(vm)
		if vm == target || vm == n.self.VM || r.State != StateAlive {
			continue
		}
		found = append(found, vm)
		if len(found) == maxProbeHelpers {
			break
		}
	}
	return found
}

// markHeard records that the process of r has just proved to be running.
func (n *Node) markHeard(r Record) {
	n.joined = true
	n.monitor.lastHeard[r.VM] = n.now
	if r.Zone != n.self.Zone {
		n.markZoneHeard(r.Zone)
	}
}

func (e HeartbeatReceived) apply(n *Node) {
	n.sender = e.From
	h := e.Heartbeat
	known, ok := n.table.get(e.From)
	switch {
	case !ok, h.identity() != known.identity() && h.Epoch >= known.Epoch:
		n.introduce(e.From)
		return
	case h.identity() != known.identity():
		n.sendRecords(e.From, []Record{known}, false)
		return
	}
	n.markHeard(known)
	n.adoptOwnState(known, h.Seq, h.State)
	contested := n.isDisputed(h)
	if contested {
		n.refute(h.TargetSeq, h.TargetState)
	}
	if h.TargetEpoch < n.self.Epoch {
		n.sendRecords(e.From, []Record{n.self}, false)
	}
	n.answerHeartbeat(e.From, h, contested)
	n.reportProbe(e.From, h)
	n.compareDigest(e.From, h.Digest)
}

// adoptOwnState applies the sequence number and state that a process reports
// about itself.
func (n *Node) adoptOwnState(known Record, seq uint64, state State) {
	own := known
	own.Seq = seq
	own.State = state
	if !state.present() || !own.supersedes(known) {
		return
	}
	n.storeRecord(own)
	n.dissemination.queue(own.VM)
}

// isDisputed reports whether the sender considers this process suspect or
// dead.
func (n *Node) isDisputed(h Heartbeat) bool {
	wrong := h.TargetState == StateSuspect || h.TargetState >= StateDead
	return wrong && h.TargetEpoch == n.self.Epoch && h.TargetSeq >= n.self.Seq
}

// answerHeartbeat responds to a heartbeat if a response is requested, if no
// regular heartbeat goes to the sender, or if the two sides disagree about
// each other's state.
func (n *Node) answerHeartbeat(to model.VMID, h Heartbeat, contested bool) {
	known, _ := n.table.get(to)
	statesDiffer := known.State != h.State && known.Seq == h.Seq
	unexpected := !h.Answer && !n.monitor.targets[to]
	asked := h.Reply && !h.Answer
	if asked || unexpected || contested || statesDiffer {
		n.sendHeartbeat(to, Heartbeat{Answer: true, Origin: h.Origin})
	}
}

// reportProbe informs the VM that requested an indirect probe of its success.
func (n *Node) reportProbe(target model.VMID, h Heartbeat) {
	if !h.Answer || h.Origin == "" || h.Origin == n.self.VM {
		return
	}
	n.emit(SendProbe{To: h.Origin, Probe: Probe{
		Target:      target,
		Reached:     true,
		Epoch:       h.Epoch,
		Incarnation: h.Incarnation,
		Seq:         h.Seq,
		State:       h.State,
	}})
}

func (e ProbeReceived) apply(n *Node) {
	n.sender = e.From
	if !e.Probe.Reached {
		n.sendHeartbeat(e.Probe.Target, Heartbeat{Reply: true, Origin: e.From})
		return
	}
	known, ok := n.table.get(e.Probe.Target)
	if !ok || known.identity() != (identity{e.Probe.Epoch, e.Probe.Incarnation}) {
		return
	}
	n.markHeard(known)
	n.adoptOwnState(known, e.Probe.Seq, e.Probe.State)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
