package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fuchsiaspar/internal/model"
)

// mutation is a deliberate defect of the system under test, which the oracle must
// detect. The text names the subtest.
type mutation string

const (
	mutationNone         mutation = ""
	mutationDoubleGrant  mutation = "one grant to two borrowers"
	mutationLateExpiry   mutation = "expiry counted from the reply"
	mutationNoSettling   mutation = "new lender lends immediately"
	mutationStaleHolder  mutation = "paused holder keeps lending"
	mutationNoWindow     mutation = "expired grants not counted"
	mutationNoChangeover mutation = "raised floors effective immediately"
	mutationNoProcess    mutation = "processes of one VM not distinguished"
	mutationNoConfirm    mutation = "old configuration trusted indefinitely"
)

var allMutations = []mutation{
	mutationDoubleGrant, mutationLateExpiry, mutationNoSettling,
	mutationStaleHolder, mutationNoWindow, mutationNoChangeover, mutationNoProcess, mutationNoConfirm,
}

// Sizes and timing of the simulated deployment.
const (
	simVMs             = 6
	simStep            = 20 * time.Millisecond
	simLeaseTTL        = 2 * time.Second
	simRequestInterval = 160 * time.Millisecond
	simRenewInterval   = 600 * time.Millisecond
	simRetryInterval   = 300 * time.Millisecond
	lossPercent        = 5
	slowPercent        = 5
	slowDelay          = 3 * time.Second
	usualDelay         = 40 * time.Millisecond
	forever            = 1000 * time.Hour
)

var (
	simTiming = Timing{GrantTTL: time.Second, MaxPropagation: 800 * time.Millisecond}
	simEpoch  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	simKeys   = []Key{ShiftKey("a", "s", "z"), LinkKey("r", "q")}
)

// simConfig is one committed configuration.
type simConfig struct {
	at        time.Duration
	perSecond int64
	slots     int
}

// simMessage is a request, or a reply if reply is not nil, in flight between two
// VMs.
type simMessage struct {
	arrives time.Duration
	from    int
	to      int
	// sent is the time of the request on the borrower's clock.
	sent  time.Time
	req   GrantRequest
	reply *GrantReply
}

// simVM is one process of an entry VM. Its clock is ahead of the world's by
// skew.
type simVM struct {
	// id is the index in world.vms, slot that of the provisioned VM.
	id            int
	slot          int
	skew          time.Duration
	processID     uint64
	limiter       *Limiter
	lender        *Lender
	adoptedConfig int
	// The VM is paused and partitioned until these times of the world.
	pausedUntil, partitionedUntil time.Duration
	generatesLoad                 bool
	nextRequest                   time.Duration
	nextRenew                     time.Duration
	// leaseEpoch identifies the lease that the VM assumes it holds; 0 is none.
	leaseEpoch uint64
	// adoptDelay is how long the VM takes to adopt the next configuration.
	adoptDelay time.Duration
}

// world simulates VMs, network, store and operators on one clock, and checks that
// the units used stay within the caps.
type world struct {
	mutation mutation
	rng      *rand.Rand
	now      time.Duration
	vms      []*simVM
	configs  []simConfig
	inFlight []simMessage
	// The fields up to leaseExpires are the state of the store.
	storeDownUntil time.Duration
	leaseHolder    int
	leaseEpoch     uint64
	leaseExpires   time.Duration
	slotsChangedAt time.Duration
	usage          map[Key]*usageLog
	violation      error
}

func newWorld(seed uint64, m mutation) *world {
	w := &world{
		mutation: m,
		rng:      rand.New(rand.NewPCG(seed, 7)),
		now:      time.Hour,
		usage:    make(map[Key]*usageLog),
	}
	for _, k := range simKeys {
		w.usage[k] = &usageLog{}
	}
	w.configs = []simConfig{{at: w.now, perSecond: 120, slots: 4}}
	w.slotsChangedAt = w.now
	for i := range simVMs {
		vm := &simVM{id: i, slot: i, skew: time.Duration(w.rng.Int64N(int64(time.Hour))), generatesLoad: true}
		w.vms = append(w.vms, vm)
		w.restart(vm)
	}
	return w
}

// clock returns the time by the clock of a VM.
func (w *world) clock(vm *simVM) time.Time { return simEpoch.Add(w.now + vm.skew) }

// restart replaces the process of a VM by a new one without state.
func (w *world) restart(vm *simVM) {
	required := w.mutation != mutationNoConfirm
	vm.limiter = NewLimiter(vmID(vm.slot), LimiterOptions{Timing: simTiming, RequireConfirm: required})
	vm.lender = NewLender(LenderOptions{Timing: simTiming, RequireConfirm: required})
	vm.leaseEpoch = 0
	vm.pausedUntil = 0
	if w.mutation != mutationNoProcess {
		vm.processID++
	}
	w.adopt(vm, len(w.configs)-1)
}

// replace starts a new process for the slot of a VM. The old process continues to
// run, but partitioned from the store and from the other VMs.
func (w *world) replace(vm *simVM) {
	if len(w.vms) == 2*simVMs {
		return
	}
	old := *vm
	old.id = len(w.vms)
	old.partitionedUntil = forever
	w.vms = append(w.vms, &old)
	w.restart(vm)
}

func vmID(i int) model.VMID { return model.VMID(fmt.Sprint("vm-", i)) }

// adopt applies a configuration to one VM.
func (w *world) adopt(vm *simVM, index int) {
	c := w.configs[index]
	vm.adoptedConfig = index
	vm.adoptDelay = time.Duration(w.rng.Int64N(int64(simTiming.MaxPropagation)))
	caps := make([]Cap, 0, len(simKeys))
	for _, k := range simKeys {
		caps = append(caps, Cap{Key: k, PerSecond: c.perSecond, NoFloor: vm.slot >= c.slots})
	}
	vm.limiter.SetCaps(w.clock(vm), c.slots, caps)
	vm.lender.SetCaps(w.clock(vm), c.slots, caps)
	if w.mutation == mutationNoChangeover {
		for _, m := range *vm.limiter.meters.Load() {
			m.floor.superseded = nil
		}
	}
}

// confirm confirms the configuration of a VM for simTiming.MaxPropagation, if it
// is the newest and the VM is not partitioned.
func (w *world) confirm(vm *simVM) {
	if vm.adoptedConfig != len(w.configs)-1 || w.now < vm.partitionedUntil || w.mutation == mutationNoConfirm {
		return
	}
	until := w.clock(vm).Add(simTiming.MaxPropagation)
	vm.limiter.ConfirmUntil(w.clock(vm), until)
	vm.lender.ConfirmUntil(w.clock(vm), until)
}

// run advances the world by d, or to the first violation, which it returns.
func (w *world) run(d time.Duration) error {
	for end := w.now + d; w.now < end && w.violation == nil; {
		w.now += simStep
		w.deliver()
		for _, vm := range w.vms {
			if w.now >= vm.pausedUntil {
				w.stepVM(vm)
			}
		}
	}
	return w.violation
}

// stepVM runs one step of a VM that is not paused.
func (w *world) stepVM(vm *simVM) {
	w.adoptLatest(vm)
	w.confirm(vm)
	w.maintainLease(vm)
	w.requestGrants(vm)
	w.takeAll(vm)
}

// adoptLatest adopts the newest configuration once the VM's delay, which is less
// than simTiming.MaxPropagation, has passed.
func (w *world) adoptLatest(vm *simVM) {
	latest := len(w.configs) - 1
	if vm.adoptedConfig == latest || w.now < vm.partitionedUntil {
		return
	}
	committed := w.configs[vm.adoptedConfig+1].at
	if w.now >= committed+vm.adoptDelay {
		w.adopt(vm, latest)
	}
}

// maintainLease renews the lease that the VM assumes it holds, or may acquire it
// if it is free.
func (w *world) maintainLease(vm *simVM) {
	if w.now < vm.nextRenew || w.now < vm.partitionedUntil || w.now < w.storeDownUntil {
		return
	}
	vm.nextRenew = w.now + simRenewInterval
	free := w.now >= w.leaseExpires
	if vm.leaseEpoch != 0 {
		w.renewLease(vm, free)
		return
	}
	if free && w.rng.IntN(2) == 0 {
		w.takeLease(vm)
	}
}

func (w *world) renewLease(vm *simVM, expired bool) {
	if expired || w.leaseEpoch != vm.leaseEpoch {
		vm.leaseEpoch = 0
		w.loseLease(vm)
		return
	}
	w.leaseExpires = w.now + simLeaseTTL
	if w.rng.IntN(100) >= lossPercent {
		vm.lender.LeaseRenewed(w.clock(vm), w.clock(vm).Add(simLeaseTTL))
	}
	if !vm.lender.HoldsLease(w.clock(vm)) {
		vm.leaseEpoch = 0
	}
}

func (w *world) loseLease(vm *simVM) {
	if w.mutation != mutationStaleHolder {
		vm.lender.LeaseLost()
	}
}

func (w *world) takeLease(vm *simVM) {
	w.leaseHolder, w.leaseEpoch = vm.id, w.rng.Uint64()|1
	w.leaseExpires = w.now + simLeaseTTL
	vm.leaseEpoch = w.leaseEpoch
	now, until := w.clock(vm), w.clock(vm).Add(simLeaseTTL)
	if w.mutation == mutationNoSettling {
		now = now.Add(-simTiming.Settling())
	}
	if w.mutation == mutationStaleHolder {
		until = until.Add(time.Hour)
	}
	vm.lender.LeaseAcquired(now, until, w.leaseEpoch)
}

// requestGrants sends the VM's demands to every VM that has been the lender since
// it started, so that a paused holder gets requests as well as its successor.
func (w *world) requestGrants(vm *simVM) {
	if w.now < vm.nextRequest {
		return
	}
	vm.nextRequest = w.now + simRequestInterval
	demands := vm.limiter.Demands(w.clock(vm))
	for _, holder := range w.vms {
		epoch := holder.lender.Epoch()
		if epoch == 0 {
			continue
		}
		req := GrantRequest{Epoch: epoch, ProcessID: vm.processID, Demands: demands}
		if holder == vm {
			reply := vm.lender.Lend(w.clock(vm), vmID(vm.slot), req)
			w.addGrants(vm, simMessage{sent: w.clock(vm), req: req, reply: &reply})
			continue
		}
		if w.now < vm.partitionedUntil || w.now < holder.partitionedUntil {
			continue
		}
		w.send(simMessage{from: vm.id, to: holder.id, sent: w.clock(vm), req: req})
	}
}

// send sends a message with a random delay, or drops it.
func (w *world) send(m simMessage) {
	if w.rng.IntN(100) < lossPercent {
		return
	}
	delay := usualDelay
	if w.rng.IntN(100) < slowPercent {
		delay = slowDelay
	}
	m.arrives = w.now + time.Duration(w.rng.Int64N(int64(delay)))
	w.inFlight = append(w.inFlight, m)
}

// deliver handles the messages that have arrived. Those to paused VMs wait, those
// to partitioned VMs are dropped.
func (w *world) deliver() {
	queued := w.inFlight
	w.inFlight = nil
	for _, m := range queued {
		to := w.vms[m.to]
		if w.now < m.arrives || w.now < to.pausedUntil {
			w.inFlight = append(w.inFlight, m)
			continue
		}
		if w.now < to.partitionedUntil {
			continue
		}
		if m.reply == nil {
			w.serve(to, m)
			continue
		}
		w.addGrants(to, m)
	}
}

func (w *world) serve(lender *simVM, m simMessage) {
	if w.mutation == mutationNoWindow {
		dropEndedGrants(lender.lender, w.clock(lender))
	}
	reply := lender.lender.Lend(w.clock(lender), vmID(w.vms[m.from].slot), m.req)
	w.send(simMessage{from: lender.id, to: m.from, sent: m.sent, req: m.req, reply: &reply})
}

// dropEndedGrants removes grants when they expire instead of a Window later.
func dropEndedGrants(l *Lender, now time.Time) {
	for _, p := range l.pools {
		for _, b := range p.borrowers {
			p.lent -= b.counted
			b.prune(now.Add(Window))
			p.lent += b.counted
		}
	}
}

func (w *world) addGrants(vm *simVM, m simMessage) {
	if m.req.ProcessID != vm.processID {
		return
	}
	sent := m.sent
	if w.mutation == mutationLateExpiry {
		sent = w.clock(vm)
	}
	for _, grant := range m.reply.Grants {
		vm.limiter.AddGrant(w.clock(vm), Grant{Key: grant.Key, Rate: grant.Rate, Expires: sent.Add(grant.Remaining)})
		if w.mutation == mutationDoubleGrant {
			other := w.vms[(vm.id+1)%simVMs]
			other.limiter.AddGrant(w.clock(other), Grant{Key: grant.Key, Rate: grant.Rate, Expires: w.clock(other).Add(grant.Remaining)})
		}
	}
}

// takeAll uses all units that the VM's limiter allows, at a random priority per
// key.
func (w *world) takeAll(vm *simVM) {
	if !vm.generatesLoad {
		return
	}
	for _, key := range simKeys {
		p := model.Priority(w.rng.IntN(model.NumPriorities))
		n := vm.limiter.TakeUpToPriority(w.clock(vm), key, 1<<20, p)
		if vm.limiter.TakePriority(w.clock(vm), key, 1, p) {
			n++
		}
		w.recordUsage(key, n)
	}
}

// recordUsage records the use of n units and checks the cap.
func (w *world) recordUsage(key Key, n int64) {
	if n == 0 {
		return
	}
	sum := w.usage[key].add(w.now, n)
	if allowed := w.allowed(); sum > allowed && w.violation == nil {
		w.violation = fmt.Errorf("%d units of %v used in the second before %v, cap %d", sum, key, w.now, allowed)
	}
}

// allowed returns the highest cap that may still be in force: one that was
// current at some time in the last changeover.
func (w *world) allowed() int64 {
	since := w.now - simTiming.Changeover()
	highest := w.configs[len(w.configs)-1].perSecond
	for i := len(w.configs) - 2; i >= 0 && w.configs[i+1].at >= since; i-- {
		highest = max(highest, w.configs[i].perSecond)
	}
	return highest
}

// usageLog sums the units that all VMs used in the trailing second, including
// both ends.
type usageLog struct {
	samples    []usageSample
	sum, total int64
}

// usageSample is the number of units that one VM used at one time.
type usageSample struct {
	at time.Duration
	n  int64
}

func (l *usageLog) add(now time.Duration, n int64) int64 {
	l.samples = append(l.samples, usageSample{at: now, n: n})
	l.sum += n
	l.total += n
	for l.samples[0].at < now-Window {
		l.sum -= l.samples[0].n
		l.samples = l.samples[1:]
	}
	return l.sum
}
