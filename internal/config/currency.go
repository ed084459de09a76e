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

// observe notes that no revision above r was committed before the instant at.
func (s *Service) observe(r model.Revision, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.observe(r, at)
	s.publishFreshness()
}

// stampNow returns the present instant in a form that only this process reads.
func (s *Service) newStamp() clockStamp {
	return clockStamp{Epoch: s.epoch, Elapsed: s.now().Sub(s.started)}
}

// readStamp returns the instant of a stamp that this process made.
func (s *Service) stampTime(t clockStamp) (time.Time, bool) {
	if t.Epoch != s.epoch {
		return time.Time{}, false
	}
	return s.started.Add(t.Elapsed), true
}

// takeReport keeps what a request tells of the asker. The asker read its state
// after the echoed stamp, so the stamp is the instant of the evidence.
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

// ownZone returns the instants of the evidence of this zone's slots, this entry
// VM's own included. The caller holds the lock.
func (s *Service) zoneEvidenceTimes(now time.Time) []time.Time {
	if s.active == nil {
		return nil
	}
	byVM := maps.Clone(s.vmEvidence)
	if s.acks.noneOutstanding(s.freshness.latestAt) {
		byVM[s.self] = evidence{revision: s.freshness.revision, at: now}
	}
	return evidenceTimes(s.active.doc.Slots, s.zone, byVM, s.freshness.revision)
}

// zoneReport returns the evidence of this zone in compact form.
func (s *Service) zoneAges(now time.Time) []ageCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encodeAges(s.zoneEvidenceTimes(now), now)
}

// request returns the fetch request that tells to of this entry VM's state.
func (s *Service) newFetchRequest(to model.VMID) fetchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fetchRequest{
		Revision:   s.active.revision(),
		NoOpenAcks: s.acks.noneOutstanding(s.freshness.latestAt),
		LastStamp:  s.peerStamps[to],
	}
}

func (s *Service) storePeerStamp(from model.VMID, t clockStamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerStamps[from] = t
}

// freshAge returns how long ago the revision in force was known to be the
// newest, and the revision.
func (s *Service) activeAge(now time.Time) (model.Revision, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, known := s.freshness.age(now)
	return s.active.revision(), age, known
}

// keepEvidence takes over the evidence of another zone in its watcher's reply.
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

// restOnMajority notes the instant at which more than half of the slots knew
// of nothing newer.
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
