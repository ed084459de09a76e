package concurrency

import (
	"math"
	"time"
)

const (
	// priorVariance is the variance of the logarithm of a server's slowness about its
	// lasting value, and memory the time constant with which it returns there. A server
	// five times slower than usual is two standard deviations away. Without new
	// evidence it costs no more than a step down an object's ranking after about 3 s,
	// and gets a request again.
	priorVariance = 0.64
	memory        = 4 * time.Second
	// lastingMemory is the time constant of a server's lasting slowness, and
	// maxLasting bounds its logarithm: at half or twice the usual speed, slowness costs
	// less than a step down an object's ranking, so no server is left for good.
	lastingMemory = 60 * time.Second
	maxLasting    = 0.7
	// lastingPrior is the number of samples as which the usual speed counts at first.
	lastingPrior, maxLastingGain = 3, 0.3
	// overdueSpreads is the number of spreads by which a request without an answer must
	// exceed the expected time to count.
	overdueSpreads = 1.5
	// shedFactor is the factor of the capacity for a refusal although slots were free,
	// minShed its least product, and shedMemory the time constant of the return.
	shedFactor, minShed = 0.85, 0.5
	shedMemory          = 2 * time.Second
	// reportGain is the weight of a report in the average of a machine's slowness.
	reportGain = 0.2
)

// queueing returns by which factor a request that finds ahead requests at the server takes
// longer than its work: those that wait before it need the slots in turn.
func (e *Estimator) queueing(ahead float64) float64 {
	slots := float64(e.slots)
	return 1 + max(0, ahead+1-slots)/slots
}

// recordWork adds the time of a request, which is a step of the Kalman filter. The time of
// an interrupted request is a lower bound.
func (e *Estimator) recordWork(p *pending, report Report, bound bool, at time.Duration) {
	if at <= p.sentAt {
		return
	}
	ahead := float64(p.ahead)
	machine := 0.0
	if report.Slots > 0 {
		// Others arrive and leave while the request waits; the mean of both ends is
		// nearer to what it found than what this VM knew when it sent it.
		ahead = (ahead + float64(max(report.Running+report.Waiting-1, 0))) / 2
		machine = e.recordMachine(report.Slowness)
	}
	value := logarithm(float64(at-p.sentAt) / e.queueing(ahead))
	utilization := min((ahead+1)/float64(e.slots), 1)
	expected := e.service.curve.inflation(utilization)
	// What the machine's other work adds at the moment says little about the next
	// request; its average stays in the estimate.
	residual := value - machine - expected
	if p.usual.count == 0 {
		if !bound {
			p.usual.record(residual, 0)
		}
		return
	}
	relative := residual - p.usual.level - e.service.common
	slowness, variance := e.predict(at)
	innovation := relative - slowness
	if bound && innovation <= 0 {
		return
	}
	level, spread, noise := p.usual.level, p.usual.spread, p.usual.noise()
	if !bound {
		p.usual.record(residual, innovation)
		e.service.curve.record(utilization, value-machine-level-e.service.common-e.lasting, clipSpreads*spread, at)
	}
	e.gain = variance / (variance + noise)
	e.slowness = min(slowness+e.gain*innovation, maxSlowness)
	e.variance = (1 - e.gain) * variance
	e.samples++
	lastingGain := max(1-fade(at-e.updatedAt, lastingMemory), 1/float64(e.samples+lastingPrior))
	e.lasting = clip(e.lasting+min(lastingGain, maxLastingGain)*(relative-e.lasting), maxLasting)
	e.updatedAt = at
	e.common = e.service.common
	e.observed = e.slowness + e.common
}

// recordMachine adds a report of the machine's slowness and returns the logarithm of its
// deviation from the average.
func (e *Estimator) recordMachine(slowness float64) float64 {
	if slowness <= 0 {
		return 0
	}
	value := logarithm(slowness)
	if !e.hasReported {
		e.reported, e.hasReported = value, true
	}
	e.reported += reportGain * (value - e.reported)
	return value - e.reported
}

// recordRefusal lowers the capacity for a server that refuses although slots were free.
func (e *Estimator) recordRefusal(p *pending, report Report, at time.Duration) {
	present := p.ahead
	if report.Slots > 0 {
		present = report.Running + report.Waiting
	}
	if present < e.slots {
		e.shed = min(1-(1-e.shedShare(at))*shedFactor, 1-minShed)
		e.shedAt = at
	}
}

// shedShare returns the part of the capacity that refusals have taken.
func (e *Estimator) shedShare(at time.Duration) float64 {
	return e.shed * fade(at-e.shedAt, shedMemory)
}

// predict returns the slowness at a time and its variance, without newer evidence.
func (e *Estimator) predict(at time.Duration) (slowness, variance float64) {
	left := fade(at-e.updatedAt, memory)
	return e.lasting + (e.slowness-e.lasting)*left, priorVariance + (e.variance-priorVariance)*left*left
}

// weighOutstanding determines the slowness that the outstanding requests show: each that
// has taken longer than expected is a sample that can only grow.
func (e *Estimator) weighOutstanding(at time.Duration) {
	e.changed = e.changed || e.overdue > 0
	e.overdue = 0
	if len(e.outstanding) == 0 {
		return
	}
	slowness, variance := e.predict(at)
	for i := range e.outstanding {
		p := &e.outstanding[i]
		if p.usual == nil || p.usual.count == 0 || at <= p.sentAt {
			continue
		}
		ahead := float64(p.ahead)
		work := logarithm(float64(at-p.sentAt) / e.queueing(ahead))
		work -= p.usual.level + e.service.common + e.service.curve.inflation(min((ahead+1)/float64(e.slots), 1))
		if work < slowness+overdueSpreads*p.usual.spread {
			continue
		}
		e.overdue, e.changed = e.overdue+1, true
		gain := variance / (variance + p.usual.noise())
		slowness += gain * (work - slowness)
		variance *= 1 - gain
	}
	e.overdueSlowness = slowness
}

// evidenceAge returns the time since the last evidence; a request that is overdue is
// evidence of now.
func (e *Estimator) evidenceAge(at time.Duration) time.Duration {
	switch {
	case e.overdue > 0:
		return 0
	case e.samples == 0:
		return math.MaxInt64
	default:
		return at - e.updatedAt
	}
}

// absolute returns the slowness shown by the latest evidence, not relative to the service.
func (e *Estimator) absolute() float64 {
	if e.overdue > 0 {
		return e.overdueSlowness + e.service.common
	}
	return e.observed
}

// correctCommon compares the latest sample with what is now known of the service as a
// whole: when everything becomes slow, the first servers that show it seem to be alone.
// It only moves the estimate towards the lasting one.
func (e *Estimator) correctCommon(at time.Duration) {
	if e.samples == 0 || at-e.updatedAt >= e.service.window {
		return
	}
	change := e.gain * (e.service.common - e.common)
	e.common = e.service.common
	if excess := e.slowness - e.lasting; excess*change > 0 {
		e.slowness -= clip(change, math.Abs(excess))
	}
}
