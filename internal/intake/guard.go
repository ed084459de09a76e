package intake

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/background"

	"github.com/uber-go/tally/v4"
)

const (
	// sweepInterval is how often connections are checked for taking too long.
	sweepInterval = 500 * time.Millisecond
	// reportInterval is how often decisions are logged, one line for all of a kind.
	reportInterval = 2 * time.Second
	// reserveWait bounds the wait for memory that evicted clients are to release.
	reserveWait = 250 * time.Millisecond
)

// Reasons of decisions, in metrics and log lines.
const (
	// reasonConnections is a listener with as many connections as it may have.
	reasonConnections = "connections"
	// reasonMemory is a memory budget without room.
	reasonMemory = "memory"
	// reasonSlow is a header, a body or the reading of a response that takes too long.
	reasonSlow = "slow"
	// reasonFields is a header with too many fields.
	reasonFields = "fields"
)

// decision is what the Guard counts.
type decision struct {
	listener Listener
	// action is "evicted" for a client that was being served, or "refused".
	action, reason string
}

// Log takes the log lines of a Guard.
type Log interface {
	// Event logs a message with alternating keys and values.
	Event(message string, fields ...any)
}

// Guard applies the decisions of a Table to the listeners of a VM. It is safe for
// concurrent use.
type Guard struct {
	log   Log
	scope tally.Scope
	group background.Group
	// refusing counts the connections on which a refusal is being written.
	refusing atomic.Int64

	mu    sync.Mutex
	table *Table
	conns map[*Client]*Conn
	// released is closed and replaced when memory was released for which others wait.
	released chan struct{}
	waiting  int
	// counts holds the decisions since the last log lines.
	counts   map[decision]int
	reported time.Time
}

// NewGuard returns a guard without connections.
func NewGuard(limits Limits, log Log, scope tally.Scope) *Guard {
	return &Guard{
		log: log, scope: scope, table: NewTable(limits), conns: map[*Client]*Conn{},
		released: make(chan struct{}), counts: map[decision]int{},
	}
}

// SetOperator sets the limits in the operator's configuration.
func (g *Guard) SetOperator(o Operator) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetOperator(o)
}

// Start begins to evict connections that take too long.
func (g *Guard) Start(ctx context.Context) error {
	if err := g.group.Start(ctx); err != nil {
		return err
	}
	g.group.Go(func(ctx context.Context) {
		for background.Sleep(ctx, sweepInterval) {
			g.sweep(time.Now())
		}
	})
	return nil
}

// Stop ends what Start began.
func (g *Guard) Stop(ctx context.Context) error { return g.group.Stop(ctx) }

func (g *Guard) sweep(now time.Time) {
	g.mu.Lock()
	overdue := g.table.Overdue(now)
	conns := g.connsOf(overdue, reasonSlow)
	var counts map[decision]int
	if now.Sub(g.reported) >= reportInterval {
		counts, g.counts, g.reported = g.counts, map[decision]int{}, now
	}
	held, connections := g.table.held, g.table.counts
	g.mu.Unlock()
	for _, c := range conns {
		c.evict(errTooSlow)
	}
	g.scope.Gauge("intake_held_bytes").Update(float64(held))
	for listener, count := range connections {
		g.scope.Tagged(map[string]string{"listener": Listener(listener).String()}).Gauge("intake_connections").Update(float64(count))
	}
	for d, count := range counts {
		g.log.Event("clients "+d.action, "listener", d.listener, "reason", d.reason, "count", count, "held_bytes", held,
			"connections", connections[d.listener])
	}
}

// count counts a decision. The caller holds mu.
func (g *Guard) count(listener Listener, action, reason string) {
	g.counts[decision{listener, action, reason}]++
	g.scope.Tagged(map[string]string{"listener": listener.String(), "reason": reason}).Counter("intake_" + action).Inc(1)
}

// connsOf counts the eviction of clients and returns their connections. The caller holds
// mu.
func (g *Guard) connsOf(clients []*Client, reason string) []*Conn {
	conns := make([]*Conn, 0, len(clients))
	for _, client := range clients {
		g.count(client.listener, "evicted", reason)
		if c := g.conns[client]; c != nil {
			conns = append(conns, c)
		}
	}
	return conns
}

// Listen returns a listener whose connections are accounted as those of kind.
func (g *Guard) Listen(inner net.Listener, kind Listener) net.Listener {
	return &listener{Listener: inner, guard: g, kind: kind}
}

type listener struct {
	net.Listener
	guard *Guard
	kind  Listener
}

// Accept implements net.Listener. It closes connections that can't be admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw, l.kind); c != nil {
			return c, nil
		}
		raw.Close()
	}
}

func (g *Guard) admit(raw net.Conn, kind Listener) *Conn {
	var address netip.Addr
	if from, err := netip.ParseAddrPort(raw.RemoteAddr().String()); err == nil {
		address = from.Addr().Unmap()
	}
	g.mu.Lock()
	client, victim := g.table.Admit(kind, address, time.Now(), func(c *Client) bool { return g.conns[c].hasUnread() })
	if client == nil {
		g.count(kind, "refused", reasonConnections)
		g.mu.Unlock()
		return nil
	}
	var closed []*Conn
	if victim != nil {
		closed = g.connsOf([]*Client{victim}, reasonConnections)
		delete(g.conns, victim)
		g.signalReleased()
	}
	c := &Conn{Conn: raw, guard: g, client: client}
	g.conns[client] = c
	g.mu.Unlock()
	for _, v := range closed {
		v.closeForAnother()
	}
	return c
}

// remove ends the accounting of a connection.
func (g *Guard) remove(client *Client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Remove(client)
	delete(g.conns, client)
	g.signalReleased()
}

// signalReleased wakes those that wait for memory. The caller holds mu.
func (g *Guard) signalReleased() {
	if g.waiting > 0 {
		close(g.released)
		g.released = make(chan struct{})
	}
}

// reserve accounts bytes for a client. If they don't fit, it evicts others and waits
// for a short time until they have released theirs.
func (g *Guard) reserve(client *Client, bytes int64) bool {
	var timeout <-chan time.Time
	for {
		g.mu.Lock()
		ok, victims := g.table.Reserve(client, bytes, time.Now())
		if ok {
			g.mu.Unlock()
			return true
		}
		conns := g.connsOf(victims, reasonMemory)
		if g.table.evicting == 0 || client.evicted {
			g.count(client.listener, "refused", reasonMemory)
			g.mu.Unlock()
			return false
		}
		released := g.released
		g.waiting++
		g.mu.Unlock()
		for _, c := range conns {
			c.evict(ErrEvicted)
		}
		if timeout == nil {
			timer := time.NewTimer(reserveWait)
			defer timer.Stop()
			timeout = timer.C
		}
		expired := false
		select {
		case <-released:
		case <-timeout:
			expired = true
		}
		g.mu.Lock()
		g.waiting--
		if expired {
			g.count(client.listener, "refused", reasonMemory)
		}
		g.mu.Unlock()
		if expired {
			return false
		}
	}
}

// Configure lets the server report the states of connections that come from Listen.
func (g *Guard) Configure(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if conn := Of(c); conn != nil {
			return context.WithValue(ctx, connKey{}, conn)
		}
		return ctx
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		conn := Of(c)
		if conn == nil {
			return
		}
		switch state {
		case http.StateIdle:
			conn.enter(Idle)
		case http.StateHijacked:
			conn.enter(Link)
		}
	}
}

// Of returns the accounted connection that c is or wraps, or nil.
func Of(c net.Conn) *Conn {
	for {
		if conn, ok := c.(*Conn); ok {
			return conn
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}
