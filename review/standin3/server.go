package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id, server string
	at         time.Time
	// ran reports that the server began to work on it, spoiled that it broke its answer, and
	// finished when it had sent the whole answer; zero if it did not.
	ran, spoiled bool
	finished     time.Time
}

// backend is a stand-in for a backend server: it serves one request at a time on a
// connection and slots requests at once.
type backend struct {
	id, service, zone string
	world             *world
	listener          net.Listener
	born              int64
	work              time.Duration
	slots             chan struct{}
	// respond writes the answer to a request that ran, and reports whether it was whole and
	// whether the connection may be used again.
	respond func(b *backend, w io.Writer, r *http.Request, number int64) (whole, keep bool)
	// headers are added to all answers.
	extra    atomic.Pointer[string]
	answers  atomic.Int64
	sequence atomic.Int64
	stopBeat chan struct{}
	beatOnce sync.Once
	ended    atomic.Bool
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

const slotsPerServer = 3

// startBackend starts a server and registers it in the store.
func (w *world) startBackend(id, service, zone string, work time.Duration) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: id, service: service, zone: zone, world: w, listener: listener, born: time.Now().UnixMilli(), work: work,
		slots: make(chan struct{}, slotsPerServer), respond: respondWhole, stopBeat: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	go b.accept()
	go b.beat()
	return b, nil
}

// entry is what the server writes of itself.
func (b *backend) entry(state string) map[string]any {
	return map[string]any{
		"address": b.listener.Addr().String(), "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": slotsPerServer},
		"status": map[string]any{"state": state, "sequence": b.sequence.Add(1), "cold_left_ms": 0},
	}
}

func (b *backend) beat() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stopBeat:
			return
		default:
		}
		b.world.store.put("servers/"+b.id, b.entry("ready"))
		select {
		case <-b.stopBeat:
			return
		case <-ticker.C:
		}
	}
}

// stopBeats ends the writing of the entry.
func (b *backend) stopBeats() { b.beatOnce.Do(func() { close(b.stopBeat) }) }

// exit ends the server: it closes its listener and its connections.
func (b *backend) exit() {
	b.stopBeats()
	b.ended.Store(true)
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		_ = conn.Close()
	}
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go func() {
			b.serve(conn)
			_ = conn.Close()
			b.mu.Lock()
			delete(b.conns, conn)
			b.mu.Unlock()
		}()
	}
}

func (b *backend) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !b.handle(conn, r) {
			return
		}
	}
}

// head returns the beginning of an answer with the headers that every answer has.
func (b *backend) head(proto, status, id string) string {
	h := proto + " " + status + "\r\n"
	if id != "" {
		h += "X-Fuchsiaspar-Request-Id: " + id + "\r\n"
	}
	if extra := b.extra.Load(); extra != nil {
		h += *extra
	}
	return h
}

func (b *backend) handle(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Fuchsiaspar-Request-Id")
	if expected := r.Header.Get("X-Fuchsiaspar-Expected-Instance"); expected != "" && expected != b.id {
		_, err := io.WriteString(conn, b.head("HTTP/1.1", "421 Misdirected Request", id)+
			"X-Fuchsiaspar-Instance-Id: "+b.id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if r.URL.Path == "/health" {
		_, err := io.WriteString(conn, b.head("HTTP/1.1", "200 OK", id)+"X-Fuchsiaspar-Instance-Id: "+b.id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if id == "" {
		_, err := io.WriteString(conn, b.head("HTTP/1.1", "400 Bad Request", id)+"X-Fuchsiaspar-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	a := &arrival{id: id, server: b.id, at: time.Now()}
	b.world.arrived(a)
	select {
	case b.slots <- struct{}{}:
	default:
		timer := time.NewTimer(300 * time.Millisecond)
		defer timer.Stop()
		select {
		case b.slots <- struct{}{}:
		case <-timer.C:
			_, err := io.WriteString(conn, b.head("HTTP/1.1", "503 Service Unavailable", id)+
				"X-Fuchsiaspar-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
	}
	defer func() { <-b.slots }()
	b.world.update(func() { a.ran = true })
	time.Sleep(b.work)
	if b.ended.Load() {
		return false
	}
	whole, keep := b.respond(b, conn, r, b.answers.Add(1))
	b.world.update(func() {
		if whole {
			a.finished = time.Now()
		} else {
			a.spoiled = true
		}
	})
	return keep
}

// bodyOf returns the body with which the servers answer a request.
func bodyOf(id string, size int) string {
	line := "body of " + id + "\n"
	return strings.Repeat(line, size/len(line)+1)[:size]
}

// sizeOf returns the size of the body that a request asks for.
func sizeOf(r *http.Request) int {
	size := 0
	_, _ = fmt.Sscanf(r.URL.Query().Get("size"), "%d", &size)
	return max(size, 64)
}

// respondWhole is the answer of a sound server.
func respondWhole(b *backend, w io.Writer, r *http.Request, _ int64) (whole, keep bool) {
	id := r.Header.Get("X-Fuchsiaspar-Request-Id")
	body := bodyOf(id, sizeOf(r))
	_, err := io.WriteString(w, b.head("HTTP/1.1", "200 OK", id)+
		fmt.Sprintf("X-Fuchsiaspar-Response-Seal: seal.%s.%s\r\nContent-Length: %d\r\n\r\n", b.id, id, len(body))+body)
	return err == nil, err == nil
}
