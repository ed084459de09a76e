package membership

import (
	"cmp"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// ringWidth is the count of neighbours on each side of a VM in its zone.
	ringWidth = 2
	// indirectProbes is the count of helpers asked to reach a silent neighbour.
	indirectProbes = 2
)

// monitor watches the neighbours of this VM in its zone.
type monitor struct {
	// heard is when a VM last proved to run; watched is since when it is
	// expected to.
	heard   map[model.VMID]time.Time
	watched map[model.VMID]time.Time
	// declaredDead are the members that this VM itself declared dead.
	declaredDead map[model.VMID]bool
	// wideUntil is how long all members of the zone are watched, because many
	// neighbours went silent at once.
	wideUntil     time.Time
	nextHeartbeat time.Time
	// targets are the VMs that get a heartbeat each interval.
	targets map[model.VMID]bool
}

func newMonitor(now time.Time, offset time.Duration) monitor {
	return monitor{
		heard:         map[model.VMID]time.Time{},
		watched:       map[model.VMID]time.Time{},
		declaredDead:  map[model.VMID]bool{},
		targets:       map[model.VMID]bool{},
		nextHeartbeat: now.Add(offset),
	}
}

// restart gives every watched VM the full time to be heard.
func (m *monitor) restart(now time.Time) {
	for vm := range m.watched {
		m.watched[vm] = now
	}
}

// neighbours returns the members of the zone that this VM watches.
func (n *Node) neighbours() []model.VMID {
	ring := n.table.present(n.self.Zone)
	if n.now.Before(n.monitor.wideUntil) {
		return without(ring, n.self.VM)
	}
	return ringNeighbours(ring, n.self.VM, ringWidth)
}

// tickMonitor assesses each neighbour by its silence.
func (n *Node) tickMonitor() {
	neighbours := n.neighbours()
	n.watchOnly(neighbours)
	silent := 0
	for _, vm := range neighbours {
		if n.silence(vm) >= n.pace.SuspectAfter {
			silent++
		}
		n.assess(vm)
	}
	if silent > 1 && 2*silent >= len(neighbours) {
		n.monitor.wideUntil = n.now.Add(2 * n.pace.DeadAfter)
	}
}

func (n *Node) watchOnly(neighbours []model.VMID) {
	watched := make(map[model.VMID]time.Time, len(neighbours))
	for _, vm := range neighbours {
		since, ok := n.monitor.watched[vm]
		if !ok {
			since = n.now
		}
		watched[vm] = since
	}
	n.monitor.watched = watched
}

// silence returns how long a watched VM has not been heard.
func (n *Node) silence(vm model.VMID) time.Duration {
	last := n.monitor.heard[vm]
	if since := n.monitor.watched[vm]; since.After(last) {
		last = since
	}
	return n.now.Sub(last)
}

func (n *Node) assess(vm model.VMID) {
	r, _ := n.table.get(vm)
	silence := n.silence(vm)
	switch {
	case silence >= n.pace.DeadAfter:
		n.claim(r, deadState(r.State))
		n.monitor.declaredDead[vm] = true
	case silence >= n.pace.SuspectAfter && r.State == StateAlive:
		n.claim(r, StateSuspect)
	}
}

func deadState(s State) State {
	if s == StateLeaving {
		return stateLeft
	}
	return StateDead
}

func (n *Node) claim(r Record, state State) {
	r.State = state
	n.store(r)
	n.spread.queue(r.VM)
}

// tickHeartbeats sends this interval's heartbeats and indirect probes.
func (n *Node) tickHeartbeats() {
	if n.now.Before(n.monitor.nextHeartbeat) {
		return
	}
	n.monitor.nextHeartbeat = n.monitor.nextHeartbeat.Add(n.pace.Heartbeat)
	if n.monitor.nextHeartbeat.Before(n.now) {
		n.monitor.nextHeartbeat = n.now.Add(n.pace.Heartbeat)
	}
	clear(n.monitor.targets)
	for _, vm := range n.neighbours() {
		n.beat(vm, n.silence(vm) >= n.pace.SuspectAfter)
	}
	for _, vm := range n.zoneTargets() {
		n.beat(vm, false)
	}
	n.probeSilent()
}

// beat sends the regular heartbeat to a target.
func (n *Node) beat(vm model.VMID, reply bool) {
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
	n.do(SendHeartbeat{To: to, Heartbeat: h})
}

// probeSilent asks helpers to reach the neighbours that do not answer.
func (n *Node) probeSilent() {
	for _, vm := range n.neighbours() {
		if n.silence(vm) < n.pace.SuspectAfter {
			continue
		}
		for _, helper := range n.helpers(vm) {
			n.do(SendProbe{To: helper, Probe: Probe{Target: vm}})
		}
	}
}

// helpers picks members of the zone that do answer.
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
		if len(found) == indirectProbes {
			break
		}
	}
	return found
}

// hear notes that the process with record r has proved to run.
func (n *Node) hear(r Record) {
	n.joined = true
	n.monitor.heard[r.VM] = n.now
	if r.Zone != n.self.Zone {
		n.hearZone(r.Zone)
	}
}

func (e HeartbeatReceived) apply(n *Node) {
	n.source = e.From
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
	n.hear(known)
	n.adoptOwnState(known, h.Seq, h.State)
	contested := n.contested(h)
	if contested {
		n.refute(h.TargetSeq, h.TargetState)
	}
	if h.TargetEpoch < n.self.Epoch {
		n.sendRecords(e.From, []Record{n.self}, false)
	}
	n.answer(e.From, h, contested)
	n.report(e.From, h)
	n.compareDigest(e.From, h.Digest)
}

// adoptOwnState takes in what a process says of itself.
func (n *Node) adoptOwnState(known Record, seq uint64, state State) {
	own := known
	own.Seq = seq
	own.State = state
	if !state.present() || !own.supersedes(known) {
		return
	}
	n.store(own)
	n.spread.queue(own.VM)
}

// contested reports whether the sender holds this process for suspect or dead.
func (n *Node) contested(h Heartbeat) bool {
	wrong := h.TargetState == StateSuspect || h.TargetState >= StateDead
	return wrong && h.TargetEpoch == n.self.Epoch && h.TargetSeq >= n.self.Seq
}

// answer sends a heartbeat back when the sender would not get one otherwise,
// or needs to learn at once what this VM believes of it.
func (n *Node) answer(to model.VMID, h Heartbeat, contested bool) {
	known, _ := n.table.get(to)
	doubted := known.State != h.State && known.Seq == h.Seq
	unexpected := !h.Answer && !n.monitor.targets[to]
	asked := h.Reply && !h.Answer
	if asked || unexpected || contested || doubted {
		n.sendHeartbeat(to, Heartbeat{Answer: true, Origin: h.Origin})
	}
}

// report tells the VM that asked for an indirect probe of its success.
func (n *Node) report(target model.VMID, h Heartbeat) {
	if !h.Answer || h.Origin == "" || h.Origin == n.self.VM {
		return
	}
	n.do(SendProbe{To: h.Origin, Probe: Probe{
		Target:      target,
		Reached:     true,
		Epoch:       h.Epoch,
		Incarnation: h.Incarnation,
		Seq:         h.Seq,
		State:       h.State,
	}})
}

func (e ProbeReceived) apply(n *Node) {
	n.source = e.From
	if !e.Probe.Reached {
		n.sendHeartbeat(e.Probe.Target, Heartbeat{Reply: true, Origin: e.From})
		return
	}
	known, ok := n.table.get(e.Probe.Target)
	if !ok || known.identity() != (identity{e.Probe.Epoch, e.Probe.Incarnation}) {
		return
	}
	n.hear(known)
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
