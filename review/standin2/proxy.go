package main

import (
	"net"
	"sync"
)

// proxy passes connections on to an address. Those that are open can be silenced: they
// stay open, but nothing passes any more, while new ones work.
type proxy struct {
	address string

	mu    sync.Mutex
	pipes []*pipe
}

// pipe is one connection through a proxy.
type pipe struct {
	mu     sync.Mutex
	silent bool
}

func startProxy(ip, target string) *proxy {
	listener := listen(ip)
	p := &proxy{address: listener.Addr().String()}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(client, target)
		}
	}()
	return p
}

func (p *proxy) pass(client net.Conn, target string) {
	server, err := net.Dial("tcp", target)
	if err != nil {
		client.Close()
		return
	}
	c := &pipe{}
	p.mu.Lock()
	p.pipes = append(p.pipes, c)
	p.mu.Unlock()
	go c.copy(client, server)
	c.copy(server, client)
}

// copy passes on what arrives until the connection ends. Of a silent connection it passes
// on neither bytes nor the end.
func (c *pipe) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if !silent && n > 0 {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			if !silent {
				to.Close()
			}
			from.Close()
			return
		}
	}
}

// silence silences the connections that are open now, and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pipes {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	count := len(p.pipes)
	p.pipes = nil
	return count
}
