package daemon

import (
	"context"
	"net"
	"sync"
	"testing"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/kernel"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"
)

// trackingDialer records the connections that a daemon dials, so that a test
// can silence the open ones while new ones keep working.
type trackingDialer struct {
	mu    sync.Mutex
	conns []*silenceableConn
}

// silenceableConn is a connection that can be made to discard all data in both
// directions without closing, as a network partition does.
type silenceableConn struct {
	net.Conn
	silent      chan struct{}
	closed      chan struct{}
	closeOnce   sync.Once
	silenceOnce sync.Once
}

func (td *trackingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &silenceableConn{Conn: c, silent: make(chan struct{}), closed: make(chan struct{})}
	td.mu.Lock()
	defer td.mu.Unlock()
	td.conns = append(td.conns, conn)
	return conn, nil
}

// silence permanently silences the open connections to address and returns how
// many there were.
func (td *trackingDialer) silence(address string) int {
	td.mu.Lock()
	defer td.mu.Unlock()
	silenced := 0
	for _, conn := range td.conns {
		if conn.RemoteAddr().String() == address {
			conn.silenceOnce.Do(func() { close(conn.silent) })
			silenced++
		}
	}
	return silenced
}

func (c *silenceableConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read reads from the connection. Once it is silent, Read blocks until Close.
func (c *silenceableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes to the connection. Once it is silent, Write discards the data
// and reports success.
func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and unblocks a silenced Read.
func (c *silenceableConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// startOwnerAndPeer starts two entry VMs and returns the indexes of the one that
// owns the backend server and of the other one.
func startOwnerAndPeer(t *testing.T) (f *testFleet, own, other int) {
	t.Helper()
	f = startTestFleet(t, 2)
	address, _ := f.ownerOf(t, "desk-1")
	if address == f.addresses[0] {
		return f, 0, 1
	}
	return f, 1, 0
}

// TestIdempotentRelaySurvivesSilentConnection checks that an idempotent request
// is retried over a new connection when its relay connection goes silent.
func TestIdempotentRelaySurvivesSilentConnection(t *testing.T) {
	f, own, other := startOwnerAndPeer(t)
	slow := call{method: "GET", path: "/v1/requests/desk/lookup/slow?bytes=50000", header: map[string]string{header.Account: testAccount}}
	ended := make(chan string, 1)
	go func() {
		resp, _ := slow.send(t, f.addresses[other])
		ended <- resp.Header.Get(header.Outcome)
	}()
	f.await(t, "the request to start", func() bool { return f.backends[0].Counts().Started == 1 })
	if f.dialers[other].silence(f.addresses[own]) == 0 {
		t.Fatal("no connection between the VMs")
	}
	if got := <-ended; got != "ran" {
		t.Fatalf("outcome %q, want ran", got)
	}
}

// TestOrderOverSilentRelayRunsOnce checks that an order whose relay connection
// goes silent is neither run twice nor reported as not run.
func TestOrderOverSilentRelayRunsOnce(t *testing.T) {
	f, own, other := startOwnerAndPeer(t)
	order := orderCall(issueTicket(t, f.addresses[other]), "silent")
	order.path = "/v1/requests/desk/order/slow?bytes=100"
	ended := make(chan string, 1)
	go func() {
		resp, _ := order.send(t, f.addresses[other])
		ended <- resp.Header.Get(header.Outcome)
	}()
	f.await(t, "the order to start", func() bool { return f.backends[0].Runs("silent") == 1 })
	f.dialers[other].silence(f.addresses[own])
	if got := <-ended; got == "not-run" {
		t.Fatal("an order that ran was reported as not run")
	}
	again, _ := order.send(t, f.addresses[own])
	if got := again.Header.Get(header.Outcome); got == "not-run" {
		t.Fatal("the repeat of an order that ran was reported as not run")
	}
	if n := f.backends[0].Runs("silent"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestOrderSurvivesRelayLoss checks that an order runs once after the VM that
// owned the backend server was killed and its peer took the server over.
func TestOrderSurvivesRelayLoss(t *testing.T) {
	f, own, other := startOwnerAndPeer(t)
	order := orderCall(issueTicket(t, f.addresses[other]), "moved")
	f.daemons[own].Kill()
	f.await(t, "the other VM to own the server", func() bool {
		pools, err := kernel.Find[*owner.Pools](f.daemons[other].Kernel(), NamePools)
		return err == nil && ownsServer(pools, "desk-1")
	})
	resp, body := order.send(t, f.addresses[other])
	if got := resp.Header.Get(header.Outcome); got != "ran" {
		t.Fatalf("outcome %q: %s", got, body)
	}
	if n := f.backends[0].Runs("moved"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestConcurrentDuplicatesRunOnce checks that copies of an order sent at once
// through both VMs all get the answer of a single run.
func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	f, _, other := startOwnerAndPeer(t)
	order := orderCall(issueTicket(t, f.addresses[other]), "twice")
	order.path = "/v1/requests/desk/order/slow?bytes=100"
	const copies = 6
	outcomes := make(chan string, copies)
	for n := range copies {
		go func() {
			resp, _ := order.send(t, f.addresses[n%2])
			outcomes <- resp.Header.Get(header.Outcome)
		}()
	}
	for range copies {
		if got := <-outcomes; got != "ran" {
			t.Errorf("outcome %q, want ran", got)
		}
	}
	if n := f.backends[0].Runs("twice"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestPausedServerReportsCorrectOutcome guards against reporting an order as
// not run when a paused backend server runs it after the caller's deadline.
func TestPausedServerReportsCorrectOutcome(t *testing.T) {
	f, _, other := startOwnerAndPeer(t)
	order := orderCall(issueTicket(t, f.addresses[other]), "paused")
	order.header[header.DeadlineMS] = "800"
	f.backends[0].Pause()
	resp, _ := order.send(t, f.addresses[other])
	outcome := resp.Header.Get(header.Outcome)
	f.backends[0].Resume()
	f.await(t, "the server to answer again", func() bool {
		r, _ := call{method: "GET", path: "/v1/requests/desk/lookup?bytes=10", header: map[string]string{header.Account: testAccount}}.send(t, f.addresses[other])
		return r.Header.Get(header.Outcome) == "ran"
	})
	runs := f.backends[0].Runs("paused")
	if outcome == model.OutcomeNotRun.String() && runs != 0 {
		t.Fatalf("reported as not run, but ran %d times", runs)
	}
	if runs > 1 {
		t.Fatalf("ran %d times", runs)
	}
}
