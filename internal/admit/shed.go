package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// overloadDuration is how long a priority counts as overloaded after it refused a
// request for lack of capacity.
const overloadDuration = time.Second

// shed refuses the waiting requests that have reached their deadline or the
// maximum age of their priority.
func (q *Queue) shed(now time.Time) {
	for len(q.deadlines.nodes) > 0 {
		e := q.deadlines.nodes[0]
		if e.request.Deadline.After(now) {
			break
		}
		q.refuseForCapacity(now, e, model.ReasonDeadline)
	}
	for p := range q.classes {
		c := &q.classes[p]
		limit := q.policy.MaxQueueAge[p]
		for limit > 0 && c.queued > 0 && now.Sub(c.waiting.head.enqueued) >= limit {
			q.refuseForCapacity(now, c.waiting.head, model.ReasonShedByAge)
		}
	}
}

// refuseForCapacity refuses a waiting entry for lack of capacity, which marks its
// priority as overloaded.
func (q *Queue) refuseForCapacity(now time.Time, e *entry, reason model.Reason) {
	q.classes[e.request.Priority].lastCapacityRefusal = now
	q.refuse(e, reason)
}

// refuse removes a waiting entry and adds the refusal to the result.
func (q *Queue) refuse(e *entry, reason model.Reason) {
	q.recordRefusal(e.request, reason, q.lastUpdate.Sub(e.enqueued))
	q.dequeue(e)
	q.recycle(e)
}

// refuseNew adds the refusal of a request that was not queued to the result.
func (q *Queue) refuseNew(c *priorityClass, req Request, reason model.Reason) {
	q.recordRefusal(req, reason, q.estimateWait(c, req))
}

func (q *Queue) recordRefusal(req Request, reason model.Reason, wait time.Duration) {
	q.result.Refusals = append(q.result.Refusals, Refusal{
		ID:     req.ID,
		Reason: reason,
		Wait:   wait,
		Queued: q.classes[req.Priority].queued,
	})
}

// refuseUnrunnable refuses the waiting requests that no server may run. With two
// usable servers or more there are none, since a request excludes at most one.
func (q *Queue) refuseUnrunnable() {
	if q.servers.usableServers > 1 {
		return
	}
	for p := range q.classes {
		waiting := &q.classes[p].waiting
		for e := waiting.head; e != nil; {
			next := waiting.after(e, false)
			if !q.servers.canRun(e.request.Exclude) {
				q.refuse(e, model.ReasonNoServer)
			}
			e = next
		}
	}
}

// makeRoom decides which request to refuse when req meets a full queue, and
// reports whether req may be queued. The request refused belongs to the account
// with the longest queue for its weight: it is req itself or the waiting request
// that would have started last.
func (q *Queue) makeRoom(now time.Time, c *priorityClass, req Request) bool {
	c.lastCapacityRefusal = now
	longest := c.byQueueLength.nodes[0]
	queued, weight := 0, q.policy.weight(req.Account)
	if a, ok := c.accounts[req.Account]; ok {
		queued = a.queued
	}
	if longest.queued*weight <= (queued+1)*longest.weight {
		q.refuseNew(c, req, model.ReasonQueueFull)
		return false
	}
	q.refuse(longest.lastToStart(c.overloaded(now)), model.ReasonDisplaced)
	return true
}

// lastToStart returns the account's waiting entry that would start last.
func (a *account) lastToStart(newestFirst bool) *entry {
	var last *entry
	for kind := range a.subqueues {
		e := a.subqueues[kind].entries.first(!newestFirst)
		if e == nil {
			continue
		}
		if last == nil || e.enqueued.Before(last.enqueued) == newestFirst {
			last = e
		}
	}
	return last
}

// estimateWait estimates how long a request would wait in its subqueue of c: the
// mean time between starts, multiplied by the number of starts until round robin
// reaches the end of its account's queue.
func (q *Queue) estimateWait(c *priorityClass, req Request) time.Duration {
	kind := subqueueOf(req)
	sub := &c.subqueues[kind]
	if sub.queued == 0 {
		return 0
	}
	weight := q.policy.weight(req.Account)
	totalWeight := sub.ring.totalWeight
	ownQueued := 0
	if a, ok := c.accounts[req.Account]; ok {
		ownQueued = a.subqueues[kind].queued
	}
	if ownQueued == 0 {
		totalWeight += weight
	}
	ahead := min(sub.queued, (ownQueued+1)*totalWeight/weight)
	return sub.dequeueInterval.value * time.Duration(ahead)
}

// willMissDeadline reports whether a request that has to wait is expected to miss
// its deadline, and if so marks the priority as overloaded.
func (q *Queue) willMissDeadline(now time.Time, c *priorityClass, req Request) bool {
	if req.Deadline.IsZero() {
		return false
	}
	if q.estimateWait(c, req) <= req.Deadline.Sub(now) {
		return false
	}
	c.lastCapacityRefusal = now
	return true
}
