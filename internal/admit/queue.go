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
	policy    Policy
	fleet     fleet
	classes   [model.NumPriorities]class
	entries   map[uint64]*entry
	deadlines indexedHeap[*entry]
	cancels   cancelWindow
	// cancelling counts the running requests whose cancel was asked for.
	cancelling int
	// longRunning counts the running long transfers.
	longRunning int
	last        time.Time
	result      Result
	spare       []*entry
}

// New returns a queue without servers, which refuses everything until
// SetServers names some.
func New(p Policy) *Queue {
	q := &Queue{
		policy:  p,
		fleet:   fleet{byID: make(map[model.ServerID]*server)},
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
func (q *Queue) Offer(now time.Time, item Item) Result {
	q.begin(now)
	if _, known := q.entries[item.ID]; known {
		return q.finish(now)
	}
	item.Priority = min(item.Priority, model.PriorityBulk)
	if item.Long {
		q.dispatch(now)
	}
	q.admit(now, item)
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
		q.forget(e)
	}
	q.begin(now)
	q.dispatch(now)
	return q.finish(now)
}

// SetServers replaces the servers and their limits. Running requests stay on
// servers that are no longer listed.
func (q *Queue) SetServers(now time.Time, servers []Server) Result {
	q.begin(now)
	q.fleet.set(servers)
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
	s := Stats{Slots: q.fleet.slots}
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
	if now.After(q.last) {
		q.accrue(now.Sub(q.last))
		q.last = now
	}
	q.shed(now)
}

func (q *Queue) finish(now time.Time) Result {
	q.cancelForUrgent(now)
	return q.result
}

// admit starts, queues or refuses an item that the queue does not hold.
func (q *Queue) admit(now time.Time, item Item) {
	c := &q.classes[item.Priority]
	l := laneOf(item)
	c.lanes[l].arrivals.add(now)
	if !item.Deadline.IsZero() && !item.Deadline.After(now) {
		q.refuseNew(c, item, model.ReasonDeadline)
		return
	}
	if !q.fleet.couldRun(item.Exclude) {
		q.refuseNew(c, item, model.ReasonNoServer)
		return
	}
	if q.startNew(now, c, item) {
		return
	}
	if q.tooLate(now, c, item) {
		q.refuseNew(c, item, model.ReasonDeadline)
		return
	}
	if c.queued >= max(1, q.policy.QueueLimit) && !q.makeRoom(now, c, item) {
		return
	}
	q.enqueue(now, c, item)
}

// startNew starts an item at once if a slot is idle. No waiting request could
// use that slot, or it would have been started before.
func (q *Queue) startNew(now time.Time, c *class, item Item) bool {
	if q.fleet.free == 0 || !q.mayStart(now, item.Priority, laneOf(item)) {
		return false
	}
	s := q.fleet.pick(item.Exclude)
	if s == nil {
		return false
	}
	q.run(q.newEntry(item), c, s)
	return true
}

// dispatch starts waiting requests while slots are idle.
func (q *Queue) dispatch(now time.Time) {
	for q.fleet.free > 0 {
		e := q.choose(now)
		if e == nil {
			return
		}
		s := q.fleet.pick(e.item.Exclude)
		c := &q.classes[e.item.Priority]
		c.take(now, e)
		q.dropDeadline(e)
		q.run(e, c, s)
	}
}

// choose returns the waiting entry to start next, or nil. Priorities that are
// owed their floor go first, then all; either in order of urgency.
func (q *Queue) choose(now time.Time) *entry {
	if e := q.mostUrgent(now, q.owed); e != nil {
		return e
	}
	return q.mostUrgent(now, func(*class) bool { return true })
}

// mostUrgent returns the entry to start next of the most urgent eligible
// priority that has one.
func (q *Queue) mostUrgent(now time.Time, eligible func(*class) bool) *entry {
	for p := range q.classes {
		c := &q.classes[p]
		if c.queued == 0 || !eligible(c) {
			continue
		}
		if e := q.candidate(now, c); e != nil {
			return e
		}
	}
	return nil
}

// candidate returns the entry of c to start next: the one that has waited
// longer of the two lanes' next ones.
func (q *Queue) candidate(now time.Time, c *class) *entry {
	newestFirst := c.overloaded(now)
	var best *entry
	for l := range c.lanes {
		if c.lanes[l].queued == 0 || !q.mayStart(now, c.priority, lane(l)) {
			continue
		}
		e := q.startable(&c.lanes[l].round, newestFirst)
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
func (q *Queue) startable(r *ring, newestFirst bool) *entry {
	a := r.head
	for {
		list := &a.lanes[r.lane].entries
		for e := list.first(newestFirst); e != nil; e = list.after(e, newestFirst) {
			if e.item.Exclude == "" || q.fleet.pick(e.item.Exclude) != nil {
				return e
			}
		}
		a = a.lanes[r.lane].next
		if a == r.head {
			return nil
		}
	}
}

func (q *Queue) enqueue(now time.Time, c *class, item Item) {
	e := q.newEntry(item)
	c.push(now, e, q.policy.weight(item.Account))
	if !item.Deadline.IsZero() {
		q.deadlines.push(e)
	}
}

// dequeue takes a waiting entry out of every order.
func (q *Queue) dequeue(e *entry) {
	q.classes[e.item.Priority].remove(e)
	q.dropDeadline(e)
}

func (q *Queue) dropDeadline(e *entry) {
	if e.deadlineIndex != notInHeap {
		q.deadlines.removeAt(e.deadlineIndex)
	}
}

// run gives e a slot of s.
func (q *Queue) run(e *entry, c *class, s *server) {
	q.fleet.acquire(s)
	e.server = s
	c.running++
	if e.item.Long {
		q.longRunning++
	}
	if e.cancellable() {
		c.cancellable.pushBack(e)
	}
	q.result.Starts = append(q.result.Starts, Start{ID: e.item.ID, Server: s.id})
}

// complete frees the slot of a running entry.
func (q *Queue) complete(e *entry, service time.Duration) {
	c := &q.classes[e.item.Priority]
	q.fleet.release(e.server)
	c.running--
	if e.item.Long {
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
		c.lanes[laneOf(e.item)].service.add(service)
	}
	q.forget(e)
}

func (q *Queue) newEntry(item Item) *entry {
	var e *entry
	if n := len(q.spare); n > 0 {
		e = q.spare[n-1]
		q.spare = q.spare[:n-1]
	} else {
		e = &entry{}
	}
	e.item = item
	e.deadlineIndex = notInHeap
	q.entries[item.ID] = e
	return e
}

// forget drops an entry that neither waits nor runs.
func (q *Queue) forget(e *entry) {
	delete(q.entries, e.item.ID)
	*e = entry{deadlineIndex: notInHeap}
	q.spare = append(q.spare, e)
}
