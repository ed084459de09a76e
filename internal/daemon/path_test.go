package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/kernel"
	"fuchsiaspar/internal/metrics"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"
)

// call describes a request that a test sends to an entry VM.
type call struct {
	method, path, body string
	header             map[string]string
}

func (c call) send(t *testing.T, address string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), c.method, "http://"+address+c.path, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func TestRefusals(t *testing.T) {
	f := startTestFleet(t, 1)
	account := map[string]string{header.Account: testAccount}
	with := func(name, value string) map[string]string {
		return map[string]string{header.Account: testAccount, name: value}
	}
	tests := []struct {
		desc   string
		call   call
		status int
		reason model.Reason
	}{
		{"no path", call{method: "GET", path: "/v1/requests/desk", header: account}, 400, model.ReasonMalformed},
		{"unknown service", call{method: "GET", path: "/v1/requests/none/x", header: account}, 404, model.ReasonUnknownService},
		{"no account", call{method: "GET", path: "/v1/requests/desk/lookup"}, 400, model.ReasonMalformed},
		{"unknown account", call{method: "GET", path: "/v1/requests/desk/lookup", header: map[string]string{header.Account: "none"}}, 403, model.ReasonUnknownAccount},
		{"no class", call{method: "GET", path: "/v1/requests/desk/other", header: account}, 403, model.ReasonUnknownService},
		{"bad priority", call{method: "GET", path: "/v1/requests/desk/lookup", header: with(header.Priority, "first")}, 400, model.ReasonMalformed},
		{"bad deadline", call{method: "GET", path: "/v1/requests/desk/lookup", header: with(header.DeadlineMS, "-1")}, 400, model.ReasonMalformed},
		{"bad client", call{method: "GET", path: "/v1/requests/desk/lookup", header: with(header.Client, "here")}, 400, model.ReasonMalformed},
		{"large header", call{method: "GET", path: "/v1/requests/desk/lookup", header: with("X-Large", strings.Repeat("x", 20<<10))}, 431, model.ReasonTooLarge},
		{"no ticket", call{method: "POST", path: "/v1/requests/desk/order", header: account}, 422, model.ReasonTicketMissing},
		{"bad ticket", call{method: "POST", path: "/v1/requests/desk/order", header: with(header.Ticket, "abc")}, 422, model.ReasonTicketInvalid},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			resp, body := test.call.send(t, f.addresses[0])
			if resp.StatusCode != test.status {
				t.Errorf("status %d, want %d: %s", resp.StatusCode, test.status, body)
			}
			if got := resp.Header.Get(header.Outcome); got != "not-run" {
				t.Errorf("outcome %q, want not-run", got)
			}
			if got := resp.Header.Get(header.Reason); got != string(test.reason) {
				t.Errorf("reason %q, want %q", got, test.reason)
			}
			if !strings.Contains(body, string(test.reason)) {
				t.Errorf("body %q does not contain the reason", body)
			}
			f.awaitCounter(t, test.reason)
		})
	}
	if n := f.backends[0].Counts().Started; n != 0 {
		t.Fatalf("%d refused requests ran", n)
	}
}

// awaitCounter waits until the metrics of the first daemon have a counter of
// failed requests and a series for reason.
func (f *testFleet) awaitCounter(t *testing.T, reason model.Reason) {
	t.Helper()
	m, err := kernel.Find[*metricsService](f.daemons[0].Kernel(), NameMetrics)
	if err != nil {
		t.Fatal(err)
	}
	f.await(t, "counter "+string(reason), func() bool {
		_, body := call{method: "GET", path: MetricsPath}.send(t, f.addresses[0])
		return m.Metrics != nil && strings.Contains(body, metrics.Prefix+"_failed_requests") &&
			strings.Contains(body, `reason="`+string(reason)+`"`)
	})
}

// issueTicket requests a ticket for the desk service.
func issueTicket(t *testing.T, address string) string {
	t.Helper()
	resp, body := call{
		method: "POST", path: "/v1/tickets", body: `{"account":"carrier","service":"desk"}`,
		header: map[string]string{"Content-Type": "application/json"},
	}.send(t, address)
	var issued struct{ Ticket string }
	if err := json.Unmarshal([]byte(body), &issued); err != nil || issued.Ticket == "" {
		t.Fatalf("status %d: %s", resp.StatusCode, body)
	}
	return issued.Ticket
}

// orderCall returns a non-idempotent request that creates the order id.
func orderCall(ticket, id string) call {
	return call{method: "POST", path: "/v1/requests/desk/order?bytes=100", body: "one sub-duct", header: map[string]string{
		header.Account: testAccount, header.Ticket: ticket, standin.HeaderOrder: id,
	}}
}

// TestRepeatThroughAnotherVMRunsOnce checks that repeats of an order through
// any VM return the kept answer and do not run it again.
func TestRepeatThroughAnotherVMRunsOnce(t *testing.T) {
	f := startTestFleet(t, 2)
	c := orderCall(issueTicket(t, f.addresses[0]), "one")
	first, body := c.send(t, f.addresses[1])
	if first.StatusCode != http.StatusOK || first.Header.Get(header.Outcome) != "ran" {
		t.Fatalf("status %d, outcome %q, reason %q", first.StatusCode, first.Header.Get(header.Outcome), first.Header.Get(header.Reason))
	}
	for _, address := range f.addresses {
		again, repeat := c.send(t, address)
		if again.StatusCode != http.StatusOK || repeat != body {
			t.Fatalf("repeat at %s: status %d, same body %v", address, again.StatusCode, repeat == body)
		}
	}
	other := c
	other.body = "two sub-ducts"
	if resp, _ := other.send(t, f.addresses[0]); resp.Header.Get(header.Reason) != string(model.ReasonTicketReused) {
		t.Fatalf("another body under the same ticket: reason %q", resp.Header.Get(header.Reason))
	}
	if n := f.backends[0].Runs("one"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

func TestSealedTicketNeverRuns(t *testing.T) {
	f := startTestFleet(t, 2)
	ticket := issueTicket(t, f.addresses[0])
	sealed := call{method: "POST", path: "/v1/tickets/seal", body: `{"ticket":"` + ticket + `"}`,
		header: map[string]string{"Content-Type": "application/json"}}
	if _, body := sealed.send(t, f.addresses[1]); !strings.Contains(body, `"not-run"`) {
		t.Fatalf("seal through the other VM: %s", body)
	}
	resp, _ := orderCall(ticket, "late").send(t, f.addresses[0])
	if resp.Header.Get(header.Outcome) != "not-run" || resp.Header.Get(header.Reason) != string(model.ReasonTicketSealed) {
		t.Fatalf("outcome %q, reason %q", resp.Header.Get(header.Outcome), resp.Header.Get(header.Reason))
	}
	if n := f.backends[0].Runs("late"); n != 0 {
		t.Fatalf("ran %d times", n)
	}
}

// TestTicketOfDeadVMHasUnknownOutcome checks that an order is neither run nor
// reported as not run when the VM that holds its ticket record is gone.
func TestTicketOfDeadVMHasUnknownOutcome(t *testing.T) {
	f := startTestFleet(t, 2)
	ticket := issueTicket(t, f.addresses[0])
	f.daemons[0].Kill()
	resp, _ := orderCall(ticket, "orphan").send(t, f.addresses[1])
	if got := resp.Header.Get(header.Outcome); got != "unknown" {
		t.Fatalf("outcome %q, want unknown", got)
	}
	if n := f.backends[0].Runs("orphan"); n != 0 {
		t.Fatalf("ran %d times", n)
	}
}

// TestTruncatedAnswerIsAborted guards against passing on an answer that a
// backend server cut short as if it were complete.
func TestTruncatedAnswerIsAborted(t *testing.T) {
	f := startTestFleet(t, 2)
	for _, address := range f.addresses {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/v1/requests/desk/lookup?bytes=100000&fault=truncate", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set(header.Account, testAccount)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil && resp.Header.Get(header.Outcome) == "ran" {
			t.Fatalf("truncated answer through %s was delivered as complete", address)
		}
	}
}

// TestPlannedStopCutsNothing checks that a graceful stop completes requests in
// flight and keeps serving callers with cached lookup answers.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := startTestFleet(t, 2)
	own, _ := f.ownerOf(t, "desk-1")
	leaving := 0
	if own == f.addresses[1] {
		leaving = 1
	}
	slow := call{method: "GET", path: "/v1/requests/desk/lookup/slow?bytes=50000", header: map[string]string{header.Account: testAccount}}
	ended := make(chan *http.Response, 1)
	go func() {
		resp, _ := slow.send(t, f.addresses[leaving])
		ended <- resp
	}()
	f.await(t, "the slow request to start", func() bool { return f.backends[0].Counts().Started == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- f.daemons[leaving].Stop(context.Background()) }()
	f.await(t, "the other VM to own the server", func() bool {
		pools, err := kernel.Find[*owner.Pools](f.daemons[1-leaving].Kernel(), NamePools)
		return err == nil && ownsServer(pools, "desk-1")
	})
	if resp := <-ended; resp.StatusCode != http.StatusOK {
		t.Fatalf("the request in flight ended with status %d", resp.StatusCode)
	}
	cached := call{method: "GET", path: "/v1/requests/desk/lookup?bytes=10", header: map[string]string{header.Account: testAccount}}
	if resp, body := cached.send(t, f.addresses[leaving]); resp.StatusCode != http.StatusOK {
		t.Fatalf("a caller with a cached answer was refused: %s", body)
	}
	select {
	case err := <-stopped:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the stop did not end")
	}
}
