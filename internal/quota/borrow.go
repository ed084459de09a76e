package quota

import (
	"context"
	"time"

	"fuchsiaspar/internal/model"
)

// borrow asks the lenders for what the ledger needs, until ctx ends.
func (s *Service) borrow(ctx context.Context, pace jitter) {
	for sleep(ctx, pace.around(borrowInterval)) {
		now := s.opts.Now()
		demands := s.demandsByLender(now)
		for _, a := range s.allAgents() {
			if !a.due(now, demands[a.id]) {
				continue
			}
			s.running.Go(func() { a.ask(ctx, demands[a.id]) })
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
	if a.asking {
		return false
	}
	if len(demands) == 0 && (!a.host || now.Sub(a.askedAt) < checkInterval) {
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
	if reply.Status == GrantNotHolder {
		a.forget(holder)
		return
	}
	a.adopt(sent, reply)
}

// adopt adds the loans of a reply to the ledger.
func (a *agent) adopt(sent time.Time, reply GrantReply) {
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
