// Package feed keeps this VM's copy of the store current. One VM of each
// region reads the store and hands changes on to the others, so that calls to
// the store grow with regions and not with VMs. A VM whom the store turns away
// follows the readers of other regions.
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
	// watchWait is how long a watch of the store waits. It bounds how long a
	// silent connection to the store goes unnoticed.
	watchWait = 1200 * time.Millisecond
	// gather is the pause after a change, so that a run of changes takes few
	// calls. It is a fifth of the shortest time in which a change must be in
	// force.
	gather = 400 * time.Millisecond
	// followWait is how long a reader holds a follower's call without a change.
	followWait = 800 * time.Millisecond
	// followTimeout bounds a follower's call.
	followTimeout = followWait + 700*time.Millisecond
	// staleAfter is the age at which a copy is no longer taken as current: two
	// waits of a watch.
	staleAfter = 2500 * time.Millisecond
	// retryStore is the pause of a reader after a failed call.
	retryStore = 400 * time.Millisecond
	// retryStoreFollower is the mean pause between two calls of a VM that is
	// no reader and finds no current copy.
	retryStoreFollower = 1500 * time.Millisecond
	// behindFor is how long another VM must have been ahead before this one asks
	// it: several times what a change takes from a reader to its followers.
	behindFor = 250 * time.Millisecond
	// catchUpFor is how long a call that was made to catch up is left alone: twice
	// the time that a configuration of half a megabyte takes on a link of
	// 10 Mbit/s.
	catchUpFor = 800 * time.Millisecond
	// avoidPeer is how long a peer that failed or was stale is not asked.
	avoidPeer = time.Second
	// pause is the wait when there is nobody to ask.
	pause = 100 * time.Millisecond
)

// everything is the prefix of all keys: one watch of the whole store costs less
// than one for each kind of item.
const everything = ""

// Store is the part of the platform's store that the feed needs.
type Store interface {
	List(ctx context.Context, prefix string) (replica.Batch, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (replica.Batch, error)
}

// Options configure a Service.
type Options struct {
	Self   catalog.VM
	Store  Store
	Links  peer.Links
	Copy   *replica.Replica
	Alive  func() []catalog.VM
	Random *rand.Rand
	Log    *decisions.Log
	// Compacted tells a store error that asks for a new listing.
	Compacted func(error) bool
}

// Service follows the store or a peer.
type Service struct {
	opts   Options
	group  background.Group
	packer packer

	mu sync.Mutex
	// freshAt is the latest moment at which the copy is known to be complete.
	freshAt time.Time
	// down says that this VM's calls to the store fail.
	down bool
	// returnedAt is when the store was last regained, by this VM or by the
	// reader that it follows.
	returnedAt time.Time
	// behindOf is a revision that another VM has had since behindSince.
	behindOf    uint64
	behindSince time.Time
	// ahead is a VM to ask next because it is ahead.
	ahead *catalog.VM
	// interrupt ends the call to a peer that is under way.
	interrupt context.CancelFunc
	// catchingUp is when the call under way was made, if it was made because
	// the peer is ahead.
	catchingUp time.Time

	// The fields below belong to the loop's goroutine.
	relist    bool
	nextStore time.Time
	avoid     map[model.VMID]time.Time
	following model.VMID
	stale     bool
}

type request struct {
	After uint64 `cbor:"1,keyasint"`
}

type reply struct {
	Batch packed `cbor:"1,keyasint"`
	// Age is how old the sender's copy is.
	Age time.Duration `cbor:"2,keyasint"`
	// Returned is how long ago the store was regained, negative for never.
	Returned time.Duration `cbor:"3,keyasint"`
	// Down says that the sender's own calls to the store fail, so that it is no
	// source of changes.
	Down bool `cbor:"4,keyasint,omitempty"`
}

// New returns a Service that answers its peers and reads from Start on.
func New(opts Options) *Service {
	s := &Service{
		opts: opts, packer: packer{copy: opts.Copy}, avoid: map[model.VMID]time.Time{}, interrupt: func() {},
	}
	opts.Links.HandleSlow(peer.KindFeed, s.serve)
	return s
}

// Start begins to follow.
func (s *Service) Start(ctx context.Context) error {
	if err := s.group.Start(ctx); err != nil {
		return err
	}
	s.group.Go(s.run)
	return nil
}

// Stop ends the feed.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

// Age returns how old the copy may be.
func (s *Service) Age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.freshAt)
}

// Returned returns when the store was last regained after an outage, and
// whether the copy is cut off from the store right now.
func (s *Service) Returned(now time.Time) (at time.Time, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returnedAt, now.Sub(s.freshAt) > staleAfter
}

// Revision returns the revision of the copy.
func (s *Service) Revision() uint64 { return s.opts.Copy.Revision() }

// Hint tells of a VM's revision. If other VMs stay ahead of this copy, its
// source has been cut off without a sign; the VM that is ahead is asked.
func (s *Service) ObserveRevision(vm catalog.VM, revision uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.opts.Copy.Revision()
	switch {
	case revision <= own:
	case s.behindOf <= own:
		s.behindOf, s.behindSince = revision, now
	case now.Sub(s.catchingUp) < catchUpFor:
		// The answer is on its way.
	case now.Sub(s.behindSince) >= behindFor:
		s.behindOf, s.ahead = 0, &vm
		s.interrupt()
	}
}

// takeAhead returns the VM to ask because it is ahead, once.
func (s *Service) takeAhead() *catalog.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm := s.ahead
	s.ahead = nil
	return vm
}

func (s *Service) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		s.noteStale(now)
		if vm := s.takeAhead(); vm != nil {
			s.opts.Log.Event("left behind", "peer", vm.Name, "revision", s.opts.Copy.Revision(), "following", s.following)
			s.catchUp(ctx, *vm, now)
			continue
		}
		if s.storeDue(now) {
			s.readStore(ctx)
			continue
		}
		if !s.follow(ctx, now) {
			background.Sleep(ctx, pause)
		}
	}
}

func (s *Service) noteStale(now time.Time) {
	stale := s.Age(now) > staleAfter
	if stale == s.stale {
		return
	}
	s.stale = stale
	if stale {
		s.opts.Log.Event("copy of the store is stale", "revision", s.opts.Copy.Revision(), "age", s.Age(now))
		return
	}
	s.opts.Log.Event("copy of the store is current", "revision", s.opts.Copy.Revision())
}

// storeDue says whether this VM calls the store now: as its region's reader,
// or because no peer has a current copy.
func (s *Service) storeDue(now time.Time) bool {
	if now.Before(s.nextStore) {
		return false
	}
	if s.opts.Copy.Revision() == 0 {
		return true
	}
	readers := Readers(s.opts.Alive(), s.opts.Self)
	return readers[0].Name == s.opts.Self.Name || s.Age(now) > staleAfter
}

func (s *Service) readStore(ctx context.Context) {
	batch, err := s.fetch(ctx)
	now := time.Now()
	if err != nil {
		s.storeFailed(err, now)
		return
	}
	s.storeAnswered(now)
	s.relist = false
	fresh := s.opts.Copy.Apply(batch)
	if len(fresh) > 0 {
		background.Sleep(ctx, gather)
	}
}

func (s *Service) fetch(ctx context.Context) (replica.Batch, error) {
	after := s.opts.Copy.Revision()
	if after == 0 || s.relist {
		return s.opts.Store.List(ctx, everything)
	}
	return s.opts.Store.Watch(ctx, everything, after, watchWait)
}

func (s *Service) storeFailed(err error, now time.Time) {
	if s.opts.Compacted(err) {
		s.relist = true
		s.opts.Log.Event("store dropped its history", "revision", s.opts.Copy.Revision())
		return
	}
	s.nextStore = now.Add(s.backoff())
	s.mu.Lock()
	first := !s.down
	s.down = true
	s.mu.Unlock()
	if first {
		s.opts.Log.Event("store lost", "cause", errors.Cause(err), "detail", err.Error())
	}
}

// backoff spreads the calls of VMs that find no current copy.
func (s *Service) backoff() time.Duration {
	readers := Readers(s.opts.Alive(), s.opts.Self)
	if readers[0].Name == s.opts.Self.Name {
		return retryStore
	}
	return retryStoreFollower/2 + time.Duration(s.opts.Random.Int64N(int64(retryStoreFollower)))
}

func (s *Service) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *Service) storeAnswered(now time.Time) {
	s.mu.Lock()
	regained := s.down
	s.down = false
	s.freshAt = now
	if regained {
		s.returnedAt = now
	}
	s.mu.Unlock()
	if regained {
		s.opts.Log.Event("store regained", "revision", s.opts.Copy.Revision())
	}
}

// follow asks the nearest reader that is not avoided for changes. It reports
// false when there is nobody to ask.
func (s *Service) follow(ctx context.Context, now time.Time) bool {
	for _, vm := range Readers(s.opts.Alive(), s.opts.Self) {
		if vm.Name == s.opts.Self.Name || now.Before(s.avoid[vm.Name]) {
			continue
		}
		s.ask(ctx, vm)
		return true
	}
	return false
}

// catchUp asks a VM that is ahead. Hints leave the call alone for a while: a
// large change takes its time on a narrow link.
func (s *Service) catchUp(ctx context.Context, vm catalog.VM, now time.Time) {
	s.setCatchingUp(now)
	s.ask(ctx, vm)
	s.setCatchingUp(time.Time{})
}

func (s *Service) setCatchingUp(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catchingUp = since
}

func (s *Service) ask(ctx context.Context, vm catalog.VM) {
	if s.following != vm.Name {
		s.opts.Log.Event("following", "peer", vm.Name, "revision", s.opts.Copy.Revision())
		s.following = vm.Name
	}
	s.opts.Links.SetAddress(vm.Name, vm.Peer)
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	s.mu.Lock()
	s.interrupt = cancel
	s.mu.Unlock()
	var answer reply
	err := s.opts.Links.Call(ctx, vm.Name, peer.KindFeed, request{After: s.opts.Copy.Revision()}, &answer)
	now := time.Now()
	var batch replica.Batch
	if err == nil {
		batch, err = answer.Batch.unpack()
	}
	if err != nil {
		s.avoid[vm.Name] = now.Add(avoidPeer)
		s.opts.Log.Event("peer does not answer", "peer", vm.Name, "cause", err)
		return
	}
	if answer.Down || answer.Age > staleAfter {
		s.avoid[vm.Name] = now.Add(avoidPeer)
	}
	s.take(answer, now)
	s.opts.Copy.Apply(batch)
}

func (s *Service) take(answer reply, now time.Time) {
	s.mu.Lock()
	if fresh := now.Add(-answer.Age); fresh.After(s.freshAt) {
		s.freshAt = fresh
	}
	if answer.Returned >= 0 && now.Add(-answer.Returned).After(s.returnedAt) {
		s.returnedAt = now.Add(-answer.Returned)
	}
	s.mu.Unlock()
}

// serve answers a follower, at the latest after followWait, and at once when
// this VM is no source.
func (s *Service) serve(ctx context.Context, _ model.VMID, body []byte) (any, error) {
	var in request
	if err := peer.Unmarshal(body, &in); err != nil {
		return nil, err
	}
	timer := time.NewTimer(followWait)
	defer timer.Stop()
	for waiting := true; waiting; {
		changed := s.opts.Copy.Changed()
		if s.opts.Copy.Revision() > in.After || s.isDown() {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	batch, err := s.packer.since(in.After)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	answer := reply{Batch: batch, Age: s.Age(now), Returned: -1, Down: s.isDown()}
	if at, _ := s.Returned(now); !at.IsZero() {
		answer.Returned = now.Sub(at)
	}
	return answer, nil
}
