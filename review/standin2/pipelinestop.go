package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// stopRounds is the number of planned stops.
	stopRounds = 6
	// stopClients is the number of clients that send ahead when the stop comes.
	stopClients = 4
	// slowWork and quickWork are the times that servers work on a client's first request
	// and on those behind it. Both are shorter than the route's timeout.
	slowWork, quickWork = 4500 * time.Millisecond, 500 * time.Millisecond
	routeTimeout        = 5 * time.Second
	clientDeadline      = 12 * time.Second
	// sentBefore is how long before the SIGTERM the requests are sent.
	sentBefore = 100 * time.Millisecond
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
)

// pipelineStop stops machines as planned while clients wait for the answers to idempotent
// requests that they sent at once.
func pipelineStop(dir string, trouble bool) bool {
	st := startStore("127.0.0.1")
	st.put("op/config", map[string]any{
		"version": 1, "routes": map[string]any{"menu-history": map[string]any{
			"host": "menu.example", "path_prefix": "/menu/", "kind": "idempotent", "service": "archive-desk",
			"timeout_ms": routeTimeout.Milliseconds(), "target_latency_ms": 3000, "max_attempts": 2, "priority": 1,
		}},
		"services": map[string]any{"archive-desk": map[string]any{"health_path": "/health", "max_connections": 360, "cold_start_s": 3, "cold_per_s": 3.5}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	places := []place{{"lj-a", "lj"}, {"mb-a", "mb"}}
	var servers []*server
	for i := range 12 {
		servers = append(servers, startServer(st, fmt.Sprintf("i-%02d", i), "archive-desk", places[i%2].zone, "127.0.0.1", 3, quickWork))
	}
	nodes := newNodes(dir, st.address, places, 284, 4100, "")
	for _, n := range nodes {
		n.start()
	}
	lost := &losses{byNode: map[string]int{}}
	for round := range stopRounds {
		awaitReady(nodes)
		// The machines are in touch, and no other stop is near.
		time.Sleep(stableWindow)
		n := nodes[round%len(nodes)]
		var clients sync.WaitGroup
		for range stopClients {
			clients.Go(func() { waitThroughStop(n, servers, lost) })
		}
		time.Sleep(sentBefore)
		if trouble {
			record("SIGTERM to %s", n.name)
			n.signal(syscall.SIGTERM)
			killer := time.AfterFunc(grace, func() {
				record("SIGKILL to %s", n.name)
				n.signal(syscall.SIGKILL)
			})
			<-n.exited
			killer.Stop()
			record("%s has ended: %s", n.name, n.ended)
		}
		clients.Wait()
		if trouble {
			n.start()
		}
	}
	total := 0
	for _, n := range nodes {
		record("%s: %d requests lost", n.name, lost.byNode[n.name])
		total += lost.byNode[n.name]
	}
	return total == 0
}

// waitThroughStop sends three requests at once and counts those that a server has run and
// that get no answer.
func waitThroughStop(n *node, servers []*server, lost *losses) {
	conn, err := connect(n.front)
	if err != nil {
		cannotRun("%v", err)
	}
	defer conn.Close()
	var requests []request
	for i, work := range []time.Duration{slowWork, quickWork, quickWork} {
		id := lost.nextID()
		requests = append(requests, request{
			method: http.MethodGet, host: "menu.example", path: fmt.Sprintf("/menu/%d?ms=%d", i, work.Milliseconds()), id: id,
			deadline: clientDeadline, header: map[string]string{"X-Fuchsiaspar-Affinity-Key": id},
		})
	}
	if err := conn.write(requests...); err != nil {
		record("requests not sent: %v", err)
		return
	}
	sent := time.Now()
	for _, r := range requests {
		a := conn.read(r.method)
		record("client gets for %s: status %d, error %v", r.id, a.status, a.err)
		if a.err == nil || time.Since(sent) >= routeTimeout {
			continue
		}
		for _, s := range servers {
			if s.ran(r.id) {
				lost.mu.Lock()
				lost.byNode[n.name]++
				lost.mu.Unlock()
				record("LOST: %s was passed on to %s by %s, and the connection closed without an answer", r.id, s.id, n.name)
			}
		}
	}
}
