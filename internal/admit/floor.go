package admit

import "time"

const (
	// creditWindow limits a priority's credit to the slot time that its floor
	// provides in this time.
	creditWindow = time.Second
	// maxDebtServiceTimes limits a priority's debt, in multiples of its longer
	// mean service time.
	maxDebtServiceTimes = 2
)

// floorTime returns the slot time that a floor of percent of slots provides in
// elapsed.
func floorTime(percent, slots int, elapsed time.Duration) time.Duration {
	return elapsed * time.Duration(percent*slots) / percentBase
}

// accrueCredit updates the credit of every priority for the time elapsed. A
// priority earns its floor and pays for the slots that it holds. Without waiting
// work it can pay off a debt but builds up no credit.
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

// maxCredit returns the upper limit of the credit.
func (c *priorityClass) maxCredit(percent, slots int) time.Duration {
	if c.queued == 0 {
		return 0
	}
	return floorTime(percent, slots, creditWindow)
}

// maxDebt returns the largest debt, as a positive duration.
func (c *priorityClass) maxDebt() time.Duration {
	return maxDebtServiceTimes * max(c.subqueues[subqueueShort].serviceTime.value, c.subqueues[subqueueLong].serviceTime.value)
}

// owedFloor reports whether the floor entitles the priority to another slot.
// Without credit or debt, it does while the priority holds less than the floor.
// With credit, the priority may exceed the floor, but by less than one slot, so
// that accumulated credit does not claim many slots at once.
func (q *Queue) owedFloor(c *priorityClass) bool {
	heldPercent := c.running * percentBase
	floorPercent := q.policy.Floors[c.priority] * q.servers.totalSlots
	if c.credit > 0 {
		return heldPercent < floorPercent+percentBase
	}
	return c.credit == 0 && heldPercent < floorPercent
}
