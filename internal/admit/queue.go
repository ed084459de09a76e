package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// Queue admits the requests for one service to the servers that one entry VM
// owns. It is not safe for concurrent use.
//
// Every offered item ends in exactly one start, refusal or Abandon. Between
// calls no waiting request could start.
type Queue struct {
	policy       Policy
	servers      serverSet
	classes      [model.NumPriorities]priorityClass
	entries      map[uint64]*entry
	deadlines    indexedHeap[*entry]
	cancelWindow cancelWindow
	// cancelling counts the running requests whose cancel was asked for.
	cancelling int
	// longRunning counts the running long transfers.
	longRunning int
	lastUpdate  time.Time
	result      Result
	freeEntries []*entry
}

// New returns a queue without servers, which refuses everything until
// SetServers names some.
func New(p Policy) *Queue {
	q := &Queue{
		policy:  p,
		servers: serverSet{byID: make(map[model.ServerID]*server)},
		entries: make(map[uint64]*entry),
	}
	for i := range q.classes {
		q.classes[i].init(model.Priority(i))
	}
	return q
}

// SetPolicy replaces the settings from the next call on. Waiting requests
// stay, also those beyond a lowered queue limit. The accounts that wait keep
// their former weights until their queues have emptied.
func (q *Queue) SetPolicy(p Policy) { q.policy = p }

// Offer asks for a slot. The item starts, waits or is refused. An ID that the
// queue holds already is ignored.
//
// Since the last call only slots kept back from long transfers can have become
// free to use. A short item may take such a slot ahead of waiting long ones; a
// long item comes after them.
func (q *Queue) Offer(now time.Time, req Request) Result {
	q.begin(now)
	if _, known := q.entries[req.ID]; known {
		return q.finish(now)
	}
	req.Priority = min(req.Priority, model.PriorityBulk)
	if req.Long {
		q.dispatch(now)
	}
	q.admit(now, req)
	q.dispatch(now)
	return q.finish(now)
}

// Done reports that a running request ended after it held its slot for
// service.
func (q *Queue) Done(now time.Time, id uint64, service time.Duration) Result {
	q.begin(now)
	e, ok := q.entries[id]
	if ok && e.running() {
		q.complete(e, service)
	}
	q.dispatch(now)
	return q.finish(now)
}

// Abandon withdraws a waiting request whose caller is gone; the result does
// not mention it. A running request keeps its slot until Done.
func (q *Queue) Abandon(now time.Time, id uint64) Result {
	e, ok := q.entries[id]
	if ok && !e.running() {
		q.dequeue(e)
		q.recycle(e)
	}
	q.begin(now)
	q.dispatch(now)
	return q.finish(now)
}

// SetServers replaces the servers and their limits. Running requests stay on
// servers that are no longer listed.
func (q *Queue) SetServers(now time.Time, servers []Server) Result {
	q.begin(now)
	q.servers.update(servers)
	q.refuseUnrunnable()
	q.dispatch(now)
	return q.finish(now)
}

// Tick sheds what has become too old. Call it at NextDeadline.
func (q *Queue) Tick(now time.Time) Result {
	q.begin(now)
	q.dispatch(now)
	return q.finish(now)
}

// Stats returns the present counts.
func (q *Queue) Stats() Stats {
	s := Stats{Slots: q.servers.totalSlots}
	for p := range q.classes {
		s.Queued[p] = q.classes[p].queued
		s.Running[p] = q.classes[p].running
		s.Busy += q.classes[p].running
	}
	return s
}

// begin clears the result buffers and brings the state up to now.
func (q *Queue) begin(now time.Time) {
	q.result.Starts = q.result.Starts[:0]
	q.result.Refusals = q.result.Refusals[:0]
	q.result.Cancels = q.result.Cancels[:0]
	if now.After(q.lastUpdate) {
		q.accrueCredit(now.Sub(q.lastUpdate))
		q.lastUpdate = now
	}
	q.shed(now)
}

func (q *Queue) finish(now time.Time) Result {
	q.cancelForUrgent(now)
	return q.result
}

// admit starts, queues or refuses an item that the queue does not hold.
func (q *Queue) admit(now time.Time, req Request) {
	c := &q.classes[req.Priority]
	kind := subqueueOf(req)
	c.subqueues[kind].arrivalRate.add(now)
	if !req.Deadline.IsZero() && !req.Deadline.After(now) {
		q.refuseNew(c, req, model.ReasonDeadline)
		return
	}
	if !q.servers.canRun(req.Exclude) {
		q.refuseNew(c, req, model.ReasonNoServer)
		return
	}
	if q.startImmediately(now, c, req) {
		return
	}
	if q.willMissDeadline(now, c, req) {
		q.refuseNew(c, req, model.ReasonDeadline)
		return
	}
	if c.queued >= max(1, q.policy.QueueLimit) && !q.makeRoom(now, c, req) {
		return
	}
	q.enqueue(now, c, req)
}

// startNew starts an item at once if a slot is idle. No waiting request could
// use that slot, or it would have been started before.
func (q *Queue) startImmediately(now time.Time, c *priorityClass, req Request) bool {
	if q.servers.freeSlots == 0 || !q.mayStart(now, req.Priority, subqueueOf(req)) {
		return false
	}
	s := q.servers.mostFree(req.Exclude)
	if s == nil {
		return false
	}
	q.startOn(q.newEntry(req), c, s)
	return true
}

// dispatch starts waiting requests while slots are idle.
func (q *Queue) dispatch(now time.Time) {
	for q.servers.freeSlots > 0 {
		e := q.nextEntry(now)
		if e == nil {
			return
		}
		s := q.servers.mostFree(e.request.Exclude)
		c := &q.classes[e.request.Priority]
		c.dequeueForStart(now, e)
		q.removeDeadline(e)
		q.startOn(e, c, s)
	}
}

// choose returns the waiting entry to start next, or nil. Priorities that are
// owed their floor go first, then all; either in order of urgency.
func (q *Queue) nextEntry(now time.Time) *entry {
	if e := q.mostUrgentEntry(now, q.owedFloor); e != nil {
		return e
	}
	return q.mostUrgentEntry(now, func(*priorityClass) bool { return true })
}

// mostUrgent returns the entry to start next of the most urgent eligible
// priority that has one.
func (q *Queue) mostUrgentEntry(now time.Time, eligible func(*priorityClass) bool) *entry {
	for p := range q.classes {
		c := &q.classes[p]
		if c.queued == 0 || !eligible(c) {
			continue
		}
		if e := q.nextInClass(now, c); e != nil {
			return e
		}
	}
	return nil
}

// candidate returns the entry of c to start next: the one that has waited
// longer of the two lanes' next ones.
func (q *Queue) nextInClass(now time.Time, c *priorityClass) *entry {
	newestFirst := c.overloaded(now)
	var best *entry
	for kind := range c.subqueues {
		if c.subqueues[kind].queued == 0 || !q.mayStart(now, c.priority, subqueueKind(kind)) {
			continue
		}
		e := q.nextStartable(&c.subqueues[kind].ring, newestFirst)
		if e == nil {
			continue
		}
		if best == nil || e.enqueued.Before(best.enqueued) {
			best = e
		}
	}
	return best
}

// startable returns the next entry of a round for which a server is idle.
func (q *Queue) nextStartable(r *accountRing, newestFirst bool) *entry {
	a := r.head
	for {
		entries := &a.subqueues[r.kind].entries
		for e := entries.first(newestFirst); e != nil; e = entries.after(e, newestFirst) {
			if e.request.Exclude == "" || q.servers.mostFree(e.request.Exclude) != nil {
				return e
			}
		}
		a = a.subqueues[r.kind].next
		if a == r.head {
			return nil
		}
	}
}

func (q *Queue) enqueue(now time.Time, c *priorityClass, req Request) {
	e := q.newEntry(req)
	c.push(now, e, q.policy.weight(req.Account))
	if !req.Deadline.IsZero() {
		q.deadlines.push(e)
	}
}

// dequeue takes a waiting entry out of every order.
func (q *Queue) dequeue(e *entry) {
	q.classes[e.request.Priority].remove(e)
	q.removeDeadline(e)
}

func (q *Queue) removeDeadline(e *entry) {
	if e.deadlineIndex != notInHeap {
		q.deadlines.removeAt(e.deadlineIndex)
	}
}

// run gives e a slot of s.
func (q *Queue) startOn(e *entry, c *priorityClass, s *server) {
	q.servers.acquire(s)
	e.server = s
	c.running++
	if e.request.Long {
		q.longRunning++
	}
	if e.cancellable() {
		c.cancellable.pushBack(e)
	}
	q.result.Starts = append(q.result.Starts, Start{ID: e.request.ID, Server: s.id})
}

// complete frees the slot of a running entry.
func (q *Queue) complete(e *entry, service time.Duration) {
	c := &q.classes[e.request.Priority]
	q.servers.release(e.server)
	c.running--
	if e.request.Long {
		q.longRunning--
	}
	switch {
	case e.cancelled:
		c.cancelling--
		q.cancelling--
	case e.cancellable():
		c.cancellable.remove(e)
	}
	if !e.cancelled {
		c.subqueues[subqueueOf(e.request)].serviceTime.add(service)
	}
	q.recycle(e)
}

func (q *Queue) newEntry(req Request) *entry {
	var e *entry
	if n := len(q.freeEntries); n > 0 {
		e = q.freeEntries[n-1]
		q.freeEntries = q.freeEntries[:n-1]
	} else {
		e = &entry{}
	}
	e.request = req
	e.deadlineIndex = notInHeap
	q.entries[req.ID] = e
	return e
}

// forget drops an entry that neither waits nor runs.
func (q *Queue) recycle(e *entry) {
	delete(q.entries, e.request.ID)
	*e = entry{deadlineIndex: notInHeap}
	q.freeEntries = append(q.freeEntries, e)
}
