package backend_test

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/model"

	"go.uber.org/goleak"
)

const (
	// testSilence is short so that tests of silent connections finish quickly.
	testSilence = 50 * time.Millisecond
	// longSilence disables silence detection in tests of other behaviour.
	longSilence = time.Minute
	// heldPath is a path whose requests run until the fixture releases them.
	heldPath = "/held"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a Client and one server.
type fixture struct {
	t       *testing.T
	server  *standin.Server
	client  *backend.Client
	started chan struct{} // receives a value at the start of each held run
	release func()        // ends the held runs
}

func newFixture(t *testing.T, silence time.Duration, opts standin.Options) *fixture {
	t.Helper()
	released := make(chan struct{})
	f := &fixture{
		t:       t,
		client:  backend.New(backend.Options{Silence: silence, PlainSilence: 2 * silence}),
		started: make(chan struct{}, 16),
		release: sync.OnceFunc(func() { close(released) }),
	}
	opts.ID = "server-1"
	opts.ServiceTime = func(path string) time.Duration {
		if path == heldPath {
			f.started <- struct{}{}
			<-released
		}
		return 0
	}
	f.start(opts)
	t.Cleanup(func() {
		f.release()
		f.client.Close()
		f.server.Kill()
	})
	return f
}

func (f *fixture) start(opts standin.Options) {
	f.t.Helper()
	server, err := standin.Start(opts)
	if err != nil {
		f.t.Fatal(err)
	}
	f.server = server
}

// health returns the server's health. As a side effect, the client learns the
// server's instance name.
func (f *fixture) health() backend.Report {
	f.t.Helper()
	report, err := f.client.Health(f.t.Context(), f.server.Target())
	if err != nil {
		f.t.Fatal(err)
	}
	return report
}

var attemptNumber atomic.Int64

func newAttempt() model.AttemptID {
	return model.AttemptID("attempt-" + strconv.FormatInt(attemptNumber.Add(1), 10))
}

// order returns a non-idempotent request.
func order(path string) *backend.Request {
	return &backend.Request{Attempt: newAttempt(), Method: http.MethodPost, Path: path, Header: http.Header{}}
}

// lookup returns an idempotent request.
func lookup(path string) *backend.Request {
	req := order(path)
	req.Method = http.MethodGet
	req.Idempotent = true
	return req
}

// roundTrip sends an attempt and reads its complete response.
func (f *fixture) roundTrip(req *backend.Request) error {
	resp, err := f.client.Do(f.t.Context(), f.server.Target(), req)
	if err != nil {
		return err
	}
	return f.read(resp)
}

func (f *fixture) read(resp *backend.Response) error {
	defer resp.Body.Close()
	got, err := standin.Digest(resp.Body)
	if err != nil {
		return err
	}
	want := resp.Header.Get(standin.HeaderDigest) + resp.Trailer.Get(standin.HeaderDigest)
	if got != want {
		f.t.Errorf("digest %q, want %q", got, want)
	}
	return nil
}

// doAsync sends an attempt on another goroutine.
func (f *fixture) doAsync(req *backend.Request) <-chan error {
	done := make(chan error, 1)
	go func() { done <- f.roundTrip(req) }()
	return done
}

// startHeld sends an attempt for heldPath on another goroutine and waits until it
// runs.
func (f *fixture) startHeld(req *backend.Request) <-chan error {
	done := f.doAsync(req)
	<-f.started
	return done
}

// releaseAndWait releases the held runs and checks that the attempts succeed.
func (f *fixture) releaseAndWait(attempts ...<-chan error) {
	f.t.Helper()
	f.release()
	for _, done := range attempts {
		if err := <-done; err != nil {
			f.t.Error(err)
		}
	}
}

// mustSucceed sends an attempt and checks that it succeeds.
func (f *fixture) mustSucceed(req *backend.Request) {
	f.t.Helper()
	if err := f.roundTrip(req); err != nil {
		f.t.Errorf("%s: %v", req.Path, err)
	}
}

// mustFail sends an attempt and checks that it fails with the outcome and reason.
func (f *fixture) mustFail(req *backend.Request, outcome model.Outcome, reason model.Reason) *backend.Error {
	f.t.Helper()
	return f.wantError(f.roundTrip(req), outcome, reason)
}

func (f *fixture) wantError(err error, outcome model.Outcome, reason model.Reason) *backend.Error {
	f.t.Helper()
	var e *backend.Error
	if !errors.As(err, &e) {
		f.t.Fatalf("error %v, want an *Error", err)
	}
	if e.Outcome != outcome || e.Reason != reason {
		f.t.Errorf("got %v, want %s (%s)", e, reason, outcome)
	}
	return e
}

func (f *fixture) wantRuns(req *backend.Request, want int) {
	f.t.Helper()
	if got := f.server.AttemptRuns(req.Attempt); got != want {
		f.t.Errorf("%d runs of %s, want %d", got, req.Attempt, want)
	}
}

// poll waits until done returns true.
func poll(done func() bool) {
	for !done() {
		time.Sleep(time.Millisecond)
	}
}
