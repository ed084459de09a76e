package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// fault is the fault that a proxy applies to its connections.
type fault uint8

const (
	// faultNone forwards all data unchanged.
	faultNone fault = iota
	// faultDelay delays each chunk of data by chunkDelay.
	faultDelay
	// faultDiscard reads and discards the data of both directions.
	faultDiscard
	// faultDiscardResponses discards only the data sent by the target.
	faultDiscardResponses
	// faultReset resets all connections, and closes new ones as soon as accepted.
	faultReset
	// faultCount is the number of fault values.
	faultCount
)

// chunkDelay is the delay of each chunk under faultDelay.
const chunkDelay = 80 * time.Millisecond

// proxy is a TCP proxy on the loopback interface that injects faults between a
// process and a server that it calls.
type proxy struct {
	listener      net.Listener
	targetAddress string

	mu    sync.Mutex
	fault fault
	conns map[net.Conn]bool
}

// startProxy starts a proxy to targetAddress that runs until the test ends.
func startProxy(t *testing.T, targetAddress string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, targetAddress: targetAddress, conns: map[net.Conn]bool{}}
	t.Cleanup(p.close)
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	p.listener.Close()
	p.closeConns()
}

// setFault changes the injected fault. Only faultReset closes connections; with any
// other fault, connections that have become unusable stay open until either end
// closes them.
func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f == faultReset {
		p.closeConns()
	}
}

func (p *proxy) currentFault() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// closeConns resets all proxied connections. An orderly close would end a response without
// a length as if it were whole.
func (p *proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// reset closes a connection so that the other end gets an error.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// track adds conn to the open connections, or removes it if open is false.
func (p *proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
}

func (p *proxy) accept() {
	for {
		inbound, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(inbound)
	}
}

// serve forwards data between inbound and a new connection to the target.
func (p *proxy) serve(inbound net.Conn) {
	defer inbound.Close()
	if p.currentFault() == faultReset {
		return
	}
	outbound, err := net.Dial("tcp", p.targetAddress)
	if err != nil {
		return
	}
	defer outbound.Close()
	for _, conn := range []net.Conn{inbound, outbound} {
		p.track(conn, true)
		defer p.track(conn, false)
	}
	var copies sync.WaitGroup
	copies.Go(func() { end(outbound, p.copy(outbound, inbound, false)) })
	copies.Go(func() { end(inbound, p.copy(inbound, outbound, true)) })
	copies.Wait()
}

// end closes conn as the other connection ended: in order, or by an error.
func end(conn net.Conn, err error) {
	if err != io.EOF {
		reset(conn)
		return
	}
	conn.Close()
}

// copy forwards data from src to dst and applies the current fault to each chunk. It returns
// the error that ended it. fromTarget says that src is the connection to the target.
func (p *proxy) copy(dst io.Writer, src io.Reader, fromTarget bool) error {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return err
		}
		switch f := p.currentFault(); {
		case f == faultDiscard, f == faultDiscardResponses && fromTarget:
			continue
		case f == faultDelay:
			time.Sleep(chunkDelay)
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return err
		}
	}
}
