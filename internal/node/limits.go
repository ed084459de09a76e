package node

import (
	"context"
	"sync"
	"time"

	"fuchsiaspar/internal/accountlimit"
	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
)

// accountReportInterval is the time between two reports of a VM. The limiter's timeouts
// are multiples of it.
const accountReportInterval = 100 * time.Millisecond

// accountLimits connects the limits of client accounts with the configuration, with what
// is known of other VMs, and with the reports between VMs.
type accountLimits struct {
	*background.Periodic
	assembly *assembly
	limiter  *accountlimit.Limiter

	// reach is used by the sending goroutine only.
	reach *accountlimit.Reach

	mu sync.Mutex
	// config is the configuration whose limits are in force.
	config *catalog.Config
}

// newAccountLimits returns nil if the settings state no bound for client accounts.
func newAccountLimits(b *assembly) *accountLimits {
	bounds := b.settings.Bounds
	if bounds.AccountWindow <= 0 {
		return nil
	}
	a := &accountLimits{
		assembly: b,
		limiter: accountlimit.New(accountlimit.Options{
			Window: bounds.AccountWindow, Excess: bounds.AccountExcess, Slack: bounds.AccountSlack,
			Process: b.random.Uint32(), Seed: b.random.Uint64(),
		}),
		reach: accountlimit.NewReach(b.settings.Name, b.self.Started, time.Now()),
	}
	a.Periodic = background.NewPeriodic(accountReportInterval, a.sendRound)
	b.mesh.Handle(peer.KindAccountUses, a.receive)
	return a
}

// requestLimiter returns the limiter for the front, nil if there is no bound.
func (a *accountLimits) requestLimiter() *accountlimit.Limiter {
	if a == nil {
		return nil
	}
	return a.limiter
}

// setConfig puts the limits of a configuration into force; nil means that none is known.
func (a *accountLimits) setConfig(config *catalog.Config, now time.Time) {
	if a == nil || config == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.config == config {
		return
	}
	a.config = config
	a.limiter.SetAccounts(&config.Accounts, now)
}

// sendRound updates which VMs are in contact, and reports this VM's requests to the others.
func (a *accountLimits) sendRound(now time.Time) {
	alive := a.assembly.node.liveness.Alive()
	contact := a.reach.Update(accountlimit.View{
		Records: a.assembly.node.state.Current().VMs, CopyAge: a.assembly.feed.Age(now),
		Alive: alive, LastHeard: a.limiter.LastHeard,
	}, now)
	a.limiter.SetReach(contact, now)
	scope := a.assembly.metrics.Scope
	scope.Gauge("account_vms_heard").Update(float64(contact.Heard))
	scope.Gauge("account_vms_counted").Update(float64(contact.Total))
	if !a.limiter.Limited() {
		return
	}
	uses := a.limiter.Uses(now)
	for _, vm := range alive {
		if vm.Name == a.assembly.settings.Name {
			continue
		}
		a.assembly.mesh.SetAddress(vm.Name, vm.Peer)
		// The next report makes up for a lost one.
		_ = a.assembly.mesh.Send(vm.Name, peer.KindAccountUses, uses)
	}
}

// receive applies the report of another VM.
func (a *accountLimits) receive(_ context.Context, from model.VMID, body []byte) (any, error) {
	var uses accountlimit.Uses
	if err := peer.Unmarshal(body, &uses); err != nil {
		return nil, err
	}
	if err := a.limiter.SetRemoteUses(from, uses, time.Now()); err != nil {
		a.assembly.metrics.Scope.Counter("account_reports_invalid").Inc(1)
		return nil, err
	}
	return nil, nil
}
