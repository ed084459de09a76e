package entry

import (
	"context"
	"testing"

	"fuchsiaspar/internal/model"
)

// TestRaceOfFailures checks that two failed attempts are reported as not run only if
// neither may have run, whichever ends first.
func TestRaceOfFailures(t *testing.T) {
	unknown := &Failure{Outcome: model.OutcomeUnknown, Reason: model.ReasonSilentConnection}
	refused := &Failure{Outcome: model.OutcomeNotRun, Reason: model.ReasonDeadline}
	tests := []struct {
		desc          string
		first, second *Failure
		want          model.Outcome
	}{
		{"first may have run", unknown, refused, model.OutcomeUnknown},
		{"second may have run", refused, unknown, model.OutcomeUnknown},
		{"neither ran", refused, refused, model.OutcomeNotRun},
	}
	for _, test := range tests {
		for first := range 2 {
			t.Run(test.desc, func(t *testing.T) {
				c := newHedgeRace()
				c.running = 2
				c.cancels = []context.CancelFunc{func() {}, func() {}}
				c.results <- attemptResult{index: first, failure: test.first}
				c.results <- attemptResult{index: 1 - first, failure: test.second}
				_, f := c.result()
				if f == nil || f.Outcome != test.want {
					t.Fatalf("got %v, want outcome %s", f, test.want)
				}
			})
		}
	}
}

// TestFinalOutcome checks that a request is not reported as not run if any of its
// attempts may have run, even if the last one did not.
func TestFinalOutcome(t *testing.T) {
	refused := &Failure{Outcome: model.OutcomeNotRun, Reason: model.ReasonNoServer}
	p := &progress{}
	if f := p.finalFailure(refused); f.Outcome != model.OutcomeNotRun {
		t.Fatalf("no attempt was made: outcome %s", f.Outcome)
	}
	p.recordFailure(target{}, &Failure{Outcome: model.OutcomeUnknown, Reason: model.ReasonReset})
	p.recordFailure(target{}, refused)
	if f := p.finalFailure(refused); f.Outcome != model.OutcomeUnknown || f.Reason != model.ReasonNoServer {
		t.Fatalf("an attempt may have run: %v", f)
	}
	if refused.Outcome != model.OutcomeNotRun {
		t.Fatal("the shared failure was changed")
	}
}
