package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// foreignRefusal: servers send, after some of their complete answers, a further response
// that belongs to no request. It has no request id and says that it was not executed.
func foreignRefusal(w *world) ([]string, error) {
	const (
		playFor = 24 * time.Second
		// The disruption: 5 s at a time, at most 60 % of the servers, 3 % of their answers.
		spell, pause  = 5 * time.Second, time.Second
		servers       = 6
		faultyServers = servers * 6 / 10
		answerShare   = 0.03
	)
	var disrupted atomic.Bool
	zones := []string{"lj-a", "mb-a", "kp-a"}
	regions := map[string]string{"lj-a": "lj", "mb-a": "mb", "kp-a": "kp"}
	for i := range servers {
		faulty := i < faultyServers
		s := &server{
			id: fmt.Sprintf("i-desk-%d", i), service: "lease-desk", zone: zones[i%3], slots: 3, queue: 9, tellsLoad: true,
			work: func(*http.Request) time.Duration { return time.Duration(40+rand.IntN(40)) * time.Millisecond },
		}
		s.addsRefusal = func() bool {
			return w.trouble && faulty && disrupted.Load() && rand.Float64() < answerShare
		}
		if err := w.addServer(s); err != nil {
			return nil, err
		}
	}
	w.configure(map[string]route{
		"reserve": {Host: "desk.example", PathPrefix: "/reserve/", Kind: "non_idempotent", TimeoutMS: 1000, TargetMS: 400, Priority: 1, Service: "lease-desk", Attempts: 2, Affinity: true, Regions: []string{}},
	})
	if err := w.startVMs(zones, regions); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	end := time.Now().Add(playFor)
	for i := range 12 {
		wg.Go(func() {
			for time.Now().Before(end) {
				a := attempt{
					method: http.MethodPost, host: "desk.example", path: fmt.Sprintf("/reserve/%d", rand.IntN(1000)),
					body: "reserve a sub-duct\n", object: fmt.Sprint(rand.IntN(24)), deadline: 3 * time.Second,
				}
				out := a.do(w.vms[i%len(w.vms)])
				w.rec.add("client sent request %s to %s at %.3f s and got %v", out.id, out.vm, w.rec.seconds(out.sent), out)
				mu.Lock()
				outcomes = append(outcomes, out)
				mu.Unlock()
				time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end) {
		disrupted.Store(true)
		time.Sleep(spell)
		disrupted.Store(false)
		time.Sleep(pause)
	}
	wg.Wait()
	var broken []string
	for _, out := range outcomes {
		executions := w.runs.of(out.id)
		if len(executions) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: request %s ran at %s and at %s", out.id, executions[0].server, executions[1].server))
		}
	}
	for _, out := range outcomes {
		promised := out.status == 429 || out.status == 503 || out.status == 408 || out.status == 421
		if n := len(w.runs.of(out.id)); promised && n > 0 {
			w.rec.add("also REFUSED: request %s was answered %d and ran %d times", out.id, out.status, n)
		}
	}
	w.rec.add("%d requests", len(outcomes))
	return broken, nil
}
