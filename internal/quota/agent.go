package quota

import (
	"context"
	"sync"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/model"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Durations of leases.
const (
	// leaseTTL is how long a lease lasts without being kept alive.
	leaseTTL = 3 * time.Second
	// leaseMargin is how long before the lease's end the lender stops, to
	// allow for clocks that run at different rates.
	leaseMargin = 300 * time.Millisecond
	// keepAliveInterval is the mean time between two renewals.
	keepAliveInterval = 800 * time.Millisecond
	// firstBackoff and maxBackoff bound the wait after a failed store call.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// backoffStep is added for each request that no lender served.
	backoffPerUnserved = initialBackoff / 8
	// rankDelay separates the VMs that compete for a lease.
	delayPerPosition = 100 * time.Millisecond
	// numWatchers is the count of VMs that watch a lender without demand.
	numWatchers = 3
	// maxRankDelay bounds the sum of rank delays.
	maxPositionDelay = 2 * time.Second
	// foreignDelay is how much longer VMs outside the hosting region wait.
	otherRegionDelay = time.Second
)

// leasePrefix is the start of the store's keys of lease records.
const leasePrefix = "quota/"

// record is the value under a lender's key.
type leaseRecord struct {
	VM    model.VMID `cbor:"1,keyasint"`
	Epoch uint64     `cbor:"2,keyasint"`
}

// agent deals with one lender: it knows which VM lends, and becomes the lender
// itself when there is none. Its run goroutine makes all store
// calls; the other methods are safe for concurrent use.
type lenderAgent struct {
	service *Service
	id      lenderID
	lease   lease
	jitter  jitter
	// renewing reports that the latest renewal failed and is due at once.
	retryRenewal bool
	// recheck wakes the run goroutine to read the lease's record.
	wake chan struct{}

	mu     sync.Mutex
	lender *Lender
	holder leaseRecord
	// watcher reports that this VM keeps an eye on the lender without demand.
	watcher bool
	// rank is how long this VM waits before it takes a free lease.
	acquireDelay    time.Duration
	requestInFlight bool
	// served holds what the latest served request asked for, and when.
	lastServed []Demand
	servedAt   time.Time
	// unanswered counts the requests in a row that no lender served.
	unservedCount int
	requestedAt   time.Time
	lastDemandAt  time.Time
}

func newLenderAgent(s *Service, id lenderID) *lenderAgent {
	a := &lenderAgent{
		service: s,
		id:      id,
		jitter:  s.jitter.fork(),
		wake:    make(chan struct{}, 1),
		lender:  NewLender(LenderOptions{Timing: s.opts.Timing, RequireConfirm: s.opts.RequireConfirm}),
	}
	a.lease = lease{store: s.opts.Store, key: id.key(), now: s.opts.Now}
	return a
}

func (a *lenderAgent) setCaps(now time.Time, d *deployment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lender.SetCaps(now, d.slotCount, d.capsByLender[a.id])
	a.acquireDelay, a.watcher = acquireDelayOf(a.service.opts.Self, a.id, d)
	a.wakeUp()
}

func (a *lenderAgent) confirmUntil(now, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lender.ConfirmUntil(now, until)
}

// lend serves a request in the time of its arrival.
func (a *lenderAgent) serve(from model.VMID, req GrantRequest) GrantReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lender.Lend(a.service.opts.Now(), from, req)
}

func (a *lenderAgent) currentHolder() leaseRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder
}

// asked ends a request and notes whether the lender answered it.
func (a *lenderAgent) requestDone(served bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestInFlight = false
	a.unservedCount++
	if served {
		a.unservedCount = 0
	}
}

// forget drops a holder that does not lend and looks for the next one.
func (a *lenderAgent) forgetHolder(h leaseRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holder == h {
		a.holder = leaseRecord{}
	}
	a.wakeUp()
}

// signal wakes the run goroutine.
func (a *lenderAgent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run follows the lease until ctx ends.
func (a *lenderAgent) run(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		err := a.step(ctx)
		if err == nil {
			backoff = initialBackoff
			continue
		}
		if !background.Sleep(ctx, a.jitter.around(backoff)) {
			return
		}
		backoff = nextBackoff(backoff, err)
	}
}

// nextBackoff doubles the wait while the store is in trouble.
func nextBackoff(backoff time.Duration, err error) time.Duration {
	if errors.Is(err, errStoreRefused) || errors.Is(err, errStoreUncertain) {
		return min(2*backoff, maxBackoff)
	}
	return initialBackoff
}

// step renews a held lease, or else finds the holder or takes the lease.
func (a *lenderAgent) step(ctx context.Context) error {
	if a.lease.held() {
		if !a.retryRenewal && !background.Sleep(ctx, a.jitter.around(keepAliveInterval)) {
			return nil
		}
		return a.renew(ctx)
	}
	if a.lease.detectLapse() {
		a.endTerm(errLeaseLapsed)
	}
	if !a.tracksLender() {
		return a.waitForRecheck(ctx)
	}
	err := a.lookUpHolder(ctx)
	if err == nil {
		return a.waitForRecheck(ctx)
	}
	if !errors.Is(err, errNoLease) {
		return err
	}
	return a.competeForLease(ctx)
}

// await sleeps until the holder has to be looked up, at least for one back-off.
func (a *lenderAgent) waitForRecheck(ctx context.Context) error {
	if a.lease.held() {
		return nil
	}
	if !background.Sleep(ctx, a.jitter.around(a.recheckDelay())) {
		return nil
	}
	select {
	case <-a.wake:
	case <-ctx.Done():
	}
	return nil
}

// patience returns how long to wait before the store is read again. It grows
// slowly with the requests that no lender served: a dead lender's lease lapses
// within its duration, but a lender may be out of reach for hours.
func (a *lenderAgent) recheckDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(initialBackoff+time.Duration(a.unservedCount)*backoffPerUnserved, maxBackoff)
}

// interested reports whether this VM looks for the lender and takes a free
// lease: a watcher always, others only while they have demand.
func (a *lenderAgent) tracksLender() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watcher {
		return true
	}
	return !a.lastDemandAt.IsZero() && a.service.opts.Now().Sub(a.lastDemandAt) < checkInterval
}

// find reads the record of the lease. A record that this VM wrote without
// learning of it makes it the holder.
func (a *lenderAgent) lookUpHolder(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	found, err := a.lease.read(ctx)
	if errors.Is(err, errNoLease) {
		return err
	}
	if err != nil {
		a.service.metrics.countStoreFailure("get", err)
		return err
	}
	if a.lease.confirmHolder(found) {
		a.startTerm(found)
		return nil
	}
	a.setHolder(found)
	return nil
}

// compete waits for its turn and then takes the lease if it is still free.
func (a *lenderAgent) competeForLease(ctx context.Context) error {
	if !background.Sleep(ctx, a.delayBeforeAcquire()) {
		return nil
	}
	if err := a.lookUpHolder(ctx); !errors.Is(err, errNoLease) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec := leaseRecord{VM: a.service.opts.Self, Epoch: a.jitter.rand.Uint64() | 1}
	if err := a.lease.acquire(ctx, rec); err != nil {
		a.service.metrics.countStoreFailure("take", err)
		return err
	}
	a.startTerm(rec)
	return nil
}

func (a *lenderAgent) delayBeforeAcquire() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acquireDelay
}

// acquired begins a term as the lender.
func (a *lenderAgent) startTerm(rec leaseRecord) {
	a.setHolder(rec)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lender.LeaseAcquired(a.service.opts.Now(), a.lease.expires, rec.Epoch)
	a.service.metrics.setLeaseHeld(a.id, true)
	a.service.recordLeaseChange("acquired the lease " + a.id.key())
	a.service.opts.Logger.Info("quota lease acquired", "lender", a.id.key(), "epoch", rec.Epoch)
}

func (a *lenderAgent) setHolder(rec leaseRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder = rec
}

// renew keeps the lease alive. The term ends when the lease has lapsed or the
// store stays silent until its end.
func (a *lenderAgent) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := a.lease.renew(ctx)
	a.retryRenewal = err != nil
	if err != nil {
		a.service.metrics.countStoreFailure("keep_alive", err)
	}
	if !a.lease.held() {
		a.endTerm(errLeaseLapsed)
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lender.LeaseRenewed(a.service.opts.Now(), a.lease.expires)
	return err
}

// lost ends the term as the lender.
func (a *lenderAgent) endTerm(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lender.LeaseLost()
	a.holder = leaseRecord{}
	a.wakeUp()
	a.service.metrics.setLeaseHeld(a.id, false)
	a.service.recordLeaseChange("lost the lease " + a.id.key())
	a.service.opts.Logger.Warn("quota lease lost", "lender", a.id.key(), "cause", cause)
}

// release gives the lease up. The run goroutine has ended.
func (a *lenderAgent) release(ctx context.Context) {
	if !a.lease.held() {
		return
	}
	a.endTerm(nil)
	if err := a.lease.release(ctx); err != nil {
		a.service.metrics.countStoreFailure("revoke", err)
	}
}

// decodeRecord reads the value under a lender's key.
func decodeRecord(value []byte) (leaseRecord, error) {
	var rec leaseRecord
	if err := cbor.Unmarshal(value, &rec); err != nil {
		return leaseRecord{}, errors.WithMessage(errBadRecord, err.Error())
	}
	return rec, nil
}
