// Package demo runs a whole deployment in one process: daemons, backend servers, a
// simulated platform and callers, on loopback sockets with the delays of a real
// deployment. A scenario is a table of loads and events. Invariants are checked by
// what callers received, what backend servers ran and what crossed the emulated
// links; only the revision in force is read from the daemons.
package demo

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/charmbracelet/log"
)

// Options configures a run.
type Options struct {
	Scenario   Scenario
	Deployment Deployment
	Policy     Policy
	Seed       uint64
	Logger     *log.Logger
}

// Policy selects what serves the requests.
type Policy string

// The available policies.
const (
	// PolicyFull runs the daemon on every entry VM.
	PolicyFull Policy = "full"
	// PolicyBaseline picks a server at random, queues in FIFO order at the server
	// and retries without a retry budget.
	PolicyBaseline Policy = "baseline"
)

const (
	// baseLoadShare is the load without floods, as a share of a service's capacity.
	baseLoadShare = 0.5
	// settleTimeout bounds the wait for requests in flight at the end of a run.
	settleTimeout = 10 * time.Second
	// maxOutstanding limits the requests in flight at all callers together.
	maxOutstanding = 4_000
)

// run is the state of one run of a scenario. Each of the requests in flight holds an
// element of outstanding.
type run struct {
	options  Options
	fleet    *fleet
	callers  []*caller
	zones    []model.Zone
	stats    *runStats
	started  time.Time
	events   *eventLog
	observed *observations

	outstanding chan struct{}
	requests    sync.WaitGroup
}

// Run runs a scenario and returns its report. An error means that the fleet did not
// start; a violated invariant is part of the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	o.Deployment = o.Deployment.withScenario(o.Scenario)
	seen := newObservations()
	r := &run{
		options:     o,
		fleet:       newFleet(o.Deployment, o.Logger, seen.recordStart),
		stats:       newRunStats(),
		events:      &eventLog{},
		observed:    seen,
		outstanding: make(chan struct{}, maxOutstanding),
	}
	defer r.fleet.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	r.startCallers()
	r.started = time.Now()
	stop := r.observe(ctx)
	r.play(ctx)
	stop()
	return r.report(), nil
}

// start starts the fleet with the policy that serves the requests.
func (r *run) start(ctx context.Context) error {
	if err := r.fleet.start(); err != nil {
		return err
	}
	if r.options.Policy == PolicyBaseline {
		return r.fleet.startBaseline()
	}
	return r.fleet.startEntryVMs(ctx)
}

// startCallers creates the caller of every zone.
func (r *run) startCallers() {
	for _, z := range r.options.Deployment.zones() {
		r.zones = append(r.zones, z.Name)
	}
	var bootstrap []string
	for _, e := range r.fleet.runningEntryVMs() {
		bootstrap = append(bootstrap, e.address)
	}
	for _, zone := range r.zones {
		r.callers = append(r.callers, newCaller(zone, r.fleet.net.dialer(zone), bootstrap))
	}
}

// play offers the load and executes the events until the scenario ends.
func (r *run) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Scenario.Duration)
	defer cancel()
	var streams sync.WaitGroup
	for i, s := range r.streams() {
		rng := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
		streams.Go(func() { r.offer(ctx, s, rng) })
	}
	for _, e := range r.options.Scenario.Events {
		streams.Go(func() { r.runEvent(ctx, e) })
	}
	streams.Wait()
	r.awaitOutstanding()
}

// awaitOutstanding waits for the requests in flight, at most settleTimeout.
func (r *run) awaitOutstanding() {
	done := make(chan struct{})
	go func() {
		r.requests.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(settleTimeout):
	}
}

// stream offers requests of one kind and account at a mean rate in requests per
// second, between two times since the start of the load.
type stream struct {
	service model.ServiceName
	kind    Kind
	account model.AccountID
	rate    float64
	from    time.Duration
	to      time.Duration
	// oneZone sends every request from the caller of the first zone.
	oneZone bool
}

// streams returns the streams of the base load and of the scenario's flood.
func (r *run) streams() []stream {
	d := r.options.Deployment
	var streams []stream
	for _, service := range d.Services {
		share := baseLoadShare / float64(len(service.Kinds)) / float64(len(d.Accounts))
		for _, kind := range service.Kinds {
			for _, account := range d.Accounts {
				streams = append(streams, stream{
					service: service.Name, kind: kind, account: account,
					rate: share * service.capacity(kind), to: r.options.Scenario.Duration,
				})
			}
		}
	}
	for _, l := range r.options.Scenario.Flood {
		streams = append(streams, r.floodStreams(l)...)
	}
	return streams
}

// floodStreams returns the streams of a load of the scenario. They go to the first
// service, to its idempotent kinds of the load's priority.
func (r *run) floodStreams(l Load) []stream {
	d := r.options.Deployment
	service := d.Services[0]
	accounts := d.Accounts
	if l.Account != "" {
		accounts = d.Accounts[:1]
	}
	var streams []stream
	for _, kind := range service.Kinds {
		if kind.Priority.String() != l.Kind || !kind.Idempotent {
			continue
		}
		for _, account := range accounts {
			streams = append(streams, stream{
				service: service.Name, kind: kind, account: account,
				rate: l.Share * service.capacity(kind) / float64(len(accounts)),
				from: floodFrom, to: r.options.Scenario.Duration, oneZone: l.OneZone,
			})
		}
	}
	return streams
}

// floodFrom is when floods begin, since the start of the load.
const floodFrom = 3 * time.Second

// offer sends the requests of a stream as an open-loop Poisson process: the times
// are random and do not depend on earlier responses.
func (r *run) offer(ctx context.Context, s stream, rng *rand.Rand) {
	next := r.started.Add(s.from)
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil || time.Since(r.started) > s.to {
			return
		}
		r.launch(s, rng)
	}
}

// launch sends one request in its own goroutine. It counts the request as unsent
// if maxOutstanding requests are in flight.
func (r *run) launch(s stream, rng *rand.Rand) {
	zoneIdx := rng.IntN(len(r.callers))
	if s.oneZone {
		zoneIdx = 0
	}
	account := accountIndex(r.options.Deployment, s.account)
	req := &clientRequest{
		service:  s.service,
		kind:     s.kind,
		account:  s.account,
		client:   randomClientAddr(clientBlock(account, zoneIdx)),
		orderID:  orderID{account: s.account, service: s.service, home: r.zones[zoneIdx], nonce: rng.Uint64()}.String(),
		deadline: time.Now().Add(s.kind.Deadline),
	}
	select {
	case r.outstanding <- struct{}{}:
	default:
		r.stats.countUnsent()
		return
	}
	offered := time.Since(r.started)
	r.requests.Go(func() {
		defer func() { <-r.outstanding }()
		res := r.callers[zoneIdx].send(context.Background(), req)
		res.offered = offered
		r.stats.add(res)
	})
}

// accountIndex returns the position of an account in the deployment.
func accountIndex(d Deployment, id model.AccountID) int {
	for i, a := range d.Accounts {
		if a == id {
			return i
		}
	}
	return 0
}
