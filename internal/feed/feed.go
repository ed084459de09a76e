// Package feed keeps this VM's replica of the store up to date. One VM in each
// region, the reader, watches the store; the other VMs long-poll a reader. The
// load on the store therefore grows with the number of regions, not of VMs. A
// VM that cannot reach the store polls the readers of other regions. A VM whose replica
// has not matched the store for too long replaces its source by the store itself.
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/replica"

	"github.com/pkg/errors"
)

const (
	// watchTimeout is how long after the replica last matched the store a watch
	// call without a change returns. Each VM then knows again that its replica
	// matches the store.
	watchTimeout = 1200 * time.Millisecond
	// minWatchWait is the shortest wait of a watch, when the replica is overdue.
	minWatchWait = time.Millisecond
	// overdueAfter is the age beyond which a VM no longer waits for its source, which
	// may have lost the store without noticing. It leaves the watch a round trip to
	// the store and to the follower, and the follower a third of the shortest time
	// within which a change must take effect (2 s) to read the store itself.
	overdueAfter = watchTimeout + 300*time.Millisecond
	// outageGap is the shortest time without a replica that matches the store that
	// counts as an outage. It is more than a VM needs to replace a source, and less
	// than the two heartbeats (3 s) in which the entry of a live server can lapse.
	outageGap = 2 * time.Second
	// batchDelay is the pause after a change, so that a burst of changes is read
	// in few calls. It is a fifth of the shortest time within which a change must
	// take effect.
	batchDelay = 400 * time.Millisecond
	// pollTimeout bounds a poll while the replica is overdue: twice the transfer time
	// of a 512 KB configuration at 10 Mbit/s.
	pollTimeout = 800 * time.Millisecond
	// staleAfter is the age beyond which the replica counts as stale: about twice
	// watchTimeout.
	staleAfter = 2500 * time.Millisecond
	// readerRetryDelay is how long a reader waits after a failed store call.
	readerRetryDelay = 400 * time.Millisecond
	// followerRetryDelay is the least mean interval between the store calls of a
	// VM that is not a reader and has no peer with a current replica.
	followerRetryDelay = 1500 * time.Millisecond
	// followerCallsPerSecond bounds these calls, summed over all VMs: one VM that
	// reaches the store is enough for all.
	followerCallsPerSecond = 20
	// lagTolerance is how long another VM must have been ahead before this VM
	// polls it: several times the delay from a reader to its followers.
	lagTolerance = 250 * time.Millisecond
	// catchUpGrace is how long a catch-up poll runs before another one may cancel
	// it: twice the transfer time of a 512 KB configuration at 10 Mbit/s.
	catchUpGrace = 800 * time.Millisecond
	// peerBackoff is how long a peer is not polled after it failed or returned a
	// stale response.
	peerBackoff = time.Second
	// idleDelay is the wait when there is no reader to poll.
	idleDelay = 100 * time.Millisecond
)

// allKeys is the prefix that matches every key. A single watch of the whole
// store is cheaper than one watch per kind of item.
const allKeys = ""

// Store is the subset of the store client that the feed uses.
type Store interface {
	// List returns every item whose key starts with prefix, as a full batch.
	List(ctx context.Context, prefix string) (replica.Batch, error)
	// Watch returns the events after revision after of the store's current era.
	// Without any, it returns an empty batch once wait has passed.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (replica.Batch, error)
}

// Options configures a Service.
type Options struct {
	// Self is the record of this VM.
	Self  catalog.VM
	Store Store
	Links peer.Links
	// Replica is the copy of the store that the service updates.
	Replica *replica.Replica
	// Alive returns the live VMs, from which the readers are selected.
	Alive  func() []catalog.VM
	Random *rand.Rand
	Log    *decisions.Log
	// IsCompacted reports whether a store error means that the requested
	// revision was compacted, so that a full listing is required.
	IsCompacted func(error) bool
}

// Service updates the replica from the store or from a peer, and serves polls
// of other VMs.
type Service struct {
	opts    Options
	group   background.Group
	batches batchCache

	// applying is held while the replica and syncedAt change together.
	applying sync.Mutex

	mu sync.Mutex
	// syncedAt is the latest time at which the replica is known to have matched
	// the store.
	syncedAt time.Time
	// synced is closed when syncedAt advances.
	synced chan struct{}
	// storeDown reports that this VM's last call to the store failed.
	storeDown bool
	// recoveredAt is when the replica matched the store again after an outage.
	recoveredAt time.Time
	// restoredAt is when the replica last went over to a later era of the store.
	restoredAt time.Time
	// aheadPosition is a position after the replica's that another VM has had since
	// laggingSince.
	aheadPosition replica.Position
	laggingSince  time.Time
	// aheadPeer is a VM with a later position to poll next; nil if there is none.
	aheadPeer *catalog.VM
	// cancelPoll cancels the poll in progress.
	cancelPoll context.CancelFunc
	// catchUpStart is when the catch-up poll in progress started; zero if there
	// is none.
	catchUpStart time.Time

	// The fields below are used only by the goroutine of run.
	relist        bool
	nextStoreCall time.Time
	avoidUntil    map[model.VMID]time.Time
	source        model.VMID
	stale         bool
}

// New returns a Service that serves polls at once and updates the replica once
// started.
func New(opts Options) *Service {
	s := &Service{
		opts: opts, batches: batchCache{copy: opts.Replica}, avoidUntil: map[model.VMID]time.Time{}, cancelPoll: func() {},
		synced: make(chan struct{}),
	}
	opts.Links.HandleSlow(peer.KindFeed, s.handlePoll)
	return s
}

// Start begins to update the replica.
func (s *Service) Start(ctx context.Context) error {
	if err := s.group.Start(ctx); err != nil {
		return err
	}
	s.group.Go(s.run)
	return nil
}

// Stop ends the updates.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

// Age returns the time since the replica was last known to match the store.
func (s *Service) Age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.syncedAt)
}

// StoreStatus describes the state of the store as seen by this VM.
type StoreStatus struct {
	// RecoveredAt is when the replica last matched the store again after an outage, and
	// RestoredAt when it last went over to a later era; zero means never.
	RecoveredAt, RestoredAt time.Time
	// Disconnected reports whether the replica is stale.
	Disconnected bool
}

// StoreStatus returns the state of the store.
func (s *Service) StoreStatus(now time.Time) StoreStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStatus{RecoveredAt: s.recoveredAt, RestoredAt: s.restoredAt, Disconnected: now.Sub(s.syncedAt) > staleAfter}
}

// Position returns the position of the replica.
func (s *Service) Position() replica.Position { return s.opts.Replica.Position() }

// ObservePosition reports the position that vm has. If other VMs stay ahead for
// longer than lagTolerance, the source of this replica has silently lost the
// store, so vm is polled next.
func (s *Service) ObservePosition(vm catalog.VM, position replica.Position, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.opts.Replica.Position()
	switch {
	case !position.After(current):
	case !s.aheadPosition.After(current):
		s.aheadPosition, s.laggingSince = position, now
	case now.Sub(s.catchUpStart) < catchUpGrace:
		// A catch-up poll is in progress.
	case now.Sub(s.laggingSince) >= lagTolerance:
		s.aheadPosition, s.aheadPeer = replica.Position{}, &vm
		s.cancelPoll()
	}
}

// popAheadPeer returns and clears aheadPeer.
func (s *Service) popAheadPeer() *catalog.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm := s.aheadPeer
	s.aheadPeer = nil
	return vm
}

func (s *Service) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		s.logStaleness(now)
		if vm := s.popAheadPeer(); vm != nil {
			s.opts.Log.Event("left behind", "peer", vm.Name, "revision", s.opts.Replica.Position().Revision, "following", s.source)
			s.catchUp(ctx, *vm, now)
			continue
		}
		if s.shouldReadStore(now) {
			s.readStore(ctx)
			continue
		}
		if !s.pollReader(ctx, now) {
			background.Sleep(ctx, idleDelay)
		}
	}
}

func (s *Service) logStaleness(now time.Time) {
	stale := s.Age(now) > staleAfter
	if stale == s.stale {
		return
	}
	s.stale = stale
	if stale {
		s.opts.Log.Event("copy of the store is stale", "revision", s.opts.Replica.Position().Revision, "age", s.Age(now))
		return
	}
	s.opts.Log.Event("copy of the store is current", "revision", s.opts.Replica.Position().Revision)
}

// shouldReadStore reports whether this VM calls the store now: as the reader of
// its region, or because its replica is empty or overdue.
func (s *Service) shouldReadStore(now time.Time) bool {
	if now.Before(s.nextStoreCall) {
		return false
	}
	if s.opts.Replica.Position().IsZero() {
		return true
	}
	readers := SelectReaders(s.opts.Alive(), s.opts.Self)
	return readers[0].Name == s.opts.Self.Name || s.Age(now) >= overdueAfter
}

func (s *Service) readStore(ctx context.Context) {
	batch, err := s.fetch(ctx)
	now := time.Now()
	if err != nil {
		s.handleStoreError(err, now)
		return
	}
	current := s.opts.Replica.Position()
	if beginsEra(batch, current) && !batch.Full {
		s.relist = true
		return
	}
	s.handleStoreSuccess(now)
	s.noteRestore(batch, current, now)
	s.relist = false
	applied := s.apply(batch, now)
	switch {
	case len(applied) > 0:
		background.Sleep(ctx, batchDelay)
	case current.After(batch.Position()):
		// A store that states no era has gone back; the replica can't follow until
		// its revisions are newer.
		s.nextStoreCall = now.Add(readerRetryDelay)
	}
}

// beginsEra reports whether batch comes from a store that has been restored since the
// replica was at position.
func beginsEra(batch replica.Batch, position replica.Position) bool {
	return !position.IsZero() && batch.Era > position.Era
}

// noteRestore records that batch begins a new era, before the replica at position applies
// it. As after an outage, entries may be missing until their writers have written them
// again.
func (s *Service) noteRestore(batch replica.Batch, position replica.Position, now time.Time) {
	if !beginsEra(batch, position) {
		return
	}
	s.mu.Lock()
	s.recoveredAt, s.restoredAt = now, now
	s.mu.Unlock()
	s.opts.Log.Event("store restored from an older copy", "era", batch.Era, "previous", position.Era,
		"store_revision", batch.To, "revision", position.Revision, "items", len(batch.Events))
}

// fetch lists the store if the replica is empty or can't continue from its position, and
// watches it otherwise.
func (s *Service) fetch(ctx context.Context) (replica.Batch, error) {
	position := s.opts.Replica.Position()
	if position.IsZero() || s.relist {
		return s.opts.Store.List(ctx, allKeys)
	}
	return s.opts.Store.Watch(ctx, allKeys, position.Revision, max(watchTimeout-s.Age(time.Now()), minWatchWait))
}

func (s *Service) handleStoreError(err error, now time.Time) {
	if s.opts.IsCompacted(err) {
		s.relist = true
		s.opts.Log.Event("store dropped its history", "revision", s.opts.Replica.Position().Revision)
		return
	}
	s.nextStoreCall = now.Add(s.storeRetryDelay())
	s.mu.Lock()
	first := !s.storeDown
	s.storeDown = true
	s.mu.Unlock()
	if first {
		s.opts.Log.Event("store lost", "cause", errors.Cause(err), "detail", err.Error())
	}
}

// storeRetryDelay returns the delay before the next store call. It is
// randomized on followers, which all turn to the store when no reader has a
// current replica.
func (s *Service) storeRetryDelay() time.Duration {
	readers := SelectReaders(s.opts.Alive(), s.opts.Self)
	if readers[0].Name == s.opts.Self.Name {
		return readerRetryDelay
	}
	mean := max(followerRetryDelay, time.Duration(len(s.opts.Alive()))*time.Second/followerCallsPerSecond)
	return mean/2 + time.Duration(s.opts.Random.Int64N(int64(mean)))
}

func (s *Service) isStoreDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDown
}

func (s *Service) handleStoreSuccess(now time.Time) {
	s.mu.Lock()
	regained := s.storeDown
	s.storeDown = false
	s.mu.Unlock()
	if regained {
		s.opts.Log.Event("store regained", "revision", s.opts.Replica.Position().Revision)
	}
}
