package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// Queue admits the requests for one service to the backend servers that one
// entry VM owns. It is not safe for concurrent use.
//
// Every offered request ends in exactly one start, refusal or Abandon. After
// each call no waiting request could be started.
type Queue struct {
	policy       Policy
	servers      serverSet
	classes      [model.NumPriorities]priorityClass
	entries      map[uint64]*entry
	deadlines    indexedHeap[*entry]
	cancelWindow cancelWindow
	// cancelling is the number of running requests with a requested
	// cancellation.
	cancelling int
	// longRunning is the number of running long transfers.
	longRunning int
	// lastUpdate is the latest time passed to a call.
	lastUpdate time.Time
	result     Result
	// freeEntries holds unused entries for reuse.
	freeEntries []*entry
}

// New returns a queue without servers. It refuses every request until SetServers
// provides servers.
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

// SetPolicy replaces the settings; they take effect with the next call. Waiting
// requests stay queued even if they exceed a lowered queue limit. An account with
// waiting requests keeps its previous weight until its queue is empty.
func (q *Queue) SetPolicy(p Policy) { q.policy = p }

// Offer requests a slot: req is started, queued or refused. It is ignored if the
// queue already holds a request with its ID.
//
// Between calls, only slots reserved against long transfers can become usable,
// when the reservation shrinks. A short request may take such a slot ahead of
// waiting long transfers; a long one lets them start first.
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

// Done reports that a running request has ended, and service as the time that it
// held its slot. An ID that is not running is ignored.
func (q *Queue) Done(now time.Time, id uint64, service time.Duration) Result {
	q.begin(now)
	e, ok := q.entries[id]
	if ok && e.running() {
		q.complete(e, service)
	}
	q.dispatch(now)
	return q.finish(now)
}

// Abandon removes a waiting request whose caller has gone; the result does not
// include it. It has no effect on a running request, which keeps its slot until
// Done.
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

// SetServers replaces the servers and their limits. Requests that run on a server
// that is no longer listed continue.
func (q *Queue) SetServers(now time.Time, servers []Server) Result {
	q.begin(now)
	q.servers.update(servers)
	q.refuseUnrunnable()
	q.dispatch(now)
	return q.finish(now)
}

// Tick sheds expired requests and starts those that can start. Call it at the
// time that NextTick returns.
func (q *Queue) Tick(now time.Time) Result {
	q.begin(now)
	q.dispatch(now)
	return q.finish(now)
}

// Stats returns the current counts.
func (q *Queue) Stats() Stats {
	s := Stats{Slots: q.servers.totalSlots}
	for p := range q.classes {
		s.Queued[p] = q.classes[p].queued
		s.Running[p] = q.classes[p].running
		s.Busy += q.classes[p].running
	}
	return s
}

// begin clears the result buffers, updates the credits to now and sheds expired
// requests.
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

// finish returns the result of a call after requesting due cancellations.
func (q *Queue) finish(now time.Time) Result {
	q.cancelForUrgent(now)
	return q.result
}

// admit starts, queues or refuses a request that the queue does not hold yet.
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

// startImmediately starts a new request if it may use an idle slot, and reports
// whether it did. No waiting request can use that slot, because it would have
// been started already.
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

// nextEntry returns the waiting entry to start next, or nil. It prefers
// priorities that are owed their floor and, among those and among the others, the
// most urgent.
func (q *Queue) nextEntry(now time.Time) *entry {
	if e := q.mostUrgentEntry(now, q.owedFloor); e != nil {
		return e
	}
	return q.mostUrgentEntry(now, func(*priorityClass) bool { return true })
}

// mostUrgentEntry returns the entry to start next from the most urgent eligible
// priority that has a startable one, or nil.
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

// nextInClass returns the entry of c to start next, or nil: of the next startable
// entries of both subqueues, the one that has waited longer.
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

// nextStartable returns the next entry in the order of the ring for which a
// server has an idle slot, or nil.
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

// enqueue adds a request to the waiting entries.
func (q *Queue) enqueue(now time.Time, c *priorityClass, req Request) {
	e := q.newEntry(req)
	c.push(now, e, q.policy.weight(req.Account))
	if !req.Deadline.IsZero() {
		q.deadlines.push(e)
	}
}

// dequeue removes a waiting entry from its priority and from the deadlines.
func (q *Queue) dequeue(e *entry) {
	q.classes[e.request.Priority].remove(e)
	q.removeDeadline(e)
}

// removeDeadline removes an entry from the deadlines if it has one.
func (q *Queue) removeDeadline(e *entry) {
	if e.deadlineIndex != notInHeap {
		q.deadlines.removeAt(e.deadlineIndex)
	}
}

// startOn gives e a slot of s and adds the start to the result.
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

// complete frees the slot of a running entry. The service times of cancelled
// requests are not counted, since they are cut short.
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

// newEntry returns an entry for a request, reused if possible.
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

// recycle removes an entry that neither waits nor runs and keeps it for reuse.
func (q *Queue) recycle(e *entry) {
	delete(q.entries, e.request.ID)
	*e = entry{deadlineIndex: notInHeap}
	q.freeEntries = append(q.freeEntries, e)
}
