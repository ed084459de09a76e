package share

import (
	"time"

	"fuchsiaspar/internal/model"
)

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
