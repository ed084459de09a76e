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
	histories   = flag.Int("histories", 100, "count of generated histories")
	historySeed = flag.Int64("history-seed", 1, "seed of the generated histories")
)

// maxHistory bounds the steps of one history.
const maxHistorySteps = 120

// step is one event in the world. Pick chooses among what the event can act on;
// Variant chooses between forms of the event, such as a lost answer.
type step struct {
	Event   int
	Pick    int
	Variant int
}

// event changes the world. It happens only while it has targets to act on.
type event struct {
	name    string
	weight  int
	targets func(w *simulation) int
	apply   func(w *simulation, s step)
}

var events = []event{
	{"issue", 3, always, issue},
	{"request", 4, (*simulation).ticketCount, sendRequest},
	{"request elsewhere", 1, (*simulation).ticketCount, sendToOther},
	{"run locally", 1, func(w *simulation) int { return len(w.idle()) }, runLocally},
	{"refuse", 1, func(w *simulation) int { return len(w.idle()) }, failNotRun},
	{"relay", 4, func(w *simulation) int { return len(w.idle()) }, relay},
	{"token", 2, always, func(w *simulation, _ step) { w.token = w.receiver.Token(w.now) }},
	{"deliver", 4, func(w *simulation) int { return len(w.copies) }, deliver},
	{"start", 3, func(w *simulation) int { return len(w.arrived(false)) }, start},
	{"run", 3, func(w *simulation) int { return len(w.arrived(true)) }, runAccepted},
	{"refuse accepted", 1, func(w *simulation) int { return len(w.arrived(false)) }, rejectAccepted},
	{"revoke", 2, func(w *simulation) int { return len(w.relaying()) }, revoke},
	{"give up", 1, func(w *simulation) int { return len(w.relaying()) }, giveUp},
	{"seal", 1, (*simulation).ticketCount, seal},
	{"pass time", 3, always, passTime},
	{"expire", 1, always, func(w *simulation, _ step) { w.owner.Expire(w.now); w.receiver.Expire(w.now) }},
	{"restart owner", 1, always, func(w *simulation, s step) { oneInFour(s, w.restartOwner) }},
	{"restart far side", 1, always, func(w *simulation, s step) { oneInFour(s, w.restartReceiver) }},
}

func always(*simulation) int { return 1 }

func (w *simulation) ticketCount() int { return len(w.tickets) }

func oneInFour(s step, f func()) {
	if s.Pick%4 == 0 {
		f()
	}
}

// choose returns one of the events that can happen now.
func (w *simulation) chooseEvent(s step) event {
	var ready []event
	for _, e := range events {
		if e.targets(w) == 0 {
			continue
		}
		ready = append(ready, slices.Repeat([]event{e}, e.weight)...)
	}
	return ready[s.Event%len(ready)]
}

// idle returns the jobs that have not ended and have no live attempt.
func (w *simulation) idle() []*job {
	return filter(w.jobs, func(j *job) bool { return !j.finished && j.attempt == "" })
}

// relaying returns the jobs with an attempt that may be live.
func (w *simulation) relaying() []*job {
	return filter(w.jobs, func(j *job) bool { return j.attempt != "" })
}

// arrived returns the accepted attempts that have or have not started.
func (w *simulation) arrived(started bool) []*delivery {
	return filter(w.accepted, func(c *delivery) bool { return c.started == started })
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

// pick returns one item of a list that is not empty.
func pickOne[T any](list []T, n int) T { return list[n%len(list)] }

func issue(w *simulation, _ step) {
	if len(w.tickets) >= simTickets {
		return
	}
	ticket, _, err := w.owner.Issue(w.now, "account", "service")
	w.countError(err)
	if err == nil {
		w.tickets = append(w.tickets, ticket)
	}
}

// read returns the current time, or an earlier one as read by a goroutine that
// was paused before it went on.
func (w *simulation) callTime(s step) time.Time {
	if s.Variant%5 == 0 {
		return w.now.Add(-simTicketValidity)
	}
	return w.now
}

func (w *simulation) pickRequest(s step) (request, once.Fingerprint) {
	age := s.Pick % min(len(w.tickets), simRecentTickets)
	req := request{ticket: len(w.tickets) - 1 - age, path: "/a"}
	if s.Variant%7 == 0 {
		req.path = "/b"
	}
	return req, once.Fingerprint{Account: "account", Service: "service", Method: "POST", Path: req.path}
}

func sendRequest(w *simulation, s step) {
	req, print := w.pickRequest(s)
	claim, err := w.begin(w.tickets[req.ticket], w.callTime(s), print)
	w.recordClaim(req, claim, err)
}

func sendToOther(w *simulation, s step) {
	req, print := w.pickRequest(s)
	_, err := w.other.Begin(w.now, w.tickets[req.ticket], print)
	w.countError(err)
	w.oracle.recordTold(req, once.OutcomeOf(err))
}

func runLocally(w *simulation, s step) {
	j := pickOne(w.idle(), s.Pick)
	w.recordRun(j.req)
	if s.Variant%2 == 0 {
		w.finish(j, model.OutcomeUnknown)
		return
	}
	w.finish(j, model.OutcomeRan)
}

func failNotRun(w *simulation, s step) {
	w.finish(pickOne(w.idle(), s.Pick), model.OutcomeNotRun)
}

func relay(w *simulation, s step) {
	j := pickOne(w.idle(), s.Pick)
	attempt, err := once.NewAttemptID(w.token, w.rand)
	if err != nil {
		panic(err)
	}
	j.attempt = attempt
	w.copies = append(w.copies, &delivery{job: j, attempt: attempt})
}

// deliver hands a copy to the far side. Unless the world has single copies, it
// stays on its way, so that it is delivered again later.
func deliver(w *simulation, s step) {
	c := pickOne(w.copies, s.Pick)
	if w.variant.singleCopies {
		w.copies = slices.DeleteFunc(w.copies, func(other *delivery) bool { return other == c })
	}
	err := w.accept(c, w.callTime(s))
	if err == nil {
		w.accepted = append(w.accepted, &delivery{job: c.job, attempt: c.attempt})
		return
	}
	w.countError(err)
	outcome := once.OutcomeOf(err)
	if w.variant.singleCopies {
		outcome = model.OutcomeNotRun
	}
	if s.Variant%3 != 0 {
		w.deliverReply(c, outcome)
	}
}

func start(w *simulation, s step) {
	c := pickOne(w.arrived(false), s.Pick)
	c.started = w.startAccepted(c)
	if !c.started {
		w.removeAccepted(c)
	}
}

func (w *simulation) removeAccepted(c *delivery) {
	for i := range w.accepted {
		if w.accepted[i] == c {
			w.accepted = append(w.accepted[:i:i], w.accepted[i+1:]...)
			return
		}
	}
}

func runAccepted(w *simulation, s step) {
	c := pickOne(w.arrived(true), s.Pick)
	w.removeAccepted(c)
	w.recordRun(c.job.req)
	w.receiver.Finish(c.attempt, model.OutcomeRan)
	if s.Variant%2 == 0 {
		w.deliverReply(c, model.OutcomeRan)
	}
}

func rejectAccepted(w *simulation, s step) {
	c := pickOne(w.arrived(false), s.Pick)
	w.removeAccepted(c)
	w.receiver.Finish(c.attempt, model.OutcomeNotRun)
	if s.Variant%2 == 0 {
		w.deliverReply(c, model.OutcomeNotRun)
	}
}

func revoke(w *simulation, s step) {
	j := pickOne(w.relaying(), s.Pick)
	result := w.revoke(j.attempt, w.callTime(s))
	w.counts[revokeEvents[result.State]]++
	if s.Variant%3 != 0 {
		w.deliverReply(&delivery{job: j, attempt: j.attempt}, result.Outcome)
	}
}

var revokeEvents = map[once.RevokeState]string{
	once.RevokedUnknown:  "revoked: unknown",
	once.RevokedNotRun:   "revoked: not run",
	once.RevokedStarted:  "revoked: started",
	once.RevokedFinished: "revoked: finished",
}

func giveUp(w *simulation, s step) {
	w.finish(pickOne(w.relaying(), s.Pick), model.OutcomeUnknown)
}

func seal(w *simulation, s step) {
	req, _ := w.pickRequest(s)
	outcome, _ := w.owner.Seal(w.callTime(s), w.tickets[req.ticket])
	if outcome != model.OutcomeNotRun {
		return
	}
	for _, path := range []string{"/a", "/b"} {
		w.oracle.recordTold(request{ticket: req.ticket, path: path}, outcome)
	}
}

func passTime(w *simulation, s step) {
	w.now = w.now.Add(time.Duration(s.Variant*s.Variant) * time.Millisecond / 8)
}

// stepCommand is a step as a command of the generator.
type stepCommand struct{ step }

func (c stepCommand) Run(system commands.SystemUnderTest) commands.Result {
	w := system.(*simulation)
	e := w.chooseEvent(c.step)
	w.log = append(w.log, e.name)
	e.apply(w, c.step)
	if err := w.oracle.check(); err != nil {
		return fmt.Errorf("%w after %q", err, w.log)
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

// check runs generated histories and returns the result and what happened.
func runHistories(v variant, count int) (*gopter.TestResult, map[string]int) {
	parameters := gopter.DefaultTestParametersWithSeed(*historySeed)
	parameters.MinSuccessfulTests = count
	parameters.MinSize = maxHistorySteps
	parameters.MaxSize = maxHistorySteps + 1
	parameters.Workers = 1
	seen := make(map[string]int)
	history := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newSimulation(v, seen) },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc:         genStep,
	}
	return commands.Prop(history).Check(parameters), seen
}

// mustSee lists what generated histories have to bring about at least once.
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

func TestAtMostOnce(t *testing.T) {
	for name, v := range map[string]variant{
		"repeated copies": {}, "single copies": {singleCopies: true},
	} {
		t.Run(name, func(t *testing.T) {
			result, seen := runHistories(v, *histories)
			if !result.Passed() {
				t.Fatalf("seed %d: %+v", *historySeed, result)
			}
			t.Logf("%d histories with seed %d: %v", result.Succeeded, *historySeed, seen)
			for _, name := range requiredEvents {
				if seen[name] == 0 && !v.singleCopies {
					t.Errorf("no history brought about %q", name)
				}
			}
		})
	}
}
