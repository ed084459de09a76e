package concurrency

import (
	"math"
	"time"
)

const (
	// minSpeed and maxSpeed bound the speed relative to the service, and maxSlowness is
	// the logarithm of the slowness at minSpeed.
	minSpeed, maxSpeed = 0.1, 4.0
	maxSlowness        = 2.3
	// minCapacity is the capacity that every server keeps, so that it gets probes.
	minCapacity = 1.0
)

// Estimator estimates the capacity and speed of one server process. The logarithm of its
// slowness relative to its service is tracked by a Kalman filter that returns to a lasting
// value: it weighs a sample by its spread and by the time since the last one, so it
// follows a busy server as well as one that is asked every few seconds.
type Estimator struct {
	// published is first, since a choice reads only this of each candidate.
	published Estimate

	service  *Service
	onChange func(low bool, evidence Evidence)
	slots    int

	// slowness is the logarithm at updatedAt, and variance its uncertainty.
	slowness, variance float64
	updatedAt          time.Duration
	// lasting is the average of slowness over lastingMemory.
	lasting float64
	samples int
	// observed is the slowness after the last sample, not relative to the service. gain
	// is the sample's weight, and common the slowness of the service that it is compared
	// with.
	observed, gain, common float64
	// reported is the average logarithm of the reported slowness of the machine.
	reported    float64
	hasReported bool
	shed        float64
	shedAt      time.Duration

	outstanding []pending
	lastTicket  Ticket
	// overdue counts the outstanding requests that count as evidence, and
	// overdueSlowness is the slowness that includes them.
	overdue         int
	overdueSlowness float64
	// peers are the latest reports of other VMs.
	peers []peerReport

	// changed reports evidence since publishedAt.
	changed     bool
	publishedAt time.Duration

	// low is whether the capacity was last reported as low, at changeAt.
	low      bool
	changeAt time.Duration
}

// Estimate is what an Estimator says of its server.
type Estimate struct {
	// Capacity is the number of requests that the server takes without a longer wait
	// than a server of usual speed with all useful slots in use. It is at least one.
	Capacity float64
	// UsefulSlots is the number of slots up to the knee, whatever the speed.
	UsefulSlots float64
	// QueueShare is the part of the server's queue that may be used, from 0 to 1.
	QueueShare float64
	// Speed is how fast the server is relative to its service. When all of its servers
	// are slow, it is 1.
	Speed float64
	// Time is the time that work takes, relative to the service: the inverse of Speed.
	Time float64
	// ReportedSlowness is the average of what the server reports as slowness of its
	// machine, which Speed includes; 1 if it reports none.
	ReportedSlowness float64
}

// SetSlots sets the number of slots of the server.
func (e *Estimator) SetSlots(slots int) {
	e.slots = max(slots, 1)
	e.publish(e.service.refreshedAt)
}

// Forget resets the estimate, for a server that probably started anew. Outstanding
// requests stay known.
func (e *Estimator) Forget() {
	*e = Estimator{
		service: e.service, onChange: e.onChange, slots: e.slots, variance: priorVariance,
		low: e.low, changeAt: e.changeAt, outstanding: e.outstanding, lastTicket: e.lastTicket,
	}
	e.publish(e.service.refreshedAt)
	for i := range e.outstanding {
		e.outstanding[i].usual = nil
	}
}

// publish computes the estimate and reports a change of the capacity.
func (e *Estimator) publish(at time.Duration) {
	e.changed, e.publishedAt = false, at
	curve := &e.service.curve
	share, speed := curve.knee, 1.0
	if e.samples > 0 || e.overdue > 0 || len(e.peers) > 0 {
		slowness, variance := e.predict(at)
		slowness = e.withPeers(slowness, variance, at)
		if e.overdue > 0 {
			slowness = max(slowness, e.overdueSlowness)
		}
		speed = max(minSpeed, min(maxSpeed, math.Exp(-slowness)))
		share *= min(speed, 1)
	}
	useful := curve.knee
	if e.shed > 0 {
		left := 1 - e.shedShare(at)
		share, useful = share*left, useful*left
	}
	e.published = Estimate{
		Capacity: max(minCapacity, share*float64(e.slots)), QueueShare: curve.queueShare(),
		UsefulSlots: max(minCapacity, useful*float64(e.slots)),
		Speed:       speed, Time: 1 / speed, ReportedSlowness: 1,
	}
	if e.hasReported {
		e.published.ReportedSlowness = math.Exp(e.reported)
	}
	low := share < lowShare || e.low && share < recoveredShare
	if low != e.low && (at-e.changeAt >= changeInterval || e.changeAt == 0) {
		e.low, e.changeAt = low, at
		e.service.report(e, low, at)
	}
}

// Estimate returns the estimate as of the last Refresh of the service.
func (e *Estimator) Estimate() *Estimate { return &e.published }

// Speed returns the speed at a time.
func (e *Estimator) Speed(now time.Time) float64 {
	e.service.Refresh(now)
	return e.published.Speed
}

// Capacity returns the capacity at a time.
func (e *Estimator) Capacity(now time.Time) float64 {
	e.service.Refresh(now)
	return e.published.Capacity
}

// evidence returns what the estimate rests on.
func (e *Estimator) evidence(at time.Duration) Evidence {
	return Evidence{
		Capacity: e.published.Capacity, Slots: e.slots, Speed: e.published.Speed, Common: math.Exp(e.service.common), Knee: e.service.Knee(),
		Samples: e.samples, Age: at - e.updatedAt, Outstanding: len(e.outstanding), Overdue: e.overdue,
	}
}
