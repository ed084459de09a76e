package once_test

import (
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

var (
	histories   = flag.Int("histories", 100, "number of generated histories")
	historySeed = flag.Int64("history-seed", 1, "seed of the generated histories")
)

// maxHistorySteps is the maximum number of steps in a history.
const maxHistorySteps = 120

// step selects one event of the simulation. Event selects the event, Pick its
// target, and Variant its form, such as one with a lost reply.
type step struct {
	Event   int
	Pick    int
	Variant int
}

// event changes the simulation. It is possible only while it has targets.
type event struct {
	name    string
	weight  int
	targets func(sim *simulation) int
	apply   func(sim *simulation, s step)
}

var events = []event{
	{"issue", 3, always, issue},
	{"request", 4, (*simulation).ticketCount, sendRequest},
	{"request at another VM", 1, (*simulation).ticketCount, sendToOther},
	{"run locally", 1, func(sim *simulation) int { return len(sim.idle()) }, runLocally},
	{"fail as not run", 1, func(sim *simulation) int { return len(sim.idle()) }, failNotRun},
	{"relay", 4, func(sim *simulation) int { return len(sim.idle()) }, relay},
	{"issue token", 2, always, func(sim *simulation, _ step) { sim.token = sim.receiver.Token(sim.now) }},
	{"deliver", 4, func(sim *simulation) int { return len(sim.copies) }, deliver},
	{"start", 3, func(sim *simulation) int { return len(sim.arrived(false)) }, start},
	{"run", 3, func(sim *simulation) int { return len(sim.arrived(true)) }, runAccepted},
	{"reject accepted", 1, func(sim *simulation) int { return len(sim.arrived(false)) }, rejectAccepted},
	{"revoke", 2, func(sim *simulation) int { return len(sim.relaying()) }, revoke},
	{"give up", 1, func(sim *simulation) int { return len(sim.relaying()) }, giveUp},
	{"seal", 1, (*simulation).ticketCount, seal},
	{"pass time", 3, always, passTime},
	{"expire", 1, always, func(sim *simulation, _ step) { sim.owner.Expire(sim.now); sim.receiver.Expire(sim.now) }},
	{"restart owner", 1, always, func(sim *simulation, s step) { oneInFour(s, sim.restartOwner) }},
	{"restart receiver", 1, always, func(sim *simulation, s step) { oneInFour(s, sim.restartReceiver) }},
}

func always(*simulation) int { return 1 }

func (sim *simulation) ticketCount() int { return len(sim.tickets) }

// oneInFour calls f for a quarter of the steps.
func oneInFour(s step, f func()) {
	if s.Pick%4 == 0 {
		f()
	}
}

// chooseEvent returns one of the events that are possible now, by weight.
func (sim *simulation) chooseEvent(s step) event {
	var ready []event
	for _, e := range events {
		if e.targets(sim) == 0 {
			continue
		}
		ready = append(ready, slices.Repeat([]event{e}, e.weight)...)
	}
	return ready[s.Event%len(ready)]
}

// idle returns the jobs that have not finished and have no attempt in progress.
func (sim *simulation) idle() []*job {
	return filter(sim.jobs, func(j *job) bool { return !j.finished && j.attempt == "" })
}

// relaying returns the jobs with an attempt that may be in progress.
func (sim *simulation) relaying() []*job {
	return filter(sim.jobs, func(j *job) bool { return j.attempt != "" })
}

// arrived returns the accepted attempts that have started, or those that have not.
func (sim *simulation) arrived(started bool) []*delivery {
	return filter(sim.accepted, func(c *delivery) bool { return c.started == started })
}

func filter[T any](list []T, wanted func(T) bool) []T {
	var kept []T
	for _, item := range list {
		if wanted(item) {
			kept = append(kept, item)
		}
	}
	return kept
}

// pickOne returns an item of a non-empty list.
func pickOne[T any](list []T, n int) T { return list[n%len(list)] }

func issue(sim *simulation, _ step) {
	if len(sim.tickets) >= simTickets {
		return
	}
	ticket, _, err := sim.owner.Issue(sim.now, "account", "service")
	sim.countError(err)
	if err == nil {
		sim.tickets = append(sim.tickets, ticket)
	}
}

// callTime returns the time to pass to a call: the current time, or an earlier one
// as if the calling goroutine had been paused after it read the clock.
func (sim *simulation) callTime(s step) time.Time {
	if s.Variant%5 == 0 {
		return sim.now.Add(-simTicketValidity)
	}
	return sim.now
}

func (sim *simulation) pickRequest(s step) (request, once.Fingerprint) {
	age := s.Pick % min(len(sim.tickets), simRecentTickets)
	req := request{ticket: len(sim.tickets) - 1 - age, path: "/a"}
	if s.Variant%7 == 0 {
		req.path = "/b"
	}
	return req, once.Fingerprint{Account: "account", Service: "service", Method: "POST", Path: req.path}
}

func sendRequest(sim *simulation, s step) {
	req, print := sim.pickRequest(s)
	claim, err := sim.begin(sim.tickets[req.ticket], sim.callTime(s), print)
	sim.recordClaim(req, claim, err)
}

func sendToOther(sim *simulation, s step) {
	req, print := sim.pickRequest(s)
	_, err := sim.other.Begin(sim.now, sim.tickets[req.ticket], print)
	sim.countError(err)
	sim.oracle.recordTold(req, once.OutcomeOf(err))
}

func runLocally(sim *simulation, s step) {
	j := pickOne(sim.idle(), s.Pick)
	sim.recordRun(j.req)
	if s.Variant%2 == 0 {
		sim.finish(j, model.OutcomeUnknown)
		return
	}
	sim.finish(j, model.OutcomeRan)
}

func failNotRun(sim *simulation, s step) {
	sim.finish(pickOne(sim.idle(), s.Pick), model.OutcomeNotRun)
}

func relay(sim *simulation, s step) {
	j := pickOne(sim.idle(), s.Pick)
	attempt, err := once.NewAttemptID(sim.token, sim.rand)
	if err != nil {
		panic(err)
	}
	j.attempt = attempt
	sim.copies = append(sim.copies, &delivery{job: j, attempt: attempt})
}

// deliver passes a copy to the receiver. Unless the variant has single copies, the
// copy stays in transit and may be delivered again.
func deliver(sim *simulation, s step) {
	c := pickOne(sim.copies, s.Pick)
	if sim.variant.singleCopies {
		sim.copies = slices.DeleteFunc(sim.copies, func(other *delivery) bool { return other == c })
	}
	err := sim.accept(c, sim.callTime(s))
	if err == nil {
		sim.accepted = append(sim.accepted, &delivery{job: c.job, attempt: c.attempt})
		return
	}
	sim.countError(err)
	outcome := once.OutcomeOf(err)
	if sim.variant.singleCopies {
		outcome = model.OutcomeNotRun
	}
	if s.Variant%3 != 0 {
		sim.deliverReply(c, outcome)
	}
}

func start(sim *simulation, s step) {
	c := pickOne(sim.arrived(false), s.Pick)
	c.started = sim.startAccepted(c)
	if !c.started {
		sim.removeAccepted(c)
	}
}

func (sim *simulation) removeAccepted(c *delivery) {
	for i := range sim.accepted {
		if sim.accepted[i] == c {
			sim.accepted = append(sim.accepted[:i:i], sim.accepted[i+1:]...)
			return
		}
	}
}

func runAccepted(sim *simulation, s step) {
	c := pickOne(sim.arrived(true), s.Pick)
	sim.removeAccepted(c)
	sim.recordRun(c.job.req)
	sim.receiver.Finish(c.attempt, model.OutcomeRan)
	if s.Variant%2 == 0 {
		sim.deliverReply(c, model.OutcomeRan)
	}
}

func rejectAccepted(sim *simulation, s step) {
	c := pickOne(sim.arrived(false), s.Pick)
	sim.removeAccepted(c)
	sim.receiver.Finish(c.attempt, model.OutcomeNotRun)
	if s.Variant%2 == 0 {
		sim.deliverReply(c, model.OutcomeNotRun)
	}
}

func revoke(sim *simulation, s step) {
	j := pickOne(sim.relaying(), s.Pick)
	result := sim.revoke(j.attempt, sim.callTime(s))
	sim.counts[revokeEvents[result.State]]++
	if s.Variant%3 != 0 {
		sim.deliverReply(&delivery{job: j, attempt: j.attempt}, result.Outcome)
	}
}

var revokeEvents = map[once.RevokeState]string{
	once.RevokedUnknown:  "revoked: unknown",
	once.RevokedNotRun:   "revoked: not run",
	once.RevokedStarted:  "revoked: started",
	once.RevokedFinished: "revoked: finished",
}

func giveUp(sim *simulation, s step) {
	sim.finish(pickOne(sim.relaying(), s.Pick), model.OutcomeUnknown)
}

func seal(sim *simulation, s step) {
	req, _ := sim.pickRequest(s)
	outcome, _ := sim.owner.Seal(sim.callTime(s), sim.tickets[req.ticket])
	if outcome != model.OutcomeNotRun {
		return
	}
	for _, path := range []string{"/a", "/b"} {
		sim.oracle.recordTold(request{ticket: req.ticket, path: path}, outcome)
	}
}

func passTime(sim *simulation, s step) {
	sim.now = sim.now.Add(time.Duration(s.Variant*s.Variant) * time.Millisecond / 8)
}

// stepCommand adapts a step to commands.Command.
type stepCommand struct{ step }

func (c stepCommand) Run(system commands.SystemUnderTest) commands.Result {
	sim := system.(*simulation)
	e := sim.chooseEvent(c.step)
	sim.log = append(sim.log, e.name)
	e.apply(sim, c.step)
	if err := sim.oracle.check(); err != nil {
		return fmt.Errorf("%w after %q", err, sim.log)
	}
	return nil
}

func (c stepCommand) NextState(state commands.State) commands.State { return state }

func (c stepCommand) PreCondition(commands.State) bool { return true }

func (c stepCommand) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if result == nil {
		return &gopter.PropResult{Status: gopter.PropTrue}
	}
	return gopter.NewPropResult(false, result.(error).Error())
}

func (c stepCommand) String() string {
	return fmt.Sprintf("%d/%d/%d", c.Event, c.Pick, c.Variant)
}

func genStep(commands.State) gopter.Gen {
	return gen.Struct(reflect.TypeFor[step](), map[string]gopter.Gen{
		"Event":   gen.IntRange(0, 1000),
		"Pick":    gen.IntRange(0, 20),
		"Variant": gen.IntRange(0, 20),
	}).Map(func(s step) commands.Command { return stepCommand{s} })
}

// runHistories checks count generated histories against the oracle. It returns the
// result and the number of occurrences of each event.
func runHistories(v variant, count int) (*gopter.TestResult, map[string]int) {
	parameters := gopter.DefaultTestParametersWithSeed(*historySeed)
	parameters.MinSuccessfulTests = count
	parameters.MinSize = maxHistorySteps
	parameters.MaxSize = maxHistorySteps + 1
	parameters.Workers = 1
	counts := make(map[string]int)
	history := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newSimulation(v, counts) },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc:         genStep,
	}
	return commands.Prop(history).Check(parameters), counts
}

// requiredEvents lists the events that must occur at least once, so that the
// histories are known to cover them.
var requiredEvents = []string{
	"run", "join", "kept",
	"once: tickets_exhausted (not-run)",
	"once: ticket_expired (not-run)", "once: ticket_expired (unknown)",
	"once: ticket_owner_gone (unknown)", "once: ticket_reused (not-run)",
	"once: ticket_sealed (not-run)", "once: not_owner (unknown)",
	"once: stale_token (not-run)", "once: stale_token (unknown)",
	"once: duplicate_attempt (unknown)",
	"once: attempts_full (not-run)", "once: revoked (not-run)",
	"revoked: unknown", "revoked: not run", "revoked: started", "revoked: finished",
}

// TestAtMostOnce checks by random histories that no request runs twice and that no
// caller is told a wrong outcome. The histories contain restarts, pauses, repeats,
// lost replies, duplicate and late copies, revocations and expiry.
func TestAtMostOnce(t *testing.T) {
	for name, v := range map[string]variant{
		"repeated copies": {}, "single copies": {singleCopies: true},
	} {
		t.Run(name, func(t *testing.T) {
			result, counts := runHistories(v, *histories)
			if !result.Passed() {
				t.Fatalf("seed %d: %+v", *historySeed, result)
			}
			t.Logf("%d histories with seed %d: %v", result.Succeeded, *historySeed, counts)
			for _, name := range requiredEvents {
				if counts[name] == 0 && !v.singleCopies {
					t.Errorf("%q occurred in no history", name)
				}
			}
		})
	}
}
