package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// overloadHold is how long after a refusal for lack of capacity a priority
// counts as overloaded.
const overloadHold = time.Second

// shed refuses the waiting requests whose deadline or greatest age has come.
func (q *Queue) shed(now time.Time) {
	for len(q.deadlines.nodes) > 0 {
		e := q.deadlines.nodes[0]
		if e.item.Deadline.After(now) {
			break
		}
		q.refuseLate(now, e, model.ReasonDeadline)
	}
	for p := range q.classes {
		c := &q.classes[p]
		limit := q.policy.MaxQueueAge[p]
		for limit > 0 && c.queued > 0 && now.Sub(c.arrivals.head.enqueued) >= limit {
			q.refuseLate(now, c.arrivals.head, model.ReasonShedByAge)
		}
	}
}

// refuseLate refuses a waiting entry that its priority had no capacity for.
func (q *Queue) refuseLate(now time.Time, e *entry, reason model.Reason) {
	q.classes[e.item.Priority].refusedAt = now
	q.refuse(e, reason)
}

// refuse takes a waiting entry out and reports why.
func (q *Queue) refuse(e *entry, reason model.Reason) {
	q.report(e.item, reason, q.last.Sub(e.enqueued))
	q.dequeue(e)
	q.forget(e)
}

// refuseNew reports the refusal of an item that never entered the queue.
func (q *Queue) refuseNew(c *class, item Item, reason model.Reason) {
	q.report(item, reason, q.wait(c, item))
}

func (q *Queue) report(item Item, reason model.Reason, wait time.Duration) {
	q.result.Refusals = append(q.result.Refusals, Refusal{
		ID:     item.ID,
		Reason: reason,
		Wait:   wait,
		Queued: q.classes[item.Priority].queued,
	})
}

// refuseUnrunnable refuses the waiting requests that no server may run.
func (q *Queue) refuseUnrunnable() {
	if q.fleet.usable > 1 {
		return
	}
	for p := range q.classes {
		list := &q.classes[p].arrivals
		for e := list.head; e != nil; {
			next := list.after(e, false)
			if !q.fleet.couldRun(e.item.Exclude) {
				q.refuse(e, model.ReasonNoServer)
			}
			e = next
		}
	}
}

// makeRoom decides on an item for a priority whose queue is full. The account
// with the longest queue for its weight pays: either with one of its waiting
// requests, or with the item itself.
func (q *Queue) makeRoom(now time.Time, c *class, item Item) bool {
	c.refusedAt = now
	longest := c.longest.nodes[0]
	queued, weight := 0, q.policy.weight(item.Account)
	if a, ok := c.accounts[item.Account]; ok {
		queued = a.queued
	}
	if longest.queued*weight <= (queued+1)*longest.weight {
		q.refuseNew(c, item, model.ReasonQueueFull)
		return false
	}
	q.refuse(longest.lastToServe(c.overloaded(now)), model.ReasonDisplaced)
	return true
}

// lastToServe returns the account's waiting entry that would run last.
func (a *account) lastToServe(newestFirst bool) *entry {
	var last *entry
	for l := range a.lanes {
		e := a.lanes[l].entries.first(!newestFirst)
		if e == nil {
			continue
		}
		if last == nil || e.enqueued.Before(last.enqueued) == newestFirst {
			last = e
		}
	}
	return last
}

// wait estimates how long an item would wait in its lane of c: until its own
// account's queue has had its turns among those of the other accounts.
func (q *Queue) wait(c *class, item Item) time.Duration {
	l := laneOf(item)
	state := &c.lanes[l]
	if state.queued == 0 {
		return 0
	}
	weight := q.policy.weight(item.Account)
	total := state.round.weight
	own := 0
	if a, ok := c.accounts[item.Account]; ok {
		own = a.lanes[l].queued
	}
	if own == 0 {
		total += weight
	}
	ahead := min(state.queued, (own+1)*total/weight)
	return state.interval.value * time.Duration(ahead)
}

// tooLate reports whether an item would miss its deadline if it had to wait.
func (q *Queue) tooLate(now time.Time, c *class, item Item) bool {
	if item.Deadline.IsZero() {
		return false
	}
	if q.wait(c, item) <= item.Deadline.Sub(now) {
		return false
	}
	c.refusedAt = now
	return true
}
