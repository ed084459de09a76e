package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// class is the state of one priority.
type class struct {
	priority model.Priority
	accounts map[model.AccountID]*account
	longest  indexedHeap[*account]
	rounds   [numLanes]ring
	// arrivals lists the waiting entries, oldest first.
	arrivals list
	// cancellable lists the running entries that may be cancelled, oldest
	// start first.
	cancellable list
	// cancelling counts running entries whose cancel has been asked for.
	cancelling int
	queued     int
	running    int
	// weight is the sum of the weights of the accounts that wait.
	weight int
	// credit is the slot time that the floor still owes the priority.
	credit time.Duration
	// standingSince is the time since which requests have been waiting.
	standingSince time.Time
	// lastTaken is when an entry last left the queue for a server.
	lastTaken time.Time
	// interval is the mean time between two such entries.
	interval movingMean
	service  [numLanes]movingMean
	rates    [numLanes]arrivalRate
	spare    []*account
}

func (c *class) init(p model.Priority) {
	c.priority = p
	c.accounts = make(map[model.AccountID]*account)
	c.arrivals.kind = byAge
	c.cancellable.kind = byAge
	for l := range c.rounds {
		c.rounds[l].lane = lane(l)
	}
}

// push adds e to the end of its account's queue.
func (c *class) push(now time.Time, e *entry, weight int) {
	if c.queued == 0 {
		c.standingSince = now
		c.lastTaken = now
	}
	a := c.join(e.item.Account, weight)
	e.account = a
	e.enqueued = now
	l := laneOf(e.item)
	if a.lanes[l].entries.head == nil {
		c.rounds[l].add(a)
	}
	a.lanes[l].entries.pushBack(e)
	c.arrivals.pushBack(e)
	a.queued++
	c.queued++
	c.longest.fix(a.heapIndex)
}

// join returns the account called id and starts to track it if needed.
func (c *class) join(id model.AccountID, weight int) *account {
	if a, ok := c.accounts[id]; ok {
		return a
	}
	a := c.newAccount()
	a.id = id
	a.weight = weight
	c.weight += weight
	c.accounts[id] = a
	c.longest.push(a)
	return a
}

func (c *class) newAccount() *account {
	if n := len(c.spare); n > 0 {
		a := c.spare[n-1]
		c.spare = c.spare[:n-1]
		return a
	}
	a := &account{heapIndex: notInHeap}
	for l := range a.lanes {
		a.lanes[l].entries.kind = byAccount
	}
	return a
}

// remove takes a waiting entry out and forgets its account when that was the
// account's last one.
func (c *class) remove(e *entry) {
	a := e.account
	l := laneOf(e.item)
	a.lanes[l].entries.remove(e)
	if a.lanes[l].entries.head == nil {
		c.rounds[l].remove(a)
	}
	c.arrivals.remove(e)
	e.account = nil
	a.queued--
	c.queued--
	if a.queued > 0 {
		c.longest.fix(a.heapIndex)
		return
	}
	c.longest.removeAt(a.heapIndex)
	delete(c.accounts, a.id)
	c.weight -= a.weight
	c.spare = append(c.spare, a)
}

// take removes e because a server runs it, and charges its account.
func (c *class) take(now time.Time, e *entry) {
	c.interval.add(now.Sub(c.lastTaken))
	c.lastTaken = now
	c.rounds[laneOf(e.item)].charge(e.account)
	c.remove(e)
}

// standing reports whether requests have been waiting for long.
func (c *class) standing(now time.Time) bool {
	return c.queued > 0 && now.Sub(c.standingSince) > standingAfter
}
