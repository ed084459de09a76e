// Package demo runs a whole deployment in one process: daemons, backend
// servers, the platform's stand-in and callers on loopback sockets with the
// delays of a real deployment. A scenario is a table of loads and events; the
// outcome is judged at callers and backend servers.
package demo

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/charmbracelet/log"
)

// Options choose what a run does.
type Options struct {
	Scenario   Scenario
	Deployment Deployment
	Policy     Policy
	Seed       uint64
	Logger     *log.Logger
}

// Policy says what serves the requests.
type Policy string

// The policies.
const (
	// PolicyFull is the daemon as it is.
	PolicyFull Policy = "full"
	// PolicyBaseline picks a server at random, queues first in first out at
	// the server and retries without a budget.
	PolicyBaseline Policy = "baseline"
)

const (
	// quietShare is the quiet load of a service as a share of its capacity.
	quietShare = 0.5
	// drainTime is how long a run waits for its last answers.
	drainTime = 10 * time.Second
	// maxOutstanding bounds the requests in flight at the callers.
	maxOutstanding = 4_000
)

// run is one run of a scenario.
type run struct {
	options Options
	fleet   *fleet
	callers []*caller
	zones   []model.Zone
	tallies *tallies
	started time.Time
	events  *eventLog
	seen    *observations

	outstanding chan struct{}
	requests    sync.WaitGroup
}

// Run runs a scenario and reports what came of it.
func Run(ctx context.Context, o Options) (*Report, error) {
	o.Deployment = o.Deployment.under(o.Scenario)
	seen := newObservations()
	r := &run{
		options:     o,
		fleet:       newFleet(o.Deployment, o.Logger, seen.noteStart),
		tallies:     newTallies(),
		events:      &eventLog{},
		seen:        seen,
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
	return r.fleet.startEntries(ctx)
}

// startCallers starts the callers of every zone.
func (r *run) startCallers() {
	for _, z := range r.options.Deployment.zones() {
		r.zones = append(r.zones, z.Name)
	}
	var bootstrap []string
	for _, e := range r.fleet.live() {
		bootstrap = append(bootstrap, e.address)
	}
	for _, zone := range r.zones {
		r.callers = append(r.callers, newCaller(zone, r.fleet.net.dialer(zone), bootstrap))
	}
}

// play offers the loads and carries out the events until the scenario ends.
func (r *run) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Scenario.Duration)
	defer cancel()
	var streams sync.WaitGroup
	for i, l := range r.loads() {
		rng := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
		streams.Go(func() { r.offer(ctx, l, rng) })
	}
	for _, e := range r.options.Scenario.Events {
		streams.Go(func() { r.at(ctx, e) })
	}
	streams.Wait()
	r.settle()
}

// settle waits for the last answers.
func (r *run) settle() {
	done := make(chan struct{})
	go func() {
		r.requests.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(drainTime):
	}
}

// stream is one stream of requests with its rate.
type stream struct {
	service model.ServiceName
	kind    Kind
	account model.AccountID
	rate    float64
	from    time.Duration
	to      time.Duration
	// oneZone sends every request from the first zone.
	oneZone bool
}

// loads lists the quiet load and the scenario's flood.
func (r *run) loads() []stream {
	d := r.options.Deployment
	var streams []stream
	for _, service := range d.Services {
		share := quietShare / float64(len(service.Kinds)) / float64(len(d.Accounts))
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
		streams = append(streams, r.flood(l)...)
	}
	return streams
}

// flood turns a load of the scenario into streams on the first service, where
// a priority's name stands for its first idempotent kind.
func (r *run) flood(l Load) []stream {
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

// floodFrom is when floods begin.
const floodFrom = 3 * time.Second

// offer starts requests of a stream at random instants with its mean rate,
// whatever becomes of the earlier ones.
func (r *run) offer(ctx context.Context, l stream, rng *rand.Rand) {
	next := r.started.Add(l.from)
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil || time.Since(r.started) > l.to {
			return
		}
		r.launch(l, rng)
	}
}

// launch sends one request on a goroutine of its own.
func (r *run) launch(l stream, rng *rand.Rand) {
	at := rng.IntN(len(r.callers))
	if l.oneZone {
		at = 0
	}
	account := accountIndex(r.options.Deployment, l.account)
	o := &order{
		service:  l.service,
		kind:     l.kind,
		account:  l.account,
		client:   clientIn(clientBlock(account, at)),
		orderID:  orderID{account: l.account, service: l.service, home: r.zones[at], nonce: rng.Uint64()}.String(),
		deadline: time.Now().Add(l.kind.Deadline),
	}
	select {
	case r.outstanding <- struct{}{}:
	default:
		r.tallies.overflow()
		return
	}
	offered := time.Since(r.started)
	r.requests.Go(func() {
		defer func() { <-r.outstanding }()
		res := r.callers[at].send(context.Background(), o)
		res.offered = offered
		r.tallies.add(res)
	})
}

func accountIndex(d Deployment, id model.AccountID) int {
	for i, a := range d.Accounts {
		if a == id {
			return i
		}
	}
	return 0
}
