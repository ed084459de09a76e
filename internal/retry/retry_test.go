package retry_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"

	"fuchsiaspar/internal/histories"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/retry"
)

var (
	historyCount = flag.Int("histories", 100, "histories per oracle")
	seed         = flag.Int64("seed", 1, "seed of the histories")
)

const (
	ms            = time.Millisecond
	historyLength = 200
	percent       = 10
	service       = model.ServiceName("lease-desk")
)

var epoch = time.Unix(1_700_000_000, 0)

// budgetModel counts the first attempts and the retries of each priority and checks
// the retries against the bounds.
type budgetModel struct {
	budget                 *retry.Budget
	take                   func(b *retry.Budget, now time.Time, p model.Priority) bool
	now                    time.Time
	firstAttempts, retries [model.NumPriorities]int
	err                    error
}

func (l *budgetModel) check() {
	total, totalFirstAttempts := 0, 0
	seconds := l.now.Sub(epoch).Seconds()
	for p := range l.firstAttempts {
		total += l.retries[p]
		totalFirstAttempts += l.firstAttempts[p]
		allowed := float64(l.firstAttempts[p])*percent/100 + 3 + seconds
		if float64(l.retries[p]) > allowed {
			l.err = fmt.Errorf("%d retries after %d first attempts in %.1f s", l.retries[p], l.firstAttempts[p], seconds)
		}
	}
	if float64(total) > float64(totalFirstAttempts)*20/100+20+seconds {
		l.err = fmt.Errorf("%d retries after %d first attempts over all priorities", total, totalFirstAttempts)
	}
}

// Apply advances the time and draws first attempts and retries of one priority.
func (l *budgetModel) Apply(d histories.Draw) error {
	l.now = l.now.Add(time.Duration(d.Intn(8)) * 10 * ms)
	p := model.Priority(d.Intn(model.NumPriorities))
	for range d.Intn(20) {
		if d.Intn(2) == 0 {
			l.firstAttempts[p]++
			l.budget.RecordFirstAttempt(l.now, service, p)
		} else if l.take(l.budget, l.now, p) {
			l.retries[p]++
		}
		l.check()
	}
	return l.err
}

func checkHistories(given int, take func(*retry.Budget, time.Time, model.Priority) bool) *gopter.TestResult {
	opts := histories.Options{Seed: *seed, Count: *historyCount, Length: historyLength}
	return histories.Check(opts, func() histories.Subject {
		return &budgetModel{budget: retry.NewBudget(given), take: take, now: epoch}
	})
}

func takeOne(b *retry.Budget, now time.Time, p model.Priority) bool { return b.Take(now, service, p) }

func TestBudgetBoundsRetries(t *testing.T) {
	if result := checkHistories(percent, takeOne); !result.Passed() {
		t.Errorf("seed %d: %v", *seed, result)
	}
}

func TestOracleCatchesBrokenBudgets(t *testing.T) {
	free := func(b *retry.Budget, now time.Time, p model.Priority) bool { return b.Take(now, service, p) || p == 2 }
	if checkHistories(percent, free).Passed() {
		t.Error("the oracle did not notice free retries")
	}
	if checkHistories(3*percent, takeOne).Passed() {
		t.Error("the oracle did not notice a budget that is too large")
	}
}

func TestGlobalBudgetSpansServices(t *testing.T) {
	b := retry.NewBudget(percent)
	granted := 0
	for i := range 1000 {
		if b.Take(epoch, model.ServiceName(fmt.Sprint("service-", i)), model.PriorityUrgent) {
			granted++
		}
	}
	if granted != 20 {
		t.Errorf("%d retries without first attempts, want 20", granted)
	}
}

func TestRetryable(t *testing.T) {
	tests := []struct {
		idempotent bool
		outcome    model.Outcome
		reason     model.Reason
		want       bool
	}{
		{true, model.OutcomeRan, model.ReasonTruncated, false},
		{false, model.OutcomeNotRun, model.ReasonConnect, true},
		{false, model.OutcomeNotRun, model.ReasonShed, true},
		{false, model.OutcomeUnknown, model.ReasonReset, false},
		{false, model.OutcomeUnknown, model.ReasonTimeout, false},
		{true, model.OutcomeUnknown, model.ReasonReset, true},
		{true, model.OutcomeUnknown, model.ReasonSilentConnection, true},
		{true, model.OutcomeNotRun, model.ReasonQueueFull, false},
		{true, model.OutcomeNotRun, model.ReasonTicketSealed, false},
		{true, model.OutcomeNotRun, model.ReasonCallerGone, false},
		{true, model.OutcomeNotRun, model.ReasonNotOwner, true},
	}
	for _, tt := range tests {
		if got := retry.Retryable(tt.idempotent, tt.outcome, tt.reason); got != tt.want {
			t.Errorf("Retryable(%v, %v, %v) = %v", tt.idempotent, tt.outcome, tt.reason, got)
		}
	}
}

func TestHedgeDelay(t *testing.T) {
	h := retry.NewHedgeTimer()
	if _, ok := h.Delay(epoch, time.Time{}); ok {
		t.Error("Delay allows a hedge without samples")
	}
	for i := range 100 {
		h.Observe(time.Duration(i+1) * ms)
	}
	delay, ok := h.Delay(epoch, epoch.Add(time.Second))
	if !ok || delay < 85*ms || delay > 96*ms {
		t.Errorf("delay %v, %v", delay, ok)
	}
	if _, ok := h.Delay(epoch, epoch.Add(delay)); ok {
		t.Error("Delay allows a hedge that would end after the deadline")
	}
}

func BenchmarkBudget(b *testing.B) {
	budget := retry.NewBudget(percent)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.RecordFirstAttempt(epoch, service, model.PriorityUrgent)
			budget.Take(epoch, service, model.PriorityUrgent)
		}
	})
}
