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
	historyCount = flag.Int("histories", 100, "random histories per test")
	seed         = flag.Int64("seed", 1, "seed of the histories")
)

// historyLength is the number of commands in one history.
const historyLength = 150

// Apply advances the time and runs a command chosen by d.
func (o *oracle) Apply(d histories.Draw) error {
	o.advance(time.Duration(d.Intn(4)) * 5 * ms)
	switch d.Intn(12) {
	case 0, 1, 2, 3, 4, 5:
		o.offer(drawRequest(&d, o.now))
	case 6, 7, 8:
		o.done(d.Intn(64))
	case 9:
		o.abandon(d.Intn(64))
	case 10:
		o.setServers(drawServers(&d))
	default:
		o.check(o.queue.Tick(o.now))
	}
	return o.err
}

func drawRequest(d *histories.Draw, now time.Time) admit.Request {
	req := admit.Request{
		Account:    model.AccountID(fmt.Sprint("a", d.Intn(3))),
		Priority:   model.Priority(d.Intn(model.NumPriorities)),
		Idempotent: d.Intn(2) == 0,
		Long:       d.Intn(4) == 0,
	}
	if d.Intn(4) > 0 {
		req.Deadline = now.Add(time.Duration(d.Intn(40)-1) * 5 * ms)
	}
	if d.Intn(6) == 0 {
		req.Exclude = serverID(d.Intn(3))
	}
	return req
}

func drawServers(d *histories.Draw) []admit.Server {
	var servers []admit.Server
	for i := range 3 {
		if limit := d.Intn(6) - 1; limit >= 0 {
			servers = append(servers, admit.Server{ID: serverID(i), Limit: min(limit, 3)})
		}
	}
	return servers
}

// checkHistories runs random histories against the queues that build returns.
func checkHistories(build func() queueUnderTest) *gopter.TestResult {
	opts := histories.Options{Seed: *seed, Count: *historyCount, Length: historyLength}
	return histories.Check(opts, func() histories.Subject {
		o := newOracle(build())
		o.setServers([]admit.Server{{ID: "s0", Limit: 2}, {ID: "s1", Limit: 2}})
		return o
	})
}

// TestQueueInvariants checks random histories of commands against the oracle.
func TestQueueInvariants(t *testing.T) {
	result := checkHistories(func() queueUnderTest { return admit.New(oraclePolicy) })
	if !result.Passed() {
		t.Errorf("seed %d: %v", *seed, result)
	}
}

// faultyQueue is a queue with a fault: it changes the arguments or results of
// calls.
type faultyQueue struct {
	*admit.Queue
	changeRequest func(*admit.Request)
	changeServer  func(*admit.Server)
	changeResult  func(*admit.Result)
	// dropEvery discards each request whose ID is a multiple of it; zero
	// discards none.
	dropEvery uint64
}

func (f *faultyQueue) Offer(now time.Time, req admit.Request) admit.Result {
	if f.dropEvery > 0 && req.ID%f.dropEvery == 0 {
		return f.Tick(now)
	}
	if f.changeRequest != nil {
		f.changeRequest(&req)
	}
	return f.applyFault(f.Queue.Offer(now, req))
}

func (f *faultyQueue) Tick(now time.Time) admit.Result { return f.applyFault(f.Queue.Tick(now)) }

func (f *faultyQueue) SetServers(now time.Time, servers []admit.Server) admit.Result {
	for i := range servers {
		if f.changeServer != nil {
			f.changeServer(&servers[i])
		}
	}
	return f.applyFault(f.Queue.SetServers(now, servers))
}

func (f *faultyQueue) applyFault(result admit.Result) admit.Result {
	if f.changeResult != nil {
		f.changeResult(&result)
	}
	return result
}

// TestOracleDetectsFaultyQueues guards against an oracle that accepts faults: it must
// reject each faulty queue.
func TestOracleDetectsFaultyQueues(t *testing.T) {
	variants := map[string]faultyQueue{
		"drops requests":         {dropEvery: 7},
		"hides refusals":         {changeResult: func(r *admit.Result) { r.Refusals = nil }},
		"exceeds limits":         {changeServer: func(s *admit.Server) { s.Limit++ }},
		"leaves slots idle":      {changeServer: func(s *admit.Server) { s.Limit = max(0, s.Limit-1) }},
		"ignores deadlines":      {changeRequest: func(r *admit.Request) { r.Deadline = time.Time{} }},
		"ignores exclusions":     {changeRequest: func(r *admit.Request) { r.Exclude = "" }},
		"ignores accounts":       {changeRequest: func(r *admit.Request) { r.Account = "same" }},
		"inverts priorities":     {changeRequest: func(r *admit.Request) { r.Priority = model.PriorityBulk - r.Priority }},
		"ignores reservation":    {changeRequest: func(r *admit.Request) { r.Long = false }},
		"cancels non-idempotent": {changeRequest: func(r *admit.Request) { r.Idempotent = true }},
	}
	for name, variant := range variants {
		t.Run(name, func(t *testing.T) {
			result := checkHistories(func() queueUnderTest {
				f := variant
				f.Queue = admit.New(oraclePolicy)
				return &f
			})
			if result.Passed() {
				t.Error("the oracle did not detect the fault")
			}
		})
	}
}

// TestOutOfRangeInputs checks that an unknown priority counts as bulk and that a
// queue limit of zero allows one waiting request.
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
