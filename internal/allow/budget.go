// Package allow enforces this VM's share of limits that apply to the sum over all
// entry VMs. The VMs keep to a limit without exchanging messages.
package allow

import (
	"sync"

	"fuchsiaspar/internal/model"
)

const (
	// plannedRatioShare is the fraction of the allowed retry ratio that the VMs
	// use. The rest covers windows in which the request rate falls while retries
	// are spent that earlier requests earned.
	plannedRatioShare = 0.75
	// plannedSlackShare is the fraction of the allowed slack that the VMs divide.
	// The rest covers restarted processes, which begin with a full share.
	plannedSlackShare = 0.5
)

// RetryBudget is a token bucket for each service that bounds retries. Each request
// adds a fraction of a token, so the sum over all VMs keeps to the ratio without
// coordination. It is safe for concurrent use.
type RetryBudget struct {
	ratio float64
	slack float64

	mu     sync.Mutex
	vms    int
	tokens map[model.ServiceName]float64
}

// NewRetryBudget returns a budget under which the retries of a service within a window
// are at most ratio times its requests plus slack, summed over all VMs. slack is a
// number of retries.
func NewRetryBudget(ratio, slack float64) *RetryBudget {
	return &RetryBudget{ratio: ratio * plannedRatioShare, slack: slack * plannedSlackShare, vms: 1, tokens: map[model.ServiceName]float64{}}
}

// SetVMs sets the number of VMs that divide the slack; less than 1 counts as 1.
func (r *RetryBudget) SetVMs(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms = max(count, 1)
}

// Deposit adds the tokens that one request for a service earns.
func (r *RetryBudget) Deposit(service model.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[service] = min(r.balance(service)+r.ratio, r.capacity())
}

// Take spends one retry and reports whether one was left.
func (r *RetryBudget) Take(service model.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	balance := r.balance(service)
	if balance < 1 {
		return false
	}
	r.tokens[service] = balance - 1
	return true
}

// balance returns the tokens of a service. The caller must hold r.mu.
func (r *RetryBudget) balance(service model.ServiceName) float64 {
	balance, ok := r.tokens[service]
	if !ok {
		return r.slack / float64(r.vms)
	}
	return min(balance, r.capacity())
}

// capacity returns the size of the bucket. Where the slack divides into less than
// one retry per VM, the bucket holds one and starts partly filled, so that a VM
// must earn the rest of its first retry.
func (r *RetryBudget) capacity() float64 { return max(r.slack/float64(r.vms), 1) }
