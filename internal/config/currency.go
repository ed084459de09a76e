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
	s.fresh.observe(r, at)
	s.publishFreshness()
}

// stampNow returns the present instant in a form that only this process reads.
func (s *Service) stampNow() stamp {
	return stamp{Epoch: s.epoch, Since: s.now().Sub(s.started)}
}

// readStamp returns the instant of a stamp that this process made.
func (s *Service) readStamp(t stamp) (time.Time, bool) {
	if t.Epoch != s.epoch {
		return time.Time{}, false
	}
	return s.started.Add(t.Since), true
}

// takeReport keeps what a request tells of the asker. The asker read its state
// after the echoed stamp, so the stamp is the instant of the evidence.
func (s *Service) takeReport(from model.VMID, req *fetchRequest) {
	at, ours := s.readStamp(req.Echo)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ours || !req.Clean {
		delete(s.reports, from)
		return
	}
	s.reports[from] = evidence{revision: req.Revision, at: at}
}

// ownZone returns the instants of the evidence of this zone's slots, this entry
// VM's own included. The caller holds the lock.
func (s *Service) ownZone(now time.Time) []time.Time {
	if s.inForce == nil {
		return nil
	}
	known := maps.Clone(s.reports)
	if s.acks.clean(s.fresh.currentAt) {
		known[s.self] = evidence{revision: s.fresh.inForce, at: now}
	}
	return zoneInstants(s.inForce.doc.Slots, s.zone, known, s.fresh.inForce)
}

// zoneReport returns the evidence of this zone in compact form.
func (s *Service) zoneReport(now time.Time) []ageCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	return countAges(s.ownZone(now), now)
}

// request returns the fetch request that tells to of this entry VM's state.
func (s *Service) request(to model.VMID) fetchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fetchRequest{
		Revision: s.inForce.revision(),
		Clean:    s.acks.clean(s.fresh.currentAt),
		Echo:     s.echoes[to],
	}
}

func (s *Service) keepEcho(from model.VMID, t stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.echoes[from] = t
}

// freshAge returns how long ago the revision in force was known to be the
// newest, and the revision.
func (s *Service) freshAge(now time.Time) (model.Revision, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, known := s.fresh.age(now)
	return s.inForce.revision(), age, known
}

// keepEvidence takes over the evidence of another zone in its watcher's reply.
func (s *Service) keepEvidence(a peerAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce == nil || a.reply.Zone == s.zone || a.reply.Revision != s.inForce.revision() {
		return
	}
	limit := 0
	for _, slot := range s.inForce.doc.Slots {
		if slot.Zone == a.reply.Zone {
			limit++
		}
	}
	s.others[a.reply.Zone] = zoneEvidence{
		revision: a.reply.Revision,
		instants: instantsOf(a.reply.Ages, a.asked, limit),
	}
}

// restOnMajority notes the instant at which more than half of the slots knew
// of nothing newer.
func (s *Service) restOnMajority() {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce == nil {
		return
	}
	instants := s.ownZone(now)
	for _, other := range s.others {
		if other.revision == s.fresh.inForce {
			instants = append(instants, other.instants...)
		}
	}
	if at, ok := majorityInstant(len(s.inForce.doc.Slots), instants); ok {
		s.fresh.observe(s.fresh.inForce, at)
		s.publishFreshness()
	}
}
