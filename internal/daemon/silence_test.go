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

// wires holds the connections that a daemon has dialled, so that a test can
// make the open ones go silent while new ones work.
type wires struct {
	mu   sync.Mutex
	open []*wire
}

// wire is a connection that loses everything once it is silent.
type wire struct {
	net.Conn
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
	mute   sync.Once
}

func (w *wires) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &wire{Conn: c, silent: make(chan struct{}), closed: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open = append(w.open, conn)
	return conn, nil
}

// silence makes the open connections to an address silent for good.
func (w *wires) silence(address string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, conn := range w.open {
		if conn.RemoteAddr().String() == address {
			conn.mute.Do(func() { close(conn.silent) })
			count++
		}
	}
	return count
}

func (c *wire) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read returns what arrives before the connection goes silent.
func (c *wire) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write loses what is written to a silent connection.
func (c *wire) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close ends the connection.
func (c *wire) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// apart returns a fleet of two VMs with the indexes of the one that owns the
// server and of the other one.
func apart(t *testing.T) (f *testFleet, own, other int) {
	t.Helper()
	f = startTestFleet(t, 2)
	address, _ := f.ownerOf(t, "desk-1")
	if address == f.address[0] {
		return f, 0, 1
	}
	return f, 1, 0
}

func TestIdempotentRelayLeavesASilentConnection(t *testing.T) {
	f, own, other := apart(t)
	slow := call{method: "GET", path: "/v1/requests/desk/lookup/slow?bytes=50000", header: map[string]string{header.Account: testAccount}}
	ended := make(chan string, 1)
	go func() {
		resp, _ := slow.send(t, f.address[other])
		ended <- resp.Header.Get(header.Outcome)
	}()
	f.await(t, "the request to start", func() bool { return f.backends[0].Counts().Started == 1 })
	if f.wires[other].silence(f.address[own]) == 0 {
		t.Fatal("no connection between the VMs")
	}
	if got := <-ended; got != "ran" {
		t.Fatalf("outcome %q, want ran", got)
	}
}

func TestOrderOverASilentRelayRunsOnce(t *testing.T) {
	f, own, other := apart(t)
	order := orderCall(takeTicket(t, f.address[other]), "silent")
	order.path = "/v1/requests/desk/order/slow?bytes=100"
	ended := make(chan string, 1)
	go func() {
		resp, _ := order.send(t, f.address[other])
		ended <- resp.Header.Get(header.Outcome)
	}()
	f.await(t, "the order to start", func() bool { return f.backends[0].Runs("silent") == 1 })
	f.wires[other].silence(f.address[own])
	if got := <-ended; got == "not-run" {
		t.Fatal("an order that ran was told not run")
	}
	again, _ := order.send(t, f.address[own])
	if got := again.Header.Get(header.Outcome); got == "not-run" {
		t.Fatal("the repeat of an order that ran was told not run")
	}
	if n := f.backends[0].Runs("silent"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

func TestOrderSurvivesTheLossOfItsRelay(t *testing.T) {
	f, own, other := apart(t)
	order := orderCall(takeTicket(t, f.address[other]), "moved")
	f.daemons[own].Kill()
	f.await(t, "the other VM to own the server", func() bool {
		pools, err := kernel.Find[*owner.Pools](f.daemons[other].Kernel(), NamePools)
		return err == nil && owns(pools, "desk-1")
	})
	resp, body := order.send(t, f.address[other])
	if got := resp.Header.Get(header.Outcome); got != "ran" {
		t.Fatalf("outcome %q: %s", got, body)
	}
	if n := f.backends[0].Runs("moved"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

func TestRepeatOvertakesTheFirst(t *testing.T) {
	f, _, other := apart(t)
	order := orderCall(takeTicket(t, f.address[other]), "twice")
	order.path = "/v1/requests/desk/order/slow?bytes=100"
	const copies = 6
	outcomes := make(chan string, copies)
	for n := range copies {
		go func() {
			resp, _ := order.send(t, f.address[n%2])
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

func TestPausedServerLeavesOutcomesTrue(t *testing.T) {
	f, _, other := apart(t)
	order := orderCall(takeTicket(t, f.address[other]), "paused")
	order.header[header.DeadlineMS] = "800"
	f.backends[0].Pause()
	resp, _ := order.send(t, f.address[other])
	outcome := resp.Header.Get(header.Outcome)
	f.backends[0].Resume()
	f.await(t, "the server to answer again", func() bool {
		r, _ := call{method: "GET", path: "/v1/requests/desk/lookup?bytes=10", header: map[string]string{header.Account: testAccount}}.send(t, f.address[other])
		return r.Header.Get(header.Outcome) == "ran"
	})
	runs := f.backends[0].Runs("paused")
	if outcome == model.OutcomeNotRun.String() && runs != 0 {
		t.Fatalf("told not run, ran %d times", runs)
	}
	if runs > 1 {
		t.Fatalf("ran %d times", runs)
	}
}
