package once_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
)

func newFar(incarnation model.Incarnation) *once.Attempts {
	return once.NewAttempts(once.AttemptOptions{
		Incarnation:   incarnation,
		TokenValidity: 10 * time.Second,
		MaxAccepted:   2,
		MaxRejected:   2,
	})
}

func newID(t *testing.T, token once.Token, n byte) model.AttemptID {
	t.Helper()
	id, err := once.NewAttemptID(token, rand.NewChaCha8([32]byte{n}))
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func wantRevoke(t *testing.T, got once.RevokeResult, state once.RevokeState, outcome model.Outcome) {
	t.Helper()
	if got.State != state || got.Outcome != outcome {
		t.Errorf("got %+v, want state %d, %s", got, state, outcome)
	}
}

func TestRevokeBeforeAndAfterStart(t *testing.T) {
	a := newFar(1)
	first, second := newID(t, a.Token(testStart), 1), newID(t, a.Token(testStart), 2)
	for _, id := range []model.AttemptID{first, second} {
		if err := a.Accept(testStart, id, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	wantRevoke(t, a.Revoke(testStart, first), once.RevokedNotRun, model.OutcomeNotRun)
	if a.Started(first) {
		t.Error("a revoked attempt started")
	}
	wantRefusal(t, a.Accept(testStart, first, time.Second), once.ErrRevoked, model.OutcomeNotRun)
	if !a.Started(second) {
		t.Fatal("second attempt did not start")
	}
	wantRevoke(t, a.Revoke(testStart, second), once.RevokedStarted, model.OutcomeUnknown)
	wantRefusal(t, a.Accept(testStart, second, time.Second), once.ErrDuplicate, model.OutcomeUnknown)
	a.Finish(second, model.OutcomeRan)
	wantRevoke(t, a.Revoke(testStart, second), once.RevokedFinished, model.OutcomeRan)
}

// TestLateCopyAfterSealIsForgotten delivers a copy long after every record of
// its revocation is gone.
func TestLateCopyAfterSealIsForgotten(t *testing.T) {
	a := newFar(1)
	id := newID(t, a.Token(testStart), 1)
	wantRevoke(t, a.Revoke(testStart, id), once.RevokedNotRun, model.OutcomeNotRun)
	late := testStart.Add(time.Hour)
	a.Expire(late)
	if accepted, sealed := a.Len(); accepted+sealed != 0 {
		t.Fatalf("%d accepted, %d sealed left", accepted, sealed)
	}
	wantRefusal(t, a.Accept(late, id, time.Second), once.ErrStale, model.OutcomeUnknown)
	wantRevoke(t, a.Revoke(late, id), once.RevokedUnknown, model.OutcomeUnknown)
}

func TestAttemptsOfOtherProcesses(t *testing.T) {
	id := newID(t, newFar(1).Token(testStart), 1)
	restarted := newFar(2)
	wantRefusal(t, restarted.Accept(testStart, id, time.Second), once.ErrStale, model.OutcomeUnknown)
	wantRevoke(t, restarted.Revoke(testStart, id), once.RevokedUnknown, model.OutcomeUnknown)
	noToken := newID(t, "", 1)
	wantRefusal(t, restarted.Accept(testStart, noToken, time.Second), once.ErrStale, model.OutcomeNotRun)
}

// TestFullSealsRaiseTheFloor seals more attempts than can be remembered.
func TestFullSealsRaiseTheFloor(t *testing.T) {
	a := newFar(1)
	token := a.Token(testStart)
	for n := range byte(5) {
		id := newID(t, token, n)
		wantRevoke(t, a.Revoke(testStart, id), once.RevokedNotRun, model.OutcomeNotRun)
	}
	for n := range byte(5) {
		if err := a.Accept(testStart, newID(t, token, n), time.Second); err == nil {
			t.Errorf("revoked attempt %d was accepted", n)
		}
	}
	fresh := newID(t, a.Token(testStart), 9)
	if err := a.Accept(testStart, fresh, time.Second); err != nil {
		t.Errorf("fresh attempt: %v", err)
	}
}

func TestFullAcceptsRefuseForGood(t *testing.T) {
	a := newFar(1)
	token := a.Token(testStart)
	for n := range byte(2) {
		if err := a.Accept(testStart, newID(t, token, n), time.Second); err != nil {
			t.Fatal(err)
		}
	}
	id := newID(t, token, 3)
	wantRefusal(t, a.Accept(testStart, id, time.Second), once.ErrFull, model.OutcomeNotRun)
	wantRefusal(t, a.Accept(testStart, id, time.Second), once.ErrRevoked, model.OutcomeNotRun)
}

func TestAttemptPastItsDeadlineDoesNotStart(t *testing.T) {
	a := newFar(1)
	id := newID(t, a.Token(testStart), 1)
	if err := a.Accept(testStart, id, time.Second); err != nil {
		t.Fatal(err)
	}
	a.Expire(testStart.Add(2 * time.Second))
	if a.Started(id) {
		t.Error("started after its deadline")
	}
}

func TestTokensKeepTheNewest(t *testing.T) {
	far, restarted := newFar(1), newFar(2)
	old := far.Token(testStart)
	newer := far.Token(testStart.Add(time.Second))
	var tokens once.Tokens
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
		t.Errorf("token %q after its VM left", got)
	}
}
