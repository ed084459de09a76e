package retry

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// unitsPerRetry is the cost of one retry in budget units. A first attempt
	// earns as many units as the budget's percentage.
	unitsPerRetry = 100
	// idleRetries is the number of retries that a priority without recent first
	// attempts may make.
	idleRetries = 3
	// idleRefillInterval is the time in which one of the idle retries is regained.
	idleRefillInterval = time.Second
	// maxSavedRetries bounds the retries that one priority of a service accumulates.
	maxSavedRetries = 50
	// globalIdleRetries is the number of retries, over all services, that the
	// global budget allows without recent first attempts.
	globalIdleRetries = 20
	// globalPercent bounds the retries of all services as a percentage of all
	// first attempts.
	globalPercent = 20
	// globalMaxSavedRetries bounds the retries that the global budget accumulates.
	globalMaxSavedRetries = 200
)

// Budget bounds retries to a percentage of first attempts for each service and
// priority. A global budget over all services guards against retry storms. It is
// safe for concurrent use.
type Budget struct {
	defaultPercent int
	global         bucket
	mu             sync.RWMutex
	services       map[model.ServiceName]*serviceBudget
}

// serviceBudget holds the buckets of one service.
type serviceBudget struct {
	byPriority [model.NumPriorities]bucket
}

// NewBudget returns a budget that allows percent retries for each hundred first
// attempts of a service and priority. The global budget allows the larger of percent
// and globalPercent.
func NewBudget(percent int) *Budget {
	return &Budget{
		defaultPercent: percent,
		services:       make(map[model.ServiceName]*serviceBudget),
		global:         newBucket(max(percent, globalPercent), globalIdleRetries, globalMaxSavedRetries),
	}
}

// SetPercent sets the percentage of retries for one service, at every priority.
func (b *Budget) SetPercent(service model.ServiceName, percent int) {
	s := b.service(service)
	for p := range s.byPriority {
		s.byPriority[p].setPercent(percent)
	}
}

// RecordFirstAttempt records the first attempt of a request, which earns a fraction of a
// retry.
func (b *Budget) RecordFirstAttempt(now time.Time, service model.ServiceName, p model.Priority) {
	b.service(service).byPriority[p].deposit(now)
	b.global.deposit(now)
}

// Take spends one retry or hedge and reports whether the budget allowed it.
func (b *Budget) Take(now time.Time, service model.ServiceName, p model.Priority) bool {
	priorityBucket := &b.service(service).byPriority[p]
	if !priorityBucket.withdraw(now) {
		return false
	}
	if b.global.withdraw(now) {
		return true
	}
	priorityBucket.refund()
	return false
}

func (b *Budget) service(name model.ServiceName) *serviceBudget {
	b.mu.RLock()
	s, ok := b.services[name]
	b.mu.RUnlock()
	if ok {
		return s
	}
	return b.addService(name)
}

func (b *Budget) addService(name model.ServiceName) *serviceBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.services[name]; ok {
		return s
	}
	s := &serviceBudget{}
	for p := range s.byPriority {
		s.byPriority[p] = newBucket(b.defaultPercent, idleRetries, maxSavedRetries)
	}
	b.services[name] = s
	return s
}
