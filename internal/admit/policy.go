package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// percentBase is the divisor of percentages.
const percentBase = 100

// Policy holds the operators' settings of one queue.
type Policy struct {
	// Floors is the percentage of slot time that each priority keeps while it
	// has work waiting.
	Floors [model.NumPriorities]int
	// QueueLimit bounds the waiting requests of each priority, at least one.
	QueueLimit int
	// Weight returns an account's weight within its priority. Nil, and
	// results below one, mean a weight of one.
	Weight func(model.AccountID) int
	// LongShare is the percentage of slots that long transfers may hold
	// while shorter work keeps arriving.
	LongShare int
	// MaxQueueAge is the longest wait of each priority. A standing queue
	// sheds sooner.
	MaxQueueAge  [model.NumPriorities]time.Duration
	CancelBudget CancelBudget
}

// CancelBudget bounds the cancelling of running idempotent long transfers in
// favour of waiting urgent requests.
type CancelBudget struct {
	// Count is the number of cancels allowed in each Window; zero forbids
	// cancelling.
	Count  int
	Window time.Duration
	// After is how long an urgent request waits before it causes a cancel.
	MinWait time.Duration
}

// Default settings.
const (
	defaultQueueLimit    = 512
	defaultLongShare     = 50
	defaultUrgentFloor   = 50
	defaultNormalFloor   = 20
	defaultBulkFloor     = 5
	defaultUrgentAge     = 2 * time.Second
	defaultNormalAge     = 5 * time.Second
	defaultBulkAge       = 15 * time.Second
	defaultCancelCount   = 4
	defaultCancelWindow  = time.Second
	defaultCancelMinWait = 50 * time.Millisecond
)

// DefaultPolicy returns the settings used where an operator sets none.
func DefaultPolicy() Policy {
	return Policy{
		Floors:     [model.NumPriorities]int{defaultUrgentFloor, defaultNormalFloor, defaultBulkFloor},
		QueueLimit: defaultQueueLimit,
		LongShare:  defaultLongShare,
		MaxQueueAge: [model.NumPriorities]time.Duration{
			defaultUrgentAge,
			defaultNormalAge,
			defaultBulkAge,
		},
		CancelBudget: CancelBudget{
			Count:   defaultCancelCount,
			Window:  defaultCancelWindow,
			MinWait: defaultCancelMinWait,
		},
	}
}

// weight returns the weight of an account, at least one.
func (p *Policy) weight(id model.AccountID) int {
	if p.Weight == nil {
		return 1
	}
	return max(1, p.Weight(id))
}
