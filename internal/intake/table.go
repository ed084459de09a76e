package intake

import (
	"net/netip"
	"time"
)

// Phase is what a connection is doing.
type Phase uint8

// Phases of a connection.
const (
	// Idle is a connection without a request.
	Idle Phase = iota
	// Header is the time in which the header of a request arrives.
	Header
	// Body is the time in which nothing of the request was sent to a server.
	Body
	// Serving is the time in which a server may be running the request, up to the end
	// of the response.
	Serving
	// Finishing is the time from the end of the response until the connection is idle or
	// closed. net/http keeps a connection for 0.5 s of which it has not read all.
	Finishing
	// Link is a connection that has become a link to another VM.
	Link
)

// transfer is what a client sends of a body, or takes of a response.
type transfer struct {
	// waiting reports whether the VM waits for the client, since the time since.
	waiting bool
	since   time.Time
	// waited sums the times in which the VM waited for bytes.
	waited time.Duration
	bytes  int64
}

func (t *transfer) start(now time.Time) { t.waiting, t.since = true, now }

func (t *transfer) stop(bytes int, now time.Time) {
	if t.waiting {
		t.waited += now.Sub(t.since)
	}
	t.waiting = false
	t.bytes += int64(bytes)
}

// slow returns whether the client has kept the VM waiting longer than after, at less
// than the least rate, and for how long it has.
func (t *transfer) slow(after time.Duration, now time.Time) (bool, time.Duration) {
	if !t.waiting {
		return false, 0
	}
	current := now.Sub(t.since)
	total := t.waited + current
	return current > after || (total > after && float64(t.bytes) < minRate*total.Seconds()), total
}

// Client is one connection of a client. Its fields belong to the Table.
type Client struct {
	origin
	index int

	phase Phase
	// since is the start of the phase.
	since time.Time
	// headerBytes and headerLines count those of the current header.
	headerBytes, headerLines int
	// sent is the body of the current request, taken the response.
	sent, taken transfer
	// requests counts those in progress.
	requests int
	// served reports whether a request of the connection has been answered.
	served bool
	// held is the number of bytes accounted for the connection.
	held int64
	// evicted reports whether the connection is being closed by a decision.
	evicted bool
}

// origin is where connections come from and go to.
type origin struct {
	listener Listener
	address  netip.Addr
}

// Table accounts the connections of a VM. It is not safe for concurrent use.
type Table struct {
	limits   Limits
	operator Operator
	clients  []*Client
	counts   [listenerCount]int
	byOrigin map[origin]int
	// held is the sum over clients, evicting that of the evicted ones among them.
	held, evicting int64
}

// NewTable returns a table without connections.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, byOrigin: map[origin]int{}}
}

// SetOperator sets the limits in the operator's configuration.
func (t *Table) SetOperator(o Operator) { t.operator = o }

// maxUnreadChecks bounds the connections that are asked for unread input for one new
// connection.
const maxUnreadChecks = 8

// Admit adds a connection. If the listener has as many as it may have, it removes
// another one, which must be closed. It returns nil if none can be closed; the new
// connection must be closed then. hasUnread reports whether a client has sent something
// that was not read: its connection is not idle, although a busy VM has not noticed.
func (t *Table) Admit(listener Listener, address netip.Addr, now time.Time, hasUnread func(*Client) bool) (client, victim *Client) {
	if t.counts[listener] >= t.limits.Connections[listener] {
		if victim = t.unreadVictim(listener, now, hasUnread); victim == nil {
			return nil, nil
		}
		t.evict(victim)
		t.Remove(victim)
	}
	client = &Client{origin: origin{listener, address}, index: len(t.clients), since: now}
	t.clients = append(t.clients, client)
	t.counts[listener]++
	t.byOrigin[client.origin]++
	t.hold(client, connectionCost)
	return client, victim
}

// unreadVictim returns the connection to close for a new one. Of idle ones with unread
// input, it records that a request is arriving.
func (t *Table) unreadVictim(listener Listener, now time.Time, hasUnread func(*Client) bool) *Client {
	for range maxUnreadChecks {
		victim := t.connectionVictim(listener, now)
		if victim == nil || victim.phase != Idle || !hasUnread(victim) {
			return victim
		}
		t.Enter(victim, Header, now)
	}
	return t.connectionVictim(listener, now)
}

// Remove removes a connection that was closed. A second call does nothing.
func (t *Table) Remove(c *Client) {
	if c.index < 0 {
		return
	}
	t.hold(c, -c.held)
	last := t.clients[len(t.clients)-1]
	t.clients[c.index], last.index = last, c.index
	t.clients[len(t.clients)-1] = nil
	t.clients = t.clients[:len(t.clients)-1]
	c.index = -1
	if c.phase != Link {
		t.uncount(c)
	}
}

func (t *Table) uncount(c *Client) {
	t.counts[c.listener]--
	if t.byOrigin[c.origin]--; t.byOrigin[c.origin] == 0 {
		delete(t.byOrigin, c.origin)
	}
}

// Enter starts a phase of a connection. What is held for a request is released when its
// response ends. A link to another VM stays one, and does not count at its listener any
// more, so that links and clients don't take connections from each other.
func (t *Table) Enter(c *Client, phase Phase, now time.Time) {
	if c.phase == phase || c.phase == Link || c.index < 0 {
		return
	}
	if phase == Idle && c.requests > 0 {
		// Requests that were sent ahead are in progress.
		return
	}
	switch {
	case phase == Link:
		t.uncount(c)
		t.hold(c, connectionCost-c.held)
	case phase == Idle:
		c.served = true
		t.hold(c, connectionCost-c.held)
	case phase == Finishing:
		t.hold(c, connectionCost+requestCost-c.held)
	case c.phase == Idle:
		c.headerBytes, c.headerLines, c.sent, c.taken = 0, 0, transfer{}, transfer{}
		t.hold(c, requestCost)
	}
	c.phase, c.since = phase, now
}

// Begin starts a request whose header has arrived. On a connection with requests in
// progress it is accounted besides them.
func (t *Table) Begin(c *Client, now time.Time) {
	c.requests++
	if c.requests > 1 {
		t.hold(c, requestCost)
		return
	}
	t.Enter(c, Body, now)
}

// Finish ends a request.
func (t *Table) Finish(c *Client, now time.Time) {
	c.requests--
	if c.requests > 0 {
		t.hold(c, -requestCost)
		return
	}
	t.Enter(c, Finishing, now)
}

// HeaderArrived records a part of a header. It reports false if the header has too many
// fields.
func (t *Table) HeaderArrived(c *Client, bytes, lines int, now time.Time) bool {
	t.Enter(c, Header, now)
	c.headerBytes += bytes
	c.headerLines += lines
	return c.headerLines <= t.operator.maxFields()
}

// Reserve accounts bytes for the client. If they don't fit, it returns false and the
// clients to evict, which release memory once they have ended. There may be none.
func (t *Table) Reserve(c *Client, bytes int64, now time.Time) (bool, []*Client) {
	if c.index < 0 || c.evicted {
		return false, nil
	}
	if t.TryReserve(c, bytes) {
		return true, nil
	}
	var victims []*Client
	for !t.fits(c, bytes, t.held-t.evicting) {
		victim := t.memoryVictim(c, bytes, now)
		if victim == nil {
			break
		}
		t.evict(victim)
		victims = append(victims, victim)
	}
	return false, victims
}

// TryReserve accounts bytes for the client if they fit without evictions.
func (t *Table) TryReserve(c *Client, bytes int64) bool {
	if c.index < 0 || c.evicted || !t.fits(c, bytes, t.held) {
		return false
	}
	t.hold(c, bytes)
	return true
}

// fits reports whether the client may hold more bytes while held bytes are held in all.
// An ordinary request to another listener than the front always fits, so that readiness
// is answered whatever the front holds.
func (t *Table) fits(c *Client, bytes, held int64) bool {
	if c.listener != Front && c.held+bytes <= connectionCost+requestCost+smallHeader {
		return true
	}
	limit := t.limits.Memory
	if c.held+bytes > connectionCost+requestCost+SmallHolding {
		limit = int64(float64(limit) * largeHolderShare)
	}
	return held+bytes <= limit
}

// Release ends the accounting of bytes that the client no longer holds.
func (t *Table) Release(c *Client, bytes int64) { t.hold(c, -min(bytes, c.held)) }

// Overdue evicts and returns the connections that take too long.
func (t *Table) Overdue(now time.Time) []*Client {
	var overdue []*Client
	for _, c := range t.clients {
		if !c.evicted && t.isOverdue(c, now) {
			t.evict(c)
			overdue = append(overdue, c)
		}
	}
	return overdue
}

func (t *Table) isOverdue(c *Client, now time.Time) bool {
	switch c.phase {
	case Header:
		return now.Sub(c.since) > t.operator.headerTime()
	case Body, Serving:
		slowSender, _ := c.sent.slow(rateGrace, now)
		slowReader, _ := c.taken.slow(rateGrace, now)
		return slowSender || slowReader
	}
	return false
}

func (t *Table) evict(c *Client) {
	c.evicted = true
	t.evicting += c.held
}

// hold changes what is accounted for a client, which may be less than zero.
func (t *Table) hold(c *Client, bytes int64) {
	if c.index < 0 {
		return
	}
	c.held += bytes
	t.held += bytes
	if c.evicted {
		t.evicting += bytes
	}
}
