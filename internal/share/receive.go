package share

import (
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/replica"
)

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
