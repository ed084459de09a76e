package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"

	"github.com/uber-go/tally/v4"
)

const (
	// maxIdlePerServer is the largest number of idle connections to one server:
	// the running and queued requests of one VM at full load.
	maxIdlePerServer = 12
	// maxIdleFraction is the fraction of a server's connection limit that the
	// idle connections of all VMs together may use. The rest is left for
	// connections with a request in progress.
	maxIdleFraction = 0.5
	// unnamedMemory is how long no connection to a server is reused after it sent a
	// refusal that names no request. On a new one, such a refusal can only mean the
	// request that was sent.
	unnamedMemory = time.Minute
)

// Client sends requests to backend servers and reuses idle connections. It is
// safe for concurrent use.
type Client struct {
	opened, reused, stale, unnamedRefusals tally.Counter

	// open counts the open connections, maxOpen bounds them; zero means no bound.
	open, maxOpen atomic.Int64

	mu   sync.Mutex
	idle map[model.ServerID]*idleList
	// idleLimits holds the largest number of idle connections to one server of
	// each service that limits its connections.
	idleLimits map[model.ServiceName]int
	// unnamedUntil holds the servers that sent refusals that name no request, and until
	// when that is remembered.
	unnamedUntil map[model.ServerID]time.Time
}

// idleList holds the idle connections to one server, the one used last at the
// end. All of them lead to address.
type idleList struct {
	address string
	conns   []*conn
}

// NewClient returns a client without connections.
func NewClient(scope tally.Scope) *Client {
	return &Client{
		opened: scope.Counter("server_connections_opened"),
		reused: scope.Counter("server_connections_reused"),
		stale:  scope.Counter("server_connections_stale"),
		idle:   map[model.ServerID]*idleList{},

		unnamedRefusals: scope.Counter("server_refusals_unnamed"),
		unnamedUntil:    map[model.ServerID]time.Time{},
	}
}

// CloseIdle closes the idle connections to servers that were removed or do not
// respond.
func (c *Client) CloseIdle(servers []*catalog.Server) {
	for _, server := range servers {
		c.mu.Lock()
		list := c.idle[server.ID]
		delete(c.idle, server.ID)
		c.mu.Unlock()
		if list != nil {
			closeAll(list.conns)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, list := range c.idle {
		closeAll(list.conns)
		delete(c.idle, id)
	}
}

func closeAll(conns []*conn) {
	for _, conn := range conns {
		conn.Close()
	}
}

// SetIdleLimits divides the idle connections that the servers of each service accept
// equally among vms VMs. Each VM may keep at least one per server.
func (c *Client) SetIdleLimits(services map[model.ServiceName]catalog.Service, vms int) {
	limits := make(map[model.ServiceName]int, len(services))
	for name, service := range services {
		if service.MaxConnections > 0 {
			share := float64(service.MaxConnections) * maxIdleFraction / float64(max(vms, 1))
			limits[name] = min(max(int(share), 1), maxIdlePerServer)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimits = limits
}

// idleLimit returns the largest number of idle connections to one server of a
// service. The caller must hold mu.
func (c *Client) idleLimit(service model.ServiceName) int {
	if limit, ok := c.idleLimits[service]; ok {
		return limit
	}
	return maxIdlePerServer
}

// take removes and returns the most recently used idle connection that can be
// reused, or nil. It closes those that can't.
func (c *Client) take(server *catalog.Server, now time.Time) *conn {
	for {
		conn := c.pop(server)
		if conn == nil {
			return nil
		}
		if conn.reusable(now) {
			c.reused.Inc(1)
			return conn
		}
		c.stale.Inc(1)
		conn.Close()
	}
}

// pop removes and returns the most recently used idle connection, or nil. If the
// server's address has changed, it closes all connections to the old one.
func (c *Client) pop(server *catalog.Server) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[server.ID]
	if list == nil || len(list.conns) == 0 {
		return nil
	}
	if list.address != server.Address {
		closeAll(list.conns)
		delete(c.idle, server.ID)
		return nil
	}
	lastIndex := len(list.conns) - 1
	conn := list.conns[lastIndex]
	list.conns = list.conns[:lastIndex]
	return conn
}

// noteUnnamedRefusal records that a server sent a refusal that names no request.
func (c *Client) noteUnnamedRefusal(server *catalog.Server, now time.Time) {
	c.unnamedRefusals.Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, until := range c.unnamedUntil {
		if !now.Before(until) {
			delete(c.unnamedUntil, id)
		}
	}
	c.unnamedUntil[server.ID] = now.Add(unnamedMemory)
}

// refusesUnnamed reports whether a server lately sent a refusal that names no request.
func (c *Client) refusesUnnamed(server *catalog.Server, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.unnamedUntil[server.ID])
}

// put adds an idle connection, or closes it if the server's address has changed or
// its limit is reached.
func (c *Client) put(server *catalog.Server, conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[server.ID]
	if list == nil {
		list = &idleList{address: server.Address}
		c.idle[server.ID] = list
	}
	if list.address != server.Address || len(list.conns) >= c.idleLimit(server.Service) {
		conn.Close()
		return
	}
	list.conns = append(list.conns, conn)
}

// connect returns an idle connection to the server, or dials a new one.
func (c *Client) connect(ctx context.Context, server *catalog.Server) (*conn, error) {
	now := time.Now()
	if !c.refusesUnnamed(server, now) {
		if conn := c.take(server, now); conn != nil {
			return conn, nil
		}
	}
	if !c.makeRoom() {
		return nil, ErrTooManyConnections
	}
	conn, err := dial(ctx, server.Address)
	if err != nil {
		c.open.Add(-1)
		return nil, err
	}
	conn.onClose = sync.OnceFunc(func() { c.open.Add(-1) })
	c.opened.Inc(1)
	return conn, nil
}

// SetMaxConnections bounds the open connections to all servers, idle ones included.
func (c *Client) SetMaxConnections(count int) { c.maxOpen.Store(int64(count)) }

// makeRoom counts a connection that is to be opened. At the bound, it closes an idle one
// for it, or reports false if there is none.
func (c *Client) makeRoom() bool {
	for {
		open, limit := c.open.Load(), c.maxOpen.Load()
		if limit <= 0 || open < limit {
			if c.open.CompareAndSwap(open, open+1) {
				return true
			}
			continue
		}
		if !c.closeAnyIdle() {
			return false
		}
	}
}

// closeAnyIdle closes the idle connection that was used longest ago at some server.
func (c *Client) closeAnyIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		if len(list.conns) > 0 {
			list.conns[0].Close()
			list.conns = list.conns[1:]
			return true
		}
	}
	return false
}
