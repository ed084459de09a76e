package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// cancelWindow counts the cancels of the current window.
type cancelWindow struct {
	start time.Time
	used  int
}

// allow reports whether another cancel fits the budget.
func (w *cancelWindow) allow(now time.Time, budget CancelBudget) bool {
	if now.Sub(w.start) >= budget.Window {
		w.start = now
		w.used = 0
	}
	return w.used < budget.Count
}

// cancelForUrgent asks for the cancel of lower work while urgent requests have
// waited longer than the budget's patience and no slot is idle.
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

// urgentLate reports whether more urgent requests wait than running cancels
// will make room for, and the oldest one has run out of patience. Cancels
// bridge a short rise of urgent work. Under lasting overload they would only
// throw away what the floors keep for lower priorities.
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
// least urgent priority that holds more than its floor.
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

func (q *Queue) requestCancel(e *entry) {
	c := &q.classes[e.request.Priority]
	c.cancellable.remove(e)
	c.cancelling++
	e.cancelled = true
	q.cancelling++
	q.cancelWindow.used++
	q.result.Cancels = append(q.result.Cancels, e.request.ID)
}
