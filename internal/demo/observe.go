package demo

import (
	"context"
	"sync"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/quota"
)

// observePeriod is how often revisions and servers are looked at.
const observePeriod = 50 * time.Millisecond

// observations are what was seen at entry VMs and backend servers during a
// run, apart from the code under test.
type observations struct {
	mu      sync.Mutex
	started time.Time
	// shifts counts runs away from home for each cap, in steps.
	shifts map[quota.Key][]int64
	// revisions holds the newest revision seen at each entry VM.
	revisions map[model.VMID]model.Revision
	reverts   int
	looks     int
	// shed counts refusals of each region's servers, in steps.
	shed     map[model.Region][]int64
	lastShed map[model.ServerID]int
	starts   int
}

func newObservations() *observations {
	return &observations{
		started:   time.Now(),
		shifts:    make(map[quota.Key][]int64),
		revisions: make(map[model.VMID]model.Revision),
		shed:      make(map[model.Region][]int64),
		lastShed:  make(map[model.ServerID]int),
	}
}

// noteStart is called by a backend server in zone when it begins to run order.
func (o *observations) noteStart(zone model.Zone, order string) {
	id, ok := parseOrder(order)
	if !ok {
		return
	}
	at := int(time.Since(o.started) / step)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts++
	if id.home == zone {
		return
	}
	key := quota.ShiftKey(id.account, id.service, id.home)
	o.shifts[key] = addAt(o.shifts[key], at, 1)
}

// observe looks at entry VMs and servers until the returned function is
// called.
func (r *run) observe(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var looking sync.WaitGroup
	looking.Go(func() {
		for ctx.Err() == nil {
			r.lookAtRevisions()
			r.lookAtServers()
			time.Sleep(observePeriod)
		}
	})
	return func() {
		cancel()
		looking.Wait()
	}
}

func (r *run) lookAtRevisions() {
	for _, e := range r.fleet.live() {
		service, err := configOf(e)
		if err != nil || service.Current() == nil {
			continue
		}
		r.seen.noteRevision(e.slot.VM, service.Current().Revision())
	}
}

func (o *observations) noteRevision(vm model.VMID, revision model.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.looks++
	if revision < o.revisions[vm] {
		o.reverts++
	}
	o.revisions[vm] = revision
}

func (r *run) lookAtServers() {
	for _, s := range r.fleet.servers {
		r.seen.noteShed(r.fleet.net.regions[s.zone], s.id, s.server().Counts().Shed)
	}
}

func (o *observations) noteShed(region model.Region, id model.ServerID, total int) {
	at := int(time.Since(o.started) / step)
	o.mu.Lock()
	defer o.mu.Unlock()
	if total < o.lastShed[id] {
		o.lastShed[id] = 0
	}
	o.shed[region] = addAt(o.shed[region], at, int64(total-o.lastShed[id]))
	o.lastShed[id] = total
}
