package membership

import (
	"math/rand"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// pauseThreshold is the shortest time between two steps that counts as a
	// pause of this process.
	pauseThreshold = 700 * time.Millisecond
	// minPauseTicks is the minimum number of missed ticks in a pause.
	minPauseTicks = 4
	// staleMessagePeriod is how long received messages are discarded after a
	// pause.
	staleMessagePeriod = 50 * time.Millisecond
)

// Self identifies the process that a Node runs in.
type Self struct {
	VM          model.VMID
	Zone        model.Zone
	Region      model.Region
	Address     string
	Incarnation model.Incarnation
}

// Seed is an entry VM from the settings, used for first contact.
type Seed struct {
	VM      model.VMID
	Address string
}

// NodeOptions configures a Node.
type NodeOptions struct {
	Self      Self
	Seeds     []Seed
	Rand      *rand.Rand
	Intervals Intervals
}

// Node is the membership protocol of one VM as a deterministic state machine,
// without clock, sockets or goroutines: events go into Step, and actions come
// out. It is not safe for concurrent use.
type Node struct {
	intervals Intervals
	rng       *rand.Rand
	now       time.Time
	// discardUntil is set after a pause. Messages received until then were
	// queued during the pause and are discarded.
	discardUntil time.Time
	// paused is set once this process has been paused.
	paused bool
	// sender is the sender of the message being handled, or empty.
	sender  model.VMID
	actions []Action
	stopped bool
	joined  bool

	self  Record
	table *table
	// duplicatesSince is when each other process of this VM's slot was first
	// seen.
	duplicatesSince map[model.Incarnation]time.Time

	monitor       monitor
	zones         zoneMonitor
	contacts      addressBook
	dissemination disseminator
	local         localState
	leadership    leaderState
	views         viewState
}

// NewNode returns a Node that knows only itself. Its first Step publishes the
// first view.
func NewNode(opts NodeOptions, now time.Time) *Node {
	n := &Node{
		intervals: opts.Intervals.withDefaults(),
		rng:       opts.Rand,
		now:       now,
		self: Record{
			VM:          opts.Self.VM,
			Zone:        opts.Self.Zone,
			Region:      opts.Self.Region,
			Address:     opts.Self.Address,
			Epoch:       1,
			Incarnation: opts.Self.Incarnation,
			Seq:         1,
			State:       StateAlive,
			startedAt:   now,
		},
		table:           newTable(),
		duplicatesSince: map[model.Incarnation]time.Time{},
	}
	n.table.put(n.self)
	n.monitor = newMonitor(now, n.jitter(n.intervals.Heartbeat))
	n.zones = newZoneMonitor()
	n.contacts = newAddressBook(opts.Seeds)
	n.dissemination = newDisseminator()
	n.local = newLocalState()
	n.leadership = newLeaderState(now)
	n.views.dirty = true
	return n
}

// Step applies one event at time now and returns the actions to execute, in
// order.
func (n *Node) Step(now time.Time, event Event) []Action {
	if n.stopped {
		return nil
	}
	n.detectPause(now)
	n.now = now
	n.actions = nil
	n.sender = ""
	if n.now.Before(n.discardUntil) && isPeerMessage(event) {
		return nil
	}
	event.apply(n)
	n.flood()
	if n.dissemination.flushNow {
		n.dissemination.flushSummaries(n)
	}
	n.publishIfDue()
	return n.actions
}

// detectPause detects that this process has not run for a while. The silence
// of others during a pause is no evidence against them, and messages queued
// meanwhile are out of date.
func (n *Node) detectPause(now time.Time) {
	if now.Sub(n.now) < max(pauseThreshold, minPauseTicks*n.intervals.Tick) {
		return
	}
	n.paused = true
	n.discardUntil = now.Add(staleMessagePeriod)
	n.monitor.restart(now)
	n.zones.restart(now)
}

// isPeerMessage reports whether an event carries a message from another VM.
func isPeerMessage(event Event) bool {
	switch event.(type) {
	case HeartbeatReceived, DeltaReceived, ProbeReceived:
		return true
	default:
		return false
	}
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// jitter returns a random duration in [0, limit).
func (n *Node) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.rng.Int63n(int64(limit)))
}

// isLeader reports whether this VM leads its zone.
func (n *Node) isLeader() bool { return n.table.leader(n.self.Zone) == n.self.VM }

func (Tick) apply(n *Node) {
	n.tickMonitor()
	n.tickZones()
	n.tickHeartbeats()
	n.tickContacts()
	n.tickSummary()
	n.tickLeadership()
	n.dissemination.flushSummaries(n)
}

func (e LocalUpdated) apply(n *Node) { n.local.update(e.Revision, e.Load) }

func (LeaveRequested) apply(n *Node) {
	if n.self.State == StateLeaving {
		return
	}
	n.self.State = StateLeaving
	n.self.Seq++
	n.announceSelf()
}

// announceSelf stores this VM's changed record and sends it to others.
func (n *Node) announceSelf() {
	n.table.put(n.self)
	n.dissemination.queue(n.self.VM)
	n.views.dirty = true
}
