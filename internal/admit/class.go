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
	lanes    [numLanes]laneState
	// arrivals lists the waiting entries, oldest first.
	arrivals list
	// cancellable lists the running entries that may be cancelled, oldest
	// start first.
	cancellable list
	// cancelling counts running entries whose cancel has been asked for.
	cancelling int
	queued     int
	running    int
	// credit is the slot time that the floor still owes the priority.
	credit time.Duration
	// refusedAt is when a request was last refused for lack of capacity.
	refusedAt time.Time
	spare     []*account
}

// laneState is the state of one lane of a priority.
type laneState struct {
	round  ring
	queued int
	// lastTaken is when an entry last left the queue for a server, or when
	// the first one joined an empty queue.
	lastTaken time.Time
	// interval is the mean time between two entries that leave so.
	interval movingMean
	service  movingMean
	arrivals arrivalRate
}

func (c *class) init(p model.Priority) {
	c.priority = p
	c.accounts = make(map[model.AccountID]*account)
	c.arrivals.kind = byAge
	c.cancellable.kind = byAge
	for l := range c.lanes {
		c.lanes[l].round.lane = lane(l)
	}
}

// push adds e to the end of its account's queue.
func (c *class) push(now time.Time, e *entry, weight int) {
	a := c.join(e.item.Account, weight)
	l := laneOf(e.item)
	state, own := &c.lanes[l], &a.lanes[l]
	if state.queued == 0 {
		state.lastTaken = now
	}
	if own.queued == 0 {
		state.round.add(a)
	}
	e.account = a
	e.enqueued = now
	own.entries.pushBack(e)
	c.arrivals.pushBack(e)
	own.queued++
	state.queued++
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
	state, own := &c.lanes[l], &a.lanes[l]
	own.entries.remove(e)
	c.arrivals.remove(e)
	e.account = nil
	own.queued--
	state.queued--
	a.queued--
	c.queued--
	if own.queued == 0 {
		state.round.remove(a)
	}
	if c.queued == 0 {
		c.credit = min(c.credit, 0)
	}
	if a.queued > 0 {
		c.longest.fix(a.heapIndex)
		return
	}
	c.longest.removeAt(a.heapIndex)
	delete(c.accounts, a.id)
	c.spare = append(c.spare, a)
}

// take removes e because a server runs it, and charges its account.
func (c *class) take(now time.Time, e *entry) {
	state := &c.lanes[laneOf(e.item)]
	state.interval.add(now.Sub(state.lastTaken))
	state.lastTaken = now
	state.round.charge(e.account)
	c.remove(e)
}

// overloaded reports whether the priority has had to refuse work lately. It
// then serves the newest requests first, since the oldest ones would use
// their slots to answer too late.
func (c *class) overloaded(now time.Time) bool {
	return !c.refusedAt.IsZero() && now.Sub(c.refusedAt) < overloadHold
}
