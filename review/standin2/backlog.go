package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// applyBound is config_apply_ms.
	applyBound = 2 * time.Second
	// backlogRounds bounds the storms.
	backlogRounds = 7
	// observed is how long the machines are observed after the bound of a version, and
	// observedLate how much longer if one of them is late.
	observed     = 4 * time.Second
	observedLate = 8 * time.Second
	// probeGap is the time between two requests of a client.
	probeGap = 100 * time.Millisecond
)

// watchBacklog changes the configuration in a storm, just after the open connections to the
// store have gone silent. It does so again until a machine is late.
func watchBacklog(dir string, trouble bool) bool {
	st := startStore("127.0.0.1")
	st.put("op/config", markedConfig(1))
	places := []place{{"lj-a", "lj"}, {"mb-a", "mb"}, {"kp-a", "kp"}}
	for i := range 6 {
		startServer(st, fmt.Sprintf("i-%02d", i), "lease-desk", places[i%3].zone, "127.0.0.1", 3, 20*time.Millisecond)
	}
	p := startProxy("127.0.0.1", st.address)
	nodes := newNodes(dir, p.address, places, memoryMB, 4100, "")
	for _, n := range nodes {
		n.start()
	}
	awaitReady(nodes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	late := &lateRequests{byNode: map[string]int{}}
	var clients sync.WaitGroup
	for _, n := range nodes {
		clients.Go(func() { late.probe(ctx, n) })
	}
	version := 1
	for range backlogRounds {
		time.Sleep(stableWindow)
		silentAt := time.Now()
		if trouble {
			record("%d connections to the store go silent", p.silence())
		}
		version = storm(st, version, silentAt)
		late.judge(version, silentAt)
		time.Sleep(time.Until(late.bound) + observed)
		if late.total() > 0 {
			time.Sleep(observedLate)
			break
		}
		late.version.Store(0)
	}
	cancel()
	clients.Wait()
	for _, n := range nodes {
		record("%s: %d requests handled as only an older version allows, running %t", n.name, late.byNode[n.name], n.running())
	}
	return late.total() == 0
}

// storm writes a version each stormGap for stormTime, and returns the last one.
func storm(st *store, version int, start time.Time) int {
	for at := start; at.Sub(start) < stormTime; at = at.Add(stormGap) {
		version++
		config := markedConfig(version)
		time.Sleep(time.Until(at))
		st.put("op/config", config)
		record("operator writes version %d, %d bytes, acknowledged", version, len(config))
	}
	return version
}

// markedConfig is a large configuration with a route that only this version has.
func markedConfig(version int) []byte {
	return largeConfig(version, map[string]any{
		"host": "lookup.example", "path_prefix": fmt.Sprintf("/version-%d/", version), "kind": "idempotent", "service": "lease-desk",
		"timeout_ms": 800, "target_latency_ms": 300, "max_attempts": 2, "priority": 1,
	})
}

// lateRequests counts, by machine, requests for the route of a version that are refused
// with 404 although they were sent after the version's bound.
type lateRequests struct {
	version, from atomic.Int64

	// bound is the time from which the last version must be in force.
	bound time.Time

	mu     sync.Mutex
	byNode map[string]int
}

// judge begins to judge requests for a version that has just been acknowledged. Machines are
// in touch a stable window after their connections went silent.
func (l *lateRequests) judge(version int, silentAt time.Time) {
	l.bound = time.Now().Add(applyBound)
	if touch := silentAt.Add(stableWindow); l.bound.Before(touch) {
		l.bound = touch
	}
	l.from.Store(l.bound.UnixNano())
	l.version.Store(int64(version))
}

func (l *lateRequests) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, count := range l.byNode {
		total += count
	}
	return total
}

// probe sends requests for the newest version's route to a machine.
func (l *lateRequests) probe(ctx context.Context, n *node) {
	var conn *connection
	for i := 0; pause(ctx, probeGap); i++ {
		if conn == nil {
			var err error
			if conn, err = connect(n.front); err != nil {
				continue
			}
		}
		version, from, sent := l.version.Load(), l.from.Load(), time.Now()
		if version == 0 {
			continue
		}
		a := conn.send(request{
			method: http.MethodGet, host: "lookup.example", path: fmt.Sprintf("/version-%d/x", version),
			id: fmt.Sprintf("%s-%04d", n.name, i), deadline: 2 * time.Second,
		})
		if a.err != nil || a.header.Get("Connection") == "close" {
			conn.Close()
			conn = nil
		}
		if a.status == http.StatusNotFound && sent.UnixNano() > from {
			l.mu.Lock()
			l.byNode[n.name]++
			l.mu.Unlock()
			record("CONFIG: %s refuses a request for version %d, sent %.1f s after the bound", n.name, version, time.Duration(sent.UnixNano()-from).Seconds())
		}
	}
}
