package admit_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/model"
)

var (
	histories = flag.Int("histories", 100, "histories per oracle")
	seed      = flag.Int64("seed", 1, "seed of the histories")
)

// historyLength is the count of commands in one history.
const historyLength = 150

// step is one command, drawn as bits so that any history is valid.
type step struct{ bits uint64 }

// take draws a number below n from the bits.
func (s *step) take(n uint64) int {
	v := s.bits % n
	s.bits /= n
	return int(v)
}

func (s step) Run(sut commands.SystemUnderTest) commands.Result {
	o := sut.(*oracle)
	o.advance(time.Duration(s.take(4)) * 5 * ms)
	switch s.take(12) {
	case 0, 1, 2, 3, 4, 5:
		o.offer(s.item(o.now))
	case 6, 7, 8:
		o.done(s.take(64))
	case 9:
		o.abandon(s.take(64))
	case 10:
		o.setServers(s.servers())
	default:
		o.check(o.queue.Tick(o.now))
	}
	return o.err
}

func (s *step) item(now time.Time) admit.Item {
	item := admit.Item{
		Account:    model.AccountID(fmt.Sprint("a", s.take(3))),
		Priority:   model.Priority(s.take(model.NumPriorities)),
		Idempotent: s.take(2) == 0,
		Long:       s.take(4) == 0,
	}
	if s.take(4) > 0 {
		item.Deadline = now.Add(time.Duration(s.take(40)-1) * 5 * ms)
	}
	if s.take(6) == 0 {
		item.Exclude = serverID(s.take(3))
	}
	return item
}

func (s *step) servers() []admit.Server {
	var servers []admit.Server
	for i := range 3 {
		if limit := s.take(6) - 1; limit >= 0 {
			servers = append(servers, admit.Server{ID: serverID(i), Limit: min(limit, 3)})
		}
	}
	return servers
}

func (s step) NextState(state commands.State) commands.State { return state }
func (s step) PreCondition(commands.State) bool              { return true }
func (s step) String() string                                { return fmt.Sprint(s.bits) }

func (s step) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if err, _ := result.(error); err != nil {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{err.Error()}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

// checkHistories runs random histories against what build returns.
func checkHistories(build func() subject) *gopter.TestResult {
	params := gopter.DefaultTestParametersWithSeed(*seed)
	params.MinSuccessfulTests = *histories
	params.MaxSize = historyLength
	return commands.Prop(&commands.ProtoCommands{
		InitialStateGen: gen.Const(0),
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			o := newOracle(build())
			o.setServers([]admit.Server{{ID: "s0", Limit: 2}, {ID: "s1", Limit: 2}})
			return o
		},
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.UInt64().Map(func(bits uint64) commands.Command { return step{bits} })
		},
	}).Check(params)
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
