package once_test

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
)

var (
	testStart   = time.Unix(1000, 0)
	testRequest = once.Fingerprint{Account: "kanalnet", Service: "lease-desk", Method: "POST", Path: "/reserve"}
)

func testOptions() once.Options {
	return once.Options{
		VM:             "lj-1",
		Incarnation:    7,
		Key:            [32]byte{1, 2, 3},
		Validity:       time.Minute,
		MaxRecords:     100,
		MaxKeptBytes:   1000,
		MaxAnswerBytes: 600,
		Rand:           rand.NewChaCha8([32]byte{}),
	}
}

func mustIssue(t testing.TB, r *once.Registry, now time.Time) string {
	t.Helper()
	ticket, expiresIn, err := r.Issue(now, testRequest.Account, testRequest.Service)
	if err != nil || expiresIn != time.Minute || len(ticket) > once.MaxTicketBytes {
		t.Fatalf("issue: %q, %v, %v", ticket, expiresIn, err)
	}
	return ticket
}

func mustBegin(t testing.TB, r *once.Registry, now time.Time, ticket string, want once.ClaimKind) once.Claim {
	t.Helper()
	claim, err := r.Begin(now, ticket, testRequest)
	if err != nil || claim.Kind != want {
		t.Fatalf("begin: kind %d, %v, want kind %d", claim.Kind, err, want)
	}
	return claim
}

func checkError(t *testing.T, err error, want *once.Error, outcome model.Outcome) {
	t.Helper()
	if !errors.Is(err, want) || once.OutcomeOf(err) != outcome {
		t.Errorf("got %v, want %s (%s)", err, want.Reason, outcome)
	}
}

func completeResult(size int) once.Result {
	return once.Result{
		Outcome:  model.OutcomeRan,
		Status:   http.StatusOK,
		Header:   http.Header{"A": {"b"}},
		Body:     bytes.Repeat([]byte("x"), size),
		Complete: true,
	}
}

func TestRepeatJoinsThenGetsKeptResponse(t *testing.T) {
	r := once.NewRegistry(testOptions())
	ticket := mustIssue(t, r, testStart)
	first := mustBegin(t, r, testStart, ticket, once.ClaimRun)
	joined := mustBegin(t, r, testStart, ticket, once.ClaimJoin)
	r.Finish(first.ID, completeResult(10))
	result, err := joined.Wait(t.Context())
	if err != nil || len(result.Body) != 10 || !result.Complete {
		t.Errorf("joined result %+v, %v", result, err)
	}
	kept := mustBegin(t, r, testStart, ticket, once.ClaimFinished)
	if len(kept.Result.Body) != 10 || kept.Result.Outcome != model.OutcomeRan {
		t.Errorf("kept result %+v", kept.Result)
	}
}

func TestWaitHonoursContext(t *testing.T) {
	r := once.NewRegistry(testOptions())
	claim := mustBegin(t, r, testStart, mustIssue(t, r, testStart), once.ClaimRun)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := claim.Wait(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("wait: %v", err)
	}
}

func TestBeginRejectsInvalidTickets(t *testing.T) {
	opts := testOptions()
	r := once.NewRegistry(opts)
	ticket := mustIssue(t, r, testStart)
	otherRequest := testRequest
	otherRequest.Account = "hofer"
	_, err := r.Begin(testStart, ticket, otherRequest)
	checkError(t, err, once.ErrTicketInvalid, model.OutcomeNotRun)

	forged := []byte(ticket)
	forged[len(forged)-5] ^= 1
	for _, text := range []string{string(forged), "", "a\nb", strings.Repeat("a", 600), ticket + "\n"} {
		_, err = r.Begin(testStart, text, testRequest)
		if once.ReasonOf(err) != model.ReasonTicketInvalid {
			t.Errorf("ticket %.20q: %v", text, err)
		}
	}

	restarted := opts
	restarted.Incarnation++
	_, err = once.NewRegistry(restarted).Begin(testStart, ticket, testRequest)
	checkError(t, err, once.ErrTicketOwnerGone, model.OutcomeUnknown)

	other := opts
	other.VM = "mb-1"
	_, err = once.NewRegistry(other).Begin(testStart, ticket, testRequest)
	checkError(t, err, once.ErrNotOwner, model.OutcomeUnknown)

	info, err := once.Parse(ticket)
	if err != nil || info.Owner != "lj-1" || info.Incarnation != 7 {
		t.Errorf("parse: %+v, %v", info, err)
	}
}

func TestBodyDigestIsComparedWhenBothHaveOne(t *testing.T) {
	r := once.NewRegistry(testOptions())
	ticket := mustIssue(t, r, testStart)
	for _, test := range []struct {
		digest string
		reused bool
	}{{"sha-256=a", false}, {"", false}, {"sha-256=b", true}} {
		req := testRequest
		req.BodyDigest = test.digest
		_, err := r.Begin(testStart, ticket, req)
		if errors.Is(err, once.ErrTicketReused) != test.reused {
			t.Errorf("digest %q: %v", test.digest, err)
		}
	}
}

func TestNotRunIsFinal(t *testing.T) {
	r := once.NewRegistry(testOptions())
	ticket := mustIssue(t, r, testStart)
	claim := mustBegin(t, r, testStart, ticket, once.ClaimRun)
	r.Finish(claim.ID, once.Result{Outcome: model.OutcomeNotRun, Reason: model.ReasonQueueFull})
	r.Finish(claim.ID, completeResult(1))
	_, err := r.Begin(testStart, ticket, testRequest)
	checkError(t, err, once.ErrTicketSealed, model.OutcomeNotRun)
}

func TestUnknownOutcomeMayBecomeDefinite(t *testing.T) {
	r := once.NewRegistry(testOptions())
	ticket := mustIssue(t, r, testStart)
	claim := mustBegin(t, r, testStart, ticket, once.ClaimRun)
	r.Finish(claim.ID, once.Result{Outcome: model.OutcomeUnknown, Reason: model.ReasonTimeout})
	r.Finish(claim.ID, completeResult(3))
	kept := mustBegin(t, r, testStart, ticket, once.ClaimFinished)
	if kept.Result.Outcome != model.OutcomeRan || len(kept.Result.Body) != 3 {
		t.Errorf("kept %+v", kept.Result)
	}
}

func TestSeal(t *testing.T) {
	r := once.NewRegistry(testOptions())
	unused, used := mustIssue(t, r, testStart), mustIssue(t, r, testStart)
	claim := mustBegin(t, r, testStart, used, once.ClaimRun)
	wantSeal := func(ticket string, want model.Outcome) {
		t.Helper()
		if got, err := r.Seal(testStart, ticket); got != want || err != nil {
			t.Errorf("seal: %v, %v, want %v", got, err, want)
		}
	}
	wantSeal(unused, model.OutcomeNotRun)
	wantSeal(used, model.OutcomeUnknown)
	r.Finish(claim.ID, completeResult(1))
	wantSeal(used, model.OutcomeRan)
	_, err := r.Begin(testStart, unused, testRequest)
	checkError(t, err, once.ErrTicketSealed, model.OutcomeNotRun)
}

func TestExpiry(t *testing.T) {
	r := once.NewRegistry(testOptions())
	used, unused := mustIssue(t, r, testStart), mustIssue(t, r, testStart)
	claim := mustBegin(t, r, testStart, used, once.ClaimRun)
	r.Finish(claim.ID, completeResult(1))

	expired := testStart.Add(time.Minute)
	mustBegin(t, r, expired, used, once.ClaimFinished)
	_, err := r.Begin(expired, unused, testRequest)
	checkError(t, err, once.ErrTicketExpired, model.OutcomeNotRun)

	forgotten := testStart.Add(3 * time.Minute)
	r.Expire(forgotten)
	for _, now := range []time.Time{forgotten, testStart} {
		_, err = r.Begin(now, used, testRequest)
		checkError(t, err, once.ErrTicketExpired, model.OutcomeUnknown)
	}
	if stats := r.Stats(); stats != (once.Stats{}) {
		t.Errorf("left over: %+v", stats)
	}
}

func TestRunningRecordOutlivesItsTicket(t *testing.T) {
	r := once.NewRegistry(testOptions())
	ticket := mustIssue(t, r, testStart)
	claim := mustBegin(t, r, testStart, ticket, once.ClaimRun)
	late := testStart.Add(time.Hour)
	r.Expire(late)
	joined := mustBegin(t, r, late, ticket, once.ClaimJoin)
	if held := r.Stats().Reserved; held != 1 {
		t.Errorf("held %d, want 1", held)
	}
	r.Finish(claim.ID, completeResult(1))
	if result, err := joined.Wait(t.Context()); err != nil || result.Outcome != model.OutcomeRan {
		t.Errorf("joined: %+v, %v", result, err)
	}
	if stats := r.Stats(); stats != (once.Stats{}) {
		t.Errorf("left over: %+v", stats)
	}
}

func TestIssueLimits(t *testing.T) {
	opts := testOptions()
	opts.MaxRecords = 3
	opts.MaxAccountRecords = 2
	r := once.NewRegistry(opts)
	issue := func(now time.Time, account model.AccountID) error {
		_, _, err := r.Issue(now, account, "s")
		return err
	}
	for i, test := range []struct {
		at      time.Duration
		account model.AccountID
		full    bool
	}{
		{0, "a", false}, {0, "a", false}, {0, "a", true}, {0, "b", false}, {0, "b", true},
		{2 * time.Minute, "a", false}, {2 * time.Minute, "b", false},
	} {
		err := issue(testStart.Add(test.at), test.account)
		if errors.Is(err, once.ErrTicketsExhausted) != test.full {
			t.Errorf("issue %d: %v", i, err)
		}
	}
	if err := issue(testStart, model.AccountID(strings.Repeat("n", 97))); !errors.Is(err, once.ErrNameTooLong) {
		t.Errorf("long name: %v", err)
	}
}

func TestKeptResponseLimits(t *testing.T) {
	r := once.NewRegistry(testOptions())
	finish := func(size int) string {
		ticket := mustIssue(t, r, testStart)
		r.Finish(mustBegin(t, r, testStart, ticket, once.ClaimRun).ID, completeResult(size))
		return ticket
	}
	wantBody := func(ticket string, want int) {
		t.Helper()
		result := mustBegin(t, r, testStart, ticket, once.ClaimFinished).Result
		if len(result.Body) != want || result.Complete != (want > 0) || result.Outcome != model.OutcomeRan {
			t.Errorf("kept %d bytes (%+v), want %d", len(result.Body), result.Reason, want)
		}
	}
	tooBig, first, second := finish(700), finish(500), finish(400)
	wantBody(tooBig, 0)
	wantBody(first, 500)
	wantBody(second, 400)
	third := finish(300)
	wantBody(first, 0)
	wantBody(third, 300)
	if kept := r.Stats().KeptBytes; kept > 1000 {
		t.Errorf("%d bytes kept", kept)
	}
}

func FuzzParse(f *testing.F) {
	r := once.NewRegistry(testOptions())
	valid, _, err := r.Issue(testStart, testRequest.Account, testRequest.Service)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:40])
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		_, parseErr := once.Parse(text)
		var refusal *once.Error
		if parseErr != nil && !errors.As(parseErr, &refusal) {
			t.Errorf("untyped error %v", parseErr)
		}
		_, err := r.Begin(testStart, text, testRequest)
		if err == nil && text != valid {
			t.Errorf("forged ticket %q accepted", text)
		}
	})
}

func BenchmarkIssueBeginFinish(b *testing.B) {
	opts := testOptions()
	opts.MaxRecords = 1 << 20
	opts.MaxKeptBytes = 1 << 20
	r := once.NewRegistry(opts)
	now := testStart
	result := completeResult(256)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		ticket := mustIssue(b, r, now)
		r.Finish(mustBegin(b, r, now, ticket, once.ClaimRun).ID, result)
	}
}

func BenchmarkAttempt(b *testing.B) {
	a := once.NewAttempts(once.AttemptOptions{
		Incarnation: 1, TokenValidity: 10 * time.Second, MaxAccepted: 1 << 20, MaxRejected: 1 << 10,
	})
	random := rand.NewChaCha8([32]byte{})
	now := testStart
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		id, err := once.NewAttemptID(a.Token(now), random)
		if err != nil {
			b.Fatal(err)
		}
		if err := a.Accept(now, id, time.Second); err != nil {
			b.Fatal(err)
		}
		a.Start(id)
		a.Finish(id, model.OutcomeRan)
	}
}

func TestConcurrentBeginsRunOnce(t *testing.T) {
	const callers = 32
	r := once.NewRegistry(testOptions())
	ticket := mustIssue(t, r, testStart)
	kinds := make(chan once.ClaimKind, callers)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			claim, err := r.Begin(testStart, ticket, testRequest)
			if err != nil {
				t.Error(err)
			}
			if claim.Kind == once.ClaimRun {
				r.Finish(claim.ID, completeResult(1))
			}
			kinds <- claim.Kind
		})
	}
	group.Wait()
	close(kinds)
	runs := 0
	for kind := range kinds {
		if kind == once.ClaimRun {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// BenchmarkRecordMemory reports the memory use of the record of one finished
// request whose response is not kept.
func BenchmarkRecordMemory(b *testing.B) {
	const records = 100_000
	opts := testOptions()
	opts.MaxRecords = records
	var before, after runtime.MemStats
	for b.Loop() {
		r := once.NewRegistry(opts)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range records {
			claim := mustBegin(b, r, testStart, mustIssue(b, r, testStart), once.ClaimRun)
			r.Finish(claim.ID, once.Result{Outcome: model.OutcomeRan, Status: http.StatusOK})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(r)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
}
