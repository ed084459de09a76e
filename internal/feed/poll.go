package feed

import (
	"context"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/replica"
)

// pollRequest asks for the events after revision After of Era.
type pollRequest struct {
	After uint64 `cbor:"1,keyasint"`
	Era   uint64 `cbor:"2,keyasint,omitempty"`
}

func (r pollRequest) position() replica.Position {
	return replica.Position{Era: r.Era, Revision: r.After}
}

// pollResponse carries a batch and the state of the sender's replica.
type pollResponse struct {
	Batch encodedBatch `cbor:"1,keyasint"`
	// Age is the age of the sender's replica.
	Age time.Duration `cbor:"2,keyasint"`
	// StoreDown reports that the sender does not reach the store itself, or has not
	// heard from it in time, and so is no source of changes.
	StoreDown bool `cbor:"4,keyasint,omitempty"`
}

// pollReader polls the first reader that is not backed off, that of the own
// region first. It reports false if there is none.
func (s *Service) pollReader(ctx context.Context, now time.Time) bool {
	for _, vm := range SelectReaders(s.opts.Alive(), s.opts.Self) {
		if vm.Name == s.opts.Self.Name || now.Before(s.avoidUntil[vm.Name]) {
			continue
		}
		s.pollPeer(ctx, vm)
		return true
	}
	return false
}

// catchUp polls a VM with a later position. ObservePosition does not cancel this
// poll during catchUpGrace, since a large change takes long on a slow link.
func (s *Service) catchUp(ctx context.Context, vm catalog.VM, now time.Time) {
	s.setCatchUpStart(now)
	s.pollPeer(ctx, vm)
	s.setCatchUpStart(time.Time{})
}

func (s *Service) setCatchUpStart(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catchUpStart = since
}

func (s *Service) pollPeer(ctx context.Context, vm catalog.VM) {
	if s.source != vm.Name {
		s.opts.Log.Event("following", "peer", vm.Name, "revision", s.opts.Replica.Position().Revision)
		s.source = vm.Name
	}
	s.opts.Links.SetAddress(vm.Name, vm.Peer)
	timeout := overdueAfter - s.Age(time.Now())
	if timeout <= 0 {
		timeout = pollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.mu.Lock()
	s.cancelPoll = cancel
	s.mu.Unlock()
	var resp pollResponse
	position := s.opts.Replica.Position()
	err := s.opts.Links.Call(ctx, vm.Name, peer.KindFeed, pollRequest{After: position.Revision, Era: position.Era}, &resp)
	now := time.Now()
	var batch replica.Batch
	if err == nil {
		batch, err = resp.Batch.decode()
	}
	if err != nil {
		s.avoidUntil[vm.Name] = now.Add(peerBackoff)
		s.opts.Log.Event("peer does not answer", "peer", vm.Name, "cause", err)
		return
	}
	if resp.StoreDown || resp.Age >= overdueAfter {
		s.avoidUntil[vm.Name] = now.Add(peerBackoff)
	}
	s.noteRestore(batch, position, now)
	s.apply(batch, now.Add(-resp.Age))
}

// handlePoll answers a follower's poll as soon as there is a change or the replica
// matches the store again, and at the latest when it is overdue. It answers at once if
// this VM is no source of changes.
func (s *Service) handlePoll(ctx context.Context, _ model.VMID, body []byte) (any, error) {
	var req pollRequest
	if err := peer.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	if err := s.awaitNews(ctx, req.position()); err != nil {
		return nil, err
	}
	// The age is read before the batch, which may then be newer, but never older.
	age := s.settledAge()
	batch, err := s.batches.batchSince(req.position())
	if err != nil {
		return nil, err
	}
	return pollResponse{Batch: batch, Age: age, StoreDown: s.isStoreDown() || age >= overdueAfter}, nil
}

// awaitNews waits until there is something to answer to a poll from position.
func (s *Service) awaitNews(ctx context.Context, position replica.Position) error {
	synced := s.nextSync()
	timer := time.NewTimer(overdueAfter - s.Age(time.Now()))
	defer timer.Stop()
	for {
		changed := s.opts.Replica.Changed()
		if s.opts.Replica.Position().After(position) || s.isStoreDown() {
			return nil
		}
		select {
		case <-changed:
		case <-synced:
			return nil
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
