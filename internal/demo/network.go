package demo

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"fuchsiaspar/internal/model"
)

// maxChunksInFlight limits the chunks in flight in one direction of a connection.
const maxChunksInFlight = 64

// chunkBytes is the maximum size of a chunk.
const chunkBytes = 32 << 10

// network emulates the delays and partitions of a real deployment on loopback
// sockets. Each host is an IP address that belongs to a zone. The network counts the
// bytes that cross links between regions.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	zones   map[string]model.Zone
	regions map[model.Zone]model.Region
	delays  Delays
	cuts    map[[2]model.Zone]bool
	usage   *linkUsage
}

// Delays holds the one-way delays of a deployment: between zones of one region,
// between regions, and between a client and its zone. The emulated network does not
// apply the client delay.
type Delays struct {
	Zone   time.Duration
	Region time.Duration
	Client time.Duration
}

// newNetwork returns a network without hosts or cuts.
func newNetwork(d Delays, regions map[model.Zone]model.Region) *network {
	n := &network{
		zones:   make(map[string]model.Zone),
		regions: regions,
		delays:  d,
		cuts:    make(map[[2]model.Zone]bool),
		usage:   newLinkUsage(),
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// addHost assigns a host to a zone.
func (n *network) addHost(host string, zone model.Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[host] = zone
}

// zonePair returns the same key for both orders of two zones.
func zonePair(a, b model.Zone) [2]model.Zone {
	if a > b {
		a, b = b, a
	}
	return [2]model.Zone{a, b}
}

// setCut starts or ends a cut between two zones. During a cut connections stay
// open, but their data waits until the cut ends.
func (n *network) setCut(a, b model.Zone, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[zonePair(a, b)] = cut
	n.changed.Broadcast()
}

// delay returns the one-way delay between two zones.
func (n *network) delay(a, b model.Zone) time.Duration {
	switch {
	case a == b:
		return 0
	case n.regions[a] == n.regions[b]:
		return n.delays.Zone
	default:
		return n.delays.Region
	}
}

// dialer returns the dial function of a process in zone. Unknown hosts count as
// hosts of the same zone; connections within a zone have no delay.
func (n *network) dialer(zone model.Zone) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		remote, known := n.zones[host]
		n.mu.Unlock()
		if !known {
			remote = zone
		}
		if err := n.awaitConnect(ctx, zone, remote); err != nil {
			return nil, err
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, proto, address)
		if err != nil || zone == remote {
			return conn, err
		}
		return n.wrap(conn, zone, remote), nil
	}
}

// awaitConnect waits until the zones are not cut and then for one round trip, or
// until ctx ends.
func (n *network) awaitConnect(ctx context.Context, a, b model.Zone) error {
	stop := context.AfterFunc(ctx, n.broadcast)
	defer stop()
	n.mu.Lock()
	for n.cuts[zonePair(a, b)] && ctx.Err() == nil {
		n.changed.Wait()
	}
	n.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(2 * n.delay(a, b)):
		return nil
	}
}

// broadcast wakes all goroutines that wait for the end of a cut.
func (n *network) broadcast() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed.Broadcast()
}

// awaitOpen waits while the zones of a connection are cut. It reports false if the
// connection was closed.
func (n *network) awaitOpen(conn *delayedConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cuts[zonePair(conn.local, conn.remote)] && !conn.closed {
		n.changed.Wait()
	}
	return !conn.closed
}

// delayedConn is a connection between two zones whose data is delayed, and held
// back during a cut. Its goroutines are send, receive and deliver.
type delayedConn struct {
	net.Conn
	net           *network
	local, remote model.Zone
	closed        bool
	out, in       chan chunk
	done          chan struct{}
	inReader      *io.PipeReader
}

// chunk is a piece of data that arrives at due, followed by err if not nil.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// wrap adds the delays between two zones to a connection and starts its goroutines.
func (n *network) wrap(c net.Conn, local, remote model.Zone) net.Conn {
	r, w := io.Pipe()
	l := &delayedConn{
		Conn:     c,
		net:      n,
		local:    local,
		remote:   remote,
		out:      make(chan chunk, maxChunksInFlight),
		in:       make(chan chunk, maxChunksInFlight),
		done:     make(chan struct{}),
		inReader: r,
	}
	go l.receive()
	go l.deliver(w)
	go l.send()
	return l
}

// Read reads data whose delay is over.
func (l *delayedConn) Read(p []byte) (int, error) { return l.inReader.Read(p) }

// Write queues a copy of p. An error of the underlying connection is not reported.
// After Close it returns net.ErrClosed.
func (l *delayedConn) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		part := p[sent:min(len(p), sent+chunkBytes)]
		c := chunk{data: append([]byte(nil), part...), due: time.Now().Add(l.net.delay(l.local, l.remote))}
		select {
		case l.out <- c:
			sent += len(part)
		case <-l.done:
			return sent, net.ErrClosed
		}
	}
	l.net.usage.add(l.net.regions[l.local], l.net.regions[l.remote], len(p))
	return sent, nil
}

// Close closes the connection and drops the data in flight. Further calls do
// nothing.
func (l *delayedConn) Close() error {
	l.net.mu.Lock()
	first := !l.closed
	l.closed = true
	l.net.changed.Broadcast()
	l.net.mu.Unlock()
	if !first {
		return nil
	}
	close(l.done)
	_ = l.inReader.Close()
	return l.Conn.Close()
}

// send writes queued chunks to the underlying connection when they are due.
func (l *delayedConn) send() {
	for {
		select {
		case c := <-l.out:
			time.Sleep(time.Until(c.due))
			if !l.net.awaitOpen(l) {
				return
			}
			if _, err := l.Conn.Write(c.data); err != nil {
				return
			}
		case <-l.done:
			return
		}
	}
}

// receive reads chunks from the underlying connection and queues them for deliver.
func (l *delayedConn) receive() {
	for {
		buffer := make([]byte, chunkBytes)
		size, err := l.Conn.Read(buffer)
		l.net.usage.add(l.net.regions[l.remote], l.net.regions[l.local], size)
		c := chunk{data: buffer[:size], due: time.Now().Add(l.net.delay(l.local, l.remote)), err: err}
		select {
		case l.in <- c:
		case <-l.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver passes received chunks to the reader when they are due.
func (l *delayedConn) deliver(w *io.PipeWriter) {
	for {
		select {
		case c := <-l.in:
			time.Sleep(time.Until(c.due))
			if !l.net.awaitOpen(l) {
				return
			}
			if _, err := w.Write(c.data); err != nil {
				return
			}
			if c.err != nil {
				_ = w.CloseWithError(c.err)
				return
			}
		case <-l.done:
			return
		}
	}
}
