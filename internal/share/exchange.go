package share

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/replica"
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
	// leavingAge is how long a VM tells new neighbours that a server leaves, and
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

// excusePause restarts the waiting for neighbours if this process itself did not run.
func (e *exchange) excusePause(now time.Time) {
	if e.nextRun.IsZero() || now.Sub(e.nextRun) < pauseTolerance {
		return
	}
	for l := range e.links() {
		if !l.waitingSince.IsZero() {
			l.waitingSince = now
		}
	}
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

func (e *exchange) sendToChildren(now time.Time) []outgoing {
	e.lastRound, e.relayDue = now, false
	var messages []outgoing
	for _, child := range byName(e.children) {
		// Only what it reports after this message belongs to the next round. An earlier
		// report would delay all reports by a round at each level.
		child.reported = false
		if !child.quiet() {
			messages = append(messages, e.build(child, now, 0))
		}
	}
	return messages
}

// sendReplies answers neighbours without traffic, and tells them what can't wait.
func (e *exchange) sendReplies(now time.Time) []outgoing {
	var messages []outgoing
	for l := range e.links() {
		if l.replyDue {
			messages = append(messages, e.build(l, now, 0))
		}
	}
	return messages
}

// probe asks suspected VMs whether they are back, and answers those that asked this VM.
func (e *exchange) probe(now time.Time) []outgoing {
	messages := e.probeReplies
	e.probeReplies = nil
	if now.Before(e.nextProbe) {
		return messages
	}
	for _, vm := range e.tree.suspected() {
		messages = append(messages, outgoing{vm, (&message{flags: toParent | flagProbe}).encode()})
		e.nextProbe = now.Add(probeInterval)
	}
	return messages
}

// links yields all links.
func (e *exchange) links() func(yield func(*link) bool) {
	return func(yield func(*link) bool) {
		if e.parent != nil && !yield(e.parent) {
			return
		}
		for _, links := range []map[model.VMID]*link{e.children, e.regions} {
			for _, l := range byName(links) {
				if !yield(l) {
					return
				}
			}
		}
	}
}

// byName returns links in the order of the names of their VMs.
func byName(links map[model.VMID]*link) []*link {
	return slices.SortedFunc(maps.Values(links), func(a, b *link) int { return cmp.Compare(a.vm.Name, b.vm.Name) })
}

// newLink returns a link with a new stream.
func (e *exchange) newLink(vm catalog.VM, direction uint64, now time.Time) *link {
	// Two bytes on the wire.
	return newLink(vm, direction, 1+e.random.Uint64N(1<<14-1), now)
}

// chooseNeighbours ends the links to silent neighbours and opens those to the parent or
// to the roots of other regions. It returns farewells to former neighbours.
func (e *exchange) chooseNeighbours(now time.Time, engaged bool) []outgoing {
	e.expireLinks(now, engaged)
	messages := e.chooseParent(now)
	if e.parent != nil {
		for _, l := range e.regions {
			e.drop(l)
		}
		return messages
	}
	e.openRegions(now)
	return messages
}

// openRegions opens the links of a root to those of the other regions, before counters
// change that are to be passed on.
func (e *exchange) openRegions(now time.Time) {
	if e.parent != nil || !e.engaged(now) {
		return
	}
	for _, vm := range e.tree.remoteRoots() {
		if _, ok := e.regions[vm.Name]; !ok {
			e.regions[vm.Name] = e.newLink(vm, toRegion, now)
		}
	}
}

func (e *exchange) expireLinks(now time.Time, engaged bool) {
	if l := e.parent; l != nil {
		timeout := parentTimeout
		switch {
		case !engaged:
			timeout = quietTimeout
		case l.heardAt.IsZero():
			timeout = firstContactTimeout
		}
		if !l.waitingSince.IsZero() && now.Sub(l.waitingSince) >= timeout {
			e.tree.suspect(l.vm)
		}
	}
	for _, l := range e.children {
		timeout := childTimeout
		if l.quiet() {
			timeout = quietTimeout
		}
		if now.Sub(l.heardAt) >= timeout {
			e.drop(l)
		}
	}
	for _, l := range e.regions {
		heardAt := l.heardAt
		if heardAt.IsZero() {
			heardAt = l.createdAt
		}
		if engaged && !l.waitingSince.IsZero() && now.Sub(l.waitingSince) >= regionTimeout {
			e.tree.suspect(l.vm)
		}
		if now.Sub(heardAt) >= regionExpiry {
			e.drop(l)
		}
	}
}

// chooseParent replaces the parent if another VM is to take its place.
func (e *exchange) chooseParent(now time.Time) []outgoing {
	vm, ok := e.tree.parent()
	old := e.parent
	if ok == (old != nil) && (!ok || old.vm.Name == vm.Name && old.vm.Started == vm.Started) {
		return nil
	}
	var messages []outgoing
	unconfirmed := map[CounterKey]uint64{}
	if old != nil {
		messages = append(messages, e.build(old, now, flagBye))
		unconfirmed = old.out.undelivered()
		e.drop(old)
	}
	if !ok {
		return messages
	}
	e.parent = e.newLink(vm, toParent, now)
	e.parent.out.held = unconfirmed
	e.nextReport, e.nextQuiet = now, now
	return messages
}

// drop ends a link and removes what was heard on it.
func (e *exchange) drop(l *link) {
	e.clearLoads(l)
	switch l.direction {
	case toParent:
		e.parent = nil
	case toChild:
		delete(e.children, l.vm.Name)
	default:
		delete(e.regions, l.vm.Name)
	}
}

// clearLoads removes the loads heard on a link.
func (e *exchange) clearLoads(l *link) {
	for index := range l.in.loads {
		e.setLoad(l, index, 0)
	}
	l.in.loads, l.in.servers = nil, nil
	e.publish()
}

// setLoad sets the load of a server as heard on a link.
func (e *exchange) setLoad(l *link, index int, load int32) {
	for len(l.in.loads) <= index {
		l.in.loads = append(l.in.loads, 0)
	}
	difference := load - l.in.loads[index]
	l.in.loads[index] = load
	if l.direction == toChild {
		e.local[index] += difference
	} else {
		e.far[index] += difference
	}
}

// publish reports the outstanding requests of all other VMs where they have changed.
func (e *exchange) publish() {
	changes := Counts{}
	for index, published := range e.published {
		remote := e.local[index] - e.own[index] + e.far[index]
		if remote != published {
			changes[e.servers[index]] = int(remote - published)
			e.published[index] = remote
		}
	}
	if len(changes) > 0 {
		e.fleet.AddRemoteCounts(changes)
	}
}

// index returns the index of a server, which it adds if needed.
func (e *exchange) index(server uint64) int {
	if index, ok := e.indexes[server]; ok {
		return index
	}
	index := len(e.servers)
	e.indexes[server] = index
	e.servers = append(e.servers, server)
	e.own, e.local, e.far = append(e.own, 0), append(e.local, 0), append(e.far, 0)
	e.published = append(e.published, 0)
	return index
}

// carries reports whether a link passes on what was heard on from; nil stands for this
// VM. What came from outside the subtree of this VM goes to its children only.
func carries(l, from *link) bool {
	return l != from && (l.direction == toChild || from == nil || from.direction == toChild)
}

// count passes on an increment of a counter.
func (e *exchange) count(key CounterKey, increment uint64, from *link) {
	for l := range e.links() {
		switch {
		case !carries(l, from):
		case l.out.sequence == 0:
			// The first message is the baseline.
			if l.out.held == nil {
				l.out.held = map[CounterKey]uint64{}
			}
			l.out.held[key] += increment
		default:
			l.out.count(key, increment)
		}
	}
}

// sample takes over what this VM itself has to report.
func (e *exchange) sample(now time.Time) {
	e.nextSample = now.Add(idleInterval)
	counts, limits, leaving := e.fleet.Outstanding(), e.fleet.LimitReports(now), e.fleet.Leaving(now)
	speeds := e.fleet.SpeedReports(now)
	active := len(counts) > 0 || len(limits) > 0 || len(leaving) > 0 || len(speeds) > 0
	e.forgetUnusedServers()
	for index, server := range e.servers {
		load := int32(counts[server])
		e.local[index] += load - e.own[index]
		e.own[index] = load
		delete(counts, server)
	}
	for _, server := range slices.Sorted(maps.Keys(counts)) {
		index := e.index(server)
		e.own[index] = int32(counts[server])
		e.local[index] += e.own[index]
	}
	uses := make([]map[uint64]uint64, len(e.counters))
	for i, counter := range e.counters {
		uses[i] = counter.Uses(now)
		active = active || len(uses[i]) > 0
	}
	if active {
		e.activeUntil = now.Add(activeTimeout)
	}
	e.openRegions(now)
	sent := map[uint64]uint64{}
	for server, report := range limits {
		sent[server] = report.Sent
		if report.Stated {
			e.addStatement(server, statement{report.Limited, report.PerSecond, now.Add(-report.Age), nil})
		}
	}
	e.addUses(limitGroup, sent)
	for i := range uses {
		e.addUses(uint8(i+1), uses[i])
	}
	for server, started := range leaving {
		e.departures[leavingServer{server, started}] = departure{now, nil}
	}
	e.speeds.forget(now)
	for _, server := range slices.Sorted(maps.Keys(speeds)) {
		e.speeds.add(server, speed{e.origin, speeds[server].Slowness, now.Add(-speeds[server].Age), nil})
	}
	e.reportLimits(now)
	e.forgetReports(now)
}

// addUses passes on the increments of this VM's counters. A count below the last one
// has begun again.
func (e *exchange) addUses(group uint8, uses map[uint64]uint64) {
	for hash, count := range uses {
		key := CounterKey{group, hash}
		last := e.lastUses[key]
		if count < last {
			last = 0
		}
		e.lastUses[key] = count
		if count > last {
			e.count(key, count-last, nil)
		}
	}
}

// reportLimits reports the requests of the other VMs to limited servers. It does so in
// each round, so that a new process of a server begins with the current count.
func (e *exchange) reportLimits(now time.Time) {
	reports := LimitReports{}
	for key, total := range e.totals {
		if key.Group == limitGroup {
			reports[key.Hash] = LimitReport{Sent: total}
		}
	}
	if len(reports) > 0 {
		e.fleet.SetRemoteLimits(others, reports, now)
	}
}

// addStatement takes over a statement if it is newer than the one known, and reports
// whether it differs from that one.
func (e *exchange) addStatement(server uint64, s statement) bool {
	known, ok := e.statements[server]
	if ok && !s.at.After(known.at) {
		return false
	}
	e.statements[server] = s
	return !ok || s.limited != known.limited || s.perSecond != known.perSecond
}

func (e *exchange) forgetReports(now time.Time) {
	for server, s := range e.statements {
		if now.Sub(s.at) >= 2*maxStatementAge {
			delete(e.statements, server)
		}
	}
	for server, d := range e.departures {
		if now.Sub(d.at) >= 2*leavingAge {
			delete(e.departures, server)
		}
	}
	for l := range e.links() {
		l.out.forgetSpeeds(now)
	}
}

// forgetUnusedServers begins all streams again if most servers with an index have no
// requests, as after many servers have been replaced.
func (e *exchange) forgetUnusedServers() {
	if len(e.servers) < maxUnusedServers {
		return
	}
	used := 0
	for index := range e.servers {
		if e.local[index] != 0 || e.far[index] != 0 {
			used++
		}
	}
	if used > len(e.servers)/4 {
		return
	}
	for l := range e.links() {
		e.clearLoads(l)
		l.in.synced, l.out.resetDue = false, true
		l.out.numbers, l.out.order, l.out.loads = nil, nil, nil
	}
	e.servers, e.own, e.local, e.far, e.published = nil, nil, nil, nil, nil
	clear(e.indexes)
}

// build returns the next message to a neighbour. flags are added to its own.
func (e *exchange) build(l *link, now time.Time, flags uint64) outgoing {
	o := &l.out
	engaged := e.engaged(now)
	withLoads := engaged && (!l.quiet() || l.direction == toParent)
	if withLoads && !o.withLoads {
		o.resetDue = true
	}
	o.withLoads = withLoads
	o.sequence++
	m := message{flags: l.direction | flags, stream: o.stream, sequence: o.stream + o.sequence}
	if o.resetDue {
		o.reset()
		m.flags |= flagReset
	}
	if !engaged {
		m.flags |= flagQuiet
	}
	if !l.in.synced && !l.heardAt.IsZero() {
		m.flags |= flagWantReset
	}
	e.addPosition(l, &m, now)
	if withLoads {
		o.appendLoads(&m, l.loadBudget(len(e.servers)), e.servers, e.loadFor(l))
	}
	o.appendCounters(&m)
	e.addReports(l, &m, now)
	e.addSpeeds(l, &m, now)
	for key, increment := range o.held {
		o.count(key, increment)
	}
	o.held = nil
	l.replyDue = false
	if l.waitingSince.IsZero() && l.direction != toChild {
		l.waitingSince = now
	}
	return outgoing{l.vm, m.encode()}
}

// loadFor returns the loads to report on a link, by index of the server.
func (e *exchange) loadFor(l *link) func(index int) int32 {
	if l.direction != toChild {
		return func(index int) int32 { return max(e.local[index], 0) }
	}
	return func(index int) int32 {
		load := e.local[index] + e.far[index]
		if index < len(l.in.loads) {
			load -= l.in.loads[index]
		}
		return max(load, 0)
	}
}

// addPosition adds the position of this VM's replica, or that of another VM which has
// been ahead for aheadDelay.
func (e *exchange) addPosition(l *link, m *message, now time.Time) {
	o := &l.out
	own := e.feed.Position()
	best, source, ahead, passedOn := own, model.VMID(""), false, false
	for from := range e.links() {
		ahead = ahead || from.in.position.After(own)
		if carries(l, from) && from.in.position.After(best) {
			best, source, passedOn = from.in.position, from.in.source, from.in.source != from.vm.Name
		}
	}
	switch {
	case !ahead:
		e.behindSince = time.Time{}
	case e.behindSince.IsZero():
		e.behindSince = now
	}
	// A position that was passed on has waited already.
	if !passedOn && (e.behindSince.IsZero() || now.Sub(e.behindSince) < aheadDelay) {
		best, source = own, ""
	}
	if best.Era != o.position.Era || source != o.source {
		m.flags |= flagSource
		m.era, m.source = best.Era, string(source)
	}
	if best.Revision != o.position.Revision {
		m.flags |= flagPosition
		m.revisionChange = int64(best.Revision - o.position.Revision)
	}
	o.position, o.source = best, source
}

// addReports adds statements of servers about their limits and servers that leave.
func (e *exchange) addReports(l *link, m *message, now time.Time) {
	o := &l.out
	for server, s := range e.statements {
		last, sent := o.statements[server]
		if !carries(l, s.from) || now.Sub(s.at) >= maxStatementAge || sent && !s.at.After(last.at) {
			continue
		}
		if !sent || s.limited != last.limited || s.perSecond != last.perSecond || s.at.Sub(last.at) >= statementRefresh {
			o.statements[server] = s
			m.statements = append(m.statements, statementRecord{server, s.limited, s.perSecond, now.Sub(s.at)})
		}
	}
	for server, d := range e.departures {
		last, sent := o.leaving[server]
		if carries(l, d.from) && now.Sub(d.at) < leavingAge && (!sent || d.at.Sub(last) >= leavingRefresh) {
			o.leaving[server] = d.at
			m.leaving = append(m.leaving, leavingRecord(server))
		}
	}
	if len(m.statements)+len(m.leaving) > 0 {
		m.flags |= flagReports
	}
}

// receive handles a message.
func (e *exchange) receive(from model.VMID, body []byte, now time.Time) error {
	m, err := decode(body)
	if err != nil {
		return err
	}
	if m.has(flagProbe) {
		e.handleProbe(from, &m)
		return nil
	}
	l := e.accept(from, &m, now)
	if l == nil {
		return nil
	}
	if m.has(flagBye) {
		e.drop(l)
		return nil
	}
	e.noteHeard(l, &m, now)
	if !l.in.follows(&m) {
		return nil
	}
	e.takePosition(l, &m, now)
	e.takeLoads(l, &m)
	// A limit must be known before the requests under it are counted.
	e.takeReports(l, &m, now)
	e.takeSpeeds(l, &m, now)
	e.takeCounters(l, &m, now)
	return nil
}

// handleProbe answers a question of another VM, or ends the suspicion against one that
// has answered.
func (e *exchange) handleProbe(from model.VMID, m *message) {
	if m.direction() == toChild {
		delete(e.tree.suspects, from)
		return
	}
	vm, ok := e.tree.byName[from]
	if !ok {
		vm = catalog.VM{Name: from}
	}
	e.probeReplies = append(e.probeReplies, outgoing{vm, (&message{flags: toChild | flagProbe}).encode()})
}

// accept returns the link of a message, or nil if it is to be ignored: it is from a VM
// that is not this VM's parent any more, or takes this VM for a root that it is not.
func (e *exchange) accept(from model.VMID, m *message, now time.Time) *link {
	vm, known := e.tree.byName[from]
	if !known {
		vm = catalog.VM{Name: from}
	}
	switch m.direction() {
	case toChild:
		if e.parent == nil || e.parent.vm.Name != from {
			return nil
		}
		return e.parent
	case toParent:
		if known && (vm.Region != e.tree.self.Region || e.tree.ranksBefore(vm)) {
			return nil
		}
		return e.acceptInto(e.children, vm, toChild, m, now)
	case toRegion:
		if e.parent != nil {
			return nil
		}
		return e.acceptInto(e.regions, vm, toRegion, m, now)
	}
	return nil
}

func (e *exchange) acceptInto(links map[model.VMID]*link, vm catalog.VM, direction uint64, m *message, now time.Time) *link {
	l, ok := links[vm.Name]
	if !ok {
		if m.has(flagBye) {
			return nil
		}
		l = e.newLink(vm, direction, now)
		links[vm.Name] = l
	}
	return l
}

// noteHeard records that a neighbour was heard and what it asks for.
func (e *exchange) noteHeard(l *link, m *message, now time.Time) {
	wasQuiet := l.in.quiet
	l.heardAt, l.waitingSince, l.reported = now, time.Time{}, true
	l.in.quiet = m.has(flagQuiet)
	l.out.confirm()
	if m.has(flagWantReset) {
		l.out.resetDue = true
	}
	e.openRegions(now)
	switch l.direction {
	case toParent:
		if !l.in.quiet {
			e.relayDue = true
			e.nextReport = now.Add(reportDelay)
			if earliest := e.lastReport.Add(minReportInterval); e.nextReport.Before(earliest) {
				e.nextReport = earliest
			}
		}
	case toChild:
		l.replyDue = l.in.quiet || wasQuiet
	case toRegion:
		l.replyDue = !l.in.quiet && !e.engaged(now)
	}
	if l.in.quiet && !wasQuiet {
		e.clearLoads(l)
		l.in.synced = false
	}
}

// follows reports whether m can be applied: it holds the whole state, or follows the last
// message. A new stream begins without totals.
func (in *inStream) follows(m *message) bool {
	next := (in.sequence + 1) % sequenceModulus
	if m.has(flagReset) {
		if m.stream != in.stream {
			in.totals = nil
		}
		in.stream, in.synced = m.stream, true
	} else if m.sequence != next {
		in.synced = false
	}
	in.sequence = m.sequence
	return in.synced
}

func (e *exchange) takePosition(l *link, m *message, now time.Time) {
	if m.has(flagReset) {
		l.in.position, l.in.source = replica.Position{}, l.vm.Name
	}
	if m.has(flagSource) {
		l.in.source = model.VMID(m.source)
		if m.source == "" {
			l.in.source = l.vm.Name
		}
	}
	l.in.position = m.position(l.in.position)
	vm, ok := e.tree.byName[l.in.source]
	if !ok {
		vm, ok = e.tree.byName[l.vm.Name]
	}
	if ok && !l.in.position.IsZero() {
		e.feed.ObservePosition(vm, l.in.position, now)
	}
}

func (e *exchange) takeLoads(l *link, m *message) {
	if m.has(flagReset) {
		for index := range l.in.loads {
			e.setLoad(l, index, 0)
		}
		l.in.servers, l.in.keys = nil, nil
	}
	for _, server := range m.newServers {
		l.in.servers = append(l.in.servers, int32(e.index(server)))
	}
	for _, load := range m.loads {
		if load.number < uint64(len(l.in.servers)) {
			e.setLoad(l, int(l.in.servers[load.number]), int32(load.value))
		}
	}
	e.publish()
}

// takeCounters adds the increments of a neighbour's counters. The first message of a
// stream is the baseline.
func (e *exchange) takeCounters(l *link, m *message, now time.Time) {
	baseline := l.in.totals == nil
	if baseline {
		l.in.totals = map[CounterKey]uint64{}
	}
	l.in.keys = append(l.in.keys, m.newKeys...)
	changed := map[uint8]bool{}
	for _, c := range m.counters {
		if c.number >= uint64(len(l.in.keys)) {
			continue
		}
		key := l.in.keys[c.number]
		last := l.in.totals[key]
		l.in.totals[key] = c.value
		if !baseline && c.value > last {
			e.totals[key] += c.value - last
			e.count(key, c.value-last, l)
			changed[key.Group] = true
		}
	}
	if changed[limitGroup] {
		e.reportLimits(now)
	}
	for i, counter := range e.counters {
		if changed[uint8(i+1)] {
			counter.SetRemoteUses(string(others), e.remoteUses(uint8(i+1)), now)
		}
	}
}

// remoteUses returns the counts of all other VMs in a group.
func (e *exchange) remoteUses(group uint8) map[uint64]uint64 {
	uses := map[uint64]uint64{}
	for key, total := range e.totals {
		if key.Group == group {
			uses[key.Hash] = total
		}
	}
	return uses
}

func (e *exchange) takeReports(l *link, m *message, now time.Time) {
	reports, leaving, urgent := LimitReports{}, LeavingReports{}, len(m.leaving) > 0
	for _, s := range m.statements {
		reports[s.server] = LimitReport{Stated: true, Limited: s.limited, PerSecond: s.perSecond, Age: s.age}
		if e.addStatement(s.server, statement{s.limited, s.perSecond, now.Add(-s.age), l}) {
			urgent = true
		}
	}
	for _, d := range m.leaving {
		leaving[d.server] = d.started
		e.departures[leavingServer(d)] = departure{now, l}
	}
	if len(reports) > 0 {
		e.fleet.SetRemoteLimits(l.vm.Name, reports, now)
	}
	if len(leaving) > 0 {
		e.fleet.SetRemoteLeaving(leaving, now)
	}
	if !urgent {
		return
	}
	for _, child := range e.children {
		child.replyDue = child.replyDue || child.quiet() && child != l
	}
}
