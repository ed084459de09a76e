package entry

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/retry"
)

// hedges holds one timer for each service.
type hedges struct {
	timers atomic.Pointer[map[model.ServiceName]*retry.HedgeTimer]
}

// timer returns the timer of a service, nil before set knew it.
func (h *hedges) timer(service model.ServiceName) *retry.HedgeTimer {
	timers := h.timers.Load()
	if timers == nil {
		return nil
	}
	return (*timers)[service]
}

// add makes sure that a service has a timer.
func (h *hedges) add(service model.ServiceName) *retry.HedgeTimer {
	for {
		old := h.timers.Load()
		next := make(map[model.ServiceName]*retry.HedgeTimer)
		if old != nil {
			for name, timer := range *old {
				next[name] = timer
			}
		}
		if next[service] == nil {
			next[service] = retry.NewHedgeTimer()
		}
		if h.timers.CompareAndSwap(old, &next) {
			return next[service]
		}
	}
}

// attemptEnd is how one of two competing attempts ended.
type attemptEnd struct {
	answer  *answer
	failure *Failure
	hedge   bool
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
	timer := s.hedges.timer(q.service)
	if timer == nil {
		timer = s.hedges.add(q.service)
	}
	started := make(chan model.ServerID, 1)
	j.onSlot = func(id model.ServerID) { started <- id }
	ends := make(chan attemptEnd, 2)
	first, stopFirst := context.WithCancel(ctx)
	go func() {
		a, f := s.run(first, j)
		ends <- attemptEnd{answer: a, failure: f}
	}()
	var server model.ServerID
	select {
	case end := <-ends:
		return s.soleEnd(end, stopFirst)
	case server = <-started:
	}
	begun := time.Now()
	wait, ok := timer.Delay(begun, q.deadline)
	if !ok {
		wait = time.Until(q.deadline)
	}
	select {
	case end := <-ends:
		timer.Observe(time.Since(begun))
		return s.soleEnd(end, stopFirst)
	case <-time.After(wait):
	}
	if !ok || !s.options.Retries.Take(time.Now(), q.service, q.priority) {
		end := <-ends
		timer.Observe(time.Since(begun))
		return s.soleEnd(end, stopFirst)
	}
	s.meter.hedged()
	second, stopSecond := context.WithCancel(ctx)
	go func() {
		a, f := s.run(second, j.again(server))
		ends <- attemptEnd{answer: a, failure: f, hedge: true}
	}()
	return s.race(ends, stopFirst, stopSecond)
}

// soleEnd ties the context of the only attempt to its answer's body.
func (s *Server) soleEnd(end attemptEnd, stop context.CancelFunc) (*answer, *Failure) {
	if end.failure != nil {
		stop()
		return nil, end.failure
	}
	end.answer.body = &stopBody{ReadCloser: end.answer.body, stop: stop}
	return end.answer, nil
}

// race returns the first answer and cancels the other attempt, or what both
// failures say together.
func (s *Server) race(ends chan attemptEnd, stopFirst, stopSecond context.CancelFunc) (*answer, *Failure) {
	stops := map[bool]context.CancelFunc{false: stopFirst, true: stopSecond}
	end := <-ends
	if end.failure != nil {
		stops[end.hedge]()
		last := <-ends
		if last.failure != nil {
			last.failure = joined(end.failure, last.failure)
		}
		return s.soleEnd(last, stops[last.hedge])
	}
	stops[!end.hedge]()
	go func() {
		if loser := <-ends; loser.answer != nil {
			_ = loser.answer.body.Close()
		}
	}()
	return s.soleEnd(end, stops[end.hedge])
}

// joined returns the failure of two attempts at one request. It may have run
// unless both did not.
func joined(a, b *Failure) *Failure {
	if a.Outcome != model.OutcomeNotRun {
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
