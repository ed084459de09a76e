// Package owner admits requests to the backend servers that this entry VM owns.
// There is one pool for each service and availability zone. It combines an
// admission queue with the health of its servers: the health sets how many
// requests a server may run, and the queue decides which ones.
package owner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/health"
	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// PoolKey identifies a pool.
type PoolKey struct {
	Service model.ServiceName
	Zone    model.Zone
}

// Refusal is the error for a request that a pool did not admit. The request has not
// run.
type Refusal struct {
	Reason model.Reason
	// Wait is how long the request waited or, if it was refused on arrival, how
	// long it was expected to wait. It is zero if the caller's context ended.
	Wait time.Duration
	// Queued is the number of waiting requests of the same priority. It is zero
	// if the caller's context ended.
	Queued int
}

// Error returns the reason, the wait and the number of waiting requests.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not admitted: %s: wait %s, %d waiting", r.Reason, r.Wait.Round(time.Millisecond), r.Queued)
}

// ErrPreempted is the cancellation cause of a slot's context when the pool takes the
// slot back for a more urgent request.
var ErrPreempted = errors.New("preempted by more urgent work")

// SlotRequest describes a request for a slot.
type SlotRequest struct {
	// Account is the client account that the request is made for.
	Account  model.AccountID
	Priority model.Priority
	// Deadline is when the caller stops waiting for the answer; zero means no
	// deadline.
	Deadline time.Time
	// Idempotent marks a request that may run more than once. If it is also
	// Long, the pool may preempt it.
	Idempotent bool
	// Long marks a transfer that is expected to hold its slot for a long time.
	Long bool
	// Exclude is a server that must not run the request, such as one that failed
	// an earlier attempt; empty excludes none.
	Exclude model.ServerID
}

// Pool assigns the slots of a service's servers in one availability zone. It is safe
// for concurrent use.
type Pool struct {
	key     PoolKey
	explain explain.Recorder

	// mu guards the fields below.
	mu      sync.Mutex
	queue   *admit.Queue
	health  *health.Tracker
	targets map[model.ServerID]backend.Target
	waiting map[uint64]*waiter
	running map[uint64]*Slot
	lastID  uint64
	// retired is set while the pool has no assignment.
	retired bool
}

// waiter is a request that waits for admission.
type waiter struct {
	req SlotRequest
	ctx context.Context
	// result has room for one value, so that the pool never blocks on it.
	result chan admission
}

// admission is the result of a request: either a slot or a refusal.
type admission struct {
	slot    *Slot
	refusal *Refusal
}

func newPool(key PoolKey, policy admit.Policy, recorder explain.Recorder) *Pool {
	return &Pool{
		key:     key,
		explain: recorder,
		queue:   admit.New(policy),
		health:  health.NewTracker(health.DefaultOptions()),
		targets: make(map[model.ServerID]backend.Target),
		waiting: make(map[uint64]*waiter),
		running: make(map[uint64]*Slot),
	}
}

// Slot is the right to run one request on one server.
type Slot struct {
	// Target is the server to use.
	Target backend.Target
	// Context derives from the context passed to Acquire. It is cancelled with the
	// cause ErrPreempted when the pool takes the slot back, and by Release.
	Context context.Context

	pool    *Pool
	id      uint64
	cancel  context.CancelCauseFunc
	started time.Time
	// latency is the time in nanoseconds until the server began to answer, zero
	// before that.
	latency atomic.Int64
	once    sync.Once
}

// Acquire waits for a slot, which the caller must release. It returns a *Refusal if
// the pool refuses the request or ctx ends first.
func (p *Pool) Acquire(ctx context.Context, req SlotRequest) (*Slot, error) {
	w := &waiter{req: req, ctx: ctx, result: make(chan admission, 1)}
	id := p.offer(w)
	select {
	case a := <-w.result:
		return a.slotOrError()
	case <-ctx.Done():
		return p.abandon(id, w)
	}
}

// slotOrError returns the slot, or the refusal as an error.
func (a admission) slotOrError() (*Slot, error) {
	if a.refusal != nil {
		return nil, a.refusal
	}
	return a.slot, nil
}

// offer adds a request to the queue and returns its ID.
func (p *Pool) offer(w *waiter) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	id := p.lastID
	p.waiting[id] = w
	now := time.Now()
	p.apply(now, p.queue.Offer(now, admit.Request{
		ID:         id,
		Account:    w.req.Account,
		Priority:   w.req.Priority,
		Deadline:   w.req.Deadline,
		Idempotent: w.req.Idempotent,
		Long:       w.req.Long,
		Exclude:    w.req.Exclude,
	}))
	return id
}

// abandon removes a waiting request from the queue and returns a *Refusal. A slot
// that was assigned while ctx ended is released.
func (p *Pool) abandon(id uint64, w *waiter) (*Slot, error) {
	p.mu.Lock()
	if _, waits := p.waiting[id]; waits {
		delete(p.waiting, id)
		now := time.Now()
		p.apply(now, p.queue.Abandon(now, id))
	}
	p.mu.Unlock()
	select {
	case a := <-w.result:
		if a.slot != nil {
			a.slot.Release(Unused)
		}
	default:
	}
	return nil, &Refusal{Reason: contextEndReason(w.ctx)}
}

// contextEndReason returns the reason for a refusal because ctx has ended.
func contextEndReason(ctx context.Context) model.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return model.ReasonDeadline
	}
	return model.ReasonCallerGone
}

// apply carries out the decisions of the queue. The caller holds p.mu.
func (p *Pool) apply(now time.Time, result admit.Result) {
	for _, r := range result.Refusals {
		p.refuse(r)
	}
	for _, s := range result.Starts {
		p.start(now, s)
	}
	for _, id := range result.Cancels {
		if slot, ok := p.running[id]; ok {
			slot.cancel(ErrPreempted)
		}
	}
}

// refuse passes a refusal on to the waiter.
func (p *Pool) refuse(r admit.Refusal) {
	w, ok := p.waiting[r.ID]
	if !ok {
		return
	}
	delete(p.waiting, r.ID)
	w.result <- admission{refusal: &Refusal{Reason: r.Reason, Wait: r.Wait, Queued: r.Queued}}
}

// start passes a slot on to the waiter.
func (p *Pool) start(now time.Time, s admit.Start) {
	w, ok := p.waiting[s.ID]
	if !ok {
		return
	}
	delete(p.waiting, s.ID)
	ctx, cancel := context.WithCancelCause(w.ctx)
	slot := &Slot{
		Target:  p.targets[s.Server],
		Context: ctx,
		pool:    p,
		id:      s.ID,
		cancel:  cancel,
		started: now,
	}
	p.running[s.ID] = slot
	w.result <- admission{slot: slot}
}

// SlotUsage describes how a slot was used.
type SlotUsage struct {
	class health.Class
	used  bool
}

// Unused is the usage of a slot that says nothing about its server, such as one
// whose request was never sent.
var Unused = SlotUsage{}

// Used returns the usage of a slot whose server showed the given behaviour.
func Used(class health.Class) SlotUsage { return SlotUsage{class: class, used: true} }

// MarkAnswered records that the server has begun to answer. A call after Release has
// no effect.
func (s *Slot) MarkAnswered() { s.latency.Store(int64(time.Since(s.started))) }

// Release returns the slot to the pool and reports how it was used. Only the first
// call has an effect.
func (s *Slot) Release(usage SlotUsage) {
	s.once.Do(func() { s.pool.release(s, usage) })
}

// release ends the use of a slot. It observes the server's behaviour before the slot
// is assigned again with the new limits.
func (p *Pool) release(s *Slot, usage SlotUsage) {
	s.cancel(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	took := now.Sub(s.started)
	delete(p.running, s.id)
	if usage.used {
		p.health.Observe(now, s.Target.ID, usage.class, s.responseTime(took))
	}
	p.apply(now, p.queue.Done(now, s.id, took))
	p.apply(now, p.queue.SetServers(now, p.health.Limits(now)))
}

// responseTime returns the time until the server began to answer or, if it did not,
// the time that the slot was held. The time to send a large answer would make its
// server look slow.
func (s *Slot) responseTime(took time.Duration) time.Duration {
	if latency := s.latency.Load(); latency > 0 {
		return time.Duration(latency)
	}
	return took
}

// tick sheds expired requests, applies limits that change with time and records the
// decisions about the health of servers.
func (p *Pool) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(now, p.queue.SetServers(now, p.health.Limits(now)))
	p.apply(now, p.queue.Tick(now))
	for _, e := range p.health.Events() {
		p.explain.Record(ejectionDecision(p.key, e))
	}
}

// ejectionDecision describes a change in the use of a server, such as an ejection.
func ejectionDecision(key PoolKey, e health.Event) explain.Decision {
	return explain.Decision{
		At:      e.At,
		Kind:    explain.KindEjection,
		Service: key.Service,
		Zone:    key.Zone,
		Server:  e.Server,
		Detail: fmt.Sprintf("%s after %d failures in a row, until %s; %d of %d servers out of use",
			e.Change, e.Failures, e.Until.Format(time.RFC3339), e.OutOfUse, e.InUse),
	}
}

// Stats returns the current counts of the queue.
func (p *Pool) Stats() admit.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Stats()
}
