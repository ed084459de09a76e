package admit

import (
	"math"
	"time"

	"fuchsiaspar/internal/model"
)

// negligibleLoad is the load of short requests, in busy slots, below which no
// slots are reserved for them.
const negligibleLoad = 0.01

// mayStart reports whether a request of a priority and subqueue may use an idle
// slot. Only long transfers are limited.
func (q *Queue) mayStart(now time.Time, p model.Priority, kind subqueueKind) bool {
	if kind == subqueueShort {
		return true
	}
	return q.longRunning < q.longLimit(now, p)
}

// longLimit returns the number of slots held by long transfers at which no
// further one of priority p starts. The slots reserved follow the load of short
// requests that are at least as urgent as p, up to the share that LongShare
// leaves; at least one slot is reserved unless there is only one.
func (q *Queue) longLimit(now time.Time, p model.Priority) int {
	slots := q.servers.totalSlots
	if slots <= 1 {
		return slots
	}
	maxReserve := slots * (percentBase - q.policy.LongShare) / percentBase
	reserve := min(q.shortLoad(now, p), maxReserve)
	return slots - max(1, reserve)
}

// shortLoad returns the number of slots that short requests at least as urgent as
// p need: their mean load plus its square root, one standard deviation of Poisson
// arrivals.
func (q *Queue) shortLoad(now time.Time, p model.Priority) int {
	var load float64
	for i := range q.classes[:p+1] {
		short := &q.classes[i].subqueues[subqueueShort]
		load += short.arrivalRate.perSecond(now) * short.serviceTime.value.Seconds()
	}
	if load < negligibleLoad {
		return 0
	}
	return int(math.Ceil(load + math.Sqrt(load)))
}
