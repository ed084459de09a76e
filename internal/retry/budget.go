package retry

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// retryCost is the price of one retry in budget units. A first try earns
	// as many units as the budget's percentage.
	retryCost = 100
	// quietTokens is the count of retries that a priority without recent
	// first tries may make.
	quietTokens = 3
	// quietRefill is how long it takes to earn one of those back.
	quietRefill = time.Second
	// burstTokens bounds the retries that a busy priority saves up.
	burstTokens = 50
	// stormMinTokens is the count of retries that the storm guard lets pass
	// in quiet times, over all services.
	stormMinTokens = 20
	// stormPercent bounds all retries together as a percentage of all first
	// tries.
	stormPercent = 20
	// stormBurstTokens bounds the retries that the storm guard saves up.
	stormBurstTokens = 200
)

// Budget bounds retries as a share of first tries, for each service and
// priority and, as a guard against storms, over all. It is safe for concurrent
// use.
type Budget struct {
	percent  int
	storm    bucket
	mu       sync.RWMutex
	services map[model.ServiceName]*serviceBudget
}

// serviceBudget holds the buckets of one service.
type serviceBudget struct {
	byPriority [model.NumPriorities]bucket
}

// NewBudget returns a budget that allows percent retries for each hundred
// first tries of a service and priority.
func NewBudget(percent int) *Budget {
	return &Budget{
		percent:  percent,
		services: make(map[model.ServiceName]*serviceBudget),
		storm:    newBucket(max(percent, stormPercent), stormMinTokens, stormBurstTokens),
	}
}

// SetPercent sets the share of one service's retries.
func (b *Budget) SetPercent(service model.ServiceName, percent int) {
	s := b.service(service)
	for p := range s.byPriority {
		s.byPriority[p].setPercent(percent)
	}
}

// FirstTry counts the first attempt at a request, which earns a share of a
// retry.
func (b *Budget) RecordFirstAttempt(now time.Time, service model.ServiceName, p model.Priority) {
	b.service(service).byPriority[p].earn(now)
	b.storm.earn(now)
}

// Take spends one retry or hedge, or reports that the budget is used up.
func (b *Budget) Take(now time.Time, service model.ServiceName, p model.Priority) bool {
	own := &b.service(service).byPriority[p]
	if !own.spend(now) {
		return false
	}
	if b.storm.spend(now) {
		return true
	}
	own.refund()
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
		s.byPriority[p] = newBucket(b.percent, quietTokens, burstTokens)
	}
	b.services[name] = s
	return s
}
