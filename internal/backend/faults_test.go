package backend_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/model"
)

var (
	faultOrders = flag.Int("fault-orders", 400, "number of orders sent under faults")
	faultSeed   = flag.Uint64("fault-seed", 1, "seed of the orders and faults")
)

const (
	faultWorkers = 8
	faultSlots   = 5
	faultDrain   = 300 * time.Millisecond
	faultMaxWait = 30  // milliseconds
	faultMaxGap  = 150 // milliseconds
)

// faultyServer is a server that suffers faults and restarts while in use. It keeps
// all its past processes, so that every run is counted.
type faultyServer struct {
	t  *testing.T
	mu sync.Mutex
	// processes are ordered by start time; the last one is live.
	processes []*standin.Server
}

func (f *faultyServer) start(address string) {
	server, err := standin.Start(standin.Options{
		ID: "server-1", Address: address, Slots: faultSlots, DrainGrace: faultDrain,
		ServiceTime: func(path string) time.Duration { return time.Duration(len(path)) * time.Millisecond },
	})
	if err != nil {
		f.t.Error(err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, server)
}

func (f *faultyServer) live() *standin.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[len(f.processes)-1]
}

// injectFault causes one random fault.
func (f *faultyServer) injectFault(random *rand.Rand) {
	server := f.live()
	switch random.IntN(4) {
	case 0, 1:
		server.Silence()
	case 2:
		server.Pause()
		sleepUpTo(random, faultMaxWait)
		server.Resume()
	default:
		address := server.Address()
		server.Kill()
		f.start(address)
	}
}

func (f *faultyServer) runs(order string) int {
	total := 0
	for _, server := range f.processes {
		total += server.Runs(order)
	}
	return total
}

func sleepUpTo(random *rand.Rand, milliseconds int) {
	time.Sleep(time.Duration(random.IntN(milliseconds)) * time.Millisecond)
}

// randomOrder returns a non-idempotent request with a random size, fault and
// deadline.
func randomOrder(random *rand.Rand, id string) *backend.Request {
	faults := []string{"", "", "", standin.FaultResetBefore, standin.FaultResetAfter, standin.FaultTruncate, standin.FaultCrossed}
	path := fmt.Sprintf("/%s?bytes=%d&fault=%s", strings.Repeat("w", random.IntN(20)),
		random.IntN(200_000), faults[random.IntN(len(faults))])
	req := order(path)
	req.Header.Set(standin.HeaderOrder, id)
	req.Header.Set("Idempotency-Key", id)
	if random.IntN(2) == 0 {
		content := strings.Repeat("u", random.IntN(100_000))
		req.Body = strings.NewReader(content)
		req.ContentLength = int64(len(content))
	}
	if random.IntN(3) == 0 {
		req.Deadline = time.Now().Add(time.Duration(random.IntN(faultMaxWait)) * time.Millisecond)
	}
	return req
}

// reported is the result that the client reported for one order.
type reported struct {
	id      string
	outcome model.Outcome
	reason  model.Reason
}

// send sends one order. For one in five, the caller cancels early.
func (f *faultyServer) send(client *backend.Client, random *rand.Rand, id string) reported {
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	if random.IntN(5) == 0 {
		time.AfterFunc(time.Duration(random.IntN(faultMaxWait))*time.Millisecond, cancel)
	}
	resp, err := client.Do(ctx, f.live().Target(), randomOrder(random, id))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	var failure *backend.Error
	if errors.As(err, &failure) {
		return reported{id, failure.Outcome, failure.Reason}
	}
	if err != nil {
		f.t.Errorf("%s: untyped error %v", id, err)
	}
	return reported{id, model.OutcomeRan, model.ReasonNone}
}

// TestOrdersUnderFaults sends orders while the server's connections become silent
// and the server pauses and restarts. It compares the runs counted at the server
// with the reported outcomes: no order may run twice, an order reported as not-run
// must not have run, and a complete response requires a run.
func TestOrdersUnderFaults(t *testing.T) {
	server := &faultyServer{t: t}
	server.start("")
	client := backend.New(backend.Options{Silence: testSilence})
	stop := make(chan struct{})
	var injector, workers sync.WaitGroup
	injector.Go(func() {
		random := rand.New(rand.NewPCG(*faultSeed, 0))
		for {
			select {
			case <-stop:
				return
			default:
				sleepUpTo(random, faultMaxGap)
				server.injectFault(random)
			}
		}
	})
	answers := make(chan reported, *faultOrders)
	for worker := range uint64(faultWorkers) {
		workers.Go(func() {
			random := rand.New(rand.NewPCG(*faultSeed, worker+1))
			for n := range *faultOrders / faultWorkers {
				answers <- server.send(client, random, fmt.Sprintf("order-%d-%d", worker, n))
			}
		})
	}
	workers.Wait()
	close(stop)
	injector.Wait()
	close(answers)
	client.Close()
	for _, process := range server.processes {
		process.Close()
	}
	server.checkRuns(answers)
}

func (f *faultyServer) checkRuns(answers <-chan reported) {
	seen := make(map[string]int)
	for a := range answers {
		seen[a.outcome.String()+" "+string(a.reason)]++
		runs := f.runs(a.id)
		if runs > 1 {
			f.t.Errorf("%s ran %d times", a.id, runs)
		}
		if a.outcome == model.OutcomeNotRun && runs != 0 {
			f.t.Errorf("%s ran although it was reported as not-run (%s)", a.id, a.reason)
		}
		if a.outcome == model.OutcomeRan && runs == 0 {
			f.t.Errorf("%s was answered without a run", a.id)
		}
	}
	f.t.Logf("%d processes, seed %d: %v", len(f.processes), *faultSeed, seen)
}
