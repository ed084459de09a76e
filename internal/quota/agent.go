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
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// backoffStep is added for each request that no lender served.
	backoffStep = firstBackoff / 8
	// rankDelay separates the VMs that compete for a lease.
	rankDelay = 100 * time.Millisecond
	// numWatchers is the count of VMs that watch a lender without demand.
	numWatchers = 3
	// maxRankDelay bounds the sum of rank delays.
	maxRankDelay = 2 * time.Second
	// foreignDelay is how much longer VMs outside the hosting region wait.
	foreignDelay = time.Second
)

// leasePrefix is the start of the store's keys of lease records.
const leasePrefix = "quota/"

// record is the value under a lender's key.
type record struct {
	VM    model.VMID `cbor:"1,keyasint"`
	Epoch uint64     `cbor:"2,keyasint"`
}

// agent deals with one lender: it knows which VM lends, and becomes the lender
// itself when there is none. Its run goroutine makes all store
// calls; the other methods are safe for concurrent use.
type agent struct {
	service *Service
	id      lenderID
	lease   lease
	jitter  jitter
	// renewing reports that the latest renewal failed and is due at once.
	renewing bool
	// recheck wakes the run goroutine to read the lease's record.
	recheck chan struct{}

	mu     sync.Mutex
	lender *Lender
	holder record
	// watcher reports that this VM keeps an eye on the lender without demand.
	watcher bool
	// rank is how long this VM waits before it takes a free lease.
	rank   time.Duration
	asking bool
	// served holds what the latest served request asked for, and when.
	served   []Demand
	servedAt time.Time
	// unanswered counts the requests in a row that no lender served.
	unanswered int
	askedAt    time.Time
	wantedAt   time.Time
}

func newAgent(s *Service, id lenderID) *agent {
	a := &agent{
		service: s,
		id:      id,
		jitter:  s.jitter.fork(),
		recheck: make(chan struct{}, 1),
		lender:  NewLender(LenderOptions{Timing: s.opts.Timing, RequireConfirm: s.opts.RequireConfirm}),
	}
	a.lease = lease{store: s.opts.Store, key: id.key(), now: s.opts.Now}
	return a
}

func (a *agent) setCaps(now time.Time, d *deployment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lender.SetCaps(now, d.slots, d.caps[a.id])
	a.rank, a.watcher = rankOf(a.service.opts.Self, a.id, d)
	a.signal()
}

func (a *agent) confirmUntil(now, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lender.ConfirmUntil(now, until)
}

// lend serves a request in the time of its arrival.
func (a *agent) lend(from model.VMID, req GrantRequest) GrantReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lender.Lend(a.service.opts.Now(), from, req)
}

func (a *agent) currentHolder() record {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder
}

// asked ends a request and notes whether the lender answered it.
func (a *agent) asked(answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asking = false
	a.unanswered++
	if answered {
		a.unanswered = 0
	}
}

// forget drops a holder that does not lend and looks for the next one.
func (a *agent) forget(h record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holder == h {
		a.holder = record{}
	}
	a.signal()
}

// signal wakes the run goroutine.
func (a *agent) signal() {
	select {
	case a.recheck <- struct{}{}:
	default:
	}
}

// run follows the lease until ctx ends.
func (a *agent) run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := a.step(ctx)
		if err == nil {
			backoff = firstBackoff
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
	return firstBackoff
}

// step renews a held lease, or else finds the holder or takes the lease.
func (a *agent) step(ctx context.Context) error {
	if a.lease.held() {
		if !a.renewing && !background.Sleep(ctx, a.jitter.around(keepAliveInterval)) {
			return nil
		}
		return a.renew(ctx)
	}
	if a.lease.lapsed() {
		a.lost(errLeaseLapsed)
	}
	if !a.interested() {
		return a.await(ctx)
	}
	err := a.find(ctx)
	if err == nil {
		return a.await(ctx)
	}
	if !errors.Is(err, errNoLease) {
		return err
	}
	return a.compete(ctx)
}

// await sleeps until the holder has to be looked up, at least for one back-off.
func (a *agent) await(ctx context.Context) error {
	if a.lease.held() {
		return nil
	}
	if !background.Sleep(ctx, a.jitter.around(a.patience())) {
		return nil
	}
	select {
	case <-a.recheck:
	case <-ctx.Done():
	}
	return nil
}

// patience returns how long to wait before the store is read again. It grows
// slowly with the requests that no lender served: a dead lender's lease lapses
// within its duration, but a lender may be out of reach for hours.
func (a *agent) patience() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(firstBackoff+time.Duration(a.unanswered)*backoffStep, maxBackoff)
}

// interested reports whether this VM looks for the lender and takes a free
// lease: a watcher always, others only while they have demand.
func (a *agent) interested() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watcher {
		return true
	}
	return !a.wantedAt.IsZero() && a.service.opts.Now().Sub(a.wantedAt) < checkInterval
}

// find reads the record of the lease. A record that this VM wrote without
// learning of it makes it the holder.
func (a *agent) find(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	found, err := a.lease.read(ctx)
	if errors.Is(err, errNoLease) {
		return err
	}
	if err != nil {
		a.service.metrics.store("get", err)
		return err
	}
	if a.lease.confirm(found) {
		a.acquired(found)
		return nil
	}
	a.setHolder(found)
	return nil
}

// compete waits for its turn and then takes the lease if it is still free.
func (a *agent) compete(ctx context.Context) error {
	if !background.Sleep(ctx, a.turn()) {
		return nil
	}
	if err := a.find(ctx); !errors.Is(err, errNoLease) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec := record{VM: a.service.opts.Self, Epoch: a.jitter.rand.Uint64() | 1}
	if err := a.lease.take(ctx, rec); err != nil {
		a.service.metrics.store("take", err)
		return err
	}
	a.acquired(rec)
	return nil
}

func (a *agent) turn() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rank
}

// acquired begins a term as the lender.
func (a *agent) acquired(rec record) {
	a.setHolder(rec)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lender.Acquired(a.service.opts.Now(), a.lease.until, rec.Epoch)
	a.service.metrics.holding(a.id, true)
	a.service.record("acquired the lease " + a.id.key())
	a.service.opts.Logger.Info("quota lease acquired", "lender", a.id.key(), "epoch", rec.Epoch)
}

func (a *agent) setHolder(rec record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder = rec
}

// renew keeps the lease alive. The term ends when the lease has lapsed or the
// store stays silent until its end.
func (a *agent) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := a.lease.renew(ctx)
	a.renewing = err != nil
	if err != nil {
		a.service.metrics.store("keep_alive", err)
	}
	if !a.lease.held() {
		a.lost(errLeaseLapsed)
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lender.Renewed(a.service.opts.Now(), a.lease.until)
	return err
}

// lost ends the term as the lender.
func (a *agent) lost(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lender.Lost()
	a.holder = record{}
	a.signal()
	a.service.metrics.holding(a.id, false)
	a.service.record("lost the lease " + a.id.key())
	a.service.opts.Logger.Warn("quota lease lost", "lender", a.id.key(), "cause", cause)
}

// release gives the lease up. The run goroutine has ended.
func (a *agent) release(ctx context.Context) {
	if !a.lease.held() {
		return
	}
	a.lost(nil)
	if err := a.lease.release(ctx); err != nil {
		a.service.metrics.store("revoke", err)
	}
}

// decodeRecord reads the value under a lender's key.
func decodeRecord(value []byte) (record, error) {
	var rec record
	if err := cbor.Unmarshal(value, &rec); err != nil {
		return record{}, errors.WithMessage(errBadRecord, err.Error())
	}
	return rec, nil
}
