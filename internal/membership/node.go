package membership

import (
	"math/rand"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// pauseAfter is the time between two steps that counts as a pause.
	pauseAfter = 700 * time.Millisecond
	// pauseTicks is the least count of missed ticks in a pause.
	pauseTicks = 4
	// staleFor is how long messages are thrown away after a pause.
	staleFor = 50 * time.Millisecond
)

// Self describes the process that a Node runs in.
type Self struct {
	VM          model.VMID
	Zone        model.Zone
	Region      model.Region
	Address     string
	Incarnation model.Incarnation
}

// Seed is an entry VM that settings name for first contact.
type Seed struct {
	VM      model.VMID
	Address string
}

// NodeOptions configure a Node.
type NodeOptions struct {
	Self      Self
	Seeds     []Seed
	Rand      *rand.Rand
	Intervals Intervals
}

// Node is the membership state of one VM as a pure state machine: it has no
// clock, socket or goroutine. It is not safe for concurrent use.
type Node struct {
	pace Intervals
	rng  *rand.Rand
	now  time.Time
	// staleUntil is set after a pause, until the messages that waited through
	// it have been thrown away.
	staleUntil time.Time
	// paused is set once this process has not run for a while.
	paused bool
	// source is the sender of the message being handled.
	source  model.VMID
	actions []Action
	stopped bool
	joined  bool

	self  Record
	table *table
	// duplicates is since when other processes of this VM's slot are known.
	duplicates map[model.Incarnation]time.Time

	monitor  monitor
	zones    zoneMonitor
	contacts contactBook
	spread   spreader
	local    localState
	duty     duty
	views    viewState
}

// NewNode returns a Node that knows only itself. Its first view is published
// by the first Step.
func NewNode(opts NodeOptions, now time.Time) *Node {
	n := &Node{
		pace: opts.Intervals.withDefaults(),
		rng:  opts.Rand,
		now:  now,
		self: Record{
			VM:          opts.Self.VM,
			Zone:        opts.Self.Zone,
			Region:      opts.Self.Region,
			Address:     opts.Self.Address,
			Epoch:       1,
			Incarnation: opts.Self.Incarnation,
			Seq:         1,
			State:       StateAlive,
			born:        now,
		},
		table:      newTable(),
		duplicates: map[model.Incarnation]time.Time{},
	}
	n.table.put(n.self)
	n.monitor = newMonitor(now, n.jitter(n.pace.Heartbeat))
	n.zones = newZoneMonitor()
	n.contacts = newContactBook(opts.Seeds)
	n.spread = newSpreader()
	n.local = newLocalState()
	n.duty = newDuty(now)
	n.views.dirty = true
	return n
}

// Step applies one event at time now and returns what is to be done, in order.
func (n *Node) Step(now time.Time, event Event) []Action {
	if n.stopped {
		return nil
	}
	n.notePause(now)
	n.now = now
	n.actions = nil
	n.source = ""
	if n.now.Before(n.staleUntil) && received(event) {
		return nil
	}
	event.apply(n)
	n.flood()
	if n.spread.urgent {
		n.spread.flushSummaries(n)
	}
	n.publishIfDue()
	return n.actions
}

// notePause notices that this process has not run for a while. Its silence is
// then not the others', and what waited for it meanwhile is out of date.
func (n *Node) notePause(now time.Time) {
	if now.Sub(n.now) < max(pauseAfter, pauseTicks*n.pace.Tick) {
		return
	}
	n.paused = true
	n.staleUntil = now.Add(staleFor)
	n.monitor.restart(now)
	n.zones.restart(now)
}

// received reports whether an event brings a message of another VM.
func received(event Event) bool {
	switch event.(type) {
	case HeartbeatReceived, DeltaReceived, ProbeReceived:
		return true
	default:
		return false
	}
}

func (n *Node) do(a Action) { n.actions = append(n.actions, a) }

// jitter returns a random duration below limit.
func (n *Node) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.rng.Int63n(int64(limit)))
}

// leads reports whether this VM leads its zone.
func (n *Node) leads() bool { return n.table.leader(n.self.Zone) == n.self.VM }

func (Tick) apply(n *Node) {
	n.tickMonitor()
	n.tickZones()
	n.tickHeartbeats()
	n.tickContacts()
	n.tickSummary()
	n.tickDuty()
	n.spread.flushSummaries(n)
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

// announceSelf stores this VM's changed record and tells the others.
func (n *Node) announceSelf() {
	n.table.put(n.self)
	n.spread.queue(n.self.VM)
	n.views.dirty = true
}
