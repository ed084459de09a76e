package demo

import (
	"context"
	"sync"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/quota"
)

// observeInterval is how often entry VMs and backend servers are sampled.
const observeInterval = 50 * time.Millisecond

// observations holds what was measured at entry VMs and backend servers during a
// run. Time series have one value per usageStep.
type observations struct {
	mu      sync.Mutex
	started time.Time
	// shifts counts the requests that ran outside their home zone, by shift cap.
	shifts map[quota.Key][]int64
	// revisions holds the last revision sampled at each entry VM.
	revisions       map[model.VMID]model.Revision
	reverts         int
	revisionSamples int
	// shed counts the requests that the servers of each region refused.
	shed     map[model.Region][]int64
	lastShed map[model.ServerID]int
	starts   int
}

// newObservations returns empty observations whose series start now.
func newObservations() *observations {
	return &observations{
		started:   time.Now(),
		shifts:    make(map[quota.Key][]int64),
		revisions: make(map[model.VMID]model.Revision),
		shed:      make(map[model.Region][]int64),
		lastShed:  make(map[model.ServerID]int),
	}
}

// recordStart records that a backend server in zone starts to run the request with
// the encoded id order. Ids of another format are ignored.
func (o *observations) recordStart(zone model.Zone, order string) {
	id, ok := parseOrderID(order)
	if !ok {
		return
	}
	at := int(time.Since(o.started) / usageStep)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts++
	if id.home == zone {
		return
	}
	key := quota.ShiftKey(id.account, id.service, id.home)
	o.shifts[key] = addAt(o.shifts[key], at, 1)
}

// observe samples entry VMs and backend servers until ctx ends or the returned
// function is called, which waits for the last sample.
func (r *run) observe(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			r.sampleRevisions()
			r.sampleServers()
			time.Sleep(observeInterval)
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// sampleRevisions records the revision in force at each running entry VM.
func (r *run) sampleRevisions() {
	for _, e := range r.fleet.runningEntryVMs() {
		service, err := configService(e)
		if err != nil || service.Current() == nil {
			continue
		}
		r.observed.recordRevision(e.slot.VM, service.Current().Revision())
	}
}

// recordRevision records a sampled revision, and a revert if it is lower than the
// one before.
func (o *observations) recordRevision(vm model.VMID, revision model.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revisionSamples++
	if revision < o.revisions[vm] {
		o.reverts++
	}
	o.revisions[vm] = revision
}

// sampleServers records how many requests each backend server has refused.
func (r *run) sampleServers() {
	for _, s := range r.fleet.servers {
		r.observed.recordShed(r.fleet.net.regions[s.zone], s.id, s.server().Counts().Shed)
	}
}

// recordShed records the increase of a server's count of refused requests. The count
// starts again at zero when the server is replaced.
func (o *observations) recordShed(region model.Region, id model.ServerID, total int) {
	at := int(time.Since(o.started) / usageStep)
	o.mu.Lock()
	defer o.mu.Unlock()
	if total < o.lastShed[id] {
		o.lastShed[id] = 0
	}
	o.shed[region] = addAt(o.shed[region], at, int64(total-o.lastShed[id]))
	o.lastShed[id] = total
}
