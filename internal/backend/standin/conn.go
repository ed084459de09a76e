package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// gate blocks its waiters while it is closed.
type gate struct {
	closed atomic.Bool
	mu     sync.RWMutex // write-locked while the gate is closed
}

func (g *gate) close() {
	if g.closed.CompareAndSwap(false, true) {
		g.mu.Lock()
	}
}

func (g *gate) open() {
	if g.closed.CompareAndSwap(true, false) {
		g.mu.Unlock()
	}
}

func (g *gate) wait() {
	g.mu.RLock()
	defer g.mu.RUnlock()
}

// listener accepts a bounded number of connections and injects faults into them.
type listener struct {
	net.Listener
	opts   Options
	gate   gate
	killed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newListener(inner net.Listener, opts Options) *listener {
	return &listener{Listener: inner, opts: opts, killed: make(chan struct{}), conns: make(map[*conn]struct{})}
}

// Accept returns the next connection and closes connections over the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.gate.wait()
		if c := l.add(inner); c != nil {
			return c, nil
		}
		inner.Close()
	}
}

func (l *listener) add(inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.opts.MaxConns {
		return nil
	}
	c := &conn{Conn: inner, listener: l}
	l.conns[c] = struct{}{}
	return c
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *listener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// kill resets all connections and closes the listener.
func (l *listener) kill() {
	l.once.Do(func() {
		close(l.killed)
		l.Listener.Close()
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.Conn.Close()
	}
	l.gate.open()
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	listener *listener
	setUp    atomic.Bool
	silent   atomic.Bool
}

// Read reads from the connection. On a silent connection it blocks until the
// server is killed.
func (c *conn) Read(p []byte) (int, error) {
	if !c.setUp.Swap(true) {
		time.Sleep(c.listener.opts.ConnSetup)
	}
	n, err := c.Conn.Read(p)
	c.listener.gate.wait()
	if c.silent.Load() {
		<-c.listener.killed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection. On a silent connection it discards p.
func (c *conn) Write(p []byte) (int, error) {
	c.listener.gate.wait()
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. A silent connection stays open, so that the peer
// sees no end of it.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.listener.remove(c)
	return c.Conn.Close()
}
