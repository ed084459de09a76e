package once_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
)

// The limits are small so that short histories reach expiry, exhaustion and the
// invalidation of tokens.
const (
	simTickets        = 12
	simRecentTickets  = 5
	simTicketValidity = 100 * time.Millisecond
	simTokenValidity  = 40 * time.Millisecond
	simMaxRecords     = 4
	simMaxAccepted    = 2
	simMaxRejected    = 1
)

// variant modifies the behavior of the code under test. Broken variants show that
// the oracle detects faults. A nil function changes nothing.
type variant struct {
	// begin, accept and started replace the results of Registry.Begin,
	// Attempts.Accept and Attempts.Start.
	begin   func(ticket string, claim once.Claim, err error) (once.Claim, error)
	accept  func(id model.AttemptID, err error) error
	started func(id model.AttemptID, ok bool) bool
	// ignoresEarlyRevocations answers a revocation that arrives before its
	// attempt as not run, without passing it to the receiver.
	ignoresEarlyRevocations bool
	// reusesIncarnation restarts processes with the same key and incarnation.
	reusesIncarnation bool
	// singleCopies delivers each attempt at most once and treats every rejected
	// copy as not run.
	singleCopies bool
}

// request is one caller's request: the index of its ticket and its path.
type request struct {
	ticket int
	path   string
}

// oracle counts the executions of each request and records the outcomes that
// callers were told. It shares no code with the code under test.
type oracle struct {
	runs       map[request]int
	toldNotRun map[request]bool
	toldRan    map[request]bool
}

// check reports a request that ran twice, or that a caller was told a wrong outcome
// of.
func (o *oracle) check() error {
	for req, n := range o.runs {
		if n > 1 {
			return fmt.Errorf("%v ran %d times", req, n)
		}
		if o.toldNotRun[req] {
			return fmt.Errorf("%v ran although its caller was told not-run", req)
		}
	}
	for req := range o.toldRan {
		if o.runs[req] == 0 {
			return fmt.Errorf("%v did not run although its caller was told ran", req)
		}
	}
	return nil
}

// recordTold records the outcome that a caller is told of its request.
func (o *oracle) recordTold(req request, outcome model.Outcome) {
	switch outcome {
	case model.OutcomeNotRun:
		o.toldNotRun[req] = true
	case model.OutcomeRan:
		o.toldRan[req] = true
	}
}

// job is a request whose execution a process of the owner has claimed.
type job struct {
	req      request
	id       once.TicketID
	owner    *once.Registry
	attempt  model.AttemptID // the relayed attempt that may be in progress, if any
	finished bool
}

// delivery is a copy of an attempt, in transit to the receiver or accepted by it.
type delivery struct {
	job     *job
	attempt model.AttemptID
	arrived bool
	started bool
}

// simulation holds a ticket owner, a receiver of relayed attempts, the copies in
// transit between them, and the clock.
type simulation struct {
	oracle  oracle
	variant variant
	counts  map[string]int // number of occurrences of each event in all histories
	rand    *rand.ChaCha8
	now     time.Time

	owner       *once.Registry
	receiver    *once.Attempts
	other       *once.Registry
	incarnation model.Incarnation
	log         []string // names of the events of this history
	token       once.Token

	tickets  []string
	jobs     []*job
	copies   []*delivery
	accepted []*delivery
}

func newSimulation(v variant, counts map[string]int) *simulation {
	sim := &simulation{
		variant: v,
		counts:  counts,
		rand:    rand.NewChaCha8([32]byte{1}),
		now:     time.Unix(0, 0),
		oracle: oracle{
			runs:       make(map[request]int),
			toldNotRun: make(map[request]bool),
			toldRan:    make(map[request]bool),
		},
	}
	sim.restartOwner()
	sim.restartReceiver()
	sim.other = once.NewRegistry(sim.options("vm-2"))
	return sim
}

func (sim *simulation) options(vm model.VMID) once.Options {
	opts := once.Options{
		VM:             vm,
		Incarnation:    sim.nextIncarnation(),
		Validity:       simTicketValidity,
		MaxRecords:     simMaxRecords,
		MaxKeptBytes:   1 << 10,
		MaxAnswerBytes: 1 << 8,
		Rand:           sim.rand,
	}
	if !sim.variant.reusesIncarnation {
		_, _ = sim.rand.Read(opts.Key[:])
	}
	return opts
}

func (sim *simulation) nextIncarnation() model.Incarnation {
	if sim.variant.reusesIncarnation {
		return 1
	}
	sim.incarnation++
	return sim.incarnation
}

// restartOwner replaces the owner's process. Its jobs are lost; copies in transit
// to the receiver are not.
func (sim *simulation) restartOwner() {
	sim.owner = once.NewRegistry(sim.options("vm-1"))
	sim.jobs = nil
}

func (sim *simulation) restartReceiver() {
	sim.receiver = once.NewAttempts(once.AttemptOptions{
		Incarnation:   sim.nextIncarnation(),
		TokenValidity: simTokenValidity,
		MaxAccepted:   simMaxAccepted,
		MaxRejected:   simMaxRejected,
	})
	sim.accepted = nil
}

// recordRun records that the request reached a backend server and ran.
func (sim *simulation) recordRun(req request) {
	sim.oracle.runs[req]++
	sim.counts["run"]++
}

func (sim *simulation) countError(err error) {
	if err != nil {
		sim.counts[err.Error()]++
	}
}

func (sim *simulation) begin(ticket string, now time.Time, print once.Fingerprint) (once.Claim, error) {
	claim, err := sim.owner.Begin(now, ticket, print)
	if sim.variant.begin != nil {
		return sim.variant.begin(ticket, claim, err)
	}
	return claim, err
}

func (sim *simulation) accept(c *delivery, now time.Time) error {
	c.arrived = true
	err := sim.receiver.Accept(now, c.attempt, simTokenValidity)
	if sim.variant.accept != nil {
		return sim.variant.accept(c.attempt, err)
	}
	return err
}

func (sim *simulation) startAccepted(c *delivery) bool {
	ok := sim.receiver.Start(c.attempt)
	if sim.variant.started != nil {
		return sim.variant.started(c.attempt, ok)
	}
	return ok
}

func (sim *simulation) revoke(attempt model.AttemptID, now time.Time) once.RevokeResult {
	arrived := slices.ContainsFunc(sim.copies, func(c *delivery) bool { return c.attempt == attempt && c.arrived })
	if sim.variant.ignoresEarlyRevocations && !arrived {
		return once.RevokeResult{State: once.RevokedNotRun, Outcome: model.OutcomeNotRun}
	}
	return sim.receiver.Revoke(now, attempt)
}

// finish finishes a job and tells its caller the outcome.
func (sim *simulation) finish(j *job, outcome model.Outcome) {
	if j.finished && outcome == model.OutcomeUnknown {
		return
	}
	j.finished = true
	j.owner.Finish(j.id, once.Result{Outcome: outcome})
	sim.oracle.recordTold(j.req, outcome)
}

// deliverReply delivers the receiver's report on an attempt to its origin.
func (sim *simulation) deliverReply(c *delivery, outcome model.Outcome) {
	j := c.job
	if j.attempt != c.attempt {
		return
	}
	switch {
	case outcome == model.OutcomeRan:
		sim.finish(j, outcome)
	case outcome == model.OutcomeNotRun && j.finished:
		sim.finish(j, outcome)
	case outcome == model.OutcomeNotRun:
		j.attempt = "" // the job may be rejected or relayed again
	}
}

// recordClaim records the result of Begin.
func (sim *simulation) recordClaim(req request, claim once.Claim, err error) {
	sim.countError(err)
	switch claim.Kind {
	case 0:
		sim.oracle.recordTold(req, once.OutcomeOf(err))
	case once.ClaimJoin:
		sim.counts["join"]++
	case once.ClaimRun:
		sim.jobs = append(sim.jobs, &job{req: req, id: claim.ID, owner: sim.owner})
	case once.ClaimFinished:
		sim.counts["kept"]++
		sim.oracle.recordTold(req, claim.Result.Outcome)
	}
}
