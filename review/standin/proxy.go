package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// cutProxy is the path of one VM to the store. While it is cut, it holds back all bytes
// in both directions and says nothing, as a partition does.
type cutProxy struct {
	address, target string

	mu     sync.Mutex
	healed chan struct{} // nil while the path is open
	// onWatch, if set, is called when a watch passes on its way to the store. It may
	// cut the path; the watch is then held back.
	onWatch func()
}

func startCutProxy(target string) (*cutProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &cutProxy{address: listener.Addr().String(), target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *cutProxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed == nil {
		p.healed = make(chan struct{})
	}
}

func (p *cutProxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}

func (p *cutProxy) setOnWatch(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onWatch = f
}

// pass waits until the path is open.
func (p *cutProxy) pass() {
	for {
		p.mu.Lock()
		healed := p.healed
		p.mu.Unlock()
		if healed == nil {
			return
		}
		<-healed
	}
}

func (p *cutProxy) serve(client net.Conn) {
	defer client.Close()
	p.pass()
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	relay := func(to, from net.Conn, requests bool) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if requests && bytes.Contains(buf[:n], []byte("GET /-/kv-watch")) {
				p.mu.Lock()
				onWatch := p.onWatch
				p.mu.Unlock()
				if onWatch != nil {
					onWatch()
				}
			}
			p.pass()
			if _, writeErr := to.Write(buf[:n]); writeErr != nil || err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go relay(server, client, true)
	go relay(client, server, false)
	<-done
}
