package share

import (
	"maps"
	"slices"
	"time"
)

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
