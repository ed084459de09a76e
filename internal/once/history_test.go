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
const maxHistory = 120

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
	targets func(w *world) int
	apply   func(w *world, s step)
}

var events = []event{
	{"issue", 3, always, issue},
	{"request", 4, (*world).ticketCount, arrive},
	{"request elsewhere", 1, (*world).ticketCount, arriveElsewhere},
	{"run locally", 1, func(w *world) int { return len(w.idle()) }, runLocally},
	{"refuse", 1, func(w *world) int { return len(w.idle()) }, refuse},
	{"relay", 4, func(w *world) int { return len(w.idle()) }, relay},
	{"token", 2, always, func(w *world, _ step) { w.token = w.far.Token(w.now) }},
	{"deliver", 4, func(w *world) int { return len(w.copies) }, deliver},
	{"start", 3, func(w *world) int { return len(w.arrived(false)) }, start},
	{"run", 3, func(w *world) int { return len(w.arrived(true)) }, runAccepted},
	{"refuse accepted", 1, func(w *world) int { return len(w.arrived(false)) }, refuseAccepted},
	{"revoke", 2, func(w *world) int { return len(w.relaying()) }, revoke},
	{"give up", 1, func(w *world) int { return len(w.relaying()) }, giveUp},
	{"seal", 1, (*world).ticketCount, seal},
	{"pass time", 3, always, passTime},
	{"expire", 1, always, func(w *world, _ step) { w.owner.Expire(w.now); w.far.Expire(w.now) }},
	{"restart owner", 1, always, func(w *world, s step) { rarely(s, w.restartOwner) }},
	{"restart far side", 1, always, func(w *world, s step) { rarely(s, w.restartFar) }},
}

func always(*world) int { return 1 }

func (w *world) ticketCount() int { return len(w.tickets) }

func rarely(s step, f func()) {
	if s.Pick%4 == 0 {
		f()
	}
}

// choose returns one of the events that can happen now.
func (w *world) choose(s step) event {
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
func (w *world) idle() []*job {
	return keep(w.jobs, func(j *job) bool { return !j.ended && j.attempt == "" })
}

// relaying returns the jobs with an attempt that may be live.
func (w *world) relaying() []*job {
	return keep(w.jobs, func(j *job) bool { return j.attempt != "" })
}

// arrived returns the accepted attempts that have or have not started.
func (w *world) arrived(started bool) []*relayed {
	return keep(w.accepted, func(c *relayed) bool { return c.started == started })
}

func keep[T any](list []T, wanted func(T) bool) []T {
	var kept []T
	for _, item := range list {
		if wanted(item) {
			kept = append(kept, item)
		}
	}
	return kept
}

// pick returns one item of a list that is not empty.
func pick[T any](list []T, n int) T { return list[n%len(list)] }

func issue(w *world, _ step) {
	if len(w.tickets) >= worldTickets {
		return
	}
	ticket, _, err := w.owner.Issue(w.now, "account", "service")
	w.sawError(err)
	if err == nil {
		w.tickets = append(w.tickets, ticket)
	}
}

// read returns the current time, or an earlier one as read by a goroutine that
// was paused before it went on.
func (w *world) read(s step) time.Time {
	if s.Variant%5 == 0 {
		return w.now.Add(-worldValidity)
	}
	return w.now
}

func (w *world) pickRequest(s step) (request, once.Fingerprint) {
	age := s.Pick % min(len(w.tickets), worldRecent)
	req := request{ticket: len(w.tickets) - 1 - age, path: "/a"}
	if s.Variant%7 == 0 {
		req.path = "/b"
	}
	return req, once.Fingerprint{Account: "account", Service: "service", Method: "POST", Path: req.path}
}

func arrive(w *world, s step) {
	req, print := w.pickRequest(s)
	claim, err := w.begin(w.tickets[req.ticket], w.read(s), print)
	w.began(req, claim, err)
}

func arriveElsewhere(w *world, s step) {
	req, print := w.pickRequest(s)
	_, err := w.other.Begin(w.now, w.tickets[req.ticket], print)
	w.sawError(err)
	w.oracle.tell(req, once.OutcomeOf(err))
}

func runLocally(w *world, s step) {
	j := pick(w.idle(), s.Pick)
	w.run(j.req)
	if s.Variant%2 == 0 {
		w.end(j, model.OutcomeUnknown)
		return
	}
	w.end(j, model.OutcomeRan)
}

func refuse(w *world, s step) {
	w.end(pick(w.idle(), s.Pick), model.OutcomeNotRun)
}

func relay(w *world, s step) {
	j := pick(w.idle(), s.Pick)
	attempt, err := once.NewAttemptID(w.token, w.rand)
	if err != nil {
		panic(err)
	}
	j.attempt = attempt
	w.copies = append(w.copies, &relayed{job: j, attempt: attempt})
}

// deliver hands a copy to the far side. Unless the world has single copies, it
// stays on its way, so that it is delivered again later.
func deliver(w *world, s step) {
	c := pick(w.copies, s.Pick)
	if w.variant.singleCopies {
		w.copies = slices.DeleteFunc(w.copies, func(other *relayed) bool { return other == c })
	}
	err := w.accept(c, w.read(s))
	if err == nil {
		w.accepted = append(w.accepted, &relayed{job: c.job, attempt: c.attempt})
		return
	}
	w.sawError(err)
	outcome := once.OutcomeOf(err)
	if w.variant.singleCopies {
		outcome = model.OutcomeNotRun
	}
	if s.Variant%3 != 0 {
		w.answer(c, outcome)
	}
}

func start(w *world, s step) {
	c := pick(w.arrived(false), s.Pick)
	c.started = w.startAccepted(c)
	if !c.started {
		w.drop(c)
	}
}

func (w *world) drop(c *relayed) {
	for i := range w.accepted {
		if w.accepted[i] == c {
			w.accepted = append(w.accepted[:i:i], w.accepted[i+1:]...)
			return
		}
	}
}

func runAccepted(w *world, s step) {
	c := pick(w.arrived(true), s.Pick)
	w.drop(c)
	w.run(c.job.req)
	w.far.Finish(c.attempt, model.OutcomeRan)
	if s.Variant%2 == 0 {
		w.answer(c, model.OutcomeRan)
	}
}

func refuseAccepted(w *world, s step) {
	c := pick(w.arrived(false), s.Pick)
	w.drop(c)
	w.far.Finish(c.attempt, model.OutcomeNotRun)
	if s.Variant%2 == 0 {
		w.answer(c, model.OutcomeNotRun)
	}
}

func revoke(w *world, s step) {
	j := pick(w.relaying(), s.Pick)
	result := w.revoke(j.attempt, w.read(s))
	w.seen[revokeNames[result.State]]++
	if s.Variant%3 != 0 {
		w.answer(&relayed{job: j, attempt: j.attempt}, result.Outcome)
	}
}

var revokeNames = map[once.RevokeState]string{
	once.RevokedUnknown:  "revoked: unknown",
	once.RevokedNotRun:   "revoked: not run",
	once.RevokedStarted:  "revoked: started",
	once.RevokedFinished: "revoked: finished",
}

func giveUp(w *world, s step) {
	w.end(pick(w.relaying(), s.Pick), model.OutcomeUnknown)
}

func seal(w *world, s step) {
	req, _ := w.pickRequest(s)
	outcome, _ := w.owner.Seal(w.read(s), w.tickets[req.ticket])
	if outcome != model.OutcomeNotRun {
		return
	}
	for _, path := range []string{"/a", "/b"} {
		w.oracle.tell(request{ticket: req.ticket, path: path}, outcome)
	}
}

func passTime(w *world, s step) {
	w.now = w.now.Add(time.Duration(s.Variant*s.Variant) * time.Millisecond / 8)
}

// stepCommand is a step as a command of the generator.
type stepCommand struct{ step }

func (c stepCommand) Run(system commands.SystemUnderTest) commands.Result {
	w := system.(*world)
	e := w.choose(c.step)
	w.log = append(w.log, e.name)
	e.apply(w, c.step)
	if err := w.oracle.verdict(); err != nil {
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
func check(v variant, count int) (*gopter.TestResult, map[string]int) {
	parameters := gopter.DefaultTestParametersWithSeed(*historySeed)
	parameters.MinSuccessfulTests = count
	parameters.MinSize = maxHistory
	parameters.MaxSize = maxHistory + 1
	parameters.Workers = 1
	seen := make(map[string]int)
	history := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newWorld(v, seen) },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc:         genStep,
	}
	return commands.Prop(history).Check(parameters), seen
}

// mustSee lists what generated histories have to bring about at least once.
var mustSee = []string{
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
			result, seen := check(v, *histories)
			if !result.Passed() {
				t.Fatalf("seed %d: %+v", *historySeed, result)
			}
			t.Logf("%d histories with seed %d: %v", result.Succeeded, *historySeed, seen)
			for _, name := range mustSee {
				if seen[name] == 0 && !v.singleCopies {
					t.Errorf("no history brought about %q", name)
				}
			}
		})
	}
}
