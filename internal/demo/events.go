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
	// slowStoreDelay delays each call of a slow store.
	slowStoreDelay = 800 * time.Millisecond
	// lostAnswerCount is the number of writes that take effect but whose responses
	// are lost.
	lostAnswerCount = 20
	// leaseExpiryInterval is how often all leases expire while their holders run.
	leaseExpiryInterval = 500 * time.Millisecond
	// drainLeadTime is the time from the proposal of a drain to its start.
	drainLeadTime = 200 * time.Millisecond
	// adoptionLimit bounds the wait until a change is in force everywhere.
	adoptionLimit = 5 * time.Second
	// drainLimit is the time from the start of a drain after which its servers may
	// start no request.
	drainLimit = 3 * time.Second
)

// eventLog records events, changes and drains for the report and the checks.
type eventLog struct {
	mu      sync.Mutex
	reports []EventReport
	changes []changeResult
	drains  []drainCheck
}

// changeResult is the outcome of one change of the configuration.
type changeResult struct {
	revision model.Revision
	latency  time.Duration
	// adoptionTime is the time from the proposal until every running entry VM had
	// adopted the change, limited by adoptionLimit.
	adoptionTime time.Duration
	err          error
}

// drainCheck holds the number of requests that a drained server had started when
// drainLimit was over.
type drainCheck struct {
	server        *backendServer
	startedBefore int
}

// add records an event at a time since the start of the load.
func (l *eventLog) add(at time.Duration, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, EventReport{AtMS: at.Milliseconds(), Description: text})
}

// runEvent waits until an event is due, records it and executes it.
func (r *run) runEvent(ctx context.Context, e Event) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Until(r.started.Add(e.At))):
	}
	r.events.add(time.Since(r.started), string(e.Action)+" "+e.Target)
	r.execute(ctx, e)
}

// execute executes the action of an event.
func (r *run) execute(ctx context.Context, e Event) {
	switch e.Action {
	case ActionKillVM:
		r.fleet.killEntryVM(r.vmFor(e))
	case ActionStopVM:
		r.stopVM(ctx, r.vmFor(e))
	case ActionKillRegion:
		r.killRegion(e.Repetition)
	case ActionBounceRegion:
		r.killAndReplaceRegion(ctx, e)
	case ActionRollingRestart:
		r.restartAll(ctx)
	case ActionSilenceServers:
		r.forEveryThirdServer(func(s *backendServer) { s.server().Silence() })
	case ActionMisleadReports:
		r.forEveryThirdServer(func(s *backendServer) { s.server().SetLoadOverride(func(float64) float64 { return 0 }) })
	case ActionStopReports:
		r.stopReports()
	case ActionStoreDown:
		r.fleet.store.SetDown(platformstandin.AllClients, true)
	case ActionStoreSlow:
		r.fleet.store.SetDelay(platformstandin.AllClients, slowStoreDelay)
	case ActionAnswerLost:
		r.fleet.store.DropResponses(platformstandin.AllClients, lostAnswerCount)
		r.raceOperators(ctx, 20)
	case ActionPauseLeaseHolder:
		r.expireLeases(ctx, e.Duration)
	case ActionCutZone:
		r.partition(ctx, e.Duration, r.zones[len(r.zones)-1-e.Repetition:len(r.zones)-e.Repetition])
	case ActionCutRegion:
		r.partition(ctx, e.Duration, r.zones[len(r.zones)-zonesPerRegion:])
	case ActionDrainZone:
		r.drain(ctx, config.DrainZone, string(r.zones[len(r.zones)-1]), r.serversIn(r.zones[len(r.zones)-1]))
	case ActionDrainServer:
		s := r.fleet.servers[0]
		r.drain(ctx, config.DrainServer, string(s.id), []*backendServer{s})
	case ActionRaceOperators:
		r.raceOperators(ctx, 100)
	}
}

// vmFor returns the entry VM that is the target of an event. Each repetition has
// the next one as its target.
func (r *run) vmFor(e Event) model.VMID {
	first := 0
	if e.Target == targetSecondVM {
		first = 3
	}
	return r.fleet.vmIDs[(first+e.Repetition)%len(r.fleet.vmIDs)]
}

// stopVM stops an entry VM gracefully and records how long that took.
func (r *run) stopVM(ctx context.Context, vm model.VMID) {
	started := time.Now()
	err := r.fleet.stopEntryVM(context.WithoutCancel(ctx), vm)
	text := "stopped " + string(vm) + " after " + time.Since(started).Round(time.Millisecond).String()
	if err != nil {
		text += ": " + err.Error()
	}
	r.events.add(time.Since(r.started), text)
}

// regionFor returns the region that a repetition of an event has as its target,
// counted from the last one backwards.
func (r *run) regionFor(repetition int) model.Region {
	regions := r.options.Deployment.Regions
	return regions[(2*len(regions)-1-repetition)%len(regions)]
}

// killRegion kills every entry VM and backend server of regionFor(repetition).
func (r *run) killRegion(repetition int) {
	region := r.regionFor(repetition)
	for _, e := range r.fleet.runningEntryVMs() {
		if e.region == region {
			r.fleet.killEntryVM(e.slot.VM)
		}
	}
	for _, s := range r.fleet.servers {
		if r.fleet.net.regions[s.zone] == region {
			r.fleet.killServer(s)
		}
	}
}

// killAndReplaceRegion kills a region and replaces its backend servers and entry
// VMs after the duration of the event.
func (r *run) killAndReplaceRegion(ctx context.Context, e Event) {
	r.killRegion(e.Repetition)
	select {
	case <-ctx.Done():
		return
	case <-time.After(e.Duration):
	}
	region := r.regionFor(e.Repetition)
	if err := r.fleet.replaceServers(region); err != nil {
		r.events.add(time.Since(r.started), "not replaced: "+err.Error())
		return
	}
	for _, vm := range r.fleet.vmIDs {
		if e := r.fleet.entries[vm]; e.region == region {
			r.replaceEntryVM(ctx, e)
		}
	}
}

// replaceEntryVM starts a new process on an entry VM and records the result.
func (r *run) replaceEntryVM(ctx context.Context, e *entryVM) {
	if err := r.fleet.startEntryVM(ctx, e); err != nil {
		r.events.add(time.Since(r.started), "not replaced: "+err.Error())
		return
	}
	r.events.add(time.Since(r.started), "replaced "+string(e.slot.VM))
}

// restartAll stops each entry VM in turn and starts a replacement.
func (r *run) restartAll(ctx context.Context) {
	for _, vm := range r.fleet.vmIDs {
		if ctx.Err() != nil {
			return
		}
		r.stopVM(ctx, vm)
		r.replaceEntryVM(ctx, r.fleet.entries[vm])
	}
}

// forEveryThirdServer calls f for a third of the backend servers.
func (r *run) forEveryThirdServer(f func(*backendServer)) {
	for i, s := range r.fleet.servers {
		if i%3 == 0 {
			f(s)
		}
	}
}

// stopReports stops the load reports of all backend servers.
func (r *run) stopReports() {
	for _, s := range r.fleet.servers {
		s.server().StopHealthReports()
	}
}

// serversIn returns the backend servers of a zone.
func (r *run) serversIn(zone model.Zone) []*backendServer {
	var list []*backendServer
	for _, s := range r.fleet.servers {
		if s.zone == zone {
			list = append(list, s)
		}
	}
	return list
}

// expireLeases expires all leases every leaseExpiryInterval for a duration.
func (r *run) expireLeases(ctx context.Context, duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		r.fleet.store.ExpireLeases(platformstandin.AllClients)
		time.Sleep(leaseExpiryInterval)
	}
}

// partition cuts the isolated zones off from all others and from the store for a
// duration.
func (r *run) partition(ctx context.Context, duration time.Duration, isolated []model.Zone) {
	r.setPartition(isolated, true)
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
	r.setPartition(isolated, false)
	r.events.add(time.Since(r.started), "healed")
}

// setPartition starts or ends the partition of the isolated zones.
func (r *run) setPartition(isolated []model.Zone, cut bool) {
	isIsolated := make(map[model.Zone]bool)
	for _, z := range isolated {
		isIsolated[z] = true
	}
	for _, a := range isolated {
		for _, b := range r.zones {
			if !isIsolated[b] {
				r.fleet.net.setCut(a, b, cut)
			}
		}
	}
	for _, vm := range r.fleet.vmIDs {
		if isIsolated[r.fleet.entries[vm].slot.Zone] {
			r.fleet.store.SetPartitioned(string(vm), cut)
		}
	}
}

// drain proposes a drain that starts after drainLeadTime. When drainLimit is over
// it records how many requests the drained servers have started so far.
func (r *run) drain(ctx context.Context, kind config.DrainKind, target string, servers []*backendServer) {
	start := time.Now().Add(drainLeadTime)
	change := config.Change{
		ID:       r.fleet.changeID(),
		Operator: "demo",
		Drains:   []config.Drain{{ID: "demo-drain", Kind: kind, Target: target, Start: start, End: start.Add(time.Hour)}},
	}
	if !r.proposeChange(ctx, r.fleet.runningEntryVMs()[1], change) {
		return
	}
	time.Sleep(time.Until(start.Add(drainLimit)))
	r.events.mu.Lock()
	defer r.events.mu.Unlock()
	for _, s := range servers {
		r.events.drains = append(r.events.drains, drainCheck{server: s, startedBefore: s.server().Counts().Started})
	}
}

// proposeChange proposes a change, records its outcome and reports whether it was
// accepted.
func (r *run) proposeChange(ctx context.Context, e *entryVM, c config.Change) bool {
	started := time.Now()
	result, err := r.fleet.propose(context.WithoutCancel(ctx), e, c)
	outcome := changeResult{revision: result.Revision, latency: time.Since(started), err: err}
	if err == nil {
		outcome.adoptionTime = r.awaitAdoption(ctx, started, result.Revision)
	}
	r.events.mu.Lock()
	defer r.events.mu.Unlock()
	r.events.changes = append(r.events.changes, outcome)
	return err == nil
}

// awaitAdoption waits until a revision is in force at every running entry VM and
// returns the time since started. It gives up after adoptionLimit.
func (r *run) awaitAdoption(ctx context.Context, started time.Time, revision model.Revision) time.Duration {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), adoptionLimit)
	defer cancel()
	_ = r.fleet.awaitRevision(ctx, revision)
	return time.Since(started)
}

// raceOperators runs two operators concurrently, with count changes of accounts
// each. Every fifth change of both is to the same account.
func (r *run) raceOperators(ctx context.Context, count int) {
	var operators sync.WaitGroup
	for n := range 2 {
		operators.Go(func() { r.runOperator(ctx, n, count) })
	}
	operators.Wait()
}

// runOperator proposes count changes of shift caps, at a different running entry VM
// each time.
func (r *run) runOperator(ctx context.Context, operator, count int) {
	d := r.options.Deployment
	for i := range count {
		live := r.fleet.runningEntryVMs()
		e := live[(operator*3+i)%len(live)]
		service, err := configService(e)
		if err != nil || service.Current() == nil || ctx.Err() != nil {
			return
		}
		accountIdx := operator
		if i%5 == 0 {
			accountIdx = len(d.Accounts) - 1
		}
		account, ok := service.Current().Account(d.Accounts[accountIdx])
		if !ok {
			return
		}
		edited := withShiftCap(*account, int64(shiftCap+i))
		r.proposeChange(ctx, e, config.Change{
			ID:       r.fleet.changeID(),
			Operator: []string{"anna", "bert"}[operator],
			Base:     service.Current().Revision(),
			Accounts: []config.Account{edited},
		})
	}
}

// withShiftCap returns a copy of the account with the shift cap of its first service
// set to limit.
func withShiftCap(a config.Account, limit int64) config.Account {
	a.Services = append([]config.AccountService(nil), a.Services...)
	a.Services[0].ShiftCap = &limit
	return a
}
