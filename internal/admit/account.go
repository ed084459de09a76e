package admit

import "fuchsiaspar/internal/model"

// lane separates long transfers from other requests of one priority, so that
// a long transfer that must wait does not block the others.
type subqueueKind uint8

const (
	subqueueShort subqueueKind = iota
	subqueueLong
	numSubqueues
)

func subqueueOf(req Request) subqueueKind {
	if req.Long {
		return subqueueLong
	}
	return subqueueShort
}

// accountLane holds an account's waiting entries of one lane and its place in
// the lane's round.
type accountSubqueue struct {
	entries list
	queued  int
	// deficit is the count of requests that the account may still start in
	// this round.
	deficit    int
	prev, next *account
}

// account is a client account with waiting requests of one priority.
type account struct {
	id        model.AccountID
	weight    int
	queued    int
	subqueues [numSubqueues]accountSubqueue
	heapIndex int
}

// before orders accounts by waiting requests per weight, longest first.
func (a *account) less(other *account) bool {
	return a.queued*other.weight > other.queued*a.weight
}

func (a *account) setIndex(i int) { a.heapIndex = i }

// ring is the round of accounts that have waiting entries in one lane. Each
// turn gives an account as many starts as its weight.
type accountRing struct {
	kind subqueueKind
	head *account
	// weight is the sum of the accounts' weights.
	totalWeight int
}

// add puts a at the end of the round.
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

// remove takes a out of the round.
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

// charge counts one start against a and ends its turn when it has no more.
func (r *accountRing) charge(a *account) {
	sub := &a.subqueues[r.kind]
	sub.deficit--
	for r.head == a && sub.deficit <= 0 {
		sub.deficit += a.weight
		r.head = sub.next
	}
}
