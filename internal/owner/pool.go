// Package owner admits requests to the backend servers that this entry VM
// owns. Each service in each availability zone has one pool, which joins the
// admission queue with the health of its servers.
package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/health"
	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// Key names a pool.
type PoolKey struct {
	Service model.ServiceName
	Zone    model.Zone
}

// Refusal reports that a pool did not admit a request, which did not run.
type Refusal struct {
	Reason model.Reason
	// Wait is how long the request waited or would have had to.
	Wait time.Duration
	// Queued is the count of requests of its priority that waited.
	Queued int
}

// Error returns the reason as text.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not admitted: %s: wait %s, %d waiting", r.Reason, r.Wait.Round(time.Millisecond), r.Queued)
}

// ErrPreempted is the cause of a slot's context when the pool took the slot
// back for more urgent work.
var ErrPreempted = errors.New("preempted by more urgent work")

// Work describes a request that asks for a slot.
type SlotRequest struct {
	Account    model.AccountID
	Priority   model.Priority
	Deadline   time.Time
	Idempotent bool
	Long       bool
	// Exclude is a server that failed an earlier attempt.
	Exclude model.ServerID
}

// Pool shares the slots of one service's servers in one availability zone. It
// is safe for concurrent use.
type Pool struct {
	key     PoolKey
	explain explain.Recorder

	mu      sync.Mutex
	queue   *admit.Queue
	health  *health.Tracker
	targets map[model.ServerID]backend.Target
	waiting map[uint64]*waiter
	running map[uint64]*Slot
	next    uint64
	// retired is set while no server is assigned to the pool.
	retired bool
}

type waiter struct {
	req   SlotRequest
	ctx   context.Context
	grant chan grant
}

type grant struct {
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
	// Context is cancelled with ErrPreempted when the pool wants the slot back.
	Context context.Context

	pool    *Pool
	id      uint64
	cancel  context.CancelCauseFunc
	started time.Time
	// latency is the time to the server's first answer, zero before it.
	latency time.Duration
	once    sync.Once
}

// Acquire waits for a slot. It returns a *Refusal when the pool turns the
// request away, and also when ctx ends first.
func (p *Pool) Acquire(ctx context.Context, req SlotRequest) (*Slot, error) {
	w := &waiter{req: req, ctx: ctx, grant: make(chan grant, 1)}
	id := p.offer(w)
	select {
	case g := <-w.grant:
		return g.unwrap()
	case <-ctx.Done():
		return p.abandon(id, w)
	}
}

func (g grant) unwrap() (*Slot, error) {
	if g.refusal != nil {
		return nil, g.refusal
	}
	return g.slot, nil
}

func (p *Pool) offer(w *waiter) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	id := p.next
	p.waiting[id] = w
	now := time.Now()
	p.apply(now, p.queue.Offer(now, admit.Item{
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

// abandon takes a waiting request out of the queue. A grant that raced with
// the end of ctx is given back.
func (p *Pool) abandon(id uint64, w *waiter) (*Slot, error) {
	p.mu.Lock()
	if _, waits := p.waiting[id]; waits {
		delete(p.waiting, id)
		now := time.Now()
		p.apply(now, p.queue.Abandon(now, id))
	}
	p.mu.Unlock()
	select {
	case g := <-w.grant:
		if g.slot != nil {
			g.slot.Release(Unused)
		}
	default:
	}
	return nil, &Refusal{Reason: endReason(w.ctx)}
}

func endReason(ctx context.Context) model.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return model.ReasonDeadline
	}
	return model.ReasonCallerGone
}

// apply carries out what the queue decided. The caller holds p.mu.
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

func (p *Pool) refuse(r admit.Refusal) {
	w, ok := p.waiting[r.ID]
	if !ok {
		return
	}
	delete(p.waiting, r.ID)
	w.grant <- grant{refusal: &Refusal{Reason: r.Reason, Wait: r.Wait, Queued: r.Queued}}
}

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
	w.grant <- grant{slot: slot}
}

// Ending says how the use of a slot ended.
type SlotUsage struct {
	class health.Class
	used  bool
}

// Unused is the ending of a slot whose server was never asked.
var Unused = SlotUsage{}

// Ended returns the ending of a slot whose server behaved as class says.
func Used(class health.Class) SlotUsage { return SlotUsage{class: class, used: true} }

// Answered notes that the server has begun to answer.
func (s *Slot) MarkAnswered() { s.latency = time.Since(s.started) }

// Release gives the slot back. Only the first call counts.
func (s *Slot) Release(usage SlotUsage) {
	s.once.Do(func() { s.pool.release(s, usage) })
}

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

// responseTime is what tells a slow server from a large answer.
func (s *Slot) responseTime(took time.Duration) time.Duration {
	if s.latency > 0 {
		return s.latency
	}
	return took
}

// tick sheds what waited too long and lets health recover.
func (p *Pool) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(now, p.queue.SetServers(now, p.health.Limits(now)))
	p.apply(now, p.queue.Tick(now))
	for _, e := range p.health.Events() {
		p.explain.Record(decision(p.key, e))
	}
}

// decision describes a change of a server's use.
func decision(key PoolKey, e health.Event) explain.Decision {
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

// Stats returns the queue's current counts.
func (p *Pool) Stats() admit.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Stats()
}
