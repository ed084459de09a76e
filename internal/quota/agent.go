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

// Timing and sizes of leases and of the competition for them.
const (
	// leaseTTL is how long a lease lasts without a renewal.
	leaseTTL = 3 * time.Second
	// leaseMargin is how long before the expiry of its lease the lender stops,
	// to tolerate clocks that run at different rates.
	leaseMargin = 300 * time.Millisecond
	// keepAliveInterval is the mean time between two renewals.
	keepAliveInterval = 800 * time.Millisecond
	// initialBackoff and maxBackoff limit the wait after a failed store call.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// backoffPerUnserved is added to the wait before the next read of the lease
	// record for each consecutive request that no lender served.
	backoffPerUnserved = initialBackoff / 8
	// delayPerPosition separates the attempts of VMs that compete for a lease.
	delayPerPosition = 100 * time.Millisecond
	// numWatchers is the number of VMs that check a lender even without demand.
	numWatchers = 3
	// maxPositionDelay limits the delay that depends on a VM's position.
	maxPositionDelay = 2 * time.Second
	// otherRegionDelay is the additional delay of VMs outside the hosting
	// region.
	otherRegionDelay = time.Second
)

// leasePrefix is the prefix of the store keys of lease records.
const leasePrefix = "quota/"

// leaseRecord is the stored value of a lease: its holder and the epoch of the
// term.
type leaseRecord struct {
	VM    model.VMID `cbor:"1,keyasint"`
	Epoch uint64     `cbor:"2,keyasint"`
}

// lenderAgent manages the relation of this VM to one lender. It tracks which VM
// holds the lease and acquires the lease if it is free. Only its run goroutine
// calls the store; the methods that lock mu are safe for concurrent use.
type lenderAgent struct {
	service *Service
	id      lenderID
	lease   lease
	jitter  jitter
	// retryRenewal is set if the latest renewal failed and is retried without
	// the usual interval.
	retryRenewal bool
	// wake makes the run goroutine read the lease record.
	wake chan struct{}

	mu     sync.Mutex
	lender *Lender
	holder leaseRecord
	// watcher is set if this VM checks the lender even without demand.
	watcher bool
	// acquireDelay is how long this VM waits before it acquires a free lease.
	acquireDelay    time.Duration
	requestInFlight bool
	// lastServed has the demands of the latest request with status GrantServed,
	// which was sent at servedAt.
	lastServed []Demand
	servedAt   time.Time
	// unservedCount is the number of consecutive requests that failed or that
	// reached a VM without the lease.
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

// serve handles a grant request of the VM from.
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

// requestDone marks the request as finished. served is set if the lease holder
// replied.
func (a *lenderAgent) requestDone(served bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestInFlight = false
	a.unservedCount++
	if served {
		a.unservedCount = 0
	}
}

// forgetHolder clears the holder if it is still h and triggers a new look-up.
func (a *lenderAgent) forgetHolder(h leaseRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holder == h {
		a.holder = leaseRecord{}
	}
	a.wakeUp()
}

// wakeUp wakes the run goroutine. It does not block.
func (a *lenderAgent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run tracks the lease, and holds it if it is free, until ctx ends.
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

// nextBackoff doubles the wait if the store is unavailable or rate limits
// calls. Other errors reset it.
func nextBackoff(backoff time.Duration, err error) time.Duration {
	if errors.Is(err, errStoreRateLimited) || errors.Is(err, errStoreUnavailable) {
		return min(2*backoff, maxBackoff)
	}
	return initialBackoff
}

// step renews the lease if this VM holds it. Otherwise it looks up the holder,
// and competes for the lease if there is none.
func (a *lenderAgent) step(ctx context.Context) error {
	if a.lease.held() {
		if !a.retryRenewal && !background.Sleep(ctx, a.jitter.around(keepAliveInterval)) {
			return nil
		}
		return a.renew(ctx)
	}
	if a.lease.detectExpiry() {
		a.endTerm(errLeaseExpired)
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

// waitForRecheck blocks until the holder has to be looked up again, for at least
// about recheckDelay. It returns immediately if this VM is the holder.
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

// recheckDelay returns how long to wait before the lease record is read again. It
// grows slowly with the consecutive unserved requests: the lease of a dead
// lender expires within leaseTTL, but a lender may be unreachable for hours
// while it renews its lease.
func (a *lenderAgent) recheckDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(initialBackoff+time.Duration(a.unservedCount)*backoffPerUnserved, maxBackoff)
}

// tracksLender reports whether this VM looks up the holder and acquires a free
// lease: always if it is a watcher, otherwise only while it has demand.
func (a *lenderAgent) tracksLender() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watcher {
		return true
	}
	return !a.lastDemandAt.IsZero() && a.service.opts.Now().Sub(a.lastDemandAt) < checkInterval
}

// lookUpHolder reads the lease record, or returns errNoLease. If this VM wrote
// the record but the reply to the write was lost, its term starts here.
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

// competeForLease waits for this VM's acquire delay and then acquires the lease
// if it is still free.
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

// startTerm makes this VM the lender.
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

// renew renews the lease. The term ends if the lease has expired, in the store
// or, because renewals failed for too long, by the clock of this VM.
func (a *lenderAgent) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := a.lease.renew(ctx)
	a.retryRenewal = err != nil
	if err != nil {
		a.service.metrics.countStoreFailure("keep_alive", err)
	}
	if !a.lease.held() {
		a.endTerm(errLeaseExpired)
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lender.LeaseRenewed(a.service.opts.Now(), a.lease.expires)
	return err
}

// endTerm ends the term of this VM as the lender.
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

// release revokes a held lease. The run goroutine must have ended.
func (a *lenderAgent) release(ctx context.Context) {
	if !a.lease.held() {
		return
	}
	a.endTerm(nil)
	if err := a.lease.release(ctx); err != nil {
		a.service.metrics.countStoreFailure("revoke", err)
	}
}

// decodeRecord decodes the stored value of a lease.
func decodeRecord(value []byte) (leaseRecord, error) {
	var rec leaseRecord
	if err := cbor.Unmarshal(value, &rec); err != nil {
		return leaseRecord{}, errors.WithMessage(errInvalidRecord, err.Error())
	}
	return rec, nil
}
