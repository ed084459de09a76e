package admit

import (
	"time"

	"fuchsiaspar/internal/model"
)

// percentBase is the divisor of percentages.
const percentBase = 100

// Policy holds the settings of a queue that operators can change.
type Policy struct {
	// Floors is the percentage of slot time guaranteed to each priority while
	// it has waiting requests.
	Floors [model.NumPriorities]int
	// QueueLimit is the maximum number of waiting requests of each priority;
	// values below one count as one.
	QueueLimit int
	// Weight returns an account's share relative to other accounts of the same
	// priority. If it is nil or returns less than one, the weight is one.
	Weight func(model.AccountID) int
	// LongShare is the percentage of slots that long transfers may hold while
	// short requests that are at least as urgent keep arriving.
	LongShare int
	// MaxQueueAge is how long a request of each priority may wait before it is
	// shed; zero sets no limit.
	MaxQueueAge [model.NumPriorities]time.Duration
	// CancelBudget limits cancellations in favour of urgent requests.
	CancelBudget CancelBudget
}

// CancelBudget limits the cancellation of running idempotent long transfers in
// favour of waiting urgent requests.
type CancelBudget struct {
	// Count is the maximum number of cancellations in each Window; zero
	// disables cancellation.
	Count int
	// Window is the length of the window that Count applies to.
	Window time.Duration
	// MinWait is how long an urgent request waits before a transfer is cancelled
	// for it.
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

// DefaultPolicy returns the settings that apply unless an operator changes them.
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

// weight returns an account's weight, at least one.
func (p *Policy) weight(id model.AccountID) int {
	if p.Weight == nil {
		return 1
	}
	return max(1, p.Weight(id))
}
