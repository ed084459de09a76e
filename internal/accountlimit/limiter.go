// Package accountlimit keeps the requests of each client account within its limit,
// summed over all entry VMs. Every VM keeps a balance of each account, debits it for the
// requests of all VMs, and bounds what it sends before the others have heard of it.
package accountlimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

const (
	// freshTimeout is the age of its last report up to which a VM is assumed to hear
	// this one as well.
	freshTimeout = 170 * time.Millisecond
	// contactTimeout is the age of its last report up to which a VM is in contact. It
	// allows for two or three lost reports. VMs that don't hear each other use the whole
	// limit each for as long.
	contactTimeout = 400 * time.Millisecond
	// silenceTimeout is the time without a report after which the next one is only a
	// baseline: the requests in between were sent with the limit's part of their senders.
	silenceTimeout = time.Second
	// maxTickGap is the time between two calls of Uses from which on the process
	// counts as having been suspended, since it may not know what others did meanwhile.
	maxTickGap = time.Second
	// startPart is the part of an account's tokens that a new process assumes to be left.
	// The bound's tolerance covers as much where earlier processes had used all.
	startPart = 0.2
	// maxClockStep is the difference between the progress of the wall clock and the
	// monotonic clock that shows that the process was suspended.
	maxClockStep = 500 * time.Millisecond
)

// Options configures a Limiter.
type Options struct {
	// Window, Excess and Slack state the bound: within any Window, an account's requests
	// at all VMs together may reach its rate and burst times 1+Excess, plus Slack.
	Window        time.Duration
	Excess, Slack float64
	// Process identifies this process among those of the same VM.
	Process uint32
	// Seed seeds the times after which refused clients may come back.
	Seed uint64
}

// Limiter enforces the limits of client accounts at one VM. It is safe for concurrent
// use.
type Limiter struct {
	opts Options

	mu       sync.Mutex
	random   *rand.Rand
	accounts map[model.AccountID]*account
	// byKey holds the accounts by the key under which VMs report them.
	byKey map[accountKey]*account
	// active lists the accounts with requests within activeRetention. Only these are
	// visited periodically.
	active  []*account
	sources map[model.VMID]*source
	// ordered lists the sources in the order in which they were first heard, so that sums
	// don't depend on the order of a map.
	ordered []*source
	// sessions numbers the sessions of all sources.
	sessions uint64
	reach    reachState
	// unheard are VMs that only others hear.
	unheard []model.VMID
	rounds  uint64
	// lastTick is the time of the last call of Uses, lastWall that of the wall clock.
	lastTick, lastWall time.Time
	// started reports that SetAccounts was called.
	started bool
}

// source is another VM that reports its requests.
type source struct {
	vm        model.VMID
	process   uint32
	lastHeard time.Time
	// session changes when the process does and after each silence. Counts are
	// compared within a session only.
	session uint64
	// begunAt is when the session began.
	begunAt time.Time
	// lost reports that the source is not in contact, and silent that it has been so for
	// silenceTimeout.
	lost, silent bool
}

// New returns a Limiter without accounts. Until SetReach is called it grants nothing.
func New(opts Options) *Limiter {
	return &Limiter{
		opts: opts, random: rand.New(rand.NewPCG(opts.Seed, uint64(opts.Process))),
		accounts: map[model.AccountID]*account{}, byKey: map[accountKey]*account{}, sources: map[model.VMID]*source{},
	}
}

// SetAccounts takes over the limits of a configuration. Accounts that remain keep their
// balance. Accounts of the first configuration start with few tokens, since earlier
// processes may have used them up; accounts that are added later start with all.
func (l *Limiter) SetAccounts(accounts *catalog.Accounts, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.accounts {
		if c := accounts.ByID(id); c == nil || c.RatePerSecond <= 0 {
			a.removed = true
			delete(l.accounts, id)
			delete(l.byKey, a.key)
		}
	}
	for c := range accounts.All {
		if c.RatePerSecond <= 0 {
			continue
		}
		lim := newLimit(c.RatePerSecond, c.Burst, l.opts)
		if a, ok := l.accounts[c.ID]; ok {
			if a.limit != lim {
				a.setLimit(lim, l, now)
			}
			continue
		}
		a := &account{id: c.ID, key: keyOf(c.ID), limit: lim, at: now, reachChange: l.reach.change, fraction: l.reach.fraction}
		if !l.started {
			a.startedAt = now
			a.tokens = startPart * lim.capacity
		} else {
			a.tokens = lim.capacity * l.reach.fraction
		}
		l.accounts[c.ID], l.byKey[a.key] = a, a
	}
	l.started = true
}

// Contact describes the VMs that this one is in contact with.
type Contact struct {
	// Heard VMs are in contact with this one, of Total that may be alive; both include
	// this VM. They use Heard/Total of each limit together. If Heard is zero, this VM may
	// not use any of it.
	Heard, Total int
	// Part is this VM's part of the requests that the VMs in contact may send together
	// before they hear of each other's. The parts of all add up to one.
	Part float64
	// Unheard are VMs that others hear. Their requests are assumed to go on as before.
	Unheard []model.VMID
}

// SetReach sets the VMs in contact.
func (l *Limiter) SetReach(c Contact, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reach.set(c, l.opts.Window, now)
	l.unheard = c.Unheard
}

// Take takes a token for a request that is about to be sent. It returns false if the
// account is at its limit, and when its client may come back.
func (l *Limiter) Take(id model.AccountID, now time.Time) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, limited := l.accounts[id]
	if !limited {
		return true, 0
	}
	l.detectSuspension(now)
	l.activate(a, now)
	a.advance(l, now)
	a.lastUse = now
	a.demand++
	if a.tokens >= 1 && a.allowance >= minAllowance && a.headroom(l) >= 1 {
		a.spend(1, now)
		a.allowance--
		a.countUse()
		return true, 0
	}
	a.refused++
	return false, a.retryAfter(l, now)
}

// Return gives back the token of a request that was not sent.
func (l *Limiter) Return(id model.AccountID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, limited := l.accounts[id]
	if !limited {
		return
	}
	a.advance(l, now)
	a.tokens++
	a.allowance++
	a.window.add(-1, now)
	a.unspent++
	if a.demand > 0 {
		a.demand--
	}
}

// State describes an account's limit at this VM, for log lines.
type State struct {
	// Tokens is the balance and Allowance what this VM may send before others hear of it.
	Tokens, Allowance float64
	// ReportAge is the age of the oldest last report among the VMs in contact.
	ReportAge time.Duration
	// Heard of Total VMs are in contact.
	Heard, Total int
}

// State returns the state of an account.
func (l *Limiter) State(id model.AccountID, now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := State{Heard: l.reach.heard, Total: l.reach.total}
	for _, src := range l.sources {
		if age := now.Sub(src.lastHeard); age < contactTimeout {
			s.ReportAge = max(s.ReportAge, age)
		}
	}
	if a, limited := l.accounts[id]; limited {
		s.Tokens, s.Allowance = a.tokens, a.allowance
	}
	return s
}

// LastHeard returns when a VM last sent a report, zero if it never did.
func (l *Limiter) LastHeard(vm model.VMID) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.sources[vm]; ok {
		return s.lastHeard
	}
	return time.Time{}
}

// Limited reports whether any account has a limit.
func (l *Limiter) Limited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts) > 0
}

// activate adds an account to those that are visited periodically. Its allowance has grown
// to the full while it was idle.
func (l *Limiter) activate(a *account, now time.Time) {
	if a.active {
		return
	}
	a.active = true
	l.active = append(l.active, a)
	a.ownRate, a.lateDemand, a.demand = 0, 0, 0
	a.updateShare(l, 0, 1, now)
	a.allowance = a.allowanceCap
}

// detectSuspension resets the state if the process was suspended: its clock may have
// stood still, and other VMs may have used what this one had left.
func (l *Limiter) detectSuspension(now time.Time) {
	if l.lastTick.IsZero() {
		return
	}
	elapsed := now.Sub(l.lastTick)
	step := now.Round(0).Sub(l.lastWall) - elapsed
	if elapsed <= maxTickGap && step.Abs() <= maxClockStep {
		return
	}
	l.lastTick, l.lastWall = now, now.Round(0)
	l.reach.set(Contact{Heard: min(1, l.reach.heard), Total: l.reach.total, Part: 1}, l.opts.Window, now)
	for _, s := range l.sources {
		s.lastHeard, s.lost, s.silent = time.Time{}, true, true
	}
	for _, a := range l.accounts {
		a.restart(now)
	}
}

// handleSilence debits what sources that have just lost contact, or that only others hear,
// are expected to have sent since it was called last, and forgets sources that have been silent for long.
func (l *Limiter) handleSilence(elapsed time.Duration, now time.Time) {
	for _, vm := range l.unheard {
		if s, ok := l.sources[vm]; ok && s.lost {
			l.assume(s, elapsed, now)
		}
	}
	kept := l.ordered[:0]
	for _, s := range l.ordered {
		age := now.Sub(s.lastHeard)
		if age >= contactTimeout && !s.lost {
			s.lost = true
			l.assume(s, age, now)
		}
		s.silent = s.silent || age >= silenceTimeout
		if age <= sourceRetention {
			kept = append(kept, s)
			continue
		}
		delete(l.sources, s.vm)
		for _, a := range l.accounts {
			a.forget(s.vm)
		}
	}
	clear(l.ordered[len(kept):])
	l.ordered = kept
}

// assume debits what a source that is not heard is expected to send in a time.
func (l *Limiter) assume(s *source, during time.Duration, now time.Time) {
	for _, a := range l.active {
		if r, ok := a.remote[s.vm]; ok && r.session == s.session && r.useRate > 0 {
			a.advance(l, now)
			assumed := r.useRate * during.Seconds()
			r.assumed += assumed
			a.spend(assumed, now)
		}
	}
}

// freshFraction returns the part of the VMs in contact that have reported lately.
func (l *Limiter) freshFraction(now time.Time) float64 {
	fresh := 1
	for _, s := range l.sources {
		if now.Sub(s.lastHeard) < freshTimeout {
			fresh++
		}
	}
	missing := 1 - min(1, float64(fresh)/float64(max(l.reach.heard, 1)))
	return max(0, 1-4*missing)
}

// sourceRetention is how long the counts of a silent VM are kept.
const sourceRetention = time.Minute
