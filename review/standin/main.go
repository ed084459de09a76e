// Command standin plays the cases of the review: it starts the entry VMs with the command
// of the deploy file, stands in for the platform's store, the servers and the clients, and
// judges what these have seen.
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// With TROUBLE=0 in the environment the case is played without its disruption.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a running deployment.
type world struct {
	rec     *record
	trouble bool
	store   *store
	servers []*server
	runs    *runs
	vms     []*vm
	version int
	dir     string
	mu      sync.Mutex
}

// route is a route of the configuration.
type route struct {
	Host       string   `json:"host"`
	PathPrefix string   `json:"path_prefix"`
	Kind       string   `json:"kind"`
	TimeoutMS  int      `json:"timeout_ms"`
	TargetMS   int      `json:"target_latency_ms"`
	Priority   int      `json:"priority"`
	Service    string   `json:"service"`
	Attempts   int      `json:"max_attempts"`
	Affinity   bool     `json:"session_affinity"`
	Regions    []string `json:"allowed_regions"`
}

// configure writes a version of the configuration and returns when it was sent and when
// the store acknowledged it.
func (w *world) configure(routes map[string]route) (version int, sent, acked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	base := w.version
	w.version += 2
	services := map[string]any{}
	for _, s := range w.servers {
		services[s.service] = map[string]any{
			"health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 3.5,
		}
	}
	text, _ := json.Marshal(map[string]any{
		"version": w.version, "base_version": base, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	sent = time.Now()
	w.store.put("op/config", text)
	acked = time.Now()
	w.rec.addAt(acked, "the store acknowledges configuration %d", w.version)
	return w.version, sent, acked
}

// addServer starts a server.
func (w *world) addServer(s *server) error {
	s.rec, s.runs, s.store = w.rec, w.runs, w.store
	w.servers = append(w.servers, s)
	return s.start()
}

// startVMs starts one VM for each of the zones and waits until all are ready.
func (w *world) startVMs(zones []string, regions map[string]string) error {
	vms, err := newVMs(w.dir, zones, regions, w.store)
	if err != nil {
		return err
	}
	w.vms = vms
	for _, v := range vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range vms {
		if !w.waitReady(v, 10*time.Second) {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	w.rec.add("%d entry VMs are ready", len(vms))
	return nil
}

// waitReady waits until a VM answers the readiness probe with 200.
func (w *world) waitReady(v *vm, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if isReady(v) {
			return true
		}
	}
	return false
}

func (w *world) close() {
	for _, v := range w.vms {
		v.end()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(w.dir)
	}
}

// cases maps names to the functions that play them. They return what broke the rule.
var cases = map[string]func(*world) (violations []string, err error){
	"foreign-refusal": foreignRefusal,
	"stale-follower":  staleFollower,
	"changed-body":    changedBody,
	"departed-server": departedServer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(f func(*world) ([]string, error), recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{rec: rec, store: newStore(), trouble: os.Getenv("TROUBLE") != "0", runs: newRuns(), dir: dir}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	type result struct {
		violations []string
		err        error
	}
	done := make(chan result, 1)
	go func() {
		var r result
		r.violations, r.err = f(w)
		done <- r
	}()
	select {
	case <-stopped:
		return 2
	case <-time.After(115 * time.Second):
		rec.add("could not run: out of time")
		return 2
	case r := <-done:
		if r.err != nil {
			rec.add("could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return 2
		}
		rec.add("rule broken %d times", len(r.violations))
		for _, v := range r.violations {
			rec.add("broken: %s", v)
		}
		fmt.Printf("rule broken %d times; %s\n", len(r.violations), strings.Join(r.violations[:min(len(r.violations), 2)], "; "))
		if len(r.violations) > 0 {
			return 1
		}
		return 0
	}
}
