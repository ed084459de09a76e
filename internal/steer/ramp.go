package steer

import "time"

// rampGrowth is the count of answers that widen a ramp by one request, so that
// the ramp grows by half for each full turn of answered requests.
const rampGrowth = 2

// numAges is the count of age groups of outstanding requests.
const numAges = 4

// ramp limits the requests outstanding at a place whose caches are cold. It
// grows by answered requests only, so a place that answers slowly ramps up
// slowly.
type ramp struct {
	opts RouterOptions
	// home and shifted count the outstanding requests by kind.
	home, shifted int
	// credit spreads answers over both kinds in proportion.
	credit int
	// homeAges and shiftedAges split them by age, the newest at index 0.
	homeAges, shiftedAges [numAges]int
	aged                  time.Time
	// answers counts the answers since the ramp began.
	answers int
	// warm reports that the ramp has ended for shifted traffic.
	warm bool
	// returning reports that home traffic is limited as well.
	returning bool
	lastShift time.Time
}

// restart begins a ramp for home and shifted traffic.
func (r *ramp) restart(now time.Time) {
	r.answers = 0
	r.warm = false
	r.returning = true
	r.lastShift = now
}

// beginShift starts a new ramp when the place had no shifted traffic of late.
func (r *ramp) beginShift(now time.Time) {
	if r.lastShift.IsZero() || now.Sub(r.lastShift) > r.opts.RampIdle {
		r.answers = 0
		r.warm = false
		r.lastShift = now
	}
}

// full reports whether the outstanding requests fill the ramp. It ends the
// ramp when that would not limit this VM's part of the slots.
func (r *ramp) full(outstanding, slots, entries int) bool {
	if r.warm {
		return false
	}
	limit := r.limit(slots, entries)
	if limit >= max(slots/entries, 1) && r.answers > 0 {
		r.warm = true
		r.returning = false
		return false
	}
	return outstanding >= limit
}

// limit returns the count of requests that may be outstanding.
func (r *ramp) limit(slots, entries int) int {
	part := max(slots/entries, 1)
	return max(part*r.opts.RampStartPercent/100, 1) + r.answers/rampGrowth
}

func (r *ramp) addHome(now time.Time) {
	r.expire(now)
	r.home++
	r.homeAges[0]++
}

func (r *ramp) addShifted(now time.Time) {
	r.expire(now)
	r.lastShift = now
	r.shifted++
	r.shiftedAges[0]++
}

// finish ends one outstanding request. The caller does not tell its kind, so
// answers are split in proportion to what is outstanding.
func (r *ramp) finish(now time.Time, answered bool) {
	r.expire(now)
	total := r.home + r.shifted
	if total == 0 {
		return
	}
	if !r.warm && answered {
		r.answers++
	}
	r.credit += r.shifted
	if r.home == 0 || (r.shifted > 0 && r.credit >= total) {
		r.credit = max(r.credit-total, 0)
		r.shifted--
		dropOldest(&r.shiftedAges)
		return
	}
	r.home--
	dropOldest(&r.homeAges)
}

func dropOldest(ages *[numAges]int) {
	for i := numAges - 1; i >= 0; i-- {
		if ages[i] > 0 {
			ages[i]--
			return
		}
	}
}

// expire forgets outstanding requests that were never reported as finished.
func (r *ramp) expire(now time.Time) {
	step := r.opts.AnswerTimeout / (numAges - 1)
	if r.aged.IsZero() {
		r.aged = now
	}
	for turns := 0; now.Sub(r.aged) >= step && turns < numAges; turns++ {
		r.aged = r.aged.Add(step)
		r.home -= shiftAges(&r.homeAges)
		r.shifted -= shiftAges(&r.shiftedAges)
	}
	if now.Sub(r.aged) >= step {
		r.aged = now
	}
}

// shiftAges moves each age group on by one and returns the count that fell out.
func shiftAges(ages *[numAges]int) int {
	out := ages[numAges-1]
	copy(ages[1:], ages[:numAges-1])
	ages[0] = 0
	return out
}
