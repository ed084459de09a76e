package admit

import "fuchsiaspar/internal/model"

// subqueueKind separates long transfers from the other requests of a priority,
// so that a long transfer that must wait does not block short requests.
type subqueueKind uint8

const (
	subqueueShort subqueueKind = iota
	subqueueLong
	numSubqueues
)

// subqueueOf returns the subqueue that a request waits in.
func subqueueOf(req Request) subqueueKind {
	if req.Long {
		return subqueueLong
	}
	return subqueueShort
}

// accountSubqueue holds an account's waiting entries in one subqueue and the
// account's position in the subqueue's ring.
type accountSubqueue struct {
	entries list
	queued  int
	// deficit is the number of requests that the account may still start in
	// its current turn.
	deficit    int
	prev, next *account
}

// account is a client account with waiting requests of one priority.
type account struct {
	id     model.AccountID
	weight int
	// queued is the number of waiting requests in all subqueues.
	queued    int
	subqueues [numSubqueues]accountSubqueue
	// heapIndex is the position in priorityClass.byQueueLength.
	heapIndex int
}

// less orders accounts by waiting requests per unit of weight, longest queue
// first.
func (a *account) less(other *account) bool {
	return a.queued*other.weight > other.queued*a.weight
}

func (a *account) setIndex(i int) { a.heapIndex = i }

// accountRing schedules the accounts with waiting entries in one subqueue by
// deficit round robin: in each turn an account may start as many requests as
// its weight.
type accountRing struct {
	kind subqueueKind
	head *account
	// totalWeight is the sum of the weights of the accounts in the ring.
	totalWeight int
}

// add appends a to the ring with a full turn.
func (r *accountRing) add(a *account) {
	sub := &a.subqueues[r.kind]
	sub.deficit = a.weight
	r.totalWeight += a.weight
	if r.head == nil {
		sub.prev, sub.next = a, a
		r.head = a
		return
	}
	last := r.head.subqueues[r.kind].prev
	sub.prev, sub.next = last, r.head
	last.subqueues[r.kind].next = a
	r.head.subqueues[r.kind].prev = a
}

// remove removes a from the ring. If it was a's turn, the next account follows.
func (r *accountRing) remove(a *account) {
	sub := &a.subqueues[r.kind]
	r.totalWeight -= a.weight
	if sub.next == a {
		r.head = nil
	} else {
		sub.prev.subqueues[r.kind].next = sub.next
		sub.next.subqueues[r.kind].prev = sub.prev
	}
	if r.head == a {
		r.head = sub.next
	}
	sub.prev, sub.next = nil, nil
}

// charge deducts one start from a's deficit and ends a's turn when none is left.
func (r *accountRing) charge(a *account) {
	sub := &a.subqueues[r.kind]
	sub.deficit--
	for r.head == a && sub.deficit <= 0 {
		sub.deficit += a.weight
		r.head = sub.next
	}
}
