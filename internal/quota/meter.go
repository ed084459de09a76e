package quota

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"
)

// division says how priorities divide an allowance, in percent of it.
type priorityReserve struct {
	// most bounds what demand of more urgent priorities keeps from each
	// priority.
	maxReserveAbove [model.NumPriorities]int64
	// least is kept for more urgent priorities even without demand.
	minReserveAbove [model.NumPriorities]int64
	// below bounds what demand of less urgent priorities keeps from each
	// priority.
	maxReserveBelow [model.NumPriorities]int64
}

var (
	// shiftDivision serves urgent shifts first: only the lowest priorities are
	// refused.
	shiftReserve = priorityReserve{maxReserveAbove: [model.NumPriorities]int64{0, 100, 100}}
	// linkDivision keeps transfers of each priority moving, and some room for
	// urgent answers that begin while others fill the link.
	linkReserve = priorityReserve{
		maxReserveAbove: [model.NumPriorities]int64{0, 80, 90},
		minReserveAbove: [model.NumPriorities]int64{0, 4, 4},
		maxReserveBelow: [model.NumPriorities]int64{20, 10, 0},
	}
)

// urgentBurst is how many times the even share of a sub-window urgent work may
// take on a link. Other work is spread evenly.
const urgentBurstFactor = 4

// held is a grant that this VM may spend until it expires.
type timedGrant struct {
	rate    int64
	expires time.Time
}

// meter holds what one VM may spend on one key, and what it has spent.
type meter struct {
	mu    sync.Mutex
	key   Key
	cap   valueHistory
	floor valueHistory
	// grants are in order of falling value and rising expiry.
	grants []timedGrant
	// window is nil while the key is unused.
	window *window
	// latest is the latest time seen. An earlier one, from a goroutine that
	// was overtaken, counts as latest, so that it revives no grant.
	latestTime time.Time
}

// observe returns the later of now and the latest time seen.
func (m *meter) advanceTime(now time.Time) time.Time {
	if now.After(m.latestTime) {
		m.latestTime = now
	}
	return m.latestTime
}

// granted returns the largest live grant.
func (m *meter) grantedRate(now time.Time) int64 {
	for len(m.grants) > 0 && !now.Before(m.grants[0].expires) {
		m.grants = m.grants[1:]
	}
	if len(m.grants) == 0 {
		return 0
	}
	return m.grants[0].rate
}

// addGrant keeps g beside the earlier grants. Grants do not add up: the
// largest live one counts, as it does at the lender.
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

// room returns how many units priority p may spend now.
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

// subWindowLimit returns the units that may leave on a link in one sub-window,
// so that traffic is spread over the Window.
func bucketLimit(allowed int64, p model.Priority) int64 {
	evenShare := (allowed + numBuckets - 1) / numBuckets
	if p == model.PriorityUrgent {
		return evenShare * urgentBurstFactor
	}
	return evenShare
}

// demand returns the units a second that recent work needs.
func (m *meter) demand() int64 {
	var demanded int64
	for _, n := range m.window.total.demanded {
		demanded += n
	}
	return demanded + demanded/demandHeadroomDivisor
}

// demandHeadroom is the divisor of demand that is asked for on top of it.
const demandHeadroomDivisor = 4
