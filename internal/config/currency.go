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

// reportsSince returns the reports that are young enough to be of use, this
// entry VM's own included.
func (s *Service) reportsSince(now time.Time) []report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []report
	for vm, e := range s.reports {
		age := now.Sub(e.at)
		if age > confirmFor {
			delete(s.reports, vm)
			continue
		}
		out = append(out, report{VM: vm, Revision: e.revision, Age: age})
	}
	if s.acks.clean(s.fresh.currentAt) {
		out = append(out, report{VM: s.self, Revision: s.inForce.revision()})
	}
	return out
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

// keepReports takes over the reports in a peer's reply.
func (s *Service) keepReports(a peerAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range a.reply.Reports {
		at := a.asked.Add(-r.Age)
		if known, ok := s.others[r.VM]; ok && known.at.After(at) {
			continue
		}
		s.others[r.VM] = evidence{revision: r.Revision, at: at}
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
	known := make(map[model.VMID]evidence, len(s.others)+len(s.reports)+1)
	maps.Copy(known, s.others)
	maps.Copy(known, s.reports)
	if s.acks.clean(s.fresh.currentAt) {
		known[s.self] = evidence{revision: s.fresh.inForce, at: now}
	}
	at, ok := majorityInstant(s.inForce.doc.Slots, known, s.fresh.inForce)
	if ok {
		s.fresh.observe(s.fresh.inForce, at)
	}
}
