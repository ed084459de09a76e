package demo

import (
	"context"
	"sync"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
	platformstandin "fuchsiaspar/internal/platform/standin"
)

const (
	// slowStore delays each call of a slow store.
	slowStore = 800 * time.Millisecond
	// lostAnswers is the count of writes whose answers get lost.
	lostAnswers = 20
	// lapsePeriod is how often leases lapse under their holders.
	lapsePeriod = 500 * time.Millisecond
	// serverDrainAfter is when a drain takes effect after it was proposed.
	serverDrainAfter = 200 * time.Millisecond
	// inForceLimit is how long a change may take to be in force everywhere.
	inForceLimit = 5 * time.Second
	// drainLimit is how long a drain may take to leave its target without new
	// work.
	drainLimit = 3 * time.Second
)

// eventLog holds what happened, for the report and its checks.
type eventLog struct {
	mu      sync.Mutex
	lines   []EventReport
	changes []changeResult
	drains  []drainWatch
}

// changeResult is the outcome of one change of configuration.
type changeResult struct {
	revision model.Revision
	took     time.Duration
	// inForce is the time from the proposal until every running entry VM that
	// was not cut off had adopted it.
	inForce time.Duration
	err     error
}

// drainWatch holds the orders that a drained server had started when the drain
// had to be in force.
type drainWatch struct {
	server  *backendServer
	started int
}

func (l *eventLog) add(at time.Duration, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, EventReport{AtMS: at.Milliseconds(), What: text})
}

// at waits for an event's time and carries it out.
func (r *run) at(ctx context.Context, e Event) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Until(r.started.Add(e.At))):
	}
	r.events.add(time.Since(r.started), string(e.Action)+" "+e.Target)
	r.act(ctx, e)
}

func (r *run) act(ctx context.Context, e Event) {
	switch e.Action {
	case ActionKillVM:
		r.fleet.kill(r.vm(e))
	case ActionStopVM:
		r.stopVM(ctx, r.vm(e))
	case ActionKillRegion:
		r.killRegion(e.Nth)
	case ActionBounceRegion:
		r.bounceRegion(ctx, e)
	case ActionRestartAll:
		r.restartAll(ctx)
	case ActionSilence:
		r.eachThird(func(s *backendServer) { s.server().Silence() })
	case ActionMislead:
		r.eachThird(func(s *backendServer) { s.server().SetLoadOverride(func(float64) float64 { return 0 }) })
	case ActionStopReports:
		r.stopReports()
	case ActionStoreDown:
		r.fleet.store.SetDown(platformstandin.AllClients, true)
	case ActionStoreSlow:
		r.fleet.store.SetDelay(platformstandin.AllClients, slowStore)
	case ActionAnswerLost:
		r.fleet.store.DropResponses(platformstandin.AllClients, lostAnswers)
		r.race(ctx, 20)
	case ActionPauseLeases:
		r.lapseLeases(ctx, e.For)
	case ActionCutZone:
		r.cut(ctx, e.For, r.zones[len(r.zones)-1-e.Nth:len(r.zones)-e.Nth])
	case ActionCutRegion:
		r.cut(ctx, e.For, r.zones[len(r.zones)-zonesPerRegion:])
	case ActionDrainZone:
		r.drain(ctx, config.DrainZone, string(r.zones[len(r.zones)-1]), r.serversIn(r.zones[len(r.zones)-1]))
	case ActionDrainServer:
		s := r.fleet.servers[0]
		r.drain(ctx, config.DrainServer, string(s.id), []*backendServer{s})
	case ActionRaceOperators:
		r.race(ctx, 100)
	}
}

// vm resolves the target of an event.
func (r *run) vm(e Event) model.VMID {
	first := 0
	if e.Target == targetSecondVM {
		first = 3
	}
	return r.fleet.order[(first+e.Nth)%len(r.fleet.order)]
}

func (r *run) stopVM(ctx context.Context, vm model.VMID) {
	started := time.Now()
	err := r.fleet.stop(context.WithoutCancel(ctx), vm)
	what := "stopped " + string(vm) + " after " + time.Since(started).Round(time.Millisecond).String()
	if err != nil {
		what += ": " + err.Error()
	}
	r.events.add(time.Since(r.started), what)
}

// region returns the last region but nth.
func (r *run) region(nth int) model.Region {
	regions := r.options.Deployment.Regions
	return regions[(2*len(regions)-1-nth)%len(regions)]
}

// killRegion kills every entry VM and server of the last region but nth.
func (r *run) killRegion(nth int) {
	region := r.region(nth)
	for _, e := range r.fleet.live() {
		if e.region == region {
			r.fleet.kill(e.slot.VM)
		}
	}
	for _, s := range r.fleet.servers {
		if r.fleet.net.regions[s.zone] == region {
			r.fleet.killServer(s)
		}
	}
}

// bounceRegion kills the last region and replaces all of it after a while.
func (r *run) bounceRegion(ctx context.Context, e Event) {
	r.killRegion(e.Nth)
	select {
	case <-ctx.Done():
		return
	case <-time.After(e.For):
	}
	region := r.region(e.Nth)
	if err := r.fleet.replaceServers(region); err != nil {
		r.events.add(time.Since(r.started), "not replaced: "+err.Error())
		return
	}
	for _, vm := range r.fleet.order {
		if e := r.fleet.entries[vm]; e.region == region {
			r.replace(ctx, e)
		}
	}
}

func (r *run) replace(ctx context.Context, e *entryVM) {
	if err := r.fleet.startEntry(ctx, e); err != nil {
		r.events.add(time.Since(r.started), "not replaced: "+err.Error())
		return
	}
	r.events.add(time.Since(r.started), "replaced "+string(e.slot.VM))
}

// restartAll stops each entry VM in turn and starts a replacement.
func (r *run) restartAll(ctx context.Context) {
	for _, vm := range r.fleet.order {
		if ctx.Err() != nil {
			return
		}
		r.stopVM(ctx, vm)
		r.replace(ctx, r.fleet.entries[vm])
	}
}

func (r *run) eachThird(f func(*backendServer)) {
	for i, s := range r.fleet.servers {
		if i%3 == 0 {
			f(s)
		}
	}
}

func (r *run) stopReports() {
	for _, s := range r.fleet.servers {
		s.server().StopHealthReports()
	}
}

func (r *run) serversIn(zone model.Zone) []*backendServer {
	var list []*backendServer
	for _, s := range r.fleet.servers {
		if s.zone == zone {
			list = append(list, s)
		}
	}
	return list
}

// lapseLeases makes every lease lapse under its holder, again and again.
func (r *run) lapseLeases(ctx context.Context, period time.Duration) {
	end := time.Now().Add(period)
	for time.Now().Before(end) && ctx.Err() == nil {
		r.fleet.store.ExpireLeases(platformstandin.AllClients)
		time.Sleep(lapsePeriod)
	}
}

// cut separates zones from all others and from the store for a while.
func (r *run) cut(ctx context.Context, period time.Duration, inside []model.Zone) {
	r.setCut(inside, true)
	select {
	case <-ctx.Done():
	case <-time.After(period):
	}
	r.setCut(inside, false)
	r.events.add(time.Since(r.started), "healed")
}

func (r *run) setCut(inside []model.Zone, cut bool) {
	isInside := make(map[model.Zone]bool)
	for _, z := range inside {
		isInside[z] = true
	}
	for _, a := range inside {
		for _, b := range r.zones {
			if !isInside[b] {
				r.fleet.net.set(a, b, cut)
			}
		}
	}
	for _, vm := range r.fleet.order {
		if isInside[r.fleet.entries[vm].slot.Zone] {
			r.fleet.store.SetPartitioned(string(vm), cut)
		}
	}
}

// drain plans a drain that starts at once, and notes how much work its servers
// had started when it had to be in force.
func (r *run) drain(ctx context.Context, kind config.DrainKind, target string, servers []*backendServer) {
	start := time.Now().Add(serverDrainAfter)
	change := config.Change{
		ID:       r.fleet.changeID(),
		Operator: "demo",
		Drains:   []config.Drain{{ID: "demo-drain", Kind: kind, Target: target, Start: start, End: start.Add(time.Hour)}},
	}
	if !r.change(ctx, r.fleet.live()[1], change) {
		return
	}
	time.Sleep(time.Until(start.Add(drainLimit)))
	r.events.mu.Lock()
	defer r.events.mu.Unlock()
	for _, s := range servers {
		r.events.drains = append(r.events.drains, drainWatch{server: s, started: s.server().Counts().Started})
	}
}

// change proposes a change, notes what became of it and reports whether it was
// accepted.
func (r *run) change(ctx context.Context, e *entryVM, c config.Change) bool {
	started := time.Now()
	result, err := r.fleet.propose(context.WithoutCancel(ctx), e, c)
	outcome := changeResult{revision: result.Revision, took: time.Since(started), err: err}
	if err == nil {
		outcome.inForce = r.awaitInForce(ctx, started, result.Revision)
	}
	r.events.mu.Lock()
	defer r.events.mu.Unlock()
	r.events.changes = append(r.events.changes, outcome)
	return err == nil
}

// awaitInForce returns how long after started a revision was in force
// everywhere, or the bound on the wait.
func (r *run) awaitInForce(ctx context.Context, started time.Time, revision model.Revision) time.Duration {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), inForceLimit)
	defer cancel()
	_ = r.fleet.awaitRevision(ctx, revision)
	return time.Since(started)
}

// race makes two operators change accounts at once, count changes each. Every
// fifth change of each is to the same account.
func (r *run) race(ctx context.Context, count int) {
	var operators sync.WaitGroup
	for n := range 2 {
		operators.Go(func() { r.operate(ctx, n, count) })
	}
	operators.Wait()
}

func (r *run) operate(ctx context.Context, operator, count int) {
	d := r.options.Deployment
	for i := range count {
		live := r.fleet.live()
		e := live[(operator*3+i)%len(live)]
		service, err := configOf(e)
		if err != nil || service.Current() == nil || ctx.Err() != nil {
			return
		}
		at := operator
		if i%5 == 0 {
			at = len(d.Accounts) - 1
		}
		account, ok := service.Current().Account(d.Accounts[at])
		if !ok {
			return
		}
		edited := withShiftCap(*account, int64(shiftCap+i))
		r.change(ctx, e, config.Change{
			ID:       r.fleet.changeID(),
			Operator: []string{"anna", "bert"}[operator],
			Base:     service.Current().Revision(),
			Accounts: []config.Account{edited},
		})
	}
}

// withShiftCap returns a copy of the account with another cap for its first
// service.
func withShiftCap(a config.Account, limit int64) config.Account {
	a.Services = append([]config.AccountService(nil), a.Services...)
	a.Services[0].ShiftCap = &limit
	return a
}
