package demo

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"fuchsiaspar/internal/model"
)

// pipeChunks bounds the chunks that are under way in one direction.
const pipeChunks = 64

// chunkBytes is the size of one chunk under way.
const chunkBytes = 32 << 10

// network gives sockets on the loopback range the delays and cuts of a real
// deployment. Hosts are IP numbers that belong to a zone.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	zones   map[string]model.Zone
	regions map[model.Zone]model.Region
	delays  Delays
	cuts    map[[2]model.Zone]bool
	usage   *linkUsage
}

// Delays are one-way delays of a deployment.
type Delays struct {
	Zone   time.Duration
	Region time.Duration
	Client time.Duration
}

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

func (n *network) place(host string, zone model.Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[host] = zone
}

func pair(a, b model.Zone) [2]model.Zone {
	if a > b {
		a, b = b, a
	}
	return [2]model.Zone{a, b}
}

// set makes everything between two zones silent, or ends that.
func (n *network) set(a, b model.Zone, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pair(a, b)] = cut
	n.changed.Broadcast()
}

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

// dialer returns a dial function for a process in zone.
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
		if err := n.connect(ctx, zone, remote); err != nil {
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

// connect waits for one round trip, or for ever while the zones are cut.
func (n *network) connect(ctx context.Context, a, b model.Zone) error {
	stop := context.AfterFunc(ctx, n.wake)
	defer stop()
	n.mu.Lock()
	for n.cuts[pair(a, b)] && ctx.Err() == nil {
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

func (n *network) wake() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed.Broadcast()
}

// pass waits while the zones are cut and reports whether the connection lives.
func (n *network) pass(c *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cuts[pair(c.local, c.remote)] && !c.closed {
		n.changed.Wait()
	}
	return !c.closed
}

// link is a connection between two zones.
type link struct {
	net.Conn
	net           *network
	local, remote model.Zone
	closed        bool
	out, in       chan chunk
	done          chan struct{}
	inReader      *io.PipeReader
}

type chunk struct {
	data []byte
	due  time.Time
	err  error
}

func (n *network) wrap(c net.Conn, local, remote model.Zone) net.Conn {
	r, w := io.Pipe()
	l := &link{
		Conn:     c,
		net:      n,
		local:    local,
		remote:   remote,
		out:      make(chan chunk, pipeChunks),
		in:       make(chan chunk, pipeChunks),
		done:     make(chan struct{}),
		inReader: r,
	}
	go l.receive()
	go l.deliver(w)
	go l.send()
	return l
}

// Read returns bytes that have crossed the link.
func (l *link) Read(p []byte) (int, error) { return l.inReader.Read(p) }

// Write hands a copy of p to the link.
func (l *link) Write(p []byte) (int, error) {
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

// Close ends the link.
func (l *link) Close() error {
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

func (l *link) send() {
	for {
		select {
		case c := <-l.out:
			time.Sleep(time.Until(c.due))
			if !l.net.pass(l) {
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

func (l *link) receive() {
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

func (l *link) deliver(w *io.PipeWriter) {
	for {
		select {
		case c := <-l.in:
			time.Sleep(time.Until(c.due))
			if !l.net.pass(l) {
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
