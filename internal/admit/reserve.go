package admit

import (
	"math"
	"time"

	"fuchsiaspar/internal/model"
)

// negligibleLoad is the count of busy slots below which short work reserves
// none.
const negligibleLoad = 0.01

// mayStart reports whether a lane of a priority may take an idle slot.
func (q *Queue) mayStart(now time.Time, p model.Priority, kind subqueueKind) bool {
	if kind == subqueueShort {
		return true
	}
	return q.longRunning < q.longLimit(now, p)
}

// longLimit returns how many slots long transfers may hold before another one
// of priority p starts. The slots kept back follow the load that shorter or
// more urgent work brings; one is always kept.
func (q *Queue) longLimit(now time.Time, p model.Priority) int {
	slots := q.servers.totalSlots
	if slots <= 1 {
		return slots
	}
	maxReserve := slots * (percentBase - q.policy.LongShare) / percentBase
	reserve := min(q.shortLoad(now, p), maxReserve)
	return slots - max(1, reserve)
}

// shortLoad returns the count of slots that short work at least as urgent as
// p needs, with a margin for its variation.
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
