package accountlimit

import (
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

const (
	// departedRetention is how long a VM still counts that is not heard and that neither
	// the store nor gossip names any more. It may be alive and cut off from all of them.
	departedRetention = 10 * time.Second
	// fenceDelay is how long a minority that the store does not confirm uses its part of
	// the limits. It ends before a majority stops counting it: a record lapses only 2 s
	// or more after the last time at which its VM could renew it.
	fenceDelay = 8 * time.Second
	// maxCopyAge is the age up to which a copy of the store confirms this VM's record.
	maxCopyAge = 3 * time.Second
	// deafDelay is how long a VM that is alive according to others must be silent here
	// before the link to it counts as cut. Gossip takes as long to notice a dead VM.
	deafDelay = 3 * time.Second
	// maxUnheard is the part of the VMs up to which those that are alive and not heard count
	// as cut off by single links. Gossip takes seconds to notice a partition.
	maxUnheard = 0.15
	// settleTime is how long a new process must have known the VMs that the store lists
	// before it relies on them: VMs that start together write their records meanwhile.
	// maxSettleTime ends the wait without the store.
	settleTime    = 700 * time.Millisecond
	maxSettleTime = 4 * time.Second
	// unsettledTotal is the least number of VMs that a new process assumes before that.
	// After a restart of all, each finds few of the others at first.
	unsettledTotal = 64
	// strongVM is the part of the strongest VM's link and processor from which on look-ups
	// name a VM to clients. Weaker ones get few requests, and weakWeight as their weight.
	strongVM   = 0.45
	weakWeight = 0.15
)

// View is what a VM knows about the others.
type View struct {
	// Records are the VMs with a record in the store, as of CopyAge ago.
	Records map[model.VMID]catalog.VM
	CopyAge time.Duration
	// Alive are the VMs that are alive according to gossip.
	Alive []catalog.VM
	// LastHeard returns when another VM last sent a report, zero if it never did.
	LastHeard func(model.VMID) time.Time
}

// Reach decides how many VMs are in contact with this one and how many may be alive. It
// is not safe for concurrent use.
type Reach struct {
	self      model.VMID
	startedAt time.Time
	// process is the start of this process as its record in the store states it.
	process int64
	// evidence is when each VM was last heard, or named by the store or by gossip.
	evidence map[model.VMID]evidence
	// confirmedAt is when the store last confirmed this VM, or a majority was heard.
	confirmedAt time.Time
	// settled reports that the VMs known are taken to be all. listedSince is when a
	// current copy of the store first listed VMs; zero until then.
	settled     bool
	listedSince time.Time
}

// NewReach returns a Reach for a process that starts now. process is the start that its
// record states.
func NewReach(self model.VMID, process int64, now time.Time) *Reach {
	return &Reach{self: self, process: process, startedAt: now, evidence: map[model.VMID]evidence{}, confirmedAt: now}
}

// evidence is what shows that a VM may be alive.
type evidence struct {
	vm   catalog.VM
	seen time.Time
}

// Update returns the argument for Limiter.SetReach.
func (r *Reach) Update(v View, now time.Time) Contact {
	for name, vm := range v.Records {
		r.evidence[name] = evidence{vm, now}
	}
	alive := make(map[model.VMID]bool, len(v.Alive))
	for _, vm := range v.Alive {
		alive[vm.Name], r.evidence[vm.Name] = true, evidence{vm, now}
	}
	strongest := r.strongest()
	own := weight(r.evidence[r.self].vm, strongest)
	strong, weak := 0, 0
	count := func(weight float64) {
		if weight < 1 {
			weak++
		} else {
			strong++
		}
	}
	count(own)
	c := Contact{Heard: 1, Total: 1}
	deaf, departed := 0, 0
	for name, e := range r.evidence {
		if name == r.self {
			continue
		}
		last := v.LastHeard(name)
		c.Total++
		if age := now.Sub(last); age >= contactTimeout && age < deafDelay && alive[name] {
			c.Unheard = append(c.Unheard, name)
		}
		switch {
		case now.Sub(last) < contactTimeout:
			c.Heard++
			count(weight(e.vm, strongest))
			r.evidence[name] = evidence{e.vm, now}
		case alive[name] && !last.IsZero() && now.Sub(last) >= deafDelay && len(v.Alive) > 1:
			deaf++
		case now.Sub(e.seen) >= departedRetention:
			departed++
		}
	}
	c.Part = own / (float64(strong) + weakWeight*float64(weak))
	if float64(len(c.Unheard)) > maxUnheard*float64(c.Total) {
		// A partition, which the reach accounts for.
		c.Unheard = nil
	}
	if 2*c.Heard > c.Total {
		r.confirmedAt = now
		c.Total -= departed
		r.forget(now)
	}
	if _, listed := v.Records[r.self]; listed && v.CopyAge < maxCopyAge {
		r.confirmedAt = now
	}
	if 2*c.Heard < c.Total && now.Sub(r.confirmedAt) >= fenceDelay {
		return Contact{Total: c.Total}
	}
	// VMs that don't hear each other although others hear both divide the limits.
	c.Total = max(c.Total, c.Heard*(1+deaf))
	r.settle(&c, v, now)
	return c
}

// strongest returns the widest link and the largest share of a processor among the VMs.
func (r *Reach) strongest() (vm catalog.VM) {
	for _, e := range r.evidence {
		vm.LinkMbps, vm.CPUShare = max(vm.LinkMbps, e.vm.LinkMbps), max(vm.CPUShare, e.vm.CPUShare)
	}
	return vm
}

// weight returns the weight of a VM among those that may send unexpected requests.
func weight(vm, strongest catalog.VM) float64 {
	if vm.LinkMbps > 0 && vm.LinkMbps < strongVM*strongest.LinkMbps || vm.CPUShare > 0 && vm.CPUShare < strongVM*strongest.CPUShare {
		return weakWeight
	}
	return 1
}

// forget drops the VMs that no longer count.
func (r *Reach) forget(now time.Time) {
	for name, e := range r.evidence {
		if now.Sub(e.seen) >= departedRetention {
			delete(r.evidence, name)
		}
	}
}

// settle raises the total until the process knows the other VMs.
func (r *Reach) settle(c *Contact, v View, now time.Time) {
	if r.settled {
		return
	}
	if r.listedSince.IsZero() && len(v.Records) > 0 && v.CopyAge < maxCopyAge {
		r.listedSince = now
	}
	listed := !r.listedSince.IsZero() && now.Sub(r.listedSince) >= settleTime
	if record, ok := v.Records[r.self]; ok && record.Started != r.process && v.CopyAge < maxCopyAge {
		// The list is from before this start, when all VMs had written their records.
		listed = true
	}
	if listed || now.Sub(r.startedAt) >= maxSettleTime {
		r.settled = true
		return
	}
	c.Total = max(c.Total, unsettledTotal)
}
