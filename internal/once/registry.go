// Package once makes a non-idempotent request run at most once.
//
// A caller takes a ticket from an entry VM, the owner of the ticket, and sends it
// with the request and all repeats. A Registry issues the tickets of one owner and
// keeps the record of each request, so that a repeat never causes a second
// execution. Attempts does the same for attempts that one entry VM relays to
// another. Once a request is reported as not run, no copy of it can start.
//
// The package keeps its state in memory. It starts no goroutines, reads no clock
// and does no I/O: callers pass the current time.
package once

import (
	"container/list"
	"crypto/hmac"
	"io"
	"sync"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// Options configures a Registry.
type Options struct {
	// VM and Incarnation identify this process as the owner of its tickets.
	VM          model.VMID
	Incarnation model.Incarnation
	// Key authenticates tickets. It is generated at random when the process
	// starts and never leaves it.
	Key [32]byte
	// Validity is how long after its issue a ticket may begin its execution.
	Validity time.Duration
	// Retention is how long a record is kept after its ticket has expired, so
	// that a late repeat still learns the outcome. Zero means Validity.
	Retention time.Duration
	// MaxRecords is the maximum number of records plus unexpired tickets without
	// a record.
	MaxRecords int
	// MaxAccountRecords is the maximum number of unexpired tickets of one client
	// account. Zero means that only MaxRecords applies.
	MaxAccountRecords int
	// MaxKeptBytes is the maximum total size of the kept responses, and
	// MaxAnswerBytes that of a single one.
	MaxKeptBytes   int
	MaxAnswerBytes int
	// Rand is the source of randomness for ticket identifiers.
	Rand io.Reader
}

// Registry issues tickets and keeps the records of the requests that use them.
// It is safe for concurrent use.
type Registry struct {
	opts Options

	mu       sync.Mutex
	clock    monotonicClock
	records  map[TicketID]*record
	expiries expiryQueue
	// reserved is the number of records plus the number of unexpired tickets that
	// have no record yet.
	reserved        int
	issuedByAccount map[model.AccountID]int
	kept            *list.List // of *record, oldest first
	keptBytes       int
}

// record is the state of a ticket that has begun or was sealed.
type record struct {
	id          TicketID
	fingerprint Fingerprint
	execution   *execution
	finished    bool
	// pastRetention is set if the bucket of an unfinished record was removed. The
	// record is then removed when it finishes.
	pastRetention bool
	result        Result
	kept          *list.Element
}

// NewRegistry returns an empty Registry.
func NewRegistry(opts Options) *Registry {
	if opts.Retention == 0 {
		opts.Retention = opts.Validity
	}
	return &Registry{
		opts:            opts,
		records:         make(map[TicketID]*record),
		expiries:        newExpiryQueue(opts.Validity, opts.Retention),
		issuedByAccount: make(map[model.AccountID]int),
		kept:            list.New(),
	}
}

// Issue returns a new ticket and its validity. A ticket has no record until it is
// used, but capacity for the record is reserved, so Begin never rejects a valid
// ticket for lack of capacity. Issue returns ErrTicketsExhausted if MaxRecords or
// MaxAccountRecords is reached, and ErrNameTooLong if a name exceeds MaxNameBytes.
func (r *Registry) Issue(now time.Time, account model.AccountID, service model.ServiceName) (string, time.Duration, error) {
	info := Info{
		Owner:       r.opts.VM,
		Incarnation: r.opts.Incarnation,
		Account:     account,
		Service:     service,
	}
	if err := validateNames(info); err != nil {
		return "", 0, err
	}
	if err := r.generateID(&info); err != nil {
		return "", 0, err
	}
	if err := r.reserve(now, &info); err != nil {
		return "", 0, err
	}
	return encode(info, r.opts.Key[:]), r.opts.Validity, nil
}

func (r *Registry) generateID(info *Info) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := io.ReadFull(r.opts.Rand, info.ID[:])
	return errors.Wrap(err, "once: generate ticket identifier")
}

func (r *Registry) reserve(now time.Time, info *Info) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	offset := r.clock.advance(now)
	r.expire(offset)
	if r.reserved >= r.opts.MaxRecords {
		return ErrTicketsExhausted
	}
	if limit := r.opts.MaxAccountRecords; limit > 0 && r.issuedByAccount[info.Account] >= limit {
		return ErrTicketsExhausted
	}
	info.expiry = offset + r.opts.Validity
	r.expiries.reserve(info.expiry, info.Account)
	r.issuedByAccount[info.Account]++
	r.reserved++
	return nil
}

// verify decodes a ticket and checks that this process issued it.
func (r *Registry) verify(ticket string) (Info, error) {
	info, payload, mac, err := decode(ticket)
	if err != nil {
		return Info{}, err
	}
	if info.Owner != r.opts.VM {
		return Info{}, ErrNotOwner
	}
	if info.Incarnation != r.opts.Incarnation {
		return Info{}, ErrTicketOwnerGone
	}
	if !hmac.Equal(mac, computeMAC(payload, r.opts.Key[:])) {
		return Info{}, ErrTicketInvalid
	}
	return info, nil
}

// Begin claims the execution of the request that the ticket identifies. Every
// error is an *Error and means that this copy of the request does not run; its
// Outcome tells whether another copy may have run.
func (r *Registry) Begin(now time.Time, ticket string, req Fingerprint) (Claim, error) {
	info, err := r.verify(ticket)
	if err != nil {
		return Claim{}, err
	}
	if info.Account != req.Account || info.Service != req.Service {
		return Claim{}, ErrTicketInvalid
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	offset := r.clock.advance(now)
	if rec, ok := r.records[info.ID]; ok {
		return rec.claim(req)
	}
	if err := r.checkExpiry(info, offset); err != nil {
		return Claim{}, err
	}
	rec := r.newRecord(info)
	rec.fingerprint = req
	return Claim{Kind: ClaimRun, ID: info.ID, execution: rec.execution}, nil
}

func (rec *record) claim(req Fingerprint) (Claim, error) {
	if rec.finished && rec.result.Outcome == model.OutcomeNotRun {
		return Claim{}, ErrTicketSealed
	}
	if !rec.fingerprint.matches(req) {
		return Claim{}, ErrTicketReused
	}
	if !rec.finished {
		return Claim{Kind: ClaimJoin, ID: rec.id, execution: rec.execution}, nil
	}
	return Claim{Kind: ClaimFinished, ID: rec.id, Result: rec.result, execution: rec.execution}, nil
}

// checkExpiry rejects an expired ticket that has no record. The outcome is not run
// if the ticket certainly never began, and unknown if its record may have been
// removed.
func (r *Registry) checkExpiry(info Info, offset time.Duration) error {
	if !r.expiries.contains(info.expiry) {
		return ErrTicketExpired
	}
	if offset >= info.expiry {
		return errExpiredNotRun
	}
	return nil
}

func (r *Registry) newRecord(info Info) *record {
	rec := &record{id: info.ID, execution: &execution{done: make(chan struct{})}}
	r.records[info.ID] = rec
	r.expiries.add(info.expiry, rec)
	return rec
}

// Finish records the result of a ticket's execution. OutcomeNotRun seals the
// ticket. A later call may replace OutcomeUnknown by a definite outcome; a
// definite outcome never changes.
func (r *Registry) Finish(id TicketID, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[id]
	if !ok {
		return
	}
	if rec.finished && rec.result.Outcome != model.OutcomeUnknown {
		return
	}
	first := !rec.finished
	rec.finished = true
	r.storeResult(rec, result)
	if first {
		rec.execution.result = rec.result
		close(rec.execution.done)
	}
	if rec.pastRetention {
		r.removeRecord(rec)
		r.reserved--
	}
}

// Seal prevents a ticket that has not begun from ever beginning. It returns
// OutcomeNotRun if the request did not run and never will, OutcomeUnknown while it
// runs, and the outcome once it has finished.
func (r *Registry) Seal(now time.Time, ticket string) (model.Outcome, error) {
	info, err := r.verify(ticket)
	if err != nil {
		return OutcomeOf(err), err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	offset := r.clock.advance(now)
	if rec, ok := r.records[info.ID]; ok {
		return rec.outcome(), nil
	}
	if err := r.checkExpiry(info, offset); err != nil {
		return OutcomeOf(err), err
	}
	rec := r.newRecord(info)
	rec.finished = true
	rec.result = Result{Outcome: model.OutcomeNotRun, Reason: model.ReasonTicketSealed}
	rec.execution.result = rec.result
	close(rec.execution.done)
	return model.OutcomeNotRun, nil
}

func (rec *record) outcome() model.Outcome {
	if !rec.finished {
		return model.OutcomeUnknown
	}
	return rec.result.Outcome
}

// OutcomeOf returns the outcome of an *Error in the chain of err, or
// OutcomeUnknown if there is none.
func OutcomeOf(err error) model.Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return model.OutcomeUnknown
}

// ReasonOf returns the reason of an *Error in the chain of err, or ReasonNone if
// there is none.
func ReasonOf(err error) model.Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return model.ReasonNone
}
