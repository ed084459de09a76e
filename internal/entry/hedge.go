package entry

import (
	"context"
	"io"
	"maps"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/retry"
)

// hedges holds one timer for each service.
type hedges struct {
	timers atomic.Pointer[map[model.ServiceName]*retry.HedgeTimer]
}

// timer returns the timer of a service.
func (h *hedges) timer(service model.ServiceName) *retry.HedgeTimer {
	for {
		old := h.timers.Load()
		if old != nil && (*old)[service] != nil {
			return (*old)[service]
		}
		next := make(map[model.ServiceName]*retry.HedgeTimer)
		if old != nil {
			maps.Copy(next, *old)
		}
		next[service] = retry.NewHedgeTimer()
		h.timers.CompareAndSwap(old, &next)
	}
}

// hedgeable reports whether a second attempt may compete with the first: the
// request is urgent and idempotent, its body can be sent again, and this VM
// owns the server, so that it can choose another one.
func (s *Server) hedgeable(q *request, t target) bool {
	return q.priority == model.PriorityUrgent && q.class.Idempotent && !q.class.Long &&
		q.body.whole && t.owner.VM == s.options.Self
}

// runHedged runs a job here and, when its server takes longer than most, once
// more on another server. The first answer wins and the other attempt is
// cancelled.
func (s *Server) runHedged(ctx context.Context, q *request, j *job) (*answer, *Failure) {
	c := newContest()
	slot := make(chan model.ServerID, 1)
	j.onSlot = func(id model.ServerID) { slot <- id }
	c.enter(ctx, s, j)
	select {
	case end := <-c.ends:
		c.ends <- end
		return c.result()
	case server := <-slot:
		return s.watch(ctx, q, c, j.again(server))
	}
}

// watch waits for the first attempt and enters the hedge when the attempt
// outlasts most others and the retry budget allows it.
func (s *Server) watch(ctx context.Context, q *request, c *contest, hedge *job) (*answer, *Failure) {
	timer := s.hedges.timer(q.service)
	begun := time.Now()
	delay, ok := timer.Delay(begun, q.deadline)
	if ok && c.outlasts(delay) && s.options.RetryBudget.Take(time.Now(), q.service, q.priority) {
		s.meter.hedged()
		c.enter(ctx, s, hedge)
	}
	a, f := c.result()
	if f == nil {
		timer.Observe(time.Since(begun))
	}
	return a, f
}

// contest is one or two attempts at a request that compete.
type contest struct {
	ends  chan attemptEnd
	stops []context.CancelFunc
	// running counts the attempts whose ends were not taken yet.
	running int
}

// attemptEnd is how the attempt with an index ended.
type attemptEnd struct {
	index   int
	answer  *answer
	failure *Failure
}

// maxContestants is the count of attempts that may compete.
const maxContestants = 2

func newContest() *contest {
	return &contest{ends: make(chan attemptEnd, maxContestants)}
}

// enter starts an attempt.
func (c *contest) enter(ctx context.Context, s *Server, j *job) {
	ctx, stop := context.WithCancel(ctx)
	index := len(c.stops)
	c.stops = append(c.stops, stop)
	c.running++
	go func() {
		a, f := s.run(ctx, j)
		c.ends <- attemptEnd{index: index, answer: a, failure: f}
	}()
}

// outlasts reports whether no attempt ends within delay.
func (c *contest) outlasts(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case end := <-c.ends:
		c.ends <- end
		return false
	case <-timer.C:
		return true
	}
}

// result returns the first answer and cancels the other attempt, or what the
// failures of all say together.
func (c *contest) result() (*answer, *Failure) {
	var lost *Failure
	for c.running > 0 {
		end := <-c.ends
		c.running--
		if end.failure == nil {
			c.dismiss(end.index)
			end.answer.body = &stopBody{ReadCloser: end.answer.body, stop: c.stops[end.index]}
			return end.answer, nil
		}
		c.stops[end.index]()
		lost = joined(lost, end.failure)
	}
	return nil, lost
}

// dismiss cancels all attempts but the winner and closes their answers.
func (c *contest) dismiss(winner int) {
	for i, stop := range c.stops {
		if i != winner {
			stop()
		}
	}
	if c.running == 0 {
		return
	}
	go func() {
		if loser := <-c.ends; loser.answer != nil {
			_ = loser.answer.body.Close()
		}
	}()
}

// joined returns the failure of two attempts at one request. It may have run
// unless both did not.
func joined(a, b *Failure) *Failure {
	if a != nil && a.Outcome != model.OutcomeNotRun {
		return a
	}
	return b
}

// again returns the job as a hedge that avoids a server.
func (j *job) again(exclude model.ServerID) *job {
	hedge := *j
	hedge.attempt = j.attempt + hedgeSuffix
	hedge.work.Exclude = exclude
	hedge.onSlot = nil
	return &hedge
}

// hedgeSuffix tells the attempt of a hedge from the one that it competes with.
const hedgeSuffix = "h"

// stopBody ends an attempt's context when its answer has been read.
type stopBody struct {
	io.ReadCloser
	stop context.CancelFunc
}

// Close closes the body and ends the attempt.
func (b *stopBody) Close() error {
	defer b.stop()
	return b.ReadCloser.Close()
}
