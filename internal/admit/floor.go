package admit

import "time"

const (
	// creditWindow bounds the slot time that a floor can be owed, as the time
	// in which the floor yields it.
	creditWindow = time.Second
	// debtServices bounds the slot time that a priority can be in debt, in
	// mean service times.
	maxDebtServiceTimes = 2
)

// floorShare returns the slot time that a floor yields in elapsed.
func floorTime(percent, slots int, elapsed time.Duration) time.Duration {
	return elapsed * time.Duration(percent*slots) / percentBase
}

// accrue moves the credit of every priority on by elapsed. A priority with
// waiting work earns its floor and pays for the slots that it holds; without
// waiting work it can pay a debt off but earns nothing.
func (q *Queue) accrueCredit(elapsed time.Duration) {
	elapsed = min(elapsed, creditWindow)
	for p := range q.classes {
		c := &q.classes[p]
		percent := q.policy.Floors[p]
		c.credit += floorTime(percent, q.servers.totalSlots, elapsed)
		c.credit -= elapsed * time.Duration(c.running)
		c.credit = min(c.credit, c.maxCredit(percent, q.servers.totalSlots))
		c.credit = max(c.credit, -c.maxDebt())
	}
}

func (c *priorityClass) maxCredit(percent, slots int) time.Duration {
	if c.queued == 0 {
		return 0
	}
	return floorTime(percent, slots, creditWindow)
}

func (c *priorityClass) maxDebt() time.Duration {
	return maxDebtServiceTimes * max(c.subqueues[subqueueShort].serviceTime.value, c.subqueues[subqueueLong].serviceTime.value)
}

// owed reports whether the priority is due a slot: it holds less than its
// floor and is not in debt for earlier work, or it holds no more than its floor
// and has credit. It never holds more than one slot beyond the floor by right,
// so that a credit does not take many slots at once.
func (q *Queue) owedFloor(c *priorityClass) bool {
	heldPercent := c.running * percentBase
	floorPercent := q.policy.Floors[c.priority] * q.servers.totalSlots
	if c.credit > 0 {
		return heldPercent < floorPercent+percentBase
	}
	return c.credit == 0 && heldPercent < floorPercent
}
