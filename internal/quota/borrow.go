package quota

import (
	"context"
	"slices"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/model"
)

// borrow asks the lenders for what the ledger needs, until ctx ends.
func (s *Service) borrow(ctx context.Context, pace jitter) {
	for background.Sleep(ctx, pace.around(s.opts.Timing.borrowInterval())) {
		now := s.opts.Now()
		demands := s.demandsByLender(now)
		for _, a := range s.allAgents() {
			if !a.due(now, demands[a.id]) {
				continue
			}
			s.group.Go(func(ctx context.Context) { a.ask(ctx, demands[a.id]) })
		}
	}
}

// demandsByLender groups the ledger's demands by who lends them.
func (s *Service) demandsByLender(now time.Time) map[lenderID][]Demand {
	demands := s.ledger.Demands(now)
	if len(demands) == 0 {
		return nil
	}
	grouped := make(map[lenderID][]Demand)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range demands {
		id := s.doc.lenderOf(d.Key)
		grouped[id] = append(grouped[id], d)
	}
	return grouped
}

// due reports whether to send a request now, and marks one as under way.
func (a *agent) due(now time.Time, demands []Demand) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(demands) > 0 {
		a.wantedAt = now
	}
	if a.asking || !a.needs(now, demands) {
		return false
	}
	if a.holder.Epoch == 0 {
		a.signal()
		return false
	}
	a.asking = true
	a.askedAt = now
	return true
}

// needs reports whether a request is worth sending: to renew grants at half
// their duration, to ask for more, or to test the lender. The caller holds a.mu.
func (a *agent) needs(now time.Time, demands []Demand) bool {
	if len(demands) == 0 {
		return a.watcher && now.Sub(a.askedAt) >= checkInterval
	}
	if now.Sub(a.servedAt) >= a.service.opts.Timing.GrantTTL/2 {
		return true
	}
	return grown(a.served, demands)
}

// grown reports whether a demand is new or grew by a quarter. Both lists are in
// order of key.
func grown(before, now []Demand) bool {
	for _, d := range now {
		at, found := slices.BinarySearchFunc(before, d.Key, func(b Demand, k Key) int { return b.Key.compare(k) })
		if !found || d.Want > before[at].Want+before[at].Want/4 {
			return true
		}
	}
	return false
}

// ask sends one request to the lender and adopts what it lends. Expiries count
// from before the request was sent.
func (a *agent) ask(ctx context.Context, demands []Demand) {
	holder := a.currentHolder()
	sent := a.service.opts.Now()
	req := GrantRequest{
		Lender:  a.id,
		Epoch:   holder.Epoch,
		Process: a.service.process,
		Demands: demands,
	}
	reply, err := a.call(ctx, holder.VM, req)
	a.asked(err == nil && reply.Status != GrantNotHolder)
	if err != nil {
		a.service.metrics.call(err)
		a.forget(holder)
		return
	}
	a.service.metrics.reply(reply.Status)
	switch reply.Status {
	case GrantServed:
		a.adopt(sent, demands, reply)
	case GrantNotHolder:
		a.forget(holder)
	}
}

// adopt adds the loans of a reply to the ledger.
func (a *agent) adopt(sent time.Time, demands []Demand, reply GrantReply) {
	a.mu.Lock()
	a.served, a.servedAt = demands, sent
	a.mu.Unlock()
	ledger := a.service.ledger
	for _, loan := range reply.Loans {
		ledger.AddGrant(a.service.opts.Now(), Grant{
			Key:     loan.Key,
			Value:   loan.Value,
			Expires: sent.Add(loan.Remaining),
			Epoch:   reply.Epoch,
		})
	}
}

// call asks the lender, which may be this VM.
func (a *agent) call(ctx context.Context, to model.VMID, req GrantRequest) (GrantReply, error) {
	if to == a.service.opts.Self {
		return a.lend(to, req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply GrantReply
	if err := a.service.opts.Links.Call(ctx, to, peerKind, req, &reply); err != nil {
		return GrantReply{}, translateCall(err)
	}
	return reply, nil
}
