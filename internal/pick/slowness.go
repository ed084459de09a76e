package pick

import (
	"math"
	"time"
)

// slownessMemory is the time in which a sample of a server's slowness loses most of
// its meaning. Other work on the server's machine comes and goes many times a second.
const slownessMemory = 500 * time.Millisecond

// slowness is the latest sample of how many times as long as usual a server's machine
// takes for a piece of work.
type slowness struct {
	// sample is zero if the server has not reported any.
	sample    float64
	sampledAt time.Time
}

func (s *slowness) record(sample float64, now time.Time) {
	if sample > 0 {
		s.sample, s.sampledAt = sample, now
	}
}

// cost returns the cost of the additional time that a request takes behind load, from
// a sample that fades towards the usual slowness.
func (s *slowness) cost(load, usual float64, now time.Time) float64 {
	if s.sample == 0 {
		return 0
	}
	age := now.Sub(s.sampledAt)
	return (s.sample/usual - 1) * (1 + load) * math.Exp(-age.Seconds()/slownessMemory.Seconds())
}
