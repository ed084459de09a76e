package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fuchsiaspar/internal/model"
)

// flaw names a deliberate fault of the system under test. The oracle must
// catch each of them.
type flaw string

const (
	flawNone         flaw = ""
	flawDoubleGrant  flaw = "one grant to two borrowers"
	flawLateExpiry   flaw = "expiry counted from the reply"
	flawNoSettling   flaw = "new lender lends at once"
	flawStaleHolder  flaw = "paused holder keeps lending"
	flawNoWindow     flaw = "ended grants not counted"
	flawNoChangeover flaw = "raised floors hold at once"
	flawNoProcess    flaw = "processes of one VM not told apart"
	flawNoConfirm    flaw = "old configuration trusted for good"
)

var allFlaws = []flaw{
	flawDoubleGrant, flawLateExpiry, flawNoSettling,
	flawStaleHolder, flawNoWindow, flawNoChangeover, flawNoProcess, flawNoConfirm,
}

// Sizes of the simulated deployment.
const (
	simVMs      = 6
	simStep     = 20 * time.Millisecond
	simLeaseTTL = 2 * time.Second
	simAsk      = 160 * time.Millisecond
	simRenew    = 600 * time.Millisecond
	simPatience = 300 * time.Millisecond
	lostPercent = 5
	slowPercent = 5
	slowest     = 3 * time.Second
	usual       = 40 * time.Millisecond
	forever     = 1000 * time.Hour
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

// simMessage is a request or a reply on its way.
type simMessage struct {
	arrives time.Duration
	from    int
	to      int
	// sent is the time of the request on the borrower's clock.
	sent  time.Time
	req   GrantRequest
	reply *GrantReply
}

// simVM is one entry VM. Its clock differs from the world's by skew.
type simVM struct {
	// id is the index in the world, slot that of the provisioned VM.
	id      int
	slot    int
	skew    time.Duration
	process uint64
	ledger  *Limiter
	lender  *Lender
	adopted int
	// paused and cut end at these world times.
	paused, cut time.Duration
	hungry      bool
	nextAsk     time.Duration
	nextRenew   time.Duration
	// leaseEpoch names the lease that the VM believes it holds.
	leaseEpoch uint64
	// delays holds how long the VM takes to adopt each configuration.
	adoptDelay time.Duration
}

// world simulates VMs, network, store and operators on one clock, and logs
// what is spent.
type world struct {
	flaw    flaw
	rng     *rand.Rand
	now     time.Duration
	vms     []*simVM
	configs []simConfig
	mail    []simMessage
	// The store's view of the lease.
	storeDown   time.Duration
	leaseHolder int
	leaseEpoch  uint64
	leaseEnds   time.Duration
	slotsSetAt  time.Duration
	logs        map[Key]*spendLog
	violation   error
}

func newWorld(seed uint64, f flaw) *world {
	w := &world{
		flaw: f,
		rng:  rand.New(rand.NewPCG(seed, 7)),
		now:  time.Hour,
		logs: make(map[Key]*spendLog),
	}
	for _, k := range simKeys {
		w.logs[k] = &spendLog{}
	}
	w.configs = []simConfig{{at: w.now, perSecond: 120, slots: 4}}
	w.slotsSetAt = w.now
	for i := range simVMs {
		vm := &simVM{id: i, slot: i, skew: time.Duration(w.rng.Int64N(int64(time.Hour))), hungry: true}
		w.vms = append(w.vms, vm)
		w.restart(vm)
	}
	return w
}

// clock returns the time on a VM's own clock.
func (w *world) clock(vm *simVM) time.Time { return simEpoch.Add(w.now + vm.skew) }

// restart replaces a VM's process. Nothing of the old one is kept.
func (w *world) restart(vm *simVM) {
	required := w.flaw != flawNoConfirm
	vm.ledger = NewLimiter(vmID(vm.slot), LimiterOptions{Timing: simTiming, RequireConfirm: required})
	vm.lender = NewLender(LenderOptions{Timing: simTiming, RequireConfirm: required})
	vm.leaseEpoch = 0
	vm.paused = 0
	if w.flaw != flawNoProcess {
		vm.process++
	}
	w.adopt(vm, len(w.configs)-1)
}

// replace starts a new process for a slot whose old one lives on, cut off from
// the store and from the other VMs.
func (w *world) replace(vm *simVM) {
	if len(w.vms) == 2*simVMs {
		return
	}
	old := *vm
	old.id = len(w.vms)
	old.cut = forever
	w.vms = append(w.vms, &old)
	w.restart(vm)
}

func vmID(i int) model.VMID { return model.VMID(fmt.Sprint("vm-", i)) }

// adopt applies a configuration at one VM.
func (w *world) adopt(vm *simVM, index int) {
	c := w.configs[index]
	vm.adopted = index
	vm.adoptDelay = time.Duration(w.rng.Int64N(int64(simTiming.MaxPropagation)))
	caps := make([]Cap, 0, len(simKeys))
	for _, k := range simKeys {
		caps = append(caps, Cap{Key: k, PerSecond: c.perSecond, NoFloor: vm.slot >= c.slots})
	}
	vm.ledger.SetCaps(w.clock(vm), c.slots, caps)
	vm.lender.SetCaps(w.clock(vm), c.slots, caps)
	if w.flaw == flawNoChangeover {
		for _, m := range *vm.ledger.meters.Load() {
			m.floor.past = nil
		}
	}
}

// confirm trusts the configuration for one spread, if it is the newest.
func (w *world) confirm(vm *simVM) {
	if vm.adopted != len(w.configs)-1 || w.now < vm.cut || w.flaw == flawNoConfirm {
		return
	}
	until := w.clock(vm).Add(simTiming.MaxPropagation)
	vm.ledger.ConfirmUntil(w.clock(vm), until)
	vm.lender.ConfirmUntil(w.clock(vm), until)
}

// run lets the world go on for a while.
func (w *world) run(d time.Duration) error {
	for end := w.now + d; w.now < end && w.violation == nil; {
		w.now += simStep
		w.deliver()
		for _, vm := range w.vms {
			if w.now >= vm.paused {
				w.live(vm)
			}
		}
	}
	return w.violation
}

// live is one turn of a VM that is not paused.
func (w *world) live(vm *simVM) {
	w.catchUp(vm)
	w.confirm(vm)
	w.keepLease(vm)
	w.ask(vm)
	w.spend(vm)
}

// catchUp adopts the newest configuration after the VM's delay, and at the
// latest before the spread has passed.
func (w *world) catchUp(vm *simVM) {
	latest := len(w.configs) - 1
	if vm.adopted == latest || w.now < vm.cut {
		return
	}
	first := w.configs[vm.adopted+1].at
	if w.now >= first+vm.adoptDelay {
		w.adopt(vm, latest)
	}
}

// keepLease renews a lease that the VM believes it holds, or takes a free one.
func (w *world) keepLease(vm *simVM) {
	if w.now < vm.nextRenew || w.now < vm.cut || w.now < w.storeDown {
		return
	}
	vm.nextRenew = w.now + simRenew
	free := w.now >= w.leaseEnds
	if vm.leaseEpoch != 0 {
		w.renewLease(vm, free)
		return
	}
	if free && w.rng.IntN(2) == 0 {
		w.takeLease(vm)
	}
}

func (w *world) renewLease(vm *simVM, lapsed bool) {
	if lapsed || w.leaseEpoch != vm.leaseEpoch {
		vm.leaseEpoch = 0
		w.loseLease(vm)
		return
	}
	w.leaseEnds = w.now + simLeaseTTL
	if w.rng.IntN(100) >= lostPercent {
		vm.lender.Renewed(w.clock(vm), w.clock(vm).Add(simLeaseTTL))
	}
	if !vm.lender.Holds(w.clock(vm)) {
		vm.leaseEpoch = 0
	}
}

func (w *world) loseLease(vm *simVM) {
	if w.flaw != flawStaleHolder {
		vm.lender.Lost()
	}
}

func (w *world) takeLease(vm *simVM) {
	w.leaseHolder, w.leaseEpoch = vm.id, w.rng.Uint64()|1
	w.leaseEnds = w.now + simLeaseTTL
	vm.leaseEpoch = w.leaseEpoch
	now, until := w.clock(vm), w.clock(vm).Add(simLeaseTTL)
	if w.flaw == flawNoSettling {
		now = now.Add(-simTiming.Settling())
	}
	if w.flaw == flawStaleHolder {
		until = until.Add(time.Hour)
	}
	vm.lender.Acquired(now, until, w.leaseEpoch)
}

// ask sends the VM's demands to every VM that believes to be the lender, so
// that a paused holder is asked as well as its successor.
func (w *world) ask(vm *simVM) {
	if w.now < vm.nextAsk {
		return
	}
	vm.nextAsk = w.now + simAsk
	demands := vm.ledger.Demands(w.clock(vm))
	for _, lender := range w.vms {
		epoch := lender.lender.Epoch()
		if epoch == 0 {
			continue
		}
		req := GrantRequest{Epoch: epoch, Process: vm.process, Demands: demands}
		if lender == vm {
			reply := vm.lender.Lend(w.clock(vm), vmID(vm.slot), req)
			w.adoptLoans(vm, simMessage{sent: w.clock(vm), req: req, reply: &reply})
			continue
		}
		if w.now < vm.cut || w.now < lender.cut {
			continue
		}
		w.post(simMessage{from: vm.id, to: lender.id, sent: w.clock(vm), req: req})
	}
}

// post sends a message with a random delay, or loses it.
func (w *world) post(m simMessage) {
	if w.rng.IntN(100) < lostPercent {
		return
	}
	delay := usual
	if w.rng.IntN(100) < slowPercent {
		delay = slowest
	}
	m.arrives = w.now + time.Duration(w.rng.Int64N(int64(delay)))
	w.mail = append(w.mail, m)
}

// deliver handles the messages that have arrived at VMs that run.
func (w *world) deliver() {
	waiting := w.mail
	w.mail = nil
	for _, m := range waiting {
		to := w.vms[m.to]
		if w.now < m.arrives || w.now < to.paused {
			w.mail = append(w.mail, m)
			continue
		}
		if w.now < to.cut {
			continue
		}
		if m.reply == nil {
			w.serve(to, m)
			continue
		}
		w.adoptLoans(to, m)
	}
}

func (w *world) serve(lender *simVM, m simMessage) {
	if w.flaw == flawNoWindow {
		forgetEnded(lender.lender, w.clock(lender))
	}
	reply := lender.lender.Lend(w.clock(lender), vmID(w.vms[m.from].slot), m.req)
	w.post(simMessage{from: lender.id, to: m.from, sent: m.sent, req: m.req, reply: &reply})
}

// forgetEnded drops grants at their end instead of a Window later.
func forgetEnded(l *Lender, now time.Time) {
	for _, p := range l.pools {
		for _, b := range p.borrowers {
			p.lent -= b.counted
			b.prune(now.Add(Window))
			p.lent += b.counted
		}
	}
}

func (w *world) adoptLoans(vm *simVM, m simMessage) {
	if m.req.Process != vm.process {
		return
	}
	sent := m.sent
	if w.flaw == flawLateExpiry {
		sent = w.clock(vm)
	}
	for _, loan := range m.reply.Loans {
		vm.ledger.AddGrant(w.clock(vm), Grant{Key: loan.Key, Value: loan.Value, Expires: sent.Add(loan.Remaining)})
		if w.flaw == flawDoubleGrant {
			other := w.vms[(vm.id+1)%simVMs]
			other.ledger.AddGrant(w.clock(other), Grant{Key: loan.Key, Value: loan.Value, Expires: w.clock(other).Add(loan.Remaining)})
		}
	}
}

// spend takes all that the VM's ledger allows, at a random priority.
func (w *world) spend(vm *simVM) {
	if !vm.hungry {
		return
	}
	for _, key := range simKeys {
		p := model.Priority(w.rng.IntN(model.NumPriorities))
		n := vm.ledger.TakeUpToPriority(w.clock(vm), key, 1<<20, p)
		if vm.ledger.TakePriority(w.clock(vm), key, 1, p) {
			n++
		}
		w.log(key, n)
	}
}

// log records what was spent and checks the cap in force.
func (w *world) log(key Key, n int64) {
	if n == 0 {
		return
	}
	sum := w.logs[key].add(w.now, n)
	if allowed := w.allowed(); sum > allowed && w.violation == nil {
		w.violation = fmt.Errorf("%d units of %v in the second up to %v, cap %d", sum, key, w.now, allowed)
	}
}

// allowed returns the highest cap that may still count: one that was current
// at some time in the last changeover period.
func (w *world) allowed() int64 {
	since := w.now - simTiming.Changeover()
	highest := w.configs[len(w.configs)-1].perSecond
	for i := len(w.configs) - 2; i >= 0 && w.configs[i+1].at >= since; i-- {
		highest = max(highest, w.configs[i].perSecond)
	}
	return highest
}

// spendLog sums what all VMs spent in the trailing second, both ends included.
type spendLog struct {
	spends     []spend
	sum, total int64
}

// spend is what one VM spent at one time.
type spend struct {
	at time.Duration
	n  int64
}

func (l *spendLog) add(now time.Duration, n int64) int64 {
	l.spends = append(l.spends, spend{at: now, n: n})
	l.sum += n
	l.total += n
	for l.spends[0].at < now-Window {
		l.sum -= l.spends[0].n
		l.spends = l.spends[1:]
	}
	return l.sum
}
