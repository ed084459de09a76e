package node

import (
	"sync"
	"time"

	"fuchsiaspar/internal/accountlimit"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

// accountLimits connects the limits of client accounts with the configuration, with what
// is known of other VMs, and with the reports between VMs. It implements
// share.AccountLimits.
type accountLimits struct {
	assembly *assembly
	limiter  *accountlimit.Limiter

	mu    sync.Mutex
	reach *accountlimit.Reach
	// config is the configuration whose limits are in force.
	config *catalog.Config
}

// newAccountLimits returns nil if the settings state no bound for client accounts.
func newAccountLimits(b *assembly) *accountLimits {
	bounds := b.settings.Bounds
	if bounds.AccountWindow <= 0 {
		return nil
	}
	return &accountLimits{
		assembly: b,
		limiter: accountlimit.New(accountlimit.Options{
			Window: bounds.AccountWindow, Excess: bounds.AccountExcess, Slack: bounds.AccountSlack,
			Process: b.random.Uint32(), Seed: b.random.Uint64(),
		}),
		reach: accountlimit.NewReach(b.settings.Name, time.Now()),
	}
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

// AccountUses implements share.AccountLimits.
func (a *accountLimits) AccountUses(now time.Time) []byte {
	if a == nil || !a.limiter.Limited() {
		return nil
	}
	a.mu.Lock()
	contact := a.reach.Update(accountlimit.View{
		Records: a.assembly.node.state.Current().VMs, CopyAge: a.assembly.feed.Age(now),
		Alive: a.assembly.node.liveness.Alive(), LastHeard: a.limiter.LastHeard,
	}, now)
	a.mu.Unlock()
	a.limiter.SetReach(contact, now)
	scope := a.assembly.metrics.Scope
	scope.Gauge("account_vms_heard").Update(float64(contact.Heard))
	scope.Gauge("account_vms_counted").Update(float64(contact.Total))
	return a.limiter.Uses(now)
}

// SetRemoteAccountUses implements share.AccountLimits.
func (a *accountLimits) SetRemoteAccountUses(vm model.VMID, uses []byte, now time.Time) {
	if a == nil {
		return
	}
	if err := a.limiter.SetRemoteUses(vm, uses, now); err != nil {
		a.assembly.metrics.Scope.Counter("account_reports_invalid").Inc(1)
	}
}
