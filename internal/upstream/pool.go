package upstream

import (
	"context"
	"sync"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"

	"github.com/uber-go/tally/v4"
)

const (
	// maxIdlePerServer bounds the idle connections to one server: a full set of
	// running and queued requests of one VM.
	maxIdlePerServer = 12
	// idleShare is the part of the connections that a server accepts of which
	// all VMs together may keep idle ones. The rest is for requests that run.
	idleShare = 0.5
)

// Client keeps connections to backend servers. It is safe for concurrent use.
type Client struct {
	opened, reuses, stale tally.Counter

	mu   sync.Mutex
	idle map[model.ServerID]*idleList
	// limits bounds the idle connections to one server of a service.
	limits map[model.ServiceName]int
}

type idleList struct {
	address string
	conns   []*conn
}

// NewClient returns a client without connections.
func NewClient(scope tally.Scope) *Client {
	return &Client{
		opened: scope.Counter("server_connections_opened"),
		reuses: scope.Counter("server_connections_reused"),
		stale:  scope.Counter("server_connections_stale"),
		idle:   map[model.ServerID]*idleList{},
	}
}

// Forget closes the idle connections of servers that left or are silent.
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

// SetLimits divides the idle connections that the servers of each service
// accept among VMs. Every VM may keep one.
func (c *Client) SetIdleLimits(services map[model.ServiceName]catalog.Service, vms int) {
	limits := make(map[model.ServiceName]int, len(services))
	for name, service := range services {
		if service.MaxConnections > 0 {
			share := float64(service.MaxConnections) * idleShare / float64(max(vms, 1))
			limits[name] = min(max(int(share), 1), maxIdlePerServer)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
}

// limit holds mu.
func (c *Client) limit(service model.ServiceName) int {
	if limit, ok := c.limits[service]; ok {
		return limit
	}
	return maxIdlePerServer
}

// take returns an idle connection that still works, the one used last, or nil.
func (c *Client) take(server *catalog.Server, now time.Time) *conn {
	for {
		conn := c.pop(server)
		if conn == nil {
			return nil
		}
		if conn.usable(now) {
			c.reuses.Inc(1)
			return conn
		}
		c.stale.Inc(1)
		conn.Close()
	}
}

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
	last := len(list.conns) - 1
	conn := list.conns[last]
	list.conns = list.conns[:last]
	return conn
}

func (c *Client) put(server *catalog.Server, conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[server.ID]
	if list == nil {
		list = &idleList{address: server.Address}
		c.idle[server.ID] = list
	}
	if list.address != server.Address || len(list.conns) >= c.limit(server.Service) {
		conn.Close()
		return
	}
	list.conns = append(list.conns, conn)
}

func (c *Client) connect(ctx context.Context, server *catalog.Server) (*conn, error) {
	if conn := c.take(server, time.Now()); conn != nil {
		return conn, nil
	}
	conn, err := dial(ctx, server.Address)
	if err != nil {
		return nil, err
	}
	c.opened.Inc(1)
	return conn, nil
}
