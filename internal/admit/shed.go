package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// standingAfter is how long requests wait without a break before the
	// queue counts as overloaded.
	standingAfter = 100 * time.Millisecond
)

// shed refuses the waiting requests whose deadline or greatest age has come.
func (q *Queue) shed(now time.Time) {
	for len(q.deadlines.nodes) > 0 {
		e := q.deadlines.nodes[0]
		if e.item.Deadline.After(now) {
			break
		}
		q.refuse(e, model.ReasonDeadline)
	}
	for p := range q.classes {
		c := &q.classes[p]
		limit := q.policy.MaxQueueAge[p]
		for limit > 0 && c.queued > 0 && now.Sub(c.arrivals.head.enqueued) >= limit {
			q.refuse(c.arrivals.head, model.ReasonShedByAge)
		}
	}
}

// refuse takes a waiting entry out and reports why.
func (q *Queue) refuse(e *entry, reason model.Reason) {
	q.dequeue(e)
	q.result.Refusals = append(q.result.Refusals, Refusal{ID: e.item.ID, Reason: reason})
	q.forget(e)
}

// refuseNew reports the refusal of an item that never entered the queue.
func (q *Queue) refuseNew(item Item, reason model.Reason) {
	q.result.Refusals = append(q.result.Refusals, Refusal{ID: item.ID, Reason: reason})
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
	longest := c.longest.nodes[0]
	queued, weight := 0, q.policy.weight(item.Account)
	if a, ok := c.accounts[item.Account]; ok {
		queued = a.queued
	}
	if longest.queued*weight <= (queued+1)*longest.weight {
		q.refuseNew(item, model.ReasonQueueFull)
		return false
	}
	q.refuse(longest.lastToServe(c.standing(now)), model.ReasonDisplaced)
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

// wait estimates how long an item of an account would wait in c.
func (q *Queue) wait(c *class, item Item) time.Duration {
	if c.queued == 0 {
		return 0
	}
	weight := q.policy.weight(item.Account)
	total := c.weight
	own := 0
	if a, ok := c.accounts[item.Account]; ok {
		own = a.queued
	} else {
		total += weight
	}
	ahead := min(c.queued, own*total/weight+total/weight)
	return c.interval.value * time.Duration(ahead)
}

// tooLate reports whether an item would miss its deadline if it had to wait.
func (q *Queue) tooLate(now time.Time, c *class, item Item) bool {
	if item.Deadline.IsZero() {
		return false
	}
	return q.wait(c, item) > item.Deadline.Sub(now)
}
