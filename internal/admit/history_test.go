package admit_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/histories"
	"fuchsiaspar/internal/model"
)

var (
	historyCount = flag.Int("histories", 100, "histories per oracle")
	seed         = flag.Int64("seed", 1, "seed of the histories")
)

// historyLength is the count of commands in one history.
const historyLength = 150

// Apply makes time pass and runs the drawn command.
func (o *oracle) Apply(d histories.Draw) error {
	o.advance(time.Duration(d.Take(4)) * 5 * ms)
	switch d.Take(12) {
	case 0, 1, 2, 3, 4, 5:
		o.offer(drawItem(&d, o.now))
	case 6, 7, 8:
		o.done(d.Take(64))
	case 9:
		o.abandon(d.Take(64))
	case 10:
		o.setServers(drawServers(&d))
	default:
		o.check(o.queue.Tick(o.now))
	}
	return o.err
}

func drawItem(d *histories.Draw, now time.Time) admit.Item {
	item := admit.Item{
		Account:    model.AccountID(fmt.Sprint("a", d.Take(3))),
		Priority:   model.Priority(d.Take(model.NumPriorities)),
		Idempotent: d.Take(2) == 0,
		Long:       d.Take(4) == 0,
	}
	if d.Take(4) > 0 {
		item.Deadline = now.Add(time.Duration(d.Take(40)-1) * 5 * ms)
	}
	if d.Take(6) == 0 {
		item.Exclude = serverID(d.Take(3))
	}
	return item
}

func drawServers(d *histories.Draw) []admit.Server {
	var servers []admit.Server
	for i := range 3 {
		if limit := d.Take(6) - 1; limit >= 0 {
			servers = append(servers, admit.Server{ID: serverID(i), Limit: min(limit, 3)})
		}
	}
	return servers
}

// checkHistories runs random histories against what build returns.
func checkHistories(build func() subject) *gopter.TestResult {
	opts := histories.Options{Seed: *seed, Count: *historyCount, Length: historyLength}
	return histories.Check(opts, func() histories.Subject {
		o := newOracle(build())
		o.setServers([]admit.Server{{ID: "s0", Limit: 2}, {ID: "s1", Limit: 2}})
		return o
	})
}

func TestQueueKeepsPromises(t *testing.T) {
	result := checkHistories(func() subject { return admit.New(oraclePolicy) })
	if !result.Passed() {
		t.Errorf("seed %d: %v", *seed, result)
	}
}

// broken passes calls on to a queue after a fault has changed them.
type broken struct {
	*admit.Queue
	item    func(*admit.Item)
	server  func(*admit.Server)
	result  func(*admit.Result)
	dropped uint64
}

func (b *broken) Offer(now time.Time, item admit.Item) admit.Result {
	if b.dropped > 0 && item.ID%b.dropped == 0 {
		return b.Tick(now)
	}
	if b.item != nil {
		b.item(&item)
	}
	return b.alter(b.Queue.Offer(now, item))
}

func (b *broken) Tick(now time.Time) admit.Result { return b.alter(b.Queue.Tick(now)) }

func (b *broken) SetServers(now time.Time, servers []admit.Server) admit.Result {
	for i := range servers {
		if b.server != nil {
			b.server(&servers[i])
		}
	}
	return b.alter(b.Queue.SetServers(now, servers))
}

func (b *broken) alter(result admit.Result) admit.Result {
	if b.result != nil {
		b.result(&result)
	}
	return result
}

func TestOracleCatchesBrokenQueues(t *testing.T) {
	variants := map[string]broken{
		"drops requests":        {dropped: 7},
		"hides refusals":        {result: func(r *admit.Result) { r.Refusals = nil }},
		"exceeds limits":        {server: func(s *admit.Server) { s.Limit++ }},
		"leaves slots idle":     {server: func(s *admit.Server) { s.Limit = max(0, s.Limit-1) }},
		"ignores deadlines":     {item: func(i *admit.Item) { i.Deadline = time.Time{} }},
		"ignores exclusions":    {item: func(i *admit.Item) { i.Exclude = "" }},
		"ignores accounts":      {item: func(i *admit.Item) { i.Account = "same" }},
		"inverts priorities":    {item: func(i *admit.Item) { i.Priority = model.PriorityBulk - i.Priority }},
		"ignores reservation":   {item: func(i *admit.Item) { i.Long = false }},
		"cancels what must not": {item: func(i *admit.Item) { i.Idempotent = true }},
	}
	for name, variant := range variants {
		t.Run(name, func(t *testing.T) {
			result := checkHistories(func() subject {
				b := variant
				b.Queue = admit.New(oraclePolicy)
				return &b
			})
			if result.Passed() {
				t.Error("the oracle did not notice")
			}
		})
	}
}

func TestOddInputsAreServed(t *testing.T) {
	q := admit.New(admit.Policy{})
	q.SetServers(simStart, []admit.Server{{ID: "s", Limit: 1}})
	for id := range uint64(3) {
		q.Offer(simStart, admit.Item{ID: id, Priority: model.NumPriorities})
	}
	if got := q.Stats(); got.Running[model.PriorityBulk] != 1 || got.Queued[model.PriorityBulk] != 1 {
		t.Errorf("got %+v, want one running and one waiting", got)
	}
}
