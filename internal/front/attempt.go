package front

import (
	"net/http"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/upstream"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
)

const (
	// maxConnects bounds the servers to which no connection could be had.
	maxConnects = 4
	// minAttempt is the shortest time left with which an attempt is worth its
	// slot.
	minAttempt = 20 * time.Millisecond
	// yieldPause is the wait of a request that yields before it looks again.
	yieldPause = 40 * time.Millisecond
	// yieldShare is the part of its objective, as a divisor, for which a
	// request yields before it is refused.
	yieldShare = 8
)

// run tries servers until one has answered, or gives up.
func (q *request) run() {
	for connects := 0; connects < maxConnects; {
		choice, reason := q.choose()
		if reason != "" {
			q.giveUp(reason)
			return
		}
		switch q.attempt(choice) {
		case verdictDone:
			return
		case verdictNotSent:
			connects++
		case verdictFailed:
			if reason := q.mayRepeat(); reason != "" {
				q.giveUp(reason)
				return
			}
		}
		q.tried = append(q.tried, choice.Target.ID)
	}
	q.giveUp(reasonConnect)
}

// choose picks a server, or says why there is none. A request that yields looks
// again for a part of its objective.
func (q *request) choose() (pick.Choice, string) {
	for {
		now := time.Now()
		if q.deadline.Sub(now) < minAttempt {
			return pick.Choice{}, reasonTimeout
		}
		choice, reason := q.server.opts.Fleet.Pick(pick.Query{
			Route: q.route, Service: q.service, Object: q.object, Exclude: q.tried,
		}, now)
		if reason == "" || reason == pick.Yield {
			q.last = choice
		}
		if reason != pick.Yield || now.Sub(q.start) >= q.route.TargetLatency/yieldShare {
			return choice, string(reason)
		}
		background.Sleep(q.r.Context(), yieldPause)
	}
}

// mayRepeat spends a repeat, or says why the request is not tried again.
func (q *request) mayRepeat() string {
	switch {
	case q.r.Context().Err() != nil:
		return reasonClientLeft
	case !time.Now().Before(q.deadline):
		return reasonTimeout
	case q.maybeRun && !q.route.Kind.Repeatable():
		return reasonUnknown
	case q.body.stream != nil:
		return reasonStreamed
	case q.attempts >= q.route.MaxAttempts:
		return reasonAttempts
	case !q.server.opts.RetryBudget.Take(q.service):
		q.server.metrics.repeat(q.service, "refused")
		return reasonBudget
	}
	q.server.metrics.repeat(q.service, "granted")
	return ""
}

// verdict says how an attempt ended.
type verdict uint8

const (
	// verdictDone means that the client has its answer.
	verdictDone verdict = iota
	// verdictRepeat means that the server failed and a repeat is spent already.
	verdictRepeat
	// verdictNotSent means that the server got nothing.
	verdictNotSent
	// verdictFailed means that the server got the request and gave no answer
	// that can be handed on.
	verdictFailed
)

func (q *request) attempt(choice pick.Choice) verdict {
	answer, err := q.server.opts.Client.Do(q.r.Context(), choice.Target, &upstream.Request{
		ID:       q.id,
		Method:   q.r.Method,
		URI:      q.r.RequestURI,
		Host:     q.r.Host,
		Header:   q.forward,
		Body:     q.body.kept,
		Stream:   q.body.stream,
		Length:   q.body.length,
		Deadline: q.deadline,
	})
	if err != nil {
		return q.noAnswer(choice, err)
	}
	q.attempts++
	report := reportOf(answer.Header)
	if platform.NotExecuted(answer.Status, answer.Header) {
		answer.Body.Discard()
		q.done(choice, pick.Refused, report)
		q.logAttempt("server refused", "status", answer.Status)
		return verdictFailed
	}
	if answer.Status < http.StatusMultipleChoices && !platform.Sealed(answer.Header) {
		answer.Body.Close()
		q.maybeRun = true
		q.done(choice, pick.Failed, report)
		q.logAttempt("answer without a seal", "status", answer.Status)
		return verdictFailed
	}
	return q.handOn(choice, answer, report)
}

func (q *request) noAnswer(choice pick.Choice, err error) verdict {
	if errors.Is(err, upstream.ErrConnect) || errors.Is(err, upstream.ErrNotSent) {
		outcome := pick.Unanswered
		if q.r.Context().Err() != nil {
			outcome = pick.Abandoned
		}
		q.done(choice, outcome, nil)
		q.logAttempt("no connection", "cause", err)
		return verdictNotSent
	}
	q.attempts++
	q.maybeRun = true
	outcome := pick.Unanswered
	if q.r.Context().Err() != nil {
		outcome = pick.Abandoned
	} else if errors.Is(err, upstream.ErrTimeout) {
		outcome = pick.Failed
	}
	q.done(choice, outcome, nil)
	q.logAttempt("no answer", "cause", err)
	return verdictFailed
}

func (q *request) done(choice pick.Choice, outcome pick.Outcome, report *pick.Report) {
	q.server.opts.Fleet.Done(choice, outcome, report, time.Now())
	if outcome == pick.Unanswered {
		// A new connection shows whether the server is there before anything is
		// sent to it.
		q.server.opts.Client.CloseIdle([]*catalog.Server{choice.Target})
	}
}

func reportOf(h http.Header) *pick.Report {
	load, ok := platform.ParseLoad(h)
	if !ok {
		return nil
	}
	return &pick.Report{Running: load.Running, Waiting: load.Waiting, Slots: load.Slots}
}
