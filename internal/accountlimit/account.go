package accountlimit

import (
	"math"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// rateMargin and capacityMargin are the parts of the tolerance of the bound that are
	// added to the rate and to the burst, so that requests within the limit that arrive
	// at random are rarely refused. The rest is for requests that VMs have not heard of.
	rateMargin     = 0.2
	capacityMargin = 0.45
	// allowancePart is the part of the headroom that the VMs together may send before
	// they hear of each other. The rest covers reports that are late.
	allowancePart = 0.75
	// hearingTime is the time in which the other VMs hear of a request: a report
	// interval and the way.
	hearingTime = 120 * time.Millisecond
	// sharePart is the part of the headroom that is divided by the demand of each VM. The
	// rest is divided by VM, for accounts whose requests move.
	sharePart = 0.4
	// unheardPart is the part of the tolerance that is left for requests that others have
	// sent unexpectedly.
	unheardPart = 0.2
	// reservePart is the part of the tolerance that VMs may send unexpectedly while there
	// are no tokens.
	reservePart = 0.3
	// storedPart is the part of a VM's headroom that it may store for requests at once.
	// The rest is granted over hearingTime.
	storedPart = 0.6
	// maxLeastStored bounds the requests that a VM may store whatever its part.
	maxLeastStored = 4
	// minAllowance is the least allowance with which a request is sent. A part of a request
	// is borrowed, since small accounts have little more than one for each VM.
	minAllowance = 0.3
	// unheardIntervals is the number of allowances that a VM may have used before it
	// notices that others don't hear it: the stored one, and those granted until freshTimeout.
	unheardIntervals = storedPart + (1-storedPart)*float64(freshTimeout)/float64(hearingTime)
	// minDemandMemory and maxDemandMemory bound the time constant of the demand estimates,
	// in seconds, and demandSample is the number of requests of an account at its limit in
	// between. A shorter memory follows accounts that move faster; a longer one smooths
	// accounts with few requests.
	minDemandMemory = 0.3
	maxDemandMemory = 1.0
	demandSample    = 12
	// unspentRetryAfter is when a client may come back that is refused although the
	// account has tokens: this VM's part grows when others hear of its demand.
	unspentRetryAfter = 250 * time.Millisecond
	// minRetryAfter keeps clients from returning before a report has passed.
	minRetryAfter = 50 * time.Millisecond
	// retrySpread is the part of a wait over which clients are spread.
	retrySpread = 0.25
)

// limit is the limit of an account and what follows from it.
type limit struct {
	rate, burst float64
	// refill is the number of tokens per second, and capacity the most tokens.
	refill, capacity float64
	// bound is the number of requests that the bound allows in a window, of which
	// tolerance is beyond the limit.
	bound, tolerance float64
	// memory is the time constant of the demand estimates.
	memory float64
}

func newLimit(rate, burst float64, opts Options) limit {
	seconds := opts.Window.Seconds()
	inWindow := rate*seconds + burst
	tolerance := inWindow*opts.Excess + opts.Slack
	return limit{
		rate: rate, burst: burst,
		refill:   rate * (1 + rateMargin*opts.Excess),
		capacity: max(burst+capacityMargin*tolerance, 1),
		bound:    inWindow + tolerance, tolerance: tolerance,
		memory: min(max(minDemandMemory, demandSample/rate), maxDemandMemory),
	}
}

// account is the state of one account at this VM.
type account struct {
	id    model.AccountID
	key   accountKey
	limit limit
	// startedAt is when this process began to count the account's requests, if other
	// processes may have sent some before; otherwise zero.
	startedAt time.Time
	removed   bool
	active    bool

	// at is the time up to which the fields below are brought forward.
	at time.Time
	// tokens is the balance of all VMs together, as known here. It is negative after
	// requests that VMs sent before they heard of each other's.
	tokens float64
	// allowance is how many requests this VM may send now. It grows with the VM's share
	// of the rate and, for requests that others don't expect, with a part of the headroom.
	allowance float64
	// share is this VM's part of the demand as the others know it. allowanceRate and
	// allowanceCap follow from it at each report.
	share, allowanceRate, allowanceCap float64
	// window counts the requests of all VMs within the window of the bound.
	window window
	// fraction is the reach to which the fields are adapted.
	fraction    float64
	reachChange uint64

	// used and refused count this VM's requests, and demand those since the last report.
	used, refused uint64
	demand        uint64
	// unspent counts returned tokens whose requests are contained in used.
	unspent uint64
	lastUse time.Time
	// runUsed is used at the beginning of the current run of requests.
	runUsed uint64
	// reportedUsed and reportedRefused are the counts in the last report.
	reportedUsed, reportedRefused uint64
	// lateDemand is the demand in the last report, and ownRate the rate of the demand in
	// earlier ones, which the other VMs have heard.
	lateDemand uint64
	ownRate    float64
	// remoteRate is the rate of the demand at other VMs.
	remoteRate float64
	remote     map[model.VMID]*remoteUse
	// ordered lists remote in the order of the first reports.
	ordered    []*remoteUse
	lastRemote time.Time
	// nextReturn is when the next refused client may come back.
	nextReturn time.Time
}

// remoteUse is what another VM has reported about an account.
type remoteUse struct {
	vm            model.VMID
	session       uint64
	used, refused uint64
	// rate is the rate of the demand there, as of at, and useRate that of the requests sent.
	rate, useRate float64
	at            time.Time
	// assumed is what was debited for requests that have not been reported.
	assumed float64
}

// advance brings the balances forward to now.
func (a *account) advance(l *Limiter, now time.Time) {
	if a.window.slots == nil {
		a.window.init(l.opts.Window, now)
		if !a.startedAt.IsZero() {
			// The window is raised when more VMs are in contact.
			a.window.fill(a.limit.rate*l.reach.fraction, a.startedAt, now)
		}
	}
	a.window.advance(now)
	if a.reachChange != l.reach.change {
		a.adaptReach(l, now)
	}
	elapsed := now.Sub(a.at).Seconds()
	if elapsed <= 0 {
		return
	}
	a.at = now
	a.tokens = min(a.tokens+a.limit.refill*l.reach.fraction*elapsed, a.limit.capacity*l.reach.fraction)
	if a.allowance < a.allowanceCap {
		a.allowance = min(a.allowance+a.allowanceRate*elapsed, a.allowanceCap)
	}
}

// adaptReach adapts the balances to a changed reach. A group of VMs that lost contact to
// others keeps its part of the tokens, less what the others may have sent unheard. When
// groups meet again, what the other one has sent is unknown and assumed to be its part of
// the limit.
func (a *account) adaptReach(l *Limiter, now time.Time) {
	a.reachChange = l.reach.change
	fraction := l.reach.fraction
	if now.Sub(l.reach.lowAt) > l.opts.Window {
		a.fraction = fraction
		return
	}
	if lowest := l.reach.lowest; lowest < a.fraction {
		kept := lowest / a.fraction
		headroom := a.limit.bound*a.fraction - a.window.sum + a.window.recent()
		unheard := allowancePart * unheardIntervals * (1 - kept) * max(headroom, 0)
		// The others had the same tokens, and got further ones before they noticed.
		most := max(a.tokens, 0) + (1-kept)*a.limit.refill*contactTimeout.Seconds()
		a.spend(min(unheard, most), now)
		if a.tokens > 0 {
			a.tokens *= kept
		}
		a.window.scale(kept)
		a.fraction = lowest
	}
	a.tokens = min(a.tokens, a.limit.capacity*l.reach.lowest)
	if fraction > a.fraction {
		a.window.raise(a.limit.rate * fraction)
	}
	a.fraction = fraction
}

// headroom is the number of requests that the VMs in contact may still send without
// exceeding the bound, less those that others are expected to have sent meanwhile.
func (a *account) headroom(l *Limiter) float64 {
	expected := min(a.remoteRate, a.limit.refill) * hearingTime.Seconds()
	return (a.limit.bound-unheardPart*a.limit.tolerance)*l.reach.fraction - a.window.sum - expected
}

func (a *account) spend(requests float64, now time.Time) {
	a.tokens = max(a.tokens-requests, -a.limit.bound)
	a.window.add(requests, now)
}

// countUse counts a request of this VM. A request that replaces one that was not sent
// has been counted.
func (a *account) countUse() {
	if a.unspent > 0 {
		a.unspent--
		return
	}
	a.used++
}

// updateShare computes this VM's allowance for the next interval. elapsed is the time
// since the last report.
func (a *account) updateShare(l *Limiter, elapsed time.Duration, fresh float64, now time.Time) {
	decay := math.Exp(-elapsed.Seconds() / a.limit.memory)
	a.ownRate = a.ownRate*decay + float64(a.lateDemand)/a.limit.memory
	if a.ownRate < negligibleRate {
		a.ownRate = 0
	}
	a.lateDemand, a.demand = a.demand, 0
	a.remoteRate = 0
	for _, r := range a.ordered {
		s, ok := l.sources[r.vm]
		if !ok || s.lost || s.session != r.session || r.rate == 0 {
			continue
		}
		// The demand at a VM that is not heard is assumed to last.
		if age := s.lastHeard.Sub(r.at).Seconds(); age > 0 {
			a.remoteRate += r.rate * math.Exp(-age/a.limit.memory)
		} else {
			a.remoteRate += r.rate
		}
	}
	a.advance(l, now)
	a.share = 0
	if a.ownRate > 0 {
		a.share = a.ownRate / (a.ownRate + a.remoteRate)
	}
	part := sharePart*a.share + (1-sharePart)*l.reach.part
	headroom := max(a.headroom(l), 0)
	// With few tokens left, all VMs are likely to send.
	filled := min(1, max(a.tokens, 0)/(a.limit.capacity/2))
	spare := min(headroom, reservePart*a.limit.tolerance*l.reach.fraction+headroom*filled)
	unexpected := allowancePart * part * spare
	expected := a.limit.refill * l.reach.fraction * a.share
	a.allowanceRate = expected + fresh*unexpected*(1-storedPart)/hearingTime.Seconds()
	a.allowanceCap = expected*hearingTime.Seconds() + 0.7*math.Sqrt(expected)*filled + unexpected*storedPart
	a.allowanceCap = max(a.allowanceCap, a.leastStored(spare*l.reach.part, l.opts.Process))
	if a.ownRate > 0 {
		a.allowanceCap = max(a.allowanceCap, 1)
	}
	a.allowance = min(a.allowance, a.allowanceCap)
}

// negligibleRate is the demand in requests per second that counts as none.
const negligibleRate = 0.01

// leastStored returns how many requests a VM may store at least, for accounts with few
// requests. It rounds the VM's part of the headroom up or down so that the sum over the
// VMs stays; which VMs round up differs between accounts.
func (a *account) leastStored(part float64, process uint32) float64 {
	draw := float64((uint64(a.key)*0x9E3779B97F4A7C15^uint64(process)*0xC2B2AE3D27D4EB4F)>>11) / (1 << 53)
	return min(math.Floor(part+draw), maxLeastStored)
}

// restart assumes that other processes have used all of the account's limit.
func (a *account) restart(now time.Time) {
	a.tokens, a.allowance, a.allowanceRate, a.allowanceCap = min(a.tokens, 0), 0, 0, 0
	a.ownRate, a.lateDemand, a.demand = 0, 0, 0
	a.startedAt, a.at = now, now
	if a.window.slots != nil {
		a.window.advance(now)
		a.window.raise(a.limit.rate)
	}
}

// forget removes what a VM has reported.
func (a *account) forget(vm model.VMID) {
	delete(a.remote, vm)
	a.ordered = slices.DeleteFunc(a.ordered, func(r *remoteUse) bool { return r.vm == vm })
}

// setLimit takes over a changed limit. The requests sent so far count in proportion to a
// lower one, so that an account that keeps to it is not refused for those before.
func (a *account) setLimit(lim limit, l *Limiter, now time.Time) {
	a.advance(l, now)
	if part := lim.bound / a.limit.bound; part < 1 {
		a.window.scale(part)
		a.allowance *= part
		a.allowanceCap *= part
		a.allowanceRate *= part
	}
	a.limit = lim
	a.tokens = min(a.tokens, lim.capacity*l.reach.fraction)
}

// retryAfter returns when the client of a refused request may come back. Each refused
// client gets a later place, at the rate at which this VM has tokens.
func (a *account) retryAfter(l *Limiter, now time.Time) time.Duration {
	wait := minRetryAfter
	if a.tokens < 1 && l.reach.fraction > 0 {
		wait = seconds((1 - a.tokens) / (a.limit.refill * l.reach.fraction))
	} else if a.allowance < 1 {
		wait = unspentRetryAfter
	}
	at := now.Add(min(max(wait, minRetryAfter), l.opts.Window))
	if a.nextReturn.After(at) {
		at = a.nextReturn
	}
	rate := max(a.limit.refill*l.reach.fraction*max(a.share, 1/float64(max(l.reach.heard, 1))), 0.1)
	a.nextReturn = at.Add(seconds(1 / rate))
	if latest := now.Add(l.opts.Window); at.After(latest) {
		// So many clients wait that places in order would be later than they do.
		at = now.Add(wait + time.Duration(l.random.Float64()*float64(l.opts.Window-min(wait, l.opts.Window))))
		a.nextReturn = latest
	}
	after := at.Sub(now)
	return after + time.Duration(retrySpread*l.random.Float64()*float64(after))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
