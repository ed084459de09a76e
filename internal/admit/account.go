package admit

import "fuchsiaspar/internal/model"

// lane separates long transfers from other requests of one priority, so that
// a long transfer that must wait does not block the others.
type lane uint8

const (
	laneShort lane = iota
	laneLong
	numLanes
)

func laneOf(item Item) lane {
	if item.Long {
		return laneLong
	}
	return laneShort
}

// accountLane holds an account's waiting entries of one lane and its place in
// the lane's round.
type accountLane struct {
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
	lanes     [numLanes]accountLane
	heapIndex int
}

// before orders accounts by waiting requests per weight, longest first.
func (a *account) before(other *account) bool {
	return a.queued*other.weight > other.queued*a.weight
}

func (a *account) setIndex(i int) { a.heapIndex = i }

// ring is the round of accounts that have waiting entries in one lane. Each
// turn gives an account as many starts as its weight.
type ring struct {
	lane lane
	head *account
	// weight is the sum of the accounts' weights.
	weight int
}

// add puts a at the end of the round.
func (r *ring) add(a *account) {
	at := &a.lanes[r.lane]
	at.deficit = a.weight
	r.weight += a.weight
	if r.head == nil {
		at.prev, at.next = a, a
		r.head = a
		return
	}
	last := r.head.lanes[r.lane].prev
	at.prev, at.next = last, r.head
	last.lanes[r.lane].next = a
	r.head.lanes[r.lane].prev = a
}

// remove takes a out of the round.
func (r *ring) remove(a *account) {
	at := &a.lanes[r.lane]
	r.weight -= a.weight
	if at.next == a {
		r.head = nil
	} else {
		at.prev.lanes[r.lane].next = at.next
		at.next.lanes[r.lane].prev = at.prev
	}
	if r.head == a {
		r.head = at.next
	}
	at.prev, at.next = nil, nil
}

// charge counts one start against a and ends its turn when it has no more.
func (r *ring) charge(a *account) {
	at := &a.lanes[r.lane]
	at.deficit--
	for r.head == a && at.deficit <= 0 {
		at.deficit += a.weight
		r.head = at.next
	}
}
