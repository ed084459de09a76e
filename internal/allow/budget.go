// Package allow holds this VM's share of limits that count over all VMs.
package allow

import (
	"sync"

	"fuchsiaspar/internal/model"
)

const (
	// ratioShare is the part of the allowed ratio of repeats that the VMs plan
	// to use. The rest covers windows in which the requests fell.
	ratioShare = 0.75
	// slackShare is the part of the allowed slack that the VMs divide. The rest
	// covers processes that start anew with a full share.
	slackShare = 0.5
)

// Repeats bounds the repeats at each service. Each request earns a fraction of
// a repeat, so the sum over all VMs keeps to the ratio without messages. It is
// safe for concurrent use.
type RetryBudget struct {
	ratio float64
	slack float64

	mu     sync.Mutex
	vms    int
	tokens map[model.ServiceName]float64
}

// NewRepeats returns a budget: at any service the repeats of a window are at
// most ratio times its requests plus slack, over all VMs.
func NewRetryBudget(ratio, slack float64) *RetryBudget {
	return &RetryBudget{ratio: ratio * ratioShare, slack: slack * slackShare, vms: 1, tokens: map[model.ServiceName]float64{}}
}

// SetVMs tells how many VMs divide the slack.
func (r *RetryBudget) SetVMs(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms = max(count, 1)
}

// Earn counts a request for a service.
func (r *RetryBudget) Deposit(service model.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[service] = min(r.held(service)+r.ratio, r.burst())
}

// Take spends a repeat, or reports false when none is left.
func (r *RetryBudget) Take(service model.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.held(service)
	if held < 1 {
		return false
	}
	r.tokens[service] = held - 1
	return true
}

func (r *RetryBudget) held(service model.ServiceName) float64 {
	held, ok := r.tokens[service]
	if !ok {
		return r.slack / float64(r.vms)
	}
	return min(held, r.burst())
}

// burst is the most that a VM saves up. Where the slack divides into less than
// one repeat a VM, a VM must earn the rest of its first.
func (r *RetryBudget) burst() float64 { return max(r.slack/float64(r.vms), 1) }
