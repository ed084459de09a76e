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
	// testSilence is short so that the tests of silent connections end soon.
	testSilence = 50 * time.Millisecond
	// longSilence keeps the silence watch out of tests that are not about it.
	longSilence = time.Minute
	// heldPath is a path whose requests run until they are released.
	heldPath = "/held"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a client with one server.
type fixture struct {
	t       *testing.T
	server  *standin.Server
	client  *backend.Client
	started chan struct{} // receives one value for each held run
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

// health also lets the client learn the server's instance name.
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

// whole carries an attempt and reads its whole answer.
func (f *fixture) whole(req *backend.Request) error {
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

// beside carries an attempt beside the test.
func (f *fixture) beside(req *backend.Request) <-chan error {
	done := make(chan error, 1)
	go func() { done <- f.whole(req) }()
	return done
}

// hold carries an attempt beside the test and waits until it runs.
func (f *fixture) hold(req *backend.Request) <-chan error {
	done := f.beside(req)
	<-f.started
	return done
}

// end releases the held runs, whose attempts must succeed.
func (f *fixture) end(attempts ...<-chan error) {
	f.t.Helper()
	f.release()
	for _, done := range attempts {
		if err := <-done; err != nil {
			f.t.Error(err)
		}
	}
}

// answered carries an attempt that must succeed.
func (f *fixture) answered(req *backend.Request) {
	f.t.Helper()
	if err := f.whole(req); err != nil {
		f.t.Errorf("%s: %v", req.Path, err)
	}
}

// refused carries an attempt that must fail.
func (f *fixture) refused(req *backend.Request, outcome model.Outcome, reason model.Reason) *backend.Error {
	f.t.Helper()
	return f.wantError(f.whole(req), outcome, reason)
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

// poll waits for a condition at the server.
func poll(done func() bool) {
	for !done() {
		time.Sleep(time.Millisecond)
	}
}
