package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// stormTime and stormGap are those of the disruption config_storm: a change every gap,
	// for a time. stormPause is the time from the end of a storm to the next one.
	stormTime  = 4 * time.Second
	stormGap   = 330 * time.Millisecond
	stormPause = 670 * time.Millisecond
	// maxValue is value_bytes of the settings.
	maxValue = 1 << 20
	// memoryMB is that of the smallest machine.
	memoryMB = 284
	// lossesAllowed is the number of requests that the rule LOST tolerates at a machine.
	lossesAllowed = 3
	// stableWindow is the time after its start from which a machine is in touch.
	stableWindow = 3 * time.Second
	// keptClients is the number of clients at each machine.
	keptClients = 10
	// afterFirstKill is how long the case goes on after the first process has ended.
	afterFirstKill = 5 * time.Second
	// memoryCaseTime bounds the case.
	memoryCaseTime = 108 * time.Second
)

// losses counts, by machine, the requests that a server ran and whose kept connection was
// closed without an answer.
type losses struct {
	mu      sync.Mutex
	byNode  map[string]int
	startAt map[string]time.Time
	ids     int
}

func (l *losses) nextID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids++
	return fmt.Sprintf("r%06d", l.ids)
}

// lookupRoute is the route that the clients of configMemory use.
var lookupRoute = map[string]any{
	"host": "lookup.example", "path_prefix": "/occupancy/", "kind": "idempotent", "service": "lease-desk",
	"timeout_ms": 2000, "target_latency_ms": 300, "max_attempts": 2, "priority": 1, "session_affinity": true,
}

// largeConfig returns a configuration with a route in use and as many idle ones as fit
// into a value.
// Versions differ in their number and in the timeout of an idle route.
func largeConfig(version int, inUse map[string]any) []byte {
	routes := map[string]any{}
	for i := range 3380 {
		routes[fmt.Sprintf("plan-archive-%04d", i)] = map[string]any{
			"host": fmt.Sprintf("archive-%04d.plans.customer.example", i), "path_prefix": fmt.Sprintf("/as-built/section-%04d/drawings/", i),
			"kind": "idempotent", "service": "lease-desk", "timeout_ms": 800, "target_latency_ms": 300, "max_attempts": 2,
			"priority": 1, "session_affinity": true, "allowed_regions": []string{"kp", "lj", "mb"}, "auth_exempt": false,
		}
	}
	routes["plan-archive-0000"].(map[string]any)["timeout_ms"] = 700 + version
	routes["occupancy-lookup"] = inUse
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": map[string]any{"lease-desk": map[string]any{"health_path": "/health", "max_connections": 360, "cold_start_s": 3, "cold_per_s": 3.5}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil || len(data) > maxValue {
		cannotRun("configuration of %d bytes: %v", len(data), err)
	}
	return data
}

// configMemory changes a large configuration in storms while clients send requests on kept
// connections. Like the platform, it kills a process that exceeds its memory.
func configMemory(dir string, trouble bool) bool {
	st := startStore("127.0.0.1")
	first := largeConfig(1, lookupRoute)
	st.put("op/config", first)
	record("operator writes version 1, %d bytes", len(first))
	places := []place{{"lj-a", "lj"}, {"mb-a", "mb"}, {"kp-a", "kp"}}
	var servers []*server
	for i := range 18 {
		servers = append(servers, startServer(st, fmt.Sprintf("i-%02d", i), "lease-desk", places[i%3].zone, "127.0.0.1", 3, 400*time.Millisecond))
	}
	nodes := newNodes(dir, st.address, places, memoryMB, 4100, "")
	lost := &losses{byNode: map[string]int{}, startAt: map[string]time.Time{}}
	for _, n := range nodes {
		n.start()
		lost.startAt[n.name] = time.Now()
	}
	awaitReady(nodes)
	ctx, cancel := context.WithTimeout(context.Background(), memoryCaseTime)
	defer cancel()
	var clients sync.WaitGroup
	for _, n := range nodes {
		for range keptClients {
			clients.Go(func() { sendOnKept(ctx, n, servers, lost) })
		}
	}
	if trouble {
		go storms(ctx, st)
	}
	enforceMemory(ctx, nodes)
	cancel()
	clients.Wait()
	held := true
	for _, n := range nodes {
		record("%s: running %t, %d requests lost in touch", n.name, n.running(), lost.byNode[n.name])
		held = held && lost.byNode[n.name] <= lossesAllowed
	}
	return held
}

// storms changes the configuration every stormGap for stormTime, again and again, with a
// pause between.
func storms(ctx context.Context, st *store) {
	version := 1
	for storm := time.Now(); ; storm = storm.Add(stormTime + stormPause) {
		for at := storm; at.Sub(storm) < stormTime; at = at.Add(stormGap) {
			version++
			config := largeConfig(version, lookupRoute)
			if !pause(ctx, time.Until(at)) {
				return
			}
			record("operator writes version %d, revision %d", version, st.put("op/config", config))
		}
	}
}

// enforceMemory kills the processes that exceed their memory, as the platform does. It
// returns afterFirstKill after the first one, or when ctx ends.
func enforceMemory(ctx context.Context, nodes []*node) {
	ended := map[string]bool{}
	var firstKill, reported time.Time
	for pause(ctx, 50*time.Millisecond) && len(ended) < len(nodes) && (firstKill.IsZero() || time.Since(firstKill) < afterFirstKill) {
		report := time.Since(reported) >= 5*time.Second
		if report {
			reported = time.Now()
		}
		for _, n := range nodes {
			now := n.memory()
			switch {
			case ended[n.name]:
				continue
			case !n.running():
				record("%s ended by itself: %s", n.name, n.ended)
			case now > n.memoryMB<<20:
				record("the platform kills %s: it uses %d MiB of %d", n.name, now>>20, n.memoryMB)
				n.stop()
			default:
				if report {
					record("%s uses %d MiB of %d", n.name, now>>20, n.memoryMB)
				}
				continue
			}
			ended[n.name] = true
			if firstKill.IsZero() {
				firstKill = time.Now()
			}
		}
	}
	pause(ctx, time.Second)
}

// sendOnKept sends one request after the other on a kept connection.
func sendOnKept(ctx context.Context, n *node, servers []*server, lost *losses) {
	var conn *connection
	for first := true; ctx.Err() == nil; first = false {
		if conn == nil {
			var err error
			if conn, err = connect(n.front); err != nil {
				pause(ctx, 200*time.Millisecond)
				continue
			}
			first = true
		}
		id := lost.nextID()
		a := conn.send(request{
			method: "GET", host: "lookup.example", path: "/occupancy/" + id, id: id, deadline: 2500 * time.Millisecond,
			header: map[string]string{"X-Fuchsiaspar-Affinity-Key": id[len(id)-1:]},
		})
		if a.err != nil {
			lost.judge(n, servers, id, first, a.err)
		}
		if a.err != nil || a.header.Get("Connection") == "close" {
			conn.Close()
			conn = nil
		}
		if a.status == 503 {
			pause(ctx, 300*time.Millisecond)
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// judge counts a request without an answer if a server ran it, the connection was a kept
// one, the machine is in touch, and the deadline has not passed.
func (l *losses) judge(n *node, servers []*server, id string, first bool, err error) {
	var timeout net.Error
	if first || errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.startAt[n.name]) < stableWindow {
		return
	}
	for _, s := range servers {
		if s.ran(id) {
			l.byNode[n.name]++
			record("LOST: %s was passed on to %s by %s, and the connection closed without an answer", id, s.id, n.name)
			return
		}
	}
}
