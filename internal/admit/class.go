package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// priorityClass holds the state of one priority.
type priorityClass struct {
	priority model.Priority
	accounts map[model.AccountID]*account
	// byQueueLength has the account with the longest queue for its weight on
	// top.
	byQueueLength indexedHeap[*account]
	subqueues     [numSubqueues]subqueue
	// waiting lists the waiting entries, oldest first.
	waiting list
	// cancellable lists the running entries that may be cancelled, in order
	// of start.
	cancellable list
	// cancelling is the number of running entries with a requested
	// cancellation.
	cancelling int
	queued     int
	running    int
	// credit is the slot time that the floor still owes the priority; it is
	// negative when the priority has used more than its floor.
	credit time.Duration
	// lastCapacityRefusal is when a request was last refused for lack of
	// capacity.
	lastCapacityRefusal time.Time
	// freeAccounts holds unused accounts for reuse.
	freeAccounts []*account
}

// subqueue holds the short requests or the long transfers of a priority.
type subqueue struct {
	ring   accountRing
	queued int
	// lastDequeued is when an entry last left the subqueue for a server, or
	// when an entry joined the empty subqueue if that was later.
	lastDequeued time.Time
	// dequeueInterval is the mean time between two entries that leave for a
	// server.
	dequeueInterval movingMean
	// serviceTime is the mean time that requests hold their slots.
	serviceTime movingMean
	arrivalRate arrivalRate
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

// push appends e to its account's queue; weight applies to an account that has
// no waiting requests yet.
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

// accountFor returns the account with the given ID and adds it if it has no
// waiting requests yet.
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

// newAccount returns an empty account, reused if possible.
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

// remove removes a waiting entry, and its account when that has no other waiting
// entry.
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

// dequeueForStart removes e, which a server is about to run, and charges its
// account.
func (c *priorityClass) dequeueForStart(now time.Time, e *entry) {
	sub := &c.subqueues[subqueueOf(e.request)]
	sub.dequeueInterval.add(now.Sub(sub.lastDequeued))
	sub.lastDequeued = now
	sub.ring.charge(e.account)
	c.remove(e)
}

// overloaded reports whether the priority refused a request for lack of capacity
// within the last overloadDuration. It then serves the newest requests first,
// because the oldest ones are likely to be answered too late.
func (c *priorityClass) overloaded(now time.Time) bool {
	return !c.lastCapacityRefusal.IsZero() && now.Sub(c.lastCapacityRefusal) < overloadDuration
}
