package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// reserveRecheckInterval is how often waiting requests are retried while an idle
// slot is reserved. The reservation shrinks as the rate of short requests decays.
const reserveRecheckInterval = 20 * time.Millisecond

// NextTick returns the time at which Tick should be called next, or false if
// there is nothing to wait for.
func (q *Queue) NextTick() (time.Time, bool) {
	var next earliestTime
	if len(q.deadlines.nodes) > 0 {
		next.add(q.deadlines.nodes[0].request.Deadline)
	}
	for p := range q.classes {
		c := &q.classes[p]
		if c.queued == 0 {
			continue
		}
		if limit := q.policy.MaxQueueAge[p]; limit > 0 {
			next.add(c.waiting.head.enqueued.Add(limit))
		}
		if q.servers.freeSlots > 0 {
			next.add(q.lastUpdate.Add(reserveRecheckInterval))
		}
	}
	q.addCancelTime(&next)
	return next.at, next.set
}

// addCancelTime adds the time at which a transfer may be cancelled for the oldest
// urgent request.
func (q *Queue) addCancelTime(next *earliestTime) {
	urgent := &q.classes[model.PriorityUrgent]
	budget := q.policy.CancelBudget
	if budget.Count == 0 || urgent.queued <= q.cancelling || q.cancelVictim() == nil {
		return
	}
	at := urgent.waiting.head.enqueued.Add(budget.MinWait)
	if urgent.overloaded(q.lastUpdate) {
		at = laterOf(at, urgent.lastCapacityRefusal.Add(overloadDuration))
	}
	if q.cancelWindow.used >= budget.Count {
		at = laterOf(at, q.cancelWindow.start.Add(budget.Window))
	}
	next.add(laterOf(at, q.lastUpdate))
}

// earliestTime is the earliest of the times added to it.
type earliestTime struct {
	at  time.Time
	set bool
}

func (e *earliestTime) add(t time.Time) {
	if !e.set || t.Before(e.at) {
		e.at = t
		e.set = true
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
