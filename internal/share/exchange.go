package share

import (
	"math/rand/v2"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

const (
	// roundInterval is the time between two reports of a VM without news of its parent.
	roundInterval = 100 * time.Millisecond
	// reportDelay is the time from a message of the parent to the next report. All VMs of
	// a region report at about the same time therefore, and a report passes the levels of
	// the tree without waiting at each.
	reportDelay = 85 * time.Millisecond
	// minReportInterval is the least time between two reports.
	minReportInterval = 50 * time.Millisecond
	// reportGrace is how long a VM waits for the reports of its children. It covers
	// twelve hops of 3 ms.
	reportGrace = 40 * time.Millisecond
	// minRootInterval and maxRootInterval bound the time between two rounds of the root.
	minRootInterval = 95 * time.Millisecond
	maxRootInterval = 140 * time.Millisecond
	// relayInterval is the longest time between two messages to children while the parent
	// is silent.
	relayInterval = 150 * time.Millisecond
	// regionInterval is the time between two messages to another region.
	regionInterval = 200 * time.Millisecond
	// parentTimeout is how long a parent may be silent before another VM takes its place.
	// With the time to the next report, a takeover takes less than 0.5 s.
	parentTimeout = 300 * time.Millisecond
	// firstContactTimeout is the same before the first message, for the dial.
	firstContactTimeout = 500 * time.Millisecond
	// regionTimeout is the same for the root of another region.
	regionTimeout = 600 * time.Millisecond
	// childTimeout is how long the loads of a child count after its last message.
	childTimeout = 350 * time.Millisecond
	// regionExpiry is the same for the loads of another region.
	regionExpiry = 700 * time.Millisecond
	// quietInterval is the time between two messages of a VM without traffic to its
	// parent, and quietTimeout how long both wait for the other.
	quietInterval = time.Second
	quietTimeout  = 3 * time.Second
	// idleInterval is how often a VM without traffic looks for traffic.
	idleInterval = 200 * time.Millisecond
	// activeTimeout is how long a VM takes part in the exchange after its last traffic.
	activeTimeout = 3 * time.Second
	// pauseTolerance is how late a round may be before this VM blames itself, and not
	// its neighbours, for their silence.
	pauseTolerance = 200 * time.Millisecond
	// maxStatementAge is how long a statement of a server about its limit is passed on.
	maxStatementAge = 2 * time.Second
	// statementRefresh is how often an unchanged statement is repeated.
	statementRefresh = 500 * time.Millisecond
	// leavingAge is how long a VM reports to new neighbours that a server leaves, and
	// leavingRefresh how often it repeats its own reports.
	leavingAge     = 2 * time.Second
	leavingRefresh = time.Second
	// aheadDelay is how long another VM must be ahead of this one's replica before this
	// VM names it to its neighbours. In ordinary operation replicas differ for less.
	aheadDelay = 100 * time.Millisecond
	// probeInterval is how often a VM that did not answer is asked whether it is back.
	probeInterval = 400 * time.Millisecond
	// maxUnusedServers is the number of servers beyond which those without requests are
	// forgotten.
	maxUnusedServers = 4096
)

// others is the source under which the sums of all other VMs are reported.
const others = model.VMID("others")

// CounterKey identifies a cumulative counter: a group of counters and a hash within it.
type CounterKey struct {
	Group uint8
	Hash  uint64
}

// limitGroup is the group of the requests to limited servers. Counters follow.
const limitGroup = 0

// Counter is a set of cumulative counters that all VMs sum up.
type Counter interface {
	// Uses returns this VM's counts, which only grow within a process. Those that have
	// not changed lately may be missing.
	Uses(now time.Time) map[uint64]uint64
	// SetRemoteUses reports the counts of all other VMs together, as far as heard since
	// the start of this process. They only grow. source is always the same, and the first
	// report is empty.
	SetRemoteUses(source string, uses map[uint64]uint64, now time.Time)
}

// outgoing is a message to send.
type outgoing struct {
	to   catalog.VM
	body []byte
}

type leavingServer struct {
	server  uint64
	started int64
}

// statement is what a server said about its limit, and the link that it was heard on,
// nil for this VM.
type statement struct {
	limited   bool
	perSecond float64
	at        time.Time
	from      *link
}

// departure is when a server was last said to leave, and the link.
type departure struct {
	at   time.Time
	from *link
}

// exchange is this VM's part in the exchange of loads. The VMs of a region form a tree,
// whose links carry in each direction the sum of what lies beyond them; the roots
// exchange the sums of their regions. It has no goroutines, and the caller passes the
// time and sends the messages. It is not safe for concurrent use.
type exchange struct {
	tree     *tree
	fleet    Fleet
	feed     Feed
	counters []Counter
	random   *rand.Rand

	parent   *link
	children map[model.VMID]*link
	regions  map[model.VMID]*link

	// servers holds the hashes of servers by index, and indexes is the reverse.
	servers []uint64
	indexes map[uint64]int
	// own holds this VM's outstanding requests by index, local those of this VM and its
	// children, and far those of all others. published holds what the fleet knows of the
	// other VMs.
	own, local, far, published []int32
	// totals sums the counters of other VMs, and lastUses holds this VM's counts.
	totals, lastUses map[CounterKey]uint64
	statements       map[uint64]statement
	departures       map[leavingServer]departure
	// speeds holds the reports about slow servers, and origin is this VM in them.
	speeds speedTable
	origin uint16

	// activeUntil is when this VM's traffic counts as ended.
	activeUntil time.Time
	// wasEngaged is what engaged returned in the last run.
	wasEngaged bool
	// nextReport, nextQuiet and nextSample are when they are due; lastRound and lastRelay
	// are those of the messages to the children, and lastRegions to other regions.
	nextReport, nextQuiet, nextSample  time.Time
	lastReport, lastRound, lastRegions time.Time
	// relayDue reports that the parent has sent something to pass on.
	relayDue bool
	// behindSince is since when another VM is known to be ahead of this one's replica.
	behindSince time.Time
	nextRun     time.Time
	// nextProbe is when suspected VMs are asked again, and probeReplies are due.
	nextProbe    time.Time
	probeReplies []outgoing
}

func newExchange(self catalog.VM, fleet Fleet, feed Feed, counters []Counter, random *rand.Rand) *exchange {
	return &exchange{
		tree: newTree(self), fleet: fleet, feed: feed, counters: counters, random: random,
		children: map[model.VMID]*link{}, regions: map[model.VMID]*link{}, indexes: map[uint64]int{},
		totals: map[CounterKey]uint64{}, lastUses: map[CounterKey]uint64{}, statements: map[uint64]statement{},
		departures: map[leavingServer]departure{}, speeds: speedTable{}, origin: speedOrigin(self.Name),
	}
}

// engaged reports whether this VM or one of its children has traffic.
func (e *exchange) engaged(now time.Time) bool {
	if now.Before(e.activeUntil) {
		return true
	}
	for _, child := range e.children {
		if !child.quiet() {
			return true
		}
	}
	return false
}

// run does what is due and returns the messages to send and the time of the next call.
func (e *exchange) run(now time.Time, vms []catalog.VM) ([]outgoing, time.Time) {
	e.tree.set(vms)
	if e.nextRun.IsZero() {
		// The first report of a source is the baseline.
		for _, counter := range e.counters {
			counter.SetRemoteUses(string(others), map[uint64]uint64{}, now)
		}
	}
	e.excusePause(now)
	messages := e.chooseParent(now)
	if !now.Before(e.nextSample) {
		e.sample(now)
	}
	engaged := e.engaged(now)
	if engaged && !e.wasEngaged && e.parent != nil {
		// Until now the parent answered once a second only.
		e.parent.waitingSince = time.Time{}
	}
	e.wasEngaged = engaged
	messages = append(messages, e.chooseNeighbours(now, engaged)...)
	engaged = e.engaged(now)
	switch {
	case !engaged:
		messages = append(messages, e.runQuiet(now)...)
	case e.parent == nil:
		messages = append(messages, e.runRoot(now)...)
	default:
		messages = append(messages, e.runInner(now)...)
	}
	messages = append(messages, e.sendReplies(now)...)
	messages = append(messages, e.probe(now)...)
	e.nextRun = e.deadline(now, engaged)
	return messages, e.nextRun
}

func (e *exchange) deadline(now time.Time, engaged bool) time.Time {
	next := e.nextSample
	if len(e.tree.suspects) > 0 && e.nextProbe.Before(next) {
		next = e.nextProbe
	}
	earlier := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	switch {
	case !engaged:
		earlier(e.nextQuiet)
	case e.parent == nil && e.childrenReported():
		earlier(e.lastRound.Add(minRootInterval))
	case e.parent == nil:
		earlier(e.lastRound.Add(maxRootInterval))
	case e.childrenReported():
		earlier(e.nextReport)
	default:
		earlier(e.nextReport.Add(reportGrace))
	}
	if engaged && e.parent != nil && len(e.children) > 0 {
		earlier(e.lastRound.Add(relayInterval))
	}
	if least := now.Add(time.Millisecond); next.Before(least) {
		return least
	}
	return next
}

// childrenReported reports whether all children with traffic have been heard since the
// last message to them.
func (e *exchange) childrenReported() bool {
	for _, child := range e.children {
		if !child.quiet() && !child.reported {
			return false
		}
	}
	return true
}

// runQuiet sends the occasional message of a VM without traffic.
func (e *exchange) runQuiet(now time.Time) []outgoing {
	if now.Before(e.nextQuiet) {
		return nil
	}
	e.nextQuiet = now.Add(quietInterval)
	if e.parent == nil {
		return nil
	}
	return []outgoing{e.build(e.parent, now, 0)}
}

// runRoot runs a round of the root once its children have reported.
func (e *exchange) runRoot(now time.Time) []outgoing {
	since := now.Sub(e.lastRound)
	if since < minRootInterval || since < maxRootInterval && !e.childrenReported() {
		return nil
	}
	e.sample(now)
	messages := e.sendToChildren(now)
	if now.Sub(e.lastRegions) < regionInterval-roundInterval/4 {
		return messages
	}
	e.lastRegions = now
	for _, l := range byName(e.regions) {
		messages = append(messages, e.build(l, now, 0))
	}
	return messages
}

// runInner reports to the parent once the children have reported, and passes on what
// the parent has sent.
func (e *exchange) runInner(now time.Time) []outgoing {
	var messages []outgoing
	if !now.Before(e.nextReport) && (e.childrenReported() || !now.Before(e.nextReport.Add(reportGrace))) {
		e.sample(now)
		e.lastReport, e.nextReport = now, now.Add(roundInterval)
		messages = append(messages, e.build(e.parent, now, 0))
	}
	if len(e.children) > 0 && (e.relayDue || now.Sub(e.lastRound) >= relayInterval) {
		messages = append(messages, e.sendToChildren(now)...)
	}
	return messages
}
