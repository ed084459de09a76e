package admit

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in a moving mean.
	sampleWeight = 1.0 / 16
	// maxSampleRatio limits a sample to this multiple of the current mean, so
	// that a single stall does not distort the mean for long.
	maxSampleRatio = 8
	// rateWindow is the time constant of the decay of arrival rates.
	rateWindow = time.Second
)

// movingMean is an exponentially weighted moving average of durations. It is
// zero until the first sample.
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

// arrivalRate estimates the rate of arrivals from an exponentially decaying
// count.
type arrivalRate struct {
	// count is the decayed number of arrivals at the time at.
	count float64
	at    time.Time
}

func (r *arrivalRate) add(now time.Time) {
	r.count = r.decayedCount(now) + 1
	r.at = now
}

// decayedCount returns the number of arrivals, decayed to the time now.
func (r *arrivalRate) decayedCount(now time.Time) float64 {
	age := now.Sub(r.at)
	if r.count == 0 || age <= 0 {
		return r.count
	}
	return r.count * math.Exp(-age.Seconds()/rateWindow.Seconds())
}

// perSecond returns the estimated arrivals per second at the time now.
func (r *arrivalRate) perSecond(now time.Time) float64 {
	return r.decayedCount(now) / rateWindow.Seconds()
}
