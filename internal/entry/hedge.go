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
type hedgeTimers struct {
	timers atomic.Pointer[map[model.ServiceName]*retry.HedgeTimer]
}

// timer returns the timer of a service.
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

// hedgeable reports whether a second attempt may compete with the first: the
// request is urgent and idempotent, its body can be sent again, and this VM
// owns the server, so that it can choose another one.
func (s *Server) canHedge(q *request, t target) bool {
	return q.priority == model.PriorityUrgent && q.class.Idempotent && !q.class.Long &&
		q.body.complete && t.owner.VM == s.options.Self
}

// runHedged runs a job here and, when its server takes longer than most, once
// more on another server. The first answer wins and the other attempt is
// cancelled.
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

// watch waits for the first attempt and enters the hedge when the attempt
// outlasts most others and the retry budget allows it.
func (s *Server) raceHedge(ctx context.Context, q *request, race *hedgeRace, hedge *job) (*response, *Failure) {
	timer := s.hedges.timer(q.service)
	started := time.Now()
	delay, ok := timer.Delay(started, q.deadline)
	if ok && race.stillRunningAfter(delay) && s.options.Retries.Take(time.Now(), q.service, q.priority) {
		s.metrics.hedged()
		race.start(ctx, s, hedge)
	}
	resp, f := race.result()
	if f == nil {
		timer.Observe(time.Since(started))
	}
	return resp, f
}

// contest is one or two attempts at a request that compete.
type hedgeRace struct {
	results chan attemptResult
	cancels []context.CancelFunc
	// running counts the attempts whose ends were not taken yet.
	running int
}

// attemptEnd is how the attempt with an index ended.
type attemptResult struct {
	index    int
	response *response
	failure  *Failure
}

// maxContestants is the count of attempts that may compete.
const maxRacingAttempts = 2

func newHedgeRace() *hedgeRace {
	return &hedgeRace{results: make(chan attemptResult, maxRacingAttempts)}
}

// enter starts an attempt.
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

// outlasts reports whether no attempt ends within delay.
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

// result returns the first answer and cancels the other attempt, or what the
// failures of all say together.
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

// dismiss cancels all attempts but the winner and closes their answers.
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

// joined returns the failure of two attempts at one request. It may have run
// unless both did not.
func combineFailures(a, b *Failure) *Failure {
	if a != nil && a.Outcome != model.OutcomeNotRun {
		return a
	}
	return b
}

// again returns the job as a hedge that avoids a server.
func (j *job) hedgeCopy(exclude model.ServerID) *job {
	hedge := *j
	hedge.attempt = j.attempt + hedgeSuffix
	hedge.work.Exclude = exclude
	hedge.slotAcquired = nil
	return &hedge
}

// hedgeSuffix tells the attempt of a hedge from the one that it competes with.
const hedgeSuffix = "h"

// stopBody ends an attempt's context when its answer has been read.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and ends the attempt.
func (b *cancelingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
