package admit_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/model"
)

// queueUnderTest is the queue that the oracle checks, or a faulty variant.
type queueUnderTest interface {
	Offer(now time.Time, req admit.Request) admit.Result
	Done(now time.Time, id uint64, service time.Duration) admit.Result
	Abandon(now time.Time, id uint64) admit.Result
	SetServers(now time.Time, servers []admit.Server) admit.Result
	Tick(now time.Time) admit.Result
	Stats() admit.Stats
}

var oraclePolicy = admit.Policy{
	Floors:       [model.NumPriorities]int{50, 20, 5},
	QueueLimit:   4,
	LongShare:    50,
	MaxQueueAge:  [model.NumPriorities]time.Duration{200 * ms, 300 * ms, 400 * ms},
	CancelBudget: admit.CancelBudget{Count: 2, Window: 100 * ms, MinWait: 10 * ms},
}

// tracked is a request that is waiting or running according to the oracle.
type tracked struct {
	req admit.Request
	// since is when the request was offered or, once it runs, started.
	since     time.Time
	server    model.ServerID
	cancelled bool
	// owedFloor is whether the floor of the request's priority entitled it to
	// a slot when it started.
	owedFloor bool
}

// oracle models a queue from its results alone and records the first invariant
// that it violates.
type oracle struct {
	queue            queueUnderTest
	now              time.Time
	lastID           uint64
	limits           map[model.ServerID]int
	waiting, running map[uint64]*tracked
	// owedTime is the upper limit of the slot time that each floor owes, times
	// 100.
	owedTime [model.NumPriorities]time.Duration
	cancels  []time.Time
	err      error
}

func newOracle(q queueUnderTest) *oracle {
	return &oracle{queue: q, now: simStart, limits: map[model.ServerID]int{},
		waiting: map[uint64]*tracked{}, running: map[uint64]*tracked{}}
}

func (o *oracle) failf(format string, args ...any) {
	if o.err == nil {
		o.err = fmt.Errorf(format, args...)
	}
}

// advance moves the time forward and updates the slot time that the floors owe.
func (o *oracle) advance(d time.Duration) {
	o.now = o.now.Add(d)
	for p := range o.owedTime {
		if o.countWaiting(func(h *tracked) bool { return int(h.req.Priority) == p }) == 0 {
			o.owedTime[p] = 0
			continue
		}
		o.owedTime[p] += d * time.Duration(oraclePolicy.Floors[p]*o.slots()-100*o.runningOf(model.Priority(p)))
		o.owedTime[p] = max(0, o.owedTime[p])
	}
}

// offer offers a request under a new ID and checks the result.
func (o *oracle) offer(req admit.Request) {
	o.lastID++
	req.ID = o.lastID
	samePriority := o.countWaiting(func(h *tracked) bool { return h.req.Priority == req.Priority })
	o.waiting[req.ID] = &tracked{req: req, since: o.now}
	result := o.queue.Offer(o.now, req)
	for _, r := range result.Refusals {
		early := r.ID == req.ID && r.Reason == model.ReasonDeadline && req.Deadline.After(o.now)
		if early && samePriority == 0 {
			o.failf("request %d refused early though none of its priority waits", r.ID)
		}
	}
	o.check(result)
}

// done ends the running request at position k in order of ID.
func (o *oracle) done(k int) {
	id, ok := nth(o.running, k)
	if !ok {
		return
	}
	service := o.now.Sub(o.running[id].since)
	delete(o.running, id)
	o.check(o.queue.Done(o.now, id, service))
}

// abandon abandons the waiting request at position k in order of ID.
func (o *oracle) abandon(k int) {
	id, ok := nth(o.waiting, k)
	if !ok {
		return
	}
	delete(o.waiting, id)
	o.check(o.queue.Abandon(o.now, id))
}

func (o *oracle) setServers(servers []admit.Server) {
	clear(o.limits)
	for _, s := range servers {
		o.limits[s.ID] = s.Limit
	}
	o.check(o.queue.SetServers(o.now, servers))
}

// check checks a result, and the state of the queue after it, against the
// invariants.
func (o *oracle) check(result admit.Result) {
	for _, r := range result.Refusals {
		o.checkRefusal(r)
	}
	var started []*tracked
	for _, s := range result.Starts {
		started = append(started, o.checkStart(s))
	}
	for _, id := range result.Cancels {
		o.checkCancel(id)
	}
	for _, s := range started {
		o.checkOrder(s)
	}
	o.checkWaiting()
	o.checkStats()
}

// checkRefusal checks that a full queue refuses a request of the account with the
// most waiting requests.
func (o *oracle) checkRefusal(r admit.Refusal) {
	h, ok := o.waiting[r.ID]
	if !ok {
		o.failf("refusal of %d, which does not wait", r.ID)
		return
	}
	if r.Reason == model.ReasonDisplaced || r.Reason == model.ReasonQueueFull {
		ownWaiting := o.waitingOf(h.req.Priority, h.req.Account)
		for _, other := range o.waiting {
			if o.waitingOf(h.req.Priority, other.req.Account) > ownWaiting {
				o.failf("request %d is refused by a full queue though another account has a longer queue", r.ID)
			}
		}
	}
	delete(o.waiting, r.ID)
}

// checkStart checks that a start respects exclusion, deadline, the server's limit and
// the slot reserved against long transfers.
func (o *oracle) checkStart(s admit.Start) *tracked {
	h, ok := o.waiting[s.ID]
	if !ok {
		o.failf("start of %d, which does not wait", s.ID)
		return nil
	}
	if h.req.Exclude == s.Server {
		o.failf("request %d starts on the server that it excludes", s.ID)
	}
	if !h.req.Deadline.IsZero() && !h.req.Deadline.After(o.now) {
		o.failf("request %d starts after its deadline", s.ID)
	}
	if o.busyOn(s.Server) >= o.limits[s.Server] {
		o.failf("request %d starts beyond the limit of %s", s.ID, s.Server)
	}
	if h.req.Long && o.slots() > 1 && o.numLong() >= o.slots()-1 {
		o.failf("long request %d takes the last slot", s.ID)
	}
	delete(o.waiting, s.ID)
	o.running[s.ID] = &tracked{req: h.req, since: o.now, server: s.Server, owedFloor: o.isOwed(h.req.Priority)}
	return o.running[s.ID]
}

// checkOrder checks that a request starts ahead of a more urgent one that could
// have used its slot only if a floor entitled it to the slot.
func (o *oracle) checkOrder(s *tracked) {
	if s == nil {
		return
	}
	p := s.req.Priority
	overtaken := o.countWaiting(func(h *tracked) bool {
		return h.req.Priority < p && !h.req.Long && h.req.Exclude != s.server
	})
	if overtaken > 0 && !s.owedFloor {
		o.failf("request %d starts ahead of more urgent ones", s.req.ID)
	}
}

// isOwed reports whether a priority holds less than its floor, or is owed slot time
// and exceeds its floor by less than one slot.
func (o *oracle) isOwed(p model.Priority) bool {
	heldPercent, floorPercent := 100*o.runningOf(p), oraclePolicy.Floors[p]*o.slots()
	return heldPercent < floorPercent || o.owedTime[p] > 0 && heldPercent < floorPercent+100
}

// checkCancel checks that a cancelled request is cancellable and that cancellations
// stay within the budget. Windows do not overlap, so any period of a window's length
// overlaps at most two.
func (o *oracle) checkCancel(id uint64) {
	h, ok := o.running[id]
	if !ok || h.cancelled || !h.req.Idempotent || !h.req.Long || h.req.Priority == model.PriorityUrgent {
		o.failf("cancel of %d, which must not be cancelled", id)
		return
	}
	h.cancelled = true
	budget := oraclePolicy.CancelBudget
	o.cancels = append(o.cancels, o.now)
	if n := len(o.cancels) - 1 - 2*budget.Count; n >= 0 && o.now.Sub(o.cancels[n]) < budget.Window {
		o.failf("more cancels than two windows' budgets within one window")
	}
}

// checkWaiting checks that no waiting request has expired or could be running.
func (o *oracle) checkWaiting() {
	reserve := max(1, o.slots()*(100-oraclePolicy.LongShare)/100)
	for id, h := range o.waiting {
		if !h.req.Deadline.IsZero() && !h.req.Deadline.After(o.now) {
			o.failf("request %d waits beyond its deadline", id)
		}
		if o.now.Sub(h.since) >= oraclePolicy.MaxQueueAge[h.req.Priority] {
			o.failf("request %d waits beyond its maximum age", id)
		}
		if h.req.Long && o.numLong() >= o.slots()-reserve {
			continue
		}
		for server, limit := range o.limits {
			if server != h.req.Exclude && o.busyOn(server) < limit {
				o.failf("request %d waits though %s is idle", id, server)
			}
		}
	}
}

// checkStats compares the queue's counts with those of the oracle.
func (o *oracle) checkStats() {
	var want admit.Stats
	for _, h := range o.waiting {
		want.Queued[h.req.Priority]++
	}
	for _, h := range o.running {
		want.Running[h.req.Priority]++
	}
	got := o.queue.Stats()
	if got.Queued != want.Queued || got.Running != want.Running {
		o.failf("queue holds %v and runs %v, want %v and %v", got.Queued, got.Running, want.Queued, want.Running)
	}
}

func (o *oracle) slots() int {
	total := 0
	for _, limit := range o.limits {
		total += limit
	}
	return total
}

func (o *oracle) countWaiting(match func(*tracked) bool) int { return count(o.waiting, match) }

// runningOf returns the number of running requests of a priority.
func (o *oracle) runningOf(p model.Priority) int {
	return count(o.running, func(h *tracked) bool { return h.req.Priority == p })
}

// busyOn returns the number of requests that run on a server.
func (o *oracle) busyOn(s model.ServerID) int {
	return count(o.running, func(h *tracked) bool { return h.server == s })
}

func (o *oracle) numLong() int { return count(o.running, func(h *tracked) bool { return h.req.Long }) }

// waitingOf returns the number of waiting requests of an account in a priority.
func (o *oracle) waitingOf(p model.Priority, a model.AccountID) int {
	return o.countWaiting(func(h *tracked) bool { return h.req.Priority == p && h.req.Account == a })
}

func count(requests map[uint64]*tracked, match func(*tracked) bool) int {
	n := 0
	for _, h := range requests {
		if match(h) {
			n++
		}
	}
	return n
}

// nth returns the ID at position k, modulo the length, in ascending order.
func nth(requests map[uint64]*tracked, k int) (uint64, bool) {
	if len(requests) == 0 {
		return 0, false
	}
	return slices.Sorted(maps.Keys(requests))[k%len(requests)], true
}
