package config

import (
	"fmt"
	"maps"
	"time"

	"fuchsiaspar/internal/model"
)

func adoptionDetail(before, after *version, source string) string {
	by := ""
	if after.head != nil {
		by = fmt.Sprintf(", change %s of %s", after.head.ChangeID, after.head.Operator)
	}
	return fmt.Sprintf("revision %d replaced %d, learnt from %s%s", after.revision(), before.revision(), source, by)
}

// observe records that no revision above r was committed before the instant at.
func (s *Service) observe(r model.Revision, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.observe(r, at)
	s.publishFreshness()
}

// newStamp returns the current time as an offset that only this process can
// interpret.
func (s *Service) newStamp() clockStamp {
	return clockStamp{Epoch: s.epoch, Elapsed: s.now().Sub(s.startedAt)}
}

// stampTime returns the time of a stamp, and false if another process created
// it.
func (s *Service) stampTime(t clockStamp) (time.Time, bool) {
	if t.Epoch != s.epoch {
		return time.Time{}, false
	}
	return s.startedAt.Add(t.Elapsed), true
}

// recordPeerState stores the state that a fetch request reports of its sender.
// The sender read its state after receiving the echoed stamp, so the stamp is a
// lower bound for the time of the evidence.
func (s *Service) recordPeerState(from model.VMID, req *fetchRequest) {
	at, own := s.stampTime(req.LastStamp)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !own || !req.NoOpenAcks {
		delete(s.vmEvidence, from)
		return
	}
	s.vmEvidence[from] = evidence{revision: req.Revision, at: at}
}

// zoneEvidenceTimes returns the times of the evidence for the slots of this
// zone, including this entry VM. The caller holds s.mu.
func (s *Service) zoneEvidenceTimes(now time.Time) []time.Time {
	if s.active == nil {
		return nil
	}
	byVM := maps.Clone(s.vmEvidence)
	if s.acks.noneOutstanding(s.freshness.currentAsOf) {
		byVM[s.self] = evidence{revision: s.freshness.revision, at: now}
	}
	return evidenceTimes(s.active.doc.Slots, s.zone, byVM, s.freshness.revision)
}

// zoneAges returns the evidence of this zone in compact form.
func (s *Service) zoneAges(now time.Time) []ageCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encodeAges(s.zoneEvidenceTimes(now), now)
}

// newFetchRequest returns a fetch request that reports this entry VM's state to
// the VM to.
func (s *Service) newFetchRequest(to model.VMID) fetchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fetchRequest{
		Revision:   s.active.revision(),
		NoOpenAcks: s.acks.noneOutstanding(s.freshness.currentAsOf),
		LastStamp:  s.peerStamps[to],
	}
}

func (s *Service) storePeerStamp(from model.VMID, t clockStamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerStamps[from] = t
}

// activeAge returns the active revision and how long ago it was known to be the
// latest. It returns false if it was never known to be.
func (s *Service) activeAge(now time.Time) (model.Revision, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, known := s.freshness.age(now)
	return s.active.revision(), age, known
}

// recordZoneEvidence stores the evidence that the watcher of another zone
// reported in its reply.
func (s *Service) recordZoneEvidence(a peerAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil || a.reply.Zone == s.zone || a.reply.Revision != s.active.revision() {
		return
	}
	limit := 0
	for _, slot := range s.active.doc.Slots {
		if slot.Zone == a.reply.Zone {
			limit++
		}
	}
	s.zoneEvidence[a.reply.Zone] = zoneEvidence{
		revision: a.reply.Revision,
		times:    decodeAges(a.reply.Ages, a.sentAt, limit),
	}
}

// confirmByMajority records the latest time at which more than half of the
// slots knew of no newer revision.
func (s *Service) confirmByMajority() {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		return
	}
	times := s.zoneEvidenceTimes(now)
	for _, other := range s.zoneEvidence {
		if other.revision == s.freshness.revision {
			times = append(times, other.times...)
		}
	}
	if at, ok := majorityTime(len(s.active.doc.Slots), times); ok {
		s.freshness.observe(s.freshness.revision, at)
		s.publishFreshness()
	}
}
