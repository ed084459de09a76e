package once_test

import (
	"fmt"
	"math/rand/v2"
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

// registry and farSide are the parts under test; broken variants stand in for
// them to prove that the oracle can fail.
type registry interface {
	Issue(time.Time, model.AccountID, model.ServiceName) (string, time.Duration, error)
	Begin(time.Time, string, once.Fingerprint) (once.Claim, error)
	Finish(once.TicketID, once.Result)
	Seal(time.Time, string) (model.Outcome, error)
	Expire(time.Time)
}

type farSide interface {
	Token(time.Time) once.Token
	Accept(time.Time, model.AttemptID, time.Duration) error
	Started(model.AttemptID) bool
	Finish(model.AttemptID, model.Outcome)
	Revoke(time.Time, model.AttemptID) once.RevokeResult
	Expire(time.Time)
}

// variant builds the parts under test.
type variant struct {
	registry func(once.Options) registry
	farSide  func(once.AttemptOptions) farSide
	// forgetIncarnation restarts processes with their old key and incarnation.
	forgetIncarnation bool
	// singleCopies delivers each attempt at most once and counts every refusal
	// of a copy as not run.
	singleCopies bool
	// seen counts what happened in all histories.
	seen map[string]int
}

func intact() variant {
	return variant{
		registry: func(o once.Options) registry { return once.NewRegistry(o) },
		farSide:  func(o once.AttemptOptions) farSide { return once.NewAttempts(o) },
		seen:     make(map[string]int),
	}
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
	owner   registry
	attempt model.AttemptID // the one relayed attempt that may be live
	ended   bool
}

// relayed is a copy of an attempt on its way to the far side or accepted there.
type relayed struct {
	job     *job
	attempt model.AttemptID
	started bool
}

// world holds an owner, a far side, the copies between them and the clock.
type world struct {
	oracle  oracle
	variant variant
	rand    *rand.ChaCha8
	now     time.Time

	owner       registry
	far         farSide
	other       registry
	incarnation model.Incarnation
	log         []string // names of the events so far
	token       once.Token

	tickets  []string
	jobs     []*job
	copies   []*relayed
	accepted []*relayed
}

func newWorld(v variant) *world {
	w := &world{
		variant: v,
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
	w.owner = w.variant.registry(w.options("vm-1"))
	w.jobs = nil
}

func (w *world) restartFar() {
	w.far = w.variant.farSide(once.AttemptOptions{
		Incarnation:   w.nextIncarnation(),
		TokenValidity: worldTokenValidity,
		MaxAccepted:   worldMaxAccepted,
		MaxSealed:     worldMaxSealed,
	})
	w.accepted = nil
}

// run records that the request reached a backend server and ran.
func (w *world) run(req request) {
	w.oracle.runs[req]++
	w.variant.seen["run"]++
}

func (w *world) sawError(err error) {
	if err != nil {
		w.variant.seen[err.Error()]++
	}
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
		w.variant.seen["join"]++
	case once.ClaimRun:
		w.jobs = append(w.jobs, &job{req: req, id: claim.ID, owner: w.owner})
	case once.ClaimKept:
		w.variant.seen["kept"]++
		w.oracle.tell(req, claim.Result.Outcome)
	}
}
