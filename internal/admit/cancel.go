package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// cancelWindow counts the cancellations requested in the current window.
type cancelWindow struct {
	start time.Time
	used  int
}

// allow reports whether the budget permits another cancellation. It starts a
// new window when the current one has ended.
func (w *cancelWindow) allow(now time.Time, budget CancelBudget) bool {
	if now.Sub(w.start) >= budget.Window {
		w.start = now
		w.used = 0
	}
	return w.used < budget.Count
}

// cancelForUrgent requests the cancellation of less urgent work while urgent
// requests have waited at least the budget's MinWait.
func (q *Queue) cancelForUrgent(now time.Time) {
	urgent := &q.classes[model.PriorityUrgent]
	for q.urgentOverdue(now, urgent) && q.cancelWindow.allow(now, q.policy.CancelBudget) {
		victim := q.cancelVictim()
		if victim == nil {
			return
		}
		q.requestCancel(victim)
	}
}

// urgentOverdue reports whether more urgent requests wait than pending
// cancellations will free slots for, and the oldest has waited at least the
// budget's MinWait. Cancellations absorb a short burst of urgent work. Under
// sustained overload they would only discard the work that the floors guarantee
// to lower priorities.
func (q *Queue) urgentOverdue(now time.Time, urgent *priorityClass) bool {
	if q.policy.CancelBudget.Count == 0 || urgent.queued <= q.cancelling {
		return false
	}
	if urgent.overloaded(now) {
		return false
	}
	waited := now.Sub(urgent.waiting.head.enqueued)
	return waited >= q.policy.CancelBudget.MinWait
}

// cancelVictim returns the most recently started cancellable request of the
// least urgent priority that keeps its floor without it, or nil.
func (q *Queue) cancelVictim() *entry {
	for p := model.NumPriorities - 1; p > int(model.PriorityUrgent); p-- {
		c := &q.classes[p]
		victim := c.cancellable.tail
		if victim == nil {
			continue
		}
		remaining := c.running - c.cancelling - 1
		if remaining*percentBase >= q.policy.Floors[p]*q.servers.totalSlots {
			return victim
		}
	}
	return nil
}

// requestCancel adds a running entry to the result's cancellations. Its slot
// stays in use until Done.
func (q *Queue) requestCancel(e *entry) {
	c := &q.classes[e.request.Priority]
	c.cancellable.remove(e)
	c.cancelling++
	e.cancelled = true
	q.cancelling++
	q.cancelWindow.used++
	q.result.Cancels = append(q.result.Cancels, e.request.ID)
}
