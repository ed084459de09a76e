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
	// minSpeed and maxSpeed bound the speed relative to the service, and maxSlowness is
	// the logarithm of the slowness at minSpeed.
	minSpeed, maxSpeed = 0.1, 4.0
	maxSlowness        = 2.3
	// minCapacity is the capacity that every server keeps, so that it gets probes.
	minCapacity = 1.0
	// shedFactor is the factor of the capacity for a refusal although slots were free,
	// minShed its least product, and shedMemory the time constant of the return.
	shedFactor, minShed = 0.85, 0.5
	shedMemory          = 2 * time.Second
	// reportGain is the weight of a report in the average of a machine's slowness.
	reportGain = 0.2
)

// Request describes a request that is sent to a server.
type Request struct {
	Class Class
	// Ahead is the number of requests known to be at the server, without this one.
	Ahead int
}

// Ticket identifies a request between Begin and Record.
type Ticket uint64

// End says how a request ended.
type End uint8

// The ends of a request.
const (
	// Completed requests show how long their work took.
	Completed End = iota
	// Interrupted requests show only that their work takes at least as long.
	Interrupted
	// Refused requests show that the server takes fewer at once.
	Refused
	// Ignored requests show nothing: they did not run, or failed early, or ran on a
	// server that starts cold.
	Ignored
)

// Report is a server's statement of its load, the ended request included.
type Report struct {
	Running, Waiting, Slots int
	// Slowness is how many times as long as usual the server's machine takes for work;
	// zero if unknown.
	Slowness float64
}

// Sample is the end of a request.
type Sample struct {
	Ticket Ticket
	End    End
	// Report has no slots if the server sent none.
	Report Report
}

// pending is a request without an answer.
type pending struct {
	ticket Ticket
	sentAt time.Duration
	usual  *usual
	// ahead is the number of requests at the server when this one was sent.
	ahead int
}

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

// Begin records that a request is sent to the server.
func (e *Estimator) Begin(r Request, now time.Time) Ticket {
	e.lastTicket++
	e.outstanding = append(e.outstanding, pending{
		ticket: e.lastTicket, sentAt: e.service.since(now), usual: e.service.usual.of(r.Class), ahead: r.Ahead,
	})
	return e.lastTicket
}

// Ignore excludes an outstanding request from the estimate.
func (e *Estimator) Ignore(ticket Ticket) {
	for i := range e.outstanding {
		if e.outstanding[i].ticket == ticket {
			e.outstanding[i].usual = nil
		}
	}
}

// Record records the end of a request. The estimate includes it from the next Refresh.
func (e *Estimator) Record(sample Sample, now time.Time) {
	at := e.service.since(now)
	p, ok := e.take(sample.Ticket)
	if !ok || p.usual == nil {
		return
	}
	e.changed = true
	switch sample.End {
	case Completed:
		e.recordWork(&p, sample.Report, false, at)
	case Interrupted:
		e.recordWork(&p, sample.Report, true, at)
	case Refused:
		e.recordRefusal(&p, sample.Report, at)
	}
}

// take removes an outstanding request.
func (e *Estimator) take(ticket Ticket) (pending, bool) {
	for i, p := range e.outstanding {
		if p.ticket == ticket {
			e.outstanding = append(e.outstanding[:i], e.outstanding[i+1:]...)
			return p, true
		}
	}
	return pending{}, false
}

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
