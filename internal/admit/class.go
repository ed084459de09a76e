package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// class is the state of one priority.
type priorityClass struct {
	priority      model.Priority
	accounts      map[model.AccountID]*account
	byQueueLength indexedHeap[*account]
	subqueues     [numSubqueues]subqueue
	// arrivals lists the waiting entries, oldest first.
	waiting list
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
	lastCapacityRefusal time.Time
	freeAccounts        []*account
}

// laneState is the state of one lane of a priority.
type subqueue struct {
	ring   accountRing
	queued int
	// lastTaken is when an entry last left the queue for a server, or when
	// the first one joined an empty queue.
	lastDequeued time.Time
	// interval is the mean time between two entries that leave so.
	dequeueInterval movingMean
	serviceTime     movingMean
	arrivalRate     arrivalRate
}

func (c *priorityClass) init(p model.Priority) {
	c.priority = p
	c.accounts = make(map[model.AccountID]*account)
	c.waiting.kind = byAge
	c.cancellable.kind = byAge
	for kind := range c.subqueues {
		c.subqueues[kind].ring.kind = subqueueKind(kind)
	}
}

// push adds e to the end of its account's queue.
func (c *priorityClass) push(now time.Time, e *entry, weight int) {
	a := c.accountFor(e.request.Account, weight)
	kind := subqueueOf(e.request)
	sub, accountSub := &c.subqueues[kind], &a.subqueues[kind]
	if sub.queued == 0 {
		sub.lastDequeued = now
	}
	if accountSub.queued == 0 {
		sub.ring.add(a)
	}
	e.account = a
	e.enqueued = now
	accountSub.entries.pushBack(e)
	c.waiting.pushBack(e)
	accountSub.queued++
	sub.queued++
	a.queued++
	c.queued++
	c.byQueueLength.fix(a.heapIndex)
}

// join returns the account called id and starts to track it if needed.
func (c *priorityClass) accountFor(id model.AccountID, weight int) *account {
	if a, ok := c.accounts[id]; ok {
		return a
	}
	a := c.newAccount()
	a.id = id
	a.weight = weight
	c.accounts[id] = a
	c.byQueueLength.push(a)
	return a
}

func (c *priorityClass) newAccount() *account {
	if n := len(c.freeAccounts); n > 0 {
		a := c.freeAccounts[n-1]
		c.freeAccounts = c.freeAccounts[:n-1]
		return a
	}
	a := &account{heapIndex: notInHeap}
	for kind := range a.subqueues {
		a.subqueues[kind].entries.kind = byAccount
	}
	return a
}

// remove takes a waiting entry out and forgets its account when that was the
// account's last one.
func (c *priorityClass) remove(e *entry) {
	a := e.account
	kind := subqueueOf(e.request)
	sub, accountSub := &c.subqueues[kind], &a.subqueues[kind]
	accountSub.entries.remove(e)
	c.waiting.remove(e)
	e.account = nil
	accountSub.queued--
	sub.queued--
	a.queued--
	c.queued--
	if accountSub.queued == 0 {
		sub.ring.remove(a)
	}
	if c.queued == 0 {
		c.credit = min(c.credit, 0)
	}
	if a.queued > 0 {
		c.byQueueLength.fix(a.heapIndex)
		return
	}
	c.byQueueLength.removeAt(a.heapIndex)
	delete(c.accounts, a.id)
	c.freeAccounts = append(c.freeAccounts, a)
}

// take removes e because a server runs it, and charges its account.
func (c *priorityClass) dequeueForStart(now time.Time, e *entry) {
	sub := &c.subqueues[subqueueOf(e.request)]
	sub.dequeueInterval.add(now.Sub(sub.lastDequeued))
	sub.lastDequeued = now
	sub.ring.charge(e.account)
	c.remove(e)
}

// overloaded reports whether the priority has had to refuse work lately. It
// then serves the newest requests first, since the oldest ones would use
// their slots to answer too late.
func (c *priorityClass) overloaded(now time.Time) bool {
	return !c.lastCapacityRefusal.IsZero() && now.Sub(c.lastCapacityRefusal) < overloadDuration
}
