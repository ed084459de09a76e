package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// staleFollower: one VM is cut off from the store, silently, while clients send requests
// only to another VM of its region. The configuration changes during the cut.
func staleFollower(w *world) ([]string, error) {
	const (
		rounds = 5
		// The disruption: one machine, for less than 5.5 s.
		cutFor = 4 * time.Second
		// calm is the time between two cuts, more than stable_window_ms (3 s).
		calm = 4500 * time.Millisecond
	)
	zones := []string{"lj-a", "lj-b", "mb-a", "mb-b", "kp-a", "kp-b"}
	regions := map[string]string{"lj-a": "lj", "lj-b": "lj", "mb-a": "mb", "mb-b": "mb", "kp-a": "kp", "kp-b": "kp"}
	for i, service := range []string{"lease-desk", "plan-vault", "lease-desk", "plan-vault", "lease-desk", "plan-vault"} {
		err := w.addServer(&server{
			id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zones[i], slots: 3, queue: 9, tellsLoad: true,
			work: func(*http.Request) time.Duration { return 20 * time.Millisecond },
		})
		if err != nil {
			return nil, err
		}
	}
	configure := func(service string) (int, time.Time, time.Time) {
		return w.configure(map[string]route{
			"reserve": {Host: "desk.example", PathPrefix: "/reserve/", Kind: "non_idempotent", TimeoutMS: 1000, TargetMS: 400, Priority: 1, Service: service, Attempts: 2, Affinity: true, Regions: []string{}},
		})
	}
	configure("lease-desk")
	if err := w.startVMs(zones, regions); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	reader, follower, err := readerOf(w, "lj")
	if err != nil {
		return nil, err
	}
	w.rec.add("%s watches the store for region lj, %s follows it; clients use %s", reader.name, follower.name, follower.name)

	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range 2 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
				}
				a := attempt{
					method: http.MethodPost, host: "desk.example", path: fmt.Sprintf("/reserve/%d", n),
					body: "reserve a sub-duct\n", object: fmt.Sprint(n % 24), deadline: 3 * time.Second,
				}
				out := a.do(follower)
				mu.Lock()
				outcomes = append(outcomes, out)
				mu.Unlock()
			}
		})
	}
	type change struct {
		version     int
		service     string
		sent, acked time.Time
	}
	var changes []change
	for i := range rounds {
		if w.trouble {
			cut := make(chan struct{})
			var once sync.Once
			reader.storePath.setOnWatch(func() {
				once.Do(func() {
					reader.storePath.cut()
					close(cut)
				})
			})
			<-cut
			reader.storePath.setOnWatch(nil)
			w.rec.add("%s is cut off from the store", reader.name)
		}
		time.Sleep(5 * time.Millisecond)
		service := "plan-vault"
		if i%2 == 1 {
			service = "lease-desk"
		}
		version, sent, acked := configure(service)
		changes = append(changes, change{version, service, sent, acked})
		time.Sleep(cutFor)
		if w.trouble {
			reader.storePath.heal()
			w.rec.add("%s reaches the store again", reader.name)
		}
		time.Sleep(calm)
	}
	close(stop)
	wg.Wait()

	var broken []string
	for _, out := range outcomes {
		executions := w.runs.of(out.id)
		for _, execution := range executions {
			w.rec.add("client sent request %s to %s at %.3f s, run by %s, got %v", out.id, out.vm, w.rec.seconds(out.sent), execution.service, out)
		}
		if len(executions) == 0 {
			w.rec.add("client sent request %s to %s at %.3f s, not run, got %v", out.id, out.vm, w.rec.seconds(out.sent), out)
		}
		for i, c := range changes {
			if out.sent.Sub(c.acked) <= siteBounds.configApply {
				continue
			}
			// The next version may be in force from its sending on.
			if i+1 < len(changes) && !out.ended.Before(changes[i+1].sent) {
				continue
			}
			for _, execution := range executions {
				if execution.service != c.service {
					broken = append(broken, fmt.Sprintf("CONFIG: request %s, sent to %s %.3f s after the acknowledgement of version %d, ran at %s",
						out.id, out.vm, out.sent.Sub(c.acked).Seconds(), c.version, execution.service))
				}
			}
		}
	}
	w.rec.add("%d requests, %d changes", len(outcomes), len(changes))
	return broken, nil
}

// readerOf finds the VM of a region that watches the store, and another VM of the region.
func readerOf(w *world, region string) (reader, follower *vm, err error) {
	var mu sync.Mutex
	watches := map[string]int{}
	for _, v := range w.vms {
		v.storePath.setOnWatch(func() {
			mu.Lock()
			defer mu.Unlock()
			watches[v.name]++
		})
	}
	time.Sleep(4 * time.Second)
	for _, v := range w.vms {
		v.storePath.setOnWatch(nil)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, v := range w.vms {
		switch {
		case v.region != region:
		case watches[v.name] > 0 && reader == nil:
			reader = v
		default:
			follower = v
		}
	}
	if reader == nil || follower == nil {
		return nil, nil, fmt.Errorf("no reader and follower in %s: watches %v", region, watches)
	}
	return reader, follower, nil
}
