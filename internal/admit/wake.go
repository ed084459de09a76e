package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// reserveRecheck is how soon a waiting request is tried again while an idle
// slot is kept back.
const reserveRecheck = 20 * time.Millisecond

// NextDeadline returns when Tick should be called next, if at all.
func (q *Queue) NextDeadline() (time.Time, bool) {
	var next earliest
	if len(q.deadlines.nodes) > 0 {
		next.add(q.deadlines.nodes[0].item.Deadline)
	}
	for p := range q.classes {
		c := &q.classes[p]
		if c.queued == 0 {
			continue
		}
		if limit := q.policy.MaxQueueAge[p]; limit > 0 {
			next.add(c.arrivals.head.enqueued.Add(limit))
		}
		if q.fleet.free > 0 {
			next.add(q.last.Add(reserveRecheck))
		}
	}
	q.addCancelTime(&next)
	return next.at, next.set
}

// addCancelTime adds when the oldest urgent request may cause a cancel.
func (q *Queue) addCancelTime(next *earliest) {
	urgent := &q.classes[model.PriorityUrgent]
	budget := q.policy.CancelBudget
	if budget.Count == 0 || urgent.queued <= q.cancelling || q.cancelVictim() == nil {
		return
	}
	at := urgent.arrivals.head.enqueued.Add(budget.After)
	if urgent.overloaded(q.last) {
		at = later(at, urgent.refusedAt.Add(overloadHold))
	}
	if q.cancels.used >= budget.Count {
		at = later(at, q.cancels.start.Add(budget.Window))
	}
	next.add(later(at, q.last))
}

// earliest collects the earliest of several times.
type earliest struct {
	at  time.Time
	set bool
}

func (e *earliest) add(t time.Time) {
	if !e.set || t.Before(e.at) {
		e.at = t
		e.set = true
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
