package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// departedServer: the store is down for some seconds. Later, in calm times, the VM that
// watches the store for a region is stopped as planned, and a server leaves.
func departedServer(w *world) ([]string, error) {
	const (
		// The disruption: the store answers 503 for less than 4.5 s.
		downFor = 3500 * time.Millisecond
		// calm is more than stable_window_ms (3 s) and catch_up_s (4 s).
		calm   = 6 * time.Second
		rounds = 3
	)
	zones := []string{"lj-a", "lj-b", "mb-a", "mb-b", "kp-a", "kp-b"}
	regions := map[string]string{"lj-a": "lj", "lj-b": "lj", "mb-a": "mb", "mb-b": "mb", "kp-a": "kp", "kp-b": "kp"}
	for i := range 4 + rounds {
		err := w.addServer(&server{
			id: fmt.Sprintf("i-desk-%d", i), service: "lease-desk", zone: zones[i%len(zones)], slots: 3, queue: 9, tellsLoad: true,
			work: func(*http.Request) time.Duration { return 20 * time.Millisecond },
		})
		if err != nil {
			return nil, err
		}
	}
	w.configure(map[string]route{
		"reserve": {Host: "desk.example", PathPrefix: "/reserve/", Kind: "non_idempotent", TimeoutMS: 1000, TargetMS: 400, Priority: 1, Service: "lease-desk", Attempts: 2, Affinity: true, Regions: []string{}},
	})
	if err := w.startVMs(zones, regions); err != nil {
		return nil, err
	}
	time.Sleep(calm)

	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 5 * len(w.vms) {
		wg.Go(func() {
			v := w.vms[i%len(w.vms)]
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				if !v.running() {
					continue
				}
				out := attempt{
					method: http.MethodPost, host: "desk.example", path: fmt.Sprintf("/reserve/%d", n),
					body: "reserve a sub-duct\n", object: fmt.Sprint(n % 24), deadline: 3 * time.Second,
				}.do(v)
				mu.Lock()
				outcomes = append(outcomes, out)
				mu.Unlock()
			}
		})
	}
	type departure struct {
		server, follower string
		acked            time.Time
	}
	var departures []departure
	for round := range rounds {
		var follower, reader *vm
		for follower == nil {
			if w.trouble {
				w.rec.add("the store is down")
				w.store.setBusy(true)
				time.Sleep(downFor)
				w.store.setBusy(false)
				w.rec.add("the store is back")
			}
			time.Sleep(calm)
			follower, reader = w.nextReader()
			if time.Since(w.rec.start) > 85*time.Second {
				break
			}
		}
		if follower == nil || time.Since(w.rec.start) > 85*time.Second {
			break
		}
		// The first watch of the VM that takes over the watching.
		watching := make(chan struct{})
		var once sync.Once
		w.store.setOnWatch(func(name string) {
			if name == follower.name {
				once.Do(func() { close(watching) })
			}
		})
		w.rec.add("SIGTERM to %s; %s is to take over the watch of the store", reader.name, follower.name)
		reader.signal(syscall.SIGTERM)
		select {
		case <-watching:
		case <-time.After(siteBounds.grace):
			return nil, fmt.Errorf("%s did not take over", follower.name)
		}
		w.store.setOnWatch(nil)
		time.Sleep(100 * time.Millisecond)
		leaving := w.servers[4+round]
		w.store.delete("servers/" + leaving.id)
		acked := time.Now()
		w.rec.add("server %s leaves: the store removes its entry", leaving.id)
		departures = append(departures, departure{leaving.id, follower.name, acked})
		<-reader.exited
		if err := reader.start(); err != nil {
			return nil, err
		}
		if !w.waitReady(reader, 10*time.Second) {
			return nil, fmt.Errorf("%s is not ready again", reader.name)
		}
		time.Sleep(calm)
	}
	close(stop)
	wg.Wait()
	if len(departures) == 0 {
		return nil, errors.New("no VM was found whose last read of the store had failed")
	}

	var broken []string
	for _, out := range outcomes {
		for _, execution := range w.runs.of(out.id) {
			for _, d := range departures {
				late := execution.at.Sub(d.acked)
				// VMs that were stopped or started in the last 3 s aren't judged; the one
				// that took over was neither.
				if execution.server == d.server && out.vm == d.follower && late > siteBounds.drain {
					broken = append(broken, fmt.Sprintf("DRAIN: request %s, sent to %s, reached %s %.3f s after the store had acknowledged that it is gone",
						out.id, out.vm, d.server, late.Seconds()))
				}
			}
		}
	}
	w.rec.add("%d requests, %d servers left", len(outcomes), len(departures))
	return broken, nil
}

// nextReader finds a VM that will take over the watch of the store when the reader of its
// region stops. With trouble, it is one whose last read of the store failed.
func (w *world) nextReader() (follower, reader *vm) {
	waiting := w.store.unrecovered()
	before := w.store.readCounts()
	time.Sleep(3 * time.Second)
	after := w.store.readCounts()
	for _, v := range w.vms {
		if after[v.name] > before[v.name] || (w.trouble && !slices.Contains(waiting, v.name)) {
			continue
		}
		for _, other := range w.vms {
			if other.region == v.region && after[other.name] > before[other.name] {
				return v, other
			}
		}
	}
	return nil, nil
}
