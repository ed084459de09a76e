package once_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
)

// Small sizes bring expiry, exhaustion and raised floors about in short
// histories.
const (
	worldTickets       = 12
	worldRecent        = 5
	worldValidity      = 100 * time.Millisecond
	worldTokenValidity = 40 * time.Millisecond
	worldMaxRecords    = 4
	worldMaxAccepted   = 2
	worldMaxSealed     = 1
)

// variant changes the parts under test; broken variants prove that the oracle
// can fail. A nil function changes nothing.
type variant struct {
	// begin, accept and started change what the parts return.
	begin   func(ticket string, claim once.Claim, err error) (once.Claim, error)
	accept  func(id model.AttemptID, err error) error
	started func(id model.AttemptID, ok bool) bool
	// unsealedRevokes answers revocations that overtake their attempts without
	// telling the far side.
	unsealedRevokes bool
	// forgetIncarnation restarts processes with their old key and incarnation.
	forgetIncarnation bool
	// singleCopies delivers each attempt at most once and counts every refusal
	// of a copy as not run.
	singleCopies bool
}

// request is one caller's request: a ticket and what it is used for.
type request struct {
	ticket int
	path   string
}

// oracle knows how often each request ran and which callers were told that
// their request did not run. It shares nothing with the code under test.
type oracle struct {
	runs      map[request]int
	toldUnrun map[request]bool
	toldRan   map[request]bool
}

func (o *oracle) verdict() error {
	for req, n := range o.runs {
		if n > 1 {
			return fmt.Errorf("%v ran %d times", req, n)
		}
		if o.toldUnrun[req] {
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

// tell records what a caller is told of its request.
func (o *oracle) tell(req request, outcome model.Outcome) {
	switch outcome {
	case model.OutcomeNotRun:
		o.toldUnrun[req] = true
	case model.OutcomeRan:
		o.toldRan[req] = true
	}
}

// job is a request that the owner's process has claimed.
type job struct {
	req     request
	id      once.TicketID
	owner   *once.Registry
	attempt model.AttemptID // the one relayed attempt that may be live
	ended   bool
}

// relayed is a copy of an attempt on its way to the far side or accepted there.
type relayed struct {
	job     *job
	attempt model.AttemptID
	arrived bool
	started bool
}

// world holds an owner, a far side, the copies between them and the clock.
type world struct {
	oracle  oracle
	variant variant
	seen    map[string]int // counts what happened in all histories
	rand    *rand.ChaCha8
	now     time.Time

	owner       *once.Registry
	far         *once.Attempts
	other       *once.Registry
	incarnation model.Incarnation
	log         []string // names of the events so far
	token       once.Token

	tickets  []string
	jobs     []*job
	copies   []*relayed
	accepted []*relayed
}

func newWorld(v variant, seen map[string]int) *world {
	w := &world{
		variant: v,
		seen:    seen,
		rand:    rand.NewChaCha8([32]byte{1}),
		now:     time.Unix(0, 0),
		oracle: oracle{
			runs:      make(map[request]int),
			toldUnrun: make(map[request]bool),
			toldRan:   make(map[request]bool),
		},
	}
	w.restartOwner()
	w.restartFar()
	w.other = once.NewRegistry(w.options("vm-2"))
	return w
}

func (w *world) options(vm model.VMID) once.Options {
	opts := once.Options{
		VM:             vm,
		Incarnation:    w.nextIncarnation(),
		Validity:       worldValidity,
		MaxRecords:     worldMaxRecords,
		MaxKeptBytes:   1 << 10,
		MaxAnswerBytes: 1 << 8,
		Rand:           w.rand,
	}
	if !w.variant.forgetIncarnation {
		_, _ = w.rand.Read(opts.Key[:])
	}
	return opts
}

func (w *world) nextIncarnation() model.Incarnation {
	if w.variant.forgetIncarnation {
		return 1
	}
	w.incarnation++
	return w.incarnation
}

// restartOwner replaces the owner's process. Its claimed jobs are lost; copies
// on their way to the far side are not.
func (w *world) restartOwner() {
	w.owner = once.NewRegistry(w.options("vm-1"))
	w.jobs = nil
}

func (w *world) restartFar() {
	w.far = once.NewAttempts(once.AttemptOptions{
		Incarnation:   w.nextIncarnation(),
		TokenValidity: worldTokenValidity,
		MaxAccepted:   worldMaxAccepted,
		MaxRejected:   worldMaxSealed,
	})
	w.accepted = nil
}

// run records that the request reached a backend server and ran.
func (w *world) run(req request) {
	w.oracle.runs[req]++
	w.seen["run"]++
}

func (w *world) sawError(err error) {
	if err != nil {
		w.seen[err.Error()]++
	}
}

func (w *world) begin(ticket string, now time.Time, print once.Fingerprint) (once.Claim, error) {
	claim, err := w.owner.Begin(now, ticket, print)
	if w.variant.begin != nil {
		return w.variant.begin(ticket, claim, err)
	}
	return claim, err
}

func (w *world) accept(c *relayed, now time.Time) error {
	c.arrived = true
	err := w.far.Accept(now, c.attempt, worldTokenValidity)
	if w.variant.accept != nil {
		return w.variant.accept(c.attempt, err)
	}
	return err
}

func (w *world) startAccepted(c *relayed) bool {
	ok := w.far.Started(c.attempt)
	if w.variant.started != nil {
		return w.variant.started(c.attempt, ok)
	}
	return ok
}

func (w *world) revoke(attempt model.AttemptID, now time.Time) once.RevokeResult {
	arrived := slices.ContainsFunc(w.copies, func(c *relayed) bool { return c.attempt == attempt && c.arrived })
	if w.variant.unsealedRevokes && !arrived {
		return once.RevokeResult{State: once.RevokedNotRun, Outcome: model.OutcomeNotRun}
	}
	return w.far.Revoke(now, attempt)
}

// end finishes a job and tells its caller.
func (w *world) end(j *job, outcome model.Outcome) {
	if j.ended && outcome == model.OutcomeUnknown {
		return
	}
	j.ended = true
	j.owner.Finish(j.id, once.Result{Outcome: outcome})
	w.oracle.tell(j.req, outcome)
}

// answer delivers what the far side says of an attempt to its origin.
func (w *world) answer(c *relayed, outcome model.Outcome) {
	j := c.job
	if j.attempt != c.attempt {
		return
	}
	switch {
	case outcome == model.OutcomeRan:
		w.end(j, outcome)
	case outcome == model.OutcomeNotRun && j.ended:
		w.end(j, outcome)
	case outcome == model.OutcomeNotRun:
		j.attempt = "" // free to refuse or to relay again
	}
}

// began records the result of Begin.
func (w *world) began(req request, claim once.Claim, err error) {
	w.sawError(err)
	switch claim.Kind {
	case 0:
		w.oracle.tell(req, once.OutcomeOf(err))
	case once.ClaimJoin:
		w.seen["join"]++
	case once.ClaimRun:
		w.jobs = append(w.jobs, &job{req: req, id: claim.ID, owner: w.owner})
	case once.ClaimKept:
		w.seen["kept"]++
		w.oracle.tell(req, claim.Result.Outcome)
	}
}
