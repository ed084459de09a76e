package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// fault is what a proxy does to its connections.
type fault uint8

const (
	// pass hands everything on.
	pass fault = iota
	// delay holds each piece back.
	delay
	// silence reads and drops, both ways.
	silence
	// halfSilence drops what comes back.
	halfSilence
	// reset closes connections at once.
	reset
	faults
)

// proxyDelay is how long delay holds a piece back.
const proxyDelay = 80 * time.Millisecond

// proxy stands between a process and what it calls, on the loopback range.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault fault
	conns map[net.Conn]bool
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(p.close)
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	p.listener.Close()
	p.drop()
}

// set changes the fault. Connections that a fault has made useless stay open
// until their owner gives up, except under reset.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f == reset {
		p.drop()
	}
}

func (p *proxy) current() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.Close()
	}
}

func (p *proxy) keep(conn net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *proxy) serve(in net.Conn) {
	defer in.Close()
	if p.current() == reset {
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	for _, conn := range []net.Conn{in, out} {
		p.keep(conn, true)
		defer p.keep(conn, false)
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, false); out.Close() })
	both.Go(func() { p.copy(in, out, true); in.Close() })
	both.Wait()
}

func (p *proxy) copy(to io.Writer, from io.Reader, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		switch f := p.current(); {
		case f == silence, f == halfSilence && back:
			continue
		case f == delay:
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
