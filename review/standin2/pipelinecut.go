package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// garbleTime and garblePause are the length of a disruption and the time to the next.
	garbleTime  = 5500 * time.Millisecond
	garblePause = 3 * time.Second
	// garbleEvery is the number of downloads at a garbling server of which one breaks off:
	// a share of 0.05.
	garbleEvery = 20
	// downloadBytes is the length of a download, brokenBytes what is sent of one that
	// breaks off.
	downloadBytes, brokenBytes = 90_000, 60_000
	lookupBytes                = 5000
	pipelineCaseTime           = 80 * time.Second
	pipelineClients            = 12
)

// garble breaks off some downloads of a server while it is on.
type garble struct {
	on    *atomic.Bool
	count atomic.Int64
}

func (g *garble) reply(s *server, w http.ResponseWriter, r *http.Request) bool {
	if size, _ := strconv.Atoi(r.URL.Query().Get("bytes")); size != downloadBytes || !g.on.Load() || g.count.Add(1)%garbleEvery != 0 {
		return false
	}
	id := r.Header.Get(headerID)
	record("server %s breaks off its answer to %s", s.id, id)
	w.Header().Set(headerSeal, "seal-"+s.id+"-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(downloadBytes))
	_, _ = w.Write(make([]byte, brokenBytes))
	_ = http.NewResponseController(w).Flush()
	// The network needs some time for what was sent.
	time.Sleep(20 * time.Millisecond)
	panic(http.ErrAbortHandler)
}

// pipelineCut lets clients send idempotent requests ahead, behind downloads of which some
// break off.
func pipelineCut(dir string, trouble bool) bool {
	st := startStore("127.0.0.1")
	route := func(prefix, kind string, target int) map[string]any {
		return map[string]any{
			"host": "maps.example", "path_prefix": prefix, "kind": kind, "service": "plan-vault",
			"timeout_ms": 3000, "target_latency_ms": target, "max_attempts": 2, "priority": 1,
		}
	}
	st.put("op/config", map[string]any{
		"version": 1, "routes": map[string]any{"lookup": route("/lookup/", "idempotent", 300), "pack": route("/pack/", "download", 300)},
		"services": map[string]any{"plan-vault": map[string]any{"health_path": "/health", "max_connections": 360, "cold_start_s": 3, "cold_per_s": 3.5}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	places := []place{{"lj-a", "lj"}, {"mb-a", "mb"}}
	var garbling atomic.Bool
	sound := map[string]*server{}
	for i := range 16 {
		id := fmt.Sprintf("i-%02d", i)
		s := startServer(st, id, "plan-vault", places[0].zone, "127.0.0.1", 3, 100*time.Millisecond)
		if i%2 == 0 {
			g := garble{on: &garbling}
			s.reply = g.reply
		} else {
			sound[id] = s
		}
	}
	nodes := newNodes(dir, st.address, places, 284, 4100, "")
	for _, n := range nodes {
		n.start()
	}
	awaitReady(nodes)
	// The machines are in touch a stable window after their start.
	time.Sleep(stableWindow)
	ctx, cancel := context.WithTimeout(context.Background(), pipelineCaseTime)
	defer cancel()
	lost := &losses{byNode: map[string]int{}}
	var clients sync.WaitGroup
	for range pipelineClients {
		clients.Go(func() { sendAhead(ctx, nodes[0], sound, lost) })
	}
	for trouble && pause(ctx, garblePause) {
		garbling.Store(true)
		record("garble begins at 8 of 16 servers")
		pause(ctx, garbleTime)
		garbling.Store(false)
		record("garble ends")
	}
	clients.Wait()
	held := true
	for _, n := range nodes {
		record("%s: %d requests lost in touch, running %t", n.name, lost.byNode[n.name], n.running())
		held = held && lost.byNode[n.name] <= lossesAllowed && n.running()
	}
	return held
}

// sendAhead sends a lookup, a download and two more lookups at once on a kept connection,
// and reads the answers in order.
func sendAhead(ctx context.Context, n *node, sound map[string]*server, lost *losses) {
	var conn *connection
	for ctx.Err() == nil {
		if conn == nil {
			var err error
			if conn, err = connect(n.front); err != nil {
				pause(ctx, 200*time.Millisecond)
				continue
			}
			if a := conn.send(lookup(lost)); a.err != nil {
				conn = nil
				continue
			}
		}
		requests := []request{lookup(lost), lookup(lost), lookup(lost), lookup(lost)}
		requests[1].path = fmt.Sprintf("/pack/%s?bytes=%d", requests[1].id, downloadBytes)
		if !conn.exchange(requests, sound, n, lost) {
			conn.Close()
			conn = nil
		}
		pause(ctx, 100*time.Millisecond)
	}
	if conn != nil {
		conn.Close()
	}
}

func lookup(lost *losses) request {
	id := lost.nextID()
	return request{
		method: http.MethodGet, host: "maps.example", path: fmt.Sprintf("/lookup/%s?bytes=%d", id, lookupBytes), id: id,
		deadline: 2500 * time.Millisecond, header: map[string]string{"X-Fuchsiaspar-Affinity-Key": id[len(id)-2:]},
	}
}

// exchange sends requests at once and reads the answers. It reports whether all of them
// came. Of those that got none, it counts the ones that a sound server ran.
func (c *connection) exchange(requests []request, sound map[string]*server, n *node, lost *losses) bool {
	if err := c.write(requests...); err != nil {
		return false
	}
	for i, r := range requests {
		a := c.read(r.method)
		record("client gets for %s: status %d, %d bytes, error %v", r.id, a.status, len(a.body), a.err)
		if a.err == nil {
			if a.header.Get("Connection") == "close" {
				return false
			}
			continue
		}
		// The server of this request broke off. Those behind it got no answer.
		for _, behind := range requests[i+1:] {
			lost.countRun(behind.id, sound, n)
		}
		return false
	}
	return true
}

// countRun counts a request without an answer if a sound server ran it.
func (l *losses) countRun(id string, sound map[string]*server, n *node) {
	for _, s := range sound {
		if s.ran(id) {
			l.mu.Lock()
			l.byNode[n.name]++
			l.mu.Unlock()
			record("LOST: %s was passed on to %s by %s, and the connection closed without an answer", id, s.id, n.name)
		}
	}
}
