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

// hedgeTimers holds a HedgeTimer for each service. It is safe for concurrent use.
type hedgeTimers struct {
	timers atomic.Pointer[map[model.ServiceName]*retry.HedgeTimer]
}

// timer returns the timer of a service, which it creates on first use.
func (h *hedgeTimers) timer(service model.ServiceName) *retry.HedgeTimer {
	for {
		old := h.timers.Load()
		if old != nil && (*old)[service] != nil {
			return (*old)[service]
		}
		updated := make(map[model.ServiceName]*retry.HedgeTimer)
		if old != nil {
			maps.Copy(updated, *old)
		}
		updated[service] = retry.NewHedgeTimer()
		h.timers.CompareAndSwap(old, &updated)
	}
}

// canHedge reports whether a second attempt may race with the first: the request is
// urgent, idempotent and not long, its body can be sent again, and this VM owns the
// server, so that it can choose a different one.
func (s *Server) canHedge(q *request, t target) bool {
	return q.priority == model.PriorityUrgent && q.class.Idempotent && !q.class.Long &&
		q.body.complete && t.owner.VM == s.options.Self
}

// runHedged runs a job here. If its server takes longer than most responses do, it
// also runs the job on another server, returns the first response and cancels the
// other attempt.
func (s *Server) runHedged(ctx context.Context, q *request, j *job) (*response, *Failure) {
	race := newHedgeRace()
	slot := make(chan model.ServerID, 1)
	j.slotAcquired = func(id model.ServerID) { slot <- id }
	race.start(ctx, s, j)
	select {
	case ended := <-race.results:
		race.results <- ended
		return race.result()
	case server := <-slot:
		return s.raceHedge(ctx, q, race, j.hedgeCopy(server))
	}
}

// raceHedge waits for the first attempt. It starts the hedge if the attempt is still
// running after the hedge delay of the service and the retry budget allows it.
func (s *Server) raceHedge(ctx context.Context, q *request, race *hedgeRace, hedge *job) (*response, *Failure) {
	timer := s.hedges.timer(q.service)
	started := time.Now()
	delay, ok := timer.Delay(started, q.deadline)
	if ok && race.stillRunningAfter(delay) && s.options.RetryBudget.Take(time.Now(), q.service, q.priority) {
		s.metrics.hedged()
		race.start(ctx, s, hedge)
	}
	resp, f := race.result()
	if f == nil {
		timer.Observe(time.Since(started))
	}
	return resp, f
}

// hedgeRace runs one or two attempts at the same request concurrently.
type hedgeRace struct {
	results chan attemptResult
	cancels []context.CancelFunc
	// running is the number of attempts whose results were not yet received.
	running int
}

// attemptResult is the result of the attempt with the given index in hedgeRace.
type attemptResult struct {
	index    int
	response *response
	failure  *Failure
}

// maxRacingAttempts is the maximum number of attempts in a hedgeRace.
const maxRacingAttempts = 2

func newHedgeRace() *hedgeRace {
	return &hedgeRace{results: make(chan attemptResult, maxRacingAttempts)}
}

// start starts an attempt.
func (c *hedgeRace) start(ctx context.Context, s *Server, j *job) {
	ctx, cancel := context.WithCancel(ctx)
	index := len(c.cancels)
	c.cancels = append(c.cancels, cancel)
	c.running++
	go func() {
		resp, f := s.run(ctx, j)
		c.results <- attemptResult{index: index, response: resp, failure: f}
	}()
}

// stillRunningAfter waits for up to delay and reports whether no attempt has ended.
func (c *hedgeRace) stillRunningAfter(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case ended := <-c.results:
		c.results <- ended
		return false
	case <-timer.C:
		return true
	}
}

// result returns the first response and cancels the other attempt. If all attempts
// fail, it returns their combined failure.
func (c *hedgeRace) result() (*response, *Failure) {
	var combined *Failure
	for c.running > 0 {
		ended := <-c.results
		c.running--
		if ended.failure == nil {
			c.cancelOthers(ended.index)
			ended.response.body = &cancelingBody{ReadCloser: ended.response.body, cancel: c.cancels[ended.index]}
			return ended.response, nil
		}
		c.cancels[ended.index]()
		combined = combineFailures(combined, ended.failure)
	}
	return nil, combined
}

// cancelOthers cancels all attempts but the winner and closes their responses.
func (c *hedgeRace) cancelOthers(winner int) {
	for i, cancel := range c.cancels {
		if i != winner {
			cancel()
		}
	}
	if c.running == 0 {
		return
	}
	go func() {
		if loser := <-c.results; loser.response != nil {
			_ = loser.response.body.Close()
		}
	}()
}

// combineFailures returns the failure to report for two attempts at one request. The
// outcome is not run only if neither attempt ran.
func combineFailures(a, b *Failure) *Failure {
	if a != nil && a.Outcome != model.OutcomeNotRun {
		return a
	}
	return b
}

// hedgeCopy returns a copy of the job that runs on any server other than exclude.
func (j *job) hedgeCopy(exclude model.ServerID) *job {
	hedge := *j
	hedge.attempt = j.attempt + hedgeSuffix
	hedge.slotRequest.Exclude = exclude
	hedge.slotAcquired = nil
	return &hedge
}

// hedgeSuffix distinguishes the attempt identifier of a hedge from that of the first
// attempt.
const hedgeSuffix = "h"

// cancelingBody cancels the context of an attempt when its response body is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context of the attempt.
func (b *cancelingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
