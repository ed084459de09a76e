package steer

import "time"

// answersPerRampIncrement is the count of answers that raise the limit of a ramp
// by one request. Each time as many requests as the limit are answered, the limit
// grows by half.
const answersPerRampIncrement = 2

// numAgeGroups is the count of age groups of outstanding requests.
const numAgeGroups = 4

// ramp limits the outstanding requests at a zone whose caches are cold. Only
// answered requests raise the limit, so a zone that answers slowly ramps up
// slowly.
type ramp struct {
	opts RouterOptions
	// home and shifted count the outstanding requests of each kind.
	home, shifted int
	// shiftedCredit accumulates the shifted share of finished requests. It
	// attributes them to the two kinds in proportion to the outstanding counts.
	shiftedCredit int
	// homeAges and shiftedAges split home and shifted by age, newest first.
	homeAges, shiftedAges [numAgeGroups]int
	lastAged              time.Time
	// answers counts the answered requests since the ramp started.
	answers int
	// warm is true when the ramp has ended and limits nothing.
	warm bool
	// recovering is true while the ramp limits home traffic too, after an
	// outage of the zone.
	recovering bool
	lastShift  time.Time
}

// restart starts a new ramp for home and shifted traffic.
func (r *ramp) restart(now time.Time) {
	r.answers = 0
	r.warm = false
	r.recovering = true
	r.lastShift = now
}

// restartIfIdle starts a new ramp for shifted traffic if the zone has had none
// for longer than RampIdle.
func (r *ramp) restartIfIdle(now time.Time) {
	if r.lastShift.IsZero() || now.Sub(r.lastShift) > r.opts.RampIdle {
		r.answers = 0
		r.warm = false
		r.lastShift = now
	}
}

// full reports whether outstanding has reached the limit of the ramp. It ends the
// ramp when the limit has reached this VM's equal share of the slots and at least
// one request was answered.
func (r *ramp) full(outstanding, slots, entryCount int) bool {
	if r.warm {
		return false
	}
	limit := r.limit(slots, entryCount)
	if limit >= max(slots/entryCount, 1) && r.answers > 0 {
		r.warm = true
		r.recovering = false
		return false
	}
	return outstanding >= limit
}

// limit returns how many requests may be outstanding.
func (r *ramp) limit(slots, entryCount int) int {
	share := max(slots/entryCount, 1)
	return max(share*r.opts.RampStartPercent/100, 1) + r.answers/answersPerRampIncrement
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

// finish removes one outstanding request. The caller does not tell its kind, so
// finished requests are attributed in proportion to the outstanding counts.
func (r *ramp) finish(now time.Time, answered bool) {
	r.expire(now)
	outstanding := r.home + r.shifted
	if outstanding == 0 {
		return
	}
	if !r.warm && answered {
		r.answers++
	}
	r.shiftedCredit += r.shifted
	if r.home == 0 || (r.shifted > 0 && r.shiftedCredit >= outstanding) {
		r.shiftedCredit = max(r.shiftedCredit-outstanding, 0)
		r.shifted--
		dropOldest(&r.shiftedAges)
		return
	}
	r.home--
	dropOldest(&r.homeAges)
}

func dropOldest(ages *[numAgeGroups]int) {
	for i := numAgeGroups - 1; i >= 0; i-- {
		if ages[i] > 0 {
			ages[i]--
			return
		}
	}
}

// expire drops outstanding requests that were not reported as finished within
// about AnswerTimeout.
func (r *ramp) expire(now time.Time) {
	step := r.opts.AnswerTimeout / (numAgeGroups - 1)
	if r.lastAged.IsZero() {
		r.lastAged = now
	}
	for steps := 0; now.Sub(r.lastAged) >= step && steps < numAgeGroups; steps++ {
		r.lastAged = r.lastAged.Add(step)
		r.home -= advanceAges(&r.homeAges)
		r.shifted -= advanceAges(&r.shiftedAges)
	}
	if now.Sub(r.lastAged) >= step {
		r.lastAged = now
	}
}

// advanceAges moves each age group to the next older one and returns the count
// of the requests in the oldest, which are dropped.
func advanceAges(ages *[numAgeGroups]int) int {
	expired := ages[numAgeGroups-1]
	copy(ages[1:], ages[:numAgeGroups-1])
	ages[0] = 0
	return expired
}
