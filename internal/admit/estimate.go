package admit

import (
	"math"
	"time"
)

const (
	// meanWeight is the share of a new sample in a moving mean.
	sampleWeight = 1.0 / 16
	// maxSampleRatio bounds a sample of a moving mean as a multiple of the
	// mean, so that one stall does not hide the usual pace for long.
	maxSampleRatio = 8
	// rateWindow is the time constant of arrival rates.
	rateWindow = time.Second
)

// movingMean is an exponentially weighted mean of durations; zero until the
// first sample.
type movingMean struct {
	value time.Duration
}

func (m *movingMean) add(sample time.Duration) {
	if m.value == 0 {
		m.value = sample
		return
	}
	sample = min(sample, maxSampleRatio*m.value)
	m.value += time.Duration(float64(sample-m.value) * sampleWeight)
}

// arrivalRate counts arrivals with exponential decay.
type arrivalRate struct {
	count float64
	at    time.Time
}

func (r *arrivalRate) add(now time.Time) {
	r.count = r.decayedCount(now) + 1
	r.at = now
}

// decayed returns the arrivals that still count at now.
func (r *arrivalRate) decayedCount(now time.Time) float64 {
	age := now.Sub(r.at)
	if r.count == 0 || age <= 0 {
		return r.count
	}
	return r.count * math.Exp(-age.Seconds()/rateWindow.Seconds())
}

// perSecond returns the arrivals a second at now.
func (r *arrivalRate) perSecond(now time.Time) float64 {
	return r.decayedCount(now) / rateWindow.Seconds()
}
