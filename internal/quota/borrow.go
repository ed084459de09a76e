package quota

import (
	"context"
	"slices"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/model"
)

// borrowLoop requests grants for the demands of the limiter until ctx ends.
func (s *Service) borrowLoop(ctx context.Context, j jitter) {
	for background.Sleep(ctx, j.around(s.opts.Timing.borrowInterval())) {
		now := s.opts.Now()
		demands := s.demandsByLender(now)
		for _, a := range s.allAgents() {
			if !a.beginRequest(now, demands[a.id]) {
				continue
			}
			s.group.Go(func(ctx context.Context) { a.requestGrants(ctx, demands[a.id]) })
		}
	}
}

// demandsByLender returns the demands of the limiter, grouped by lender.
func (s *Service) demandsByLender(now time.Time) map[lenderID][]Demand {
	demands := s.limiter.Demands(now)
	if len(demands) == 0 {
		return nil
	}
	grouped := make(map[lenderID][]Demand)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range demands {
		id := s.deployment.lenderOf(d.Key)
		grouped[id] = append(grouped[id], d)
	}
	return grouped
}

// beginRequest reports whether to send a request now, and if so marks it as in
// flight.
func (a *lenderAgent) beginRequest(now time.Time, demands []Demand) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(demands) > 0 {
		a.lastDemandAt = now
	}
	if a.requestInFlight || !a.requestNeeded(now, demands) {
		return false
	}
	if a.holder.Epoch == 0 {
		a.wakeUp()
		return false
	}
	a.requestInFlight = true
	a.requestedAt = now
	return true
}

// requestNeeded reports whether to send a request: to renew grants after half
// their duration, to request more, or, without demand, to check the lender. The
// caller holds a.mu.
func (a *lenderAgent) requestNeeded(now time.Time, demands []Demand) bool {
	if len(demands) == 0 {
		return a.watcher && now.Sub(a.requestedAt) >= checkInterval
	}
	if now.Sub(a.servedAt) >= a.service.opts.Timing.GrantTTL/2 {
		return true
	}
	return demandGrew(a.lastServed, demands)
}

// demandGrew reports whether a demand is new or grew by more than a quarter.
// Both slices are sorted by key.
func demandGrew(before, now []Demand) bool {
	for _, d := range now {
		at, found := slices.BinarySearchFunc(before, d.Key, func(b Demand, k Key) int { return b.Key.compare(k) })
		if !found || d.Rate > before[at].Rate+before[at].Rate/4 {
			return true
		}
	}
	return false
}

// requestGrants sends one request to the lender and adds the grants of the
// reply. The duration of the grants starts before the request is sent, so that
// they expire here no later than at the lender.
func (a *lenderAgent) requestGrants(ctx context.Context, demands []Demand) {
	holder := a.currentHolder()
	sent := a.service.opts.Now()
	req := GrantRequest{
		Lender:    a.id,
		Epoch:     holder.Epoch,
		ProcessID: a.service.processID,
		Demands:   demands,
	}
	reply, err := a.callLender(ctx, holder.VM, req)
	a.requestDone(err == nil && reply.Status != GrantNotHolder)
	if err != nil {
		a.service.metrics.countCallFailure(err)
		a.forgetHolder(holder)
		return
	}
	a.service.metrics.countReply(reply.Status)
	switch reply.Status {
	case GrantServed:
		a.addGrants(sent, demands, reply)
	case GrantNotHolder:
		a.forgetHolder(holder)
	}
}

// addGrants adds the grants of a reply to the limiter.
func (a *lenderAgent) addGrants(sent time.Time, demands []Demand, reply GrantReply) {
	a.mu.Lock()
	a.lastServed, a.servedAt = demands, sent
	a.mu.Unlock()
	limiter := a.service.limiter
	for _, grant := range reply.Grants {
		limiter.AddGrant(a.service.opts.Now(), Grant{
			Key:     grant.Key,
			Rate:    grant.Rate,
			Expires: sent.Add(grant.Remaining),
			Epoch:   reply.Epoch,
		})
	}
}

// callLender sends a request to the lender, which may be this VM.
func (a *lenderAgent) callLender(ctx context.Context, to model.VMID, req GrantRequest) (GrantReply, error) {
	if to == a.service.opts.Self {
		return a.serve(to, req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply GrantReply
	if err := a.service.opts.Links.Call(ctx, to, peerKind, req, &reply); err != nil {
		return GrantReply{}, fromCallError(err)
	}
	return reply, nil
}
