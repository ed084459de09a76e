package quota

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"
)

// priorityReserve defines which part of an allowance each priority leaves to
// others, indexed by priority and in percent of the allowance.
type priorityReserve struct {
	// maxReserveAbove limits the reserve for the demand of more urgent
	// priorities.
	maxReserveAbove [model.NumPriorities]int64
	// minReserveAbove is the reserve for more urgent priorities without demand.
	minReserveAbove [model.NumPriorities]int64
	// maxReserveBelow limits the reserve for the demand of less urgent
	// priorities.
	maxReserveBelow [model.NumPriorities]int64
}

var (
	// shiftReserve gives strict precedence to more urgent shifts, so that the
	// lowest priority is refused first.
	shiftReserve = priorityReserve{maxReserveAbove: [model.NumPriorities]int64{0, 100, 100}}
	// linkReserve lets transfers of every priority make progress, and keeps some
	// capacity for urgent answers that start while others fill the link.
	linkReserve = priorityReserve{
		maxReserveAbove: [model.NumPriorities]int64{0, 80, 90},
		minReserveAbove: [model.NumPriorities]int64{0, 4, 4},
		maxReserveBelow: [model.NumPriorities]int64{20, 10, 0},
	}
)

// urgentBurstFactor is how many times the even share of a bucket urgent work may
// use on a link. Other work is limited to the even share.
const urgentBurstFactor = 4

// timedGrant is a grant in units per second that is valid until it expires.
type timedGrant struct {
	rate    int64
	expires time.Time
}

// meter has the limits of one VM for one key and its recent use.
type meter struct {
	mu    sync.Mutex
	key   Key
	cap   valueHistory
	floor valueHistory
	// grants are sorted by decreasing rate, which is also by increasing expiry.
	grants []timedGrant
	// window is nil while the key is unused.
	window *window
	// latestTime is the latest time seen. It replaces an earlier time, which a
	// delayed goroutine may pass, so that an expired grant stays expired.
	latestTime time.Time
}

// advanceTime returns the later of now and the latest time seen.
func (m *meter) advanceTime(now time.Time) time.Time {
	if now.After(m.latestTime) {
		m.latestTime = now
	}
	return m.latestTime
}

// grantedRate returns the largest valid grant, in units per second.
func (m *meter) grantedRate(now time.Time) int64 {
	for len(m.grants) > 0 && !now.Before(m.grants[0].expires) {
		m.grants = m.grants[1:]
	}
	if len(m.grants) == 0 {
		return 0
	}
	return m.grants[0].rate
}

// addGrant adds g to the earlier grants. Grants do not add up: only the largest
// valid one counts, as at the lender.
func (m *meter) addGrant(now time.Time, g timedGrant) {
	if g.rate <= 0 || !now.Before(g.expires) {
		return
	}
	kept := make([]timedGrant, 0, len(m.grants)+1)
	for _, old := range m.grants {
		if old.rate > g.rate && now.Before(old.expires) {
			kept = append(kept, old)
		}
	}
	for _, old := range kept {
		if !old.expires.Before(g.expires) {
			m.grants = kept
			return
		}
	}
	m.grants = append(kept, g)
}

// available returns how many units priority p may use now, given the allowance.
func (m *meter) available(allowed int64, p model.Priority) int64 {
	if m.key.Kind != KindLink {
		return max(m.window.available(allowed, p, &shiftReserve), 0)
	}
	units := min(
		m.window.available(allowed, p, &linkReserve),
		bucketLimit(allowed, p)-m.window.newest().usedAtOrBelow(0),
	)
	return max(units, 0)
}

// bucketLimit returns how many units may be sent over a link in one bucket, which
// spreads the traffic over the Window.
func bucketLimit(allowed int64, p model.Priority) int64 {
	evenShare := (allowed + numBuckets - 1) / numBuckets
	if p == model.PriorityUrgent {
		return evenShare * urgentBurstFactor
	}
	return evenShare
}

// demand returns the demand of the trailing Window plus headroom, in units per
// second.
func (m *meter) demand() int64 {
	var demanded int64
	for _, n := range m.window.total.demanded {
		demanded += n
	}
	return demanded + demanded/demandHeadroomDivisor
}

// demandHeadroomDivisor makes the headroom a quarter of the demand.
const demandHeadroomDivisor = 4
