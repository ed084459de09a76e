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
		o.offer(drawRequest(&d, o.now))
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

func drawRequest(d *histories.Draw, now time.Time) admit.Request {
	req := admit.Request{
		Account:    model.AccountID(fmt.Sprint("a", d.Take(3))),
		Priority:   model.Priority(d.Take(model.NumPriorities)),
		Idempotent: d.Take(2) == 0,
		Long:       d.Take(4) == 0,
	}
	if d.Take(4) > 0 {
		req.Deadline = now.Add(time.Duration(d.Take(40)-1) * 5 * ms)
	}
	if d.Take(6) == 0 {
		req.Exclude = serverID(d.Take(3))
	}
	return req
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
func checkHistories(build func() queueUnderTest) *gopter.TestResult {
	opts := histories.Options{Seed: *seed, Count: *historyCount, Length: historyLength}
	return histories.Check(opts, func() histories.Subject {
		o := newOracle(build())
		o.setServers([]admit.Server{{ID: "s0", Limit: 2}, {ID: "s1", Limit: 2}})
		return o
	})
}

func TestQueueInvariants(t *testing.T) {
	result := checkHistories(func() queueUnderTest { return admit.New(oraclePolicy) })
	if !result.Passed() {
		t.Errorf("seed %d: %v", *seed, result)
	}
}

// broken passes calls on to a queue after a fault has changed them.
type faultyQueue struct {
	*admit.Queue
	changeRequest func(*admit.Request)
	changeServer  func(*admit.Server)
	changeResult  func(*admit.Result)
	dropEvery     uint64
}

func (b *faultyQueue) Offer(now time.Time, req admit.Request) admit.Result {
	if b.dropEvery > 0 && req.ID%b.dropEvery == 0 {
		return b.Tick(now)
	}
	if b.changeRequest != nil {
		b.changeRequest(&req)
	}
	return b.applyFault(b.Queue.Offer(now, req))
}

func (b *faultyQueue) Tick(now time.Time) admit.Result { return b.applyFault(b.Queue.Tick(now)) }

func (b *faultyQueue) SetServers(now time.Time, servers []admit.Server) admit.Result {
	for i := range servers {
		if b.changeServer != nil {
			b.changeServer(&servers[i])
		}
	}
	return b.applyFault(b.Queue.SetServers(now, servers))
}

func (b *faultyQueue) applyFault(result admit.Result) admit.Result {
	if b.changeResult != nil {
		b.changeResult(&result)
	}
	return result
}

func TestOracleDetectsFaultyQueues(t *testing.T) {
	variants := map[string]faultyQueue{
		"drops requests":        {dropEvery: 7},
		"hides refusals":        {changeResult: func(r *admit.Result) { r.Refusals = nil }},
		"exceeds limits":        {changeServer: func(s *admit.Server) { s.Limit++ }},
		"leaves slots idle":     {changeServer: func(s *admit.Server) { s.Limit = max(0, s.Limit-1) }},
		"ignores deadlines":     {changeRequest: func(i *admit.Request) { i.Deadline = time.Time{} }},
		"ignores exclusions":    {changeRequest: func(i *admit.Request) { i.Exclude = "" }},
		"ignores accounts":      {changeRequest: func(i *admit.Request) { i.Account = "same" }},
		"inverts priorities":    {changeRequest: func(i *admit.Request) { i.Priority = model.PriorityBulk - i.Priority }},
		"ignores reservation":   {changeRequest: func(i *admit.Request) { i.Long = false }},
		"cancels what must not": {changeRequest: func(i *admit.Request) { i.Idempotent = true }},
	}
	for name, variant := range variants {
		t.Run(name, func(t *testing.T) {
			result := checkHistories(func() queueUnderTest {
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

func TestOutOfRangeInputs(t *testing.T) {
	q := admit.New(admit.Policy{})
	q.SetServers(simStart, []admit.Server{{ID: "s", Limit: 1}})
	for id := range uint64(3) {
		q.Offer(simStart, admit.Request{ID: id, Priority: model.NumPriorities})
	}
	if got := q.Stats(); got.Running[model.PriorityBulk] != 1 || got.Queued[model.PriorityBulk] != 1 {
		t.Errorf("got %+v, want one running and one waiting", got)
	}
}
