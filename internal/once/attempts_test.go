package once_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
)

func newTestAttempts(incarnation model.Incarnation) *once.Attempts {
	return once.NewAttempts(once.AttemptOptions{
		Incarnation:   incarnation,
		TokenValidity: 10 * time.Second,
		MaxAccepted:   2,
		MaxRejected:   2,
	})
}

func newTestAttemptID(t *testing.T, token once.Token, n byte) model.AttemptID {
	t.Helper()
	id, err := once.NewAttemptID(token, rand.NewChaCha8([32]byte{n}))
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func checkRevoke(t *testing.T, got once.RevokeResult, state once.RevokeState, outcome model.Outcome) {
	t.Helper()
	if got.State != state || got.Outcome != outcome {
		t.Errorf("got %+v, want state %d, %s", got, state, outcome)
	}
}

func TestRevokeBeforeAndAfterStart(t *testing.T) {
	a := newTestAttempts(1)
	first, second := newTestAttemptID(t, a.Token(testStart), 1), newTestAttemptID(t, a.Token(testStart), 2)
	for _, id := range []model.AttemptID{first, second} {
		if err := a.Accept(testStart, id, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	checkRevoke(t, a.Revoke(testStart, first), once.RevokedNotRun, model.OutcomeNotRun)
	if a.Start(first) {
		t.Error("a revoked attempt started")
	}
	checkError(t, a.Accept(testStart, first, time.Second), once.ErrAttemptRevoked, model.OutcomeNotRun)
	if !a.Start(second) {
		t.Fatal("second attempt did not start")
	}
	checkRevoke(t, a.Revoke(testStart, second), once.RevokedStarted, model.OutcomeUnknown)
	checkError(t, a.Accept(testStart, second, time.Second), once.ErrDuplicateAttempt, model.OutcomeUnknown)
	a.Finish(second, model.OutcomeRan)
	checkRevoke(t, a.Revoke(testStart, second), once.RevokedFinished, model.OutcomeRan)
}

// TestLateCopyAfterRevocationIsForgotten delivers a copy that a stalled connection
// held until after the record of its revocation was removed. It must not run.
func TestLateCopyAfterRevocationIsForgotten(t *testing.T) {
	a := newTestAttempts(1)
	id := newTestAttemptID(t, a.Token(testStart), 1)
	checkRevoke(t, a.Revoke(testStart, id), once.RevokedNotRun, model.OutcomeNotRun)
	late := testStart.Add(time.Hour)
	a.Expire(late)
	if accepted, rejected := a.Len(); accepted+rejected != 0 {
		t.Fatalf("%d accepted, %d rejected left", accepted, rejected)
	}
	checkError(t, a.Accept(late, id, time.Second), once.ErrStaleToken, model.OutcomeUnknown)
	checkRevoke(t, a.Revoke(late, id), once.RevokedUnknown, model.OutcomeUnknown)
}

func TestAttemptsOfOtherProcessesAreRejected(t *testing.T) {
	id := newTestAttemptID(t, newTestAttempts(1).Token(testStart), 1)
	restarted := newTestAttempts(2)
	checkError(t, restarted.Accept(testStart, id, time.Second), once.ErrStaleToken, model.OutcomeUnknown)
	checkRevoke(t, restarted.Revoke(testStart, id), once.RevokedUnknown, model.OutcomeUnknown)
	noToken := newTestAttemptID(t, "", 1)
	checkError(t, restarted.Accept(testStart, noToken, time.Second), once.ErrStaleToken, model.OutcomeNotRun)
}

// TestRejectionLimitInvalidatesOlderTokens revokes more attempts than can be
// remembered. Their copies must still be rejected, and new tokens must work.
func TestRejectionLimitInvalidatesOlderTokens(t *testing.T) {
	a := newTestAttempts(1)
	token := a.Token(testStart)
	for n := range byte(5) {
		id := newTestAttemptID(t, token, n)
		checkRevoke(t, a.Revoke(testStart, id), once.RevokedNotRun, model.OutcomeNotRun)
	}
	for n := range byte(5) {
		if err := a.Accept(testStart, newTestAttemptID(t, token, n), time.Second); err == nil {
			t.Errorf("revoked attempt %d was accepted", n)
		}
	}
	fresh := newTestAttemptID(t, a.Token(testStart), 9)
	if err := a.Accept(testStart, fresh, time.Second); err != nil {
		t.Errorf("fresh attempt: %v", err)
	}
}

func TestAcceptLimitRejectsPermanently(t *testing.T) {
	a := newTestAttempts(1)
	token := a.Token(testStart)
	for n := range byte(2) {
		if err := a.Accept(testStart, newTestAttemptID(t, token, n), time.Second); err != nil {
			t.Fatal(err)
		}
	}
	id := newTestAttemptID(t, token, 3)
	checkError(t, a.Accept(testStart, id, time.Second), once.ErrAttemptsFull, model.OutcomeNotRun)
	checkError(t, a.Accept(testStart, id, time.Second), once.ErrAttemptRevoked, model.OutcomeNotRun)
}

func TestAttemptPastItsDeadlineDoesNotStart(t *testing.T) {
	a := newTestAttempts(1)
	id := newTestAttemptID(t, a.Token(testStart), 1)
	if err := a.Accept(testStart, id, time.Second); err != nil {
		t.Fatal(err)
	}
	a.Expire(testStart.Add(2 * time.Second))
	if a.Start(id) {
		t.Error("started after its deadline")
	}
}

func TestTokenCacheKeepsNewestToken(t *testing.T) {
	far, restarted := newTestAttempts(1), newTestAttempts(2)
	old := far.Token(testStart)
	newer := far.Token(testStart.Add(time.Second))
	var tokens once.TokenCache
	for _, test := range []struct{ set, want once.Token }{
		{"", ""}, {"nonsense", ""}, {old, old}, {newer, newer}, {old, newer},
		{restarted.Token(testStart), restarted.Token(testStart)},
	} {
		tokens.Set("lj-1", test.set)
		if got := tokens.Get("lj-1"); got != test.want {
			t.Errorf("after %q: %q, want %q", test.set, got, test.want)
		}
	}
	tokens.Retain(nil)
	if got := tokens.Get("lj-1"); got != "" {
		t.Errorf("token %q after its VM was removed", got)
	}
}
