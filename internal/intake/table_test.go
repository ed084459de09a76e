package intake

import (
	"net/netip"
	"testing"
	"time"
)

var (
	start     = time.Unix(1_000_000, 0)
	here      = netip.MustParseAddr("10.0.0.1")
	elsewhere = netip.MustParseAddr("10.0.0.2")
)

// allRead is for connections without unread input.
func allRead(*Client) bool { return false }

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// newTestTable returns a table with the given number of connections to the front.
func newTestTable(connections int, memory int64) *Table {
	limits := Limits{Memory: memory}
	limits.Connections[Front] = connections
	limits.Connections[Ready] = 1
	return NewTable(limits)
}

func admit(t *testing.T, table *Table, address netip.Addr, now time.Time) *Client {
	t.Helper()
	c, victim := table.Admit(Front, address, now, allRead)
	if c == nil || victim != nil {
		t.Fatalf("admitted %v, victim %v", c, victim)
	}
	return c
}

// keepAlive lets a connection have served a request.
func keepAlive(table *Table, c *Client, now time.Time) {
	table.HeaderArrived(c, 100, 3, now)
	table.Enter(c, Body, now)
	table.Enter(c, Finishing, now)
	table.Enter(c, Idle, now)
}

// TestConnectionsLostInOrder guards against new connections that take the place of
// clients that behave while others don't.
func TestConnectionsLostInOrder(t *testing.T) {
	table := newTestTable(6, 1<<30)
	now := after(10)
	busy := admit(t, table, here, start)
	table.HeaderArrived(busy, 100, 3, start)
	table.Enter(busy, Serving, start)
	kept := admit(t, table, here, start)
	keepAlive(table, kept, after(8))
	slowHeader := admit(t, table, here, after(8))
	table.HeaderArrived(slowHeader, 10, 0, after(8))
	slowReader := admit(t, table, here, after(8.5))
	table.HeaderArrived(slowReader, 100, 3, after(8.5))
	table.Enter(slowReader, Serving, after(8.5))
	slowReader.taken.start(after(8.5))
	silent := admit(t, table, here, after(9))
	arriving := admit(t, table, here, after(9.5))
	table.HeaderArrived(arriving, 10, 0, after(9.5))
	for i, want := range []*Client{silent, slowHeader, slowReader, arriving, kept} {
		c, victim := table.Admit(Front, here, now, allRead)
		if c == nil || victim != want {
			t.Fatalf("connection %d closes %+v, want %+v", i, victim, want)
		}
		table.HeaderArrived(c, 100, 3, now)
		table.Enter(c, Serving, now)
	}
	if c, victim := table.Admit(Front, here, now, allRead); c != nil || victim != nil {
		t.Errorf("a connection was closed that is being served: %+v", victim)
	}
	if busy.evicted {
		t.Error("the busy connection was evicted")
	}
}

// TestUnreadInputIsNotIdle guards against closing a connection as idle on which a request
// waits to be read.
func TestUnreadInputIsNotIdle(t *testing.T) {
	table := newTestTable(2, 1<<30)
	unread := admit(t, table, here, start)
	silent := admit(t, table, here, after(1))
	hasUnread := func(c *Client) bool { return c == unread }
	if _, victim := table.Admit(Front, here, after(10), hasUnread); victim != silent {
		t.Errorf("closed %+v", victim)
	}
	if unread.phase != Header || unread.evicted {
		t.Errorf("the connection with unread input is %+v", unread)
	}
}

// TestIdleTooLongIsLostFirst guards against keeping connections that are idle for longer
// than the operator allows while others are closed.
func TestIdleTooLongIsLostFirst(t *testing.T) {
	table := newTestTable(2, 1<<30)
	table.SetOperator(Operator{IdleTime: 15 * time.Second})
	idle := admit(t, table, here, start)
	keepAlive(table, idle, start)
	silent := admit(t, table, here, after(10))
	if _, victim := table.Admit(Front, here, after(16), allRead); victim != idle {
		t.Errorf("closed %+v, want the connection idle for 16 s; silent: %v", victim, silent.evicted)
	}
}

// TestCrowdedAddressLosesFirst guards against one client address that takes the
// connections of all others.
func TestCrowdedAddressLosesFirst(t *testing.T) {
	table := newTestTable(8, 1<<30)
	alone := admit(t, table, elsewhere, start)
	for range 7 {
		admit(t, table, here, after(1))
	}
	for range 20 {
		if _, victim := table.Admit(Front, here, after(5), allRead); victim == nil || victim == alone {
			t.Fatalf("closed %+v", victim)
		}
	}
	if alone.evicted {
		t.Error("the only connection of its address was closed")
	}
}

// TestListenersAreSeparate guards against a crowd at one listener that makes another one
// refuse its connections, and against links to VMs that count as clients.
func TestListenersAreSeparate(t *testing.T) {
	table := newTestTable(1, 1<<30)
	front := admit(t, table, here, start)
	ready, victim := table.Admit(Ready, here, after(1), allRead)
	if ready == nil || victim != nil || front.evicted {
		t.Fatal("the listeners share connections")
	}
	table.HeaderArrived(ready, 100, 3, after(1))
	table.Enter(ready, Link, after(1))
	table.Enter(ready, Finishing, after(1))
	if c, victim := table.Admit(Ready, here, after(1), allRead); c == nil || victim != nil {
		t.Error("a link takes the place of a client")
	}
	table.Remove(ready)
	if got := table.counts[Ready]; got != 1 {
		t.Errorf("%d connections after the link ended, want 1", got)
	}
}

// TestMemoryIsBounded guards against accounting that loses bytes, and against holding more
// than the budget.
func TestMemoryIsBounded(t *testing.T) {
	const memory = 1 << 20
	table := newTestTable(100, memory)
	var clients []*Client
	for range 20 {
		c := admit(t, table, here, start)
		table.HeaderArrived(c, 0, 0, start)
		table.Enter(c, Serving, start)
		clients = append(clients, c)
	}
	granted := 0
	for range 100 {
		for _, c := range clients {
			if ok, victims := table.Reserve(c, 10_000, start); ok {
				granted++
			} else if len(victims) > 0 {
				t.Fatalf("evicted %+v for an equal", victims[0])
			}
			if table.held > memory {
				t.Fatalf("%d bytes held", table.held)
			}
		}
	}
	if granted == 0 {
		t.Error("nothing was granted")
	}
	for _, c := range clients {
		table.Remove(c)
		table.Release(c, 10_000)
		table.Remove(c)
	}
	if table.held != 0 || table.evicting != 0 || len(table.byOrigin) != 0 {
		t.Errorf("%d bytes held, %d of evicted clients, %d origins after all ended", table.held, table.evicting, len(table.byOrigin))
	}
}

// TestSmallRequestsFitBesideLargeOnes guards against large bodies that use up the budget.
func TestSmallRequestsFitBesideLargeOnes(t *testing.T) {
	table := newTestTable(100, 10<<20)
	for range 50 {
		c := admit(t, table, here, start)
		table.HeaderArrived(c, 0, 0, start)
		table.Enter(c, Serving, start)
		table.Reserve(c, 250<<10, start)
	}
	small := admit(t, table, here, start)
	table.HeaderArrived(small, 0, 0, start)
	if ok, _ := table.Reserve(small, 16<<10, start); !ok {
		t.Errorf("a small request does not fit; %d bytes held", table.held)
	}
}

// TestProbesFitAFullBudget guards against readiness that is refused for the memory that
// clients of the front hold, and against headers there that are not accounted.
func TestProbesFitAFullBudget(t *testing.T) {
	table := newTestTable(100, 1<<20)
	full := admit(t, table, here, start)
	table.Begin(full, start)
	table.hold(full, 1<<20)
	probe, _ := table.Admit(Ready, here, start, allRead)
	table.HeaderArrived(probe, 200, 5, start)
	if ok, _ := table.Reserve(probe, 200+5*fieldCost, start); !ok {
		t.Error("a probe was refused")
	}
	if ok, _ := table.Reserve(probe, 2000*fieldCost, start); ok {
		t.Error("a header of 2,000 fields was accepted")
	}
}

// TestRequestsAtOnceOnAConnection guards against requests that end the accounting of
// others on their connection.
func TestRequestsAtOnceOnAConnection(t *testing.T) {
	table := newTestTable(100, 1<<20)
	c := admit(t, table, here, start)
	table.HeaderArrived(c, 0, 0, start)
	for range 3 {
		table.Begin(c, start)
		table.Enter(c, Serving, start)
	}
	for left := 2; left >= 0; left-- {
		if want := int64(connectionCost + (left+1)*requestCost); table.held != want || c.phase != Serving {
			t.Errorf("%d held in phase %d, want %d", table.held, c.phase, want)
		}
		table.Finish(c, start)
	}
	table.Enter(c, Idle, start)
	if table.held != connectionCost {
		t.Errorf("%d held when idle", table.held)
	}
}

// TestMemoryVictims checks the order of eviction for memory: the slowest, then the
// largest holder of whose request nothing was sent to a server.
func TestMemoryVictims(t *testing.T) {
	table := newTestTable(100, 1<<20)
	hold := func(bytes int64, at float64) *Client {
		c := admit(t, table, here, after(at))
		table.HeaderArrived(c, 0, 0, after(at))
		table.Enter(c, Body, after(at))
		if ok, _ := table.Reserve(c, bytes, after(at)); !ok {
			t.Fatal("no room for the holders")
		}
		return c
	}
	serving := hold(300<<10, 0)
	table.Enter(serving, Serving, start)
	largest := hold(200<<10, 4)
	stalled := hold(20<<10, 3)
	stalled.sent.start(after(3))
	requester := hold(1<<10, 4)
	now := after(4.5)
	if ok, _ := table.Reserve(requester, 22<<10, now); !ok {
		t.Fatalf("does not fit; %d held", table.held)
	}
	for i, want := range []*Client{stalled, largest} {
		free := table.limits.Memory - table.held + table.evicting
		table.Release(requester, 22<<10)
		filler := admit(t, table, elsewhere, now)
		table.Enter(filler, Serving, now)
		table.hold(filler, free)
		if ok, victims := table.Reserve(requester, 1<<10, now); ok || len(victims) == 0 || victims[0] != want {
			t.Fatalf("eviction %d: granted %v, victims %+v, want %+v", i, ok, victims, want)
		}
		table.Remove(filler)
		table.Remove(want)
	}
	if serving.evicted {
		t.Error("a request that a server may be running was evicted")
	}
}

// TestOverdue checks that clients below the minimum rates are evicted, and none that is
// slow within the operator's limits.
func TestOverdue(t *testing.T) {
	table := newTestTable(100, 1<<30)
	table.SetOperator(Operator{HeaderTime: 3 * time.Second})
	header := admit(t, table, here, start)
	table.HeaderArrived(header, 10, 0, start)
	body := admit(t, table, here, start)
	table.HeaderArrived(body, 10, 0, start)
	table.Enter(body, Body, start)
	body.sent.start(start)
	reader := admit(t, table, here, start)
	table.HeaderArrived(reader, 10, 0, start)
	table.Enter(reader, Serving, start)
	reader.taken.start(start)
	waiting := admit(t, table, here, start)
	table.HeaderArrived(waiting, 10, 0, start)
	table.Enter(waiting, Serving, start)
	admit(t, table, here, start) // idle
	for _, step := range []struct {
		at   float64
		want []*Client
	}{{3, nil}, {4.9, nil}, {5.1, []*Client{header}}, {9.9, nil}, {10.1, []*Client{body, reader}}, {60, nil}} {
		got := table.Overdue(after(step.at))
		if len(got) != len(step.want) {
			t.Fatalf("at %v s: %d overdue, want %d", step.at, len(got), len(step.want))
		}
		for i, c := range got {
			if c != step.want[i] {
				t.Errorf("at %v s: %+v is overdue", step.at, c)
			}
		}
	}
}

// TestSlowServersAreNotHeldAgainstClients guards against counting the time in which a
// server sends nothing as that of a client that does not read.
func TestSlowServersAreNotHeldAgainstClients(t *testing.T) {
	table := newTestTable(1, 1<<30)
	c := admit(t, table, here, start)
	table.HeaderArrived(c, 10, 0, start)
	table.Enter(c, Serving, start)
	for second := range 100 {
		c.taken.start(after(float64(second)))
		c.taken.stop(10, after(float64(second)+0.01))
		if overdue := table.Overdue(after(float64(second) + 0.9)); len(overdue) > 0 {
			t.Fatalf("evicted after %d s", second)
		}
	}
}

// TestLimitsFitTheVMs checks that the budgets of the planned VMs leave room for 1,000
// connections with a request each, and stay within the descriptors.
func TestLimitsFitTheVMs(t *testing.T) {
	for _, vm := range []struct{ memoryMB, descriptors int }{{136, 2870}, {536, 8192}, {96, 512}, {0, 0}} {
		limits := NewLimits(vm.memoryMB, vm.descriptors)
		sum := limits.ServerConnections
		for _, count := range limits.Connections {
			sum += count
		}
		descriptors := vm.descriptors
		if descriptors == 0 {
			descriptors = defaultDescriptors
		}
		if sum > descriptors-ownMinimum {
			t.Errorf("%+v: %d connections", vm, sum)
		}
		if limits.ServerConnections < limits.Connections[Front] {
			t.Errorf("%+v: fewer connections to servers than of clients: %+v", vm, limits)
		}
		if descriptors >= 2870 && limits.Connections[Front] < 1000 {
			t.Errorf("%+v: only %d connections of clients", vm, limits.Connections[Front])
		}
		if vm.memoryMB >= 136 && limits.Memory < 1000*(connectionCost+requestCost) {
			t.Errorf("%+v: %d bytes don't hold 1,000 requests", vm, limits.Memory)
		}
	}
}

// TestServerBytes guards against sending one server more than it can hold, and against
// refusing a single body of any size.
func TestServerBytes(t *testing.T) {
	b := NewServerBytes()
	if !b.Add("s", 1<<30) {
		t.Error("a single body was refused")
	}
	if b.Add("s", 1) {
		t.Error("a body was accepted beside one over the bound")
	}
	if !b.Add("other", 1) || !b.Add("s", 0) {
		t.Error("another server or a request without a body was refused")
	}
	b.Remove("s", 0)
	b.Remove("s", 1<<30)
	for range 2 {
		if !b.Add("s", minServerBytes/2) {
			t.Error("a body within the bound was refused")
		}
	}
	if b.Add("s", 1) {
		t.Error("a body over the bound was accepted")
	}
	b.SetMaxBody(2 * minServerBytes)
	if !b.Add("s", minServerBytes) {
		t.Error("the operator's limit on a body is above the bound")
	}
}
