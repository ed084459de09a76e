package admit_test

import (
	"math/rand"
	"slices"
	"strconv"
	"time"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/health"
	"fuchsiaspar/internal/model"
)

// stream is an open-loop Poisson stream of requests of the same kind.
type stream struct {
	name     string
	account  model.AccountID
	priority model.Priority
	long     bool
	// erlangs is the offered load in busy slots.
	erlangs float64
	// service is the mean service time.
	service time.Duration
	// deadline is the time from a request's arrival to its deadline.
	deadline time.Duration
}

// outcome holds the results of one stream.
type outcome struct {
	// answered counts the requests answered before their deadline.
	offered, answered int
	// busy is the slot time that the stream used.
	busy      time.Duration
	latencies []time.Duration
}

// answeredShare returns the fraction of requests answered before their deadline.
func (o *outcome) answeredShare() float64 { return float64(o.answered) / float64(o.offered) }

// quantile returns the q-quantile of the latencies, zero if there are none.
func (o *outcome) quantile(q float64) time.Duration {
	if len(o.latencies) == 0 {
		return 0
	}
	slices.Sort(o.latencies)
	return o.latencies[int(q*float64(len(o.latencies)-1))]
}

// simRequest is a simulated request.
type simRequest struct {
	request admit.Request
	// stream is the index of the request's stream.
	stream  int
	arrived time.Time
	service time.Duration
	// server and began are set when the request starts.
	server model.ServerID
	began  time.Time
	// cancelled and failed requests end early without an answer.
	cancelled, failed, ended bool
}

// event is a scheduled event: an arrival in a stream, the end of a request or a
// tick.
type event struct {
	at      time.Time
	kind    eventKind
	request *simRequest
	stream  int
}

type eventKind uint8

const (
	arrivalEvent eventKind = iota
	endEvent
	tickEvent
)

// system is the admission system under simulation.
type system interface {
	offer(now time.Time, r *simRequest)
	done(now time.Time, r *simRequest)
	tick(now time.Time)
	// nextTick returns when to call tick next, or false if it is not needed.
	nextTick() (time.Time, bool)
}

var simStart = time.Unix(1_700_000_000, 0)

// simulation runs streams against a system in virtual time.
type simulation struct {
	rand     *rand.Rand
	streams  []stream
	outcomes []outcome
	// events are sorted by time.
	events      []event
	system      system
	measureFrom time.Time
	endTime     time.Time
	// nextTick is the time of the pending tick, zero if there is none.
	nextTick time.Time
	// dead is the number of servers that fail every request.
	dead   int
	lastID uint64
}

const (
	simWarmUp   = 2 * time.Second
	simDuration = 30 * time.Second
	// serverSlots is the number of slots of a simulated server.
	serverSlots = 3
)

// simulate runs streams against the system that build returns and returns the
// outcome of each after the warm-up.
func simulate(seed int64, streams []stream, build func(*simulation) system) []outcome {
	s := &simulation{
		rand:        rand.New(rand.NewSource(seed)),
		streams:     streams,
		outcomes:    make([]outcome, len(streams)),
		measureFrom: simStart.Add(simWarmUp),
		endTime:     simStart.Add(simWarmUp + simDuration),
	}
	s.system = build(s)
	for i := range streams {
		s.scheduleArrival(simStart, i)
	}
	for len(s.events) > 0 {
		e := s.events[0]
		s.events = s.events[1:]
		if e.at.After(s.endTime) {
			break
		}
		s.step(e)
	}
	return s.outcomes
}

// schedule inserts an event in order of time.
func (s *simulation) schedule(e event) {
	byTime := func(a, b event) int { return a.at.Compare(b.at) }
	i, _ := slices.BinarySearchFunc(s.events, e, byTime)
	s.events = slices.Insert(s.events, i, e)
}

// step carries out an event.
func (s *simulation) step(e event) {
	switch e.kind {
	case arrivalEvent:
		s.scheduleArrival(e.at, e.stream)
		s.system.offer(e.at, s.newRequest(e.at, e.stream))
	case endEvent:
		s.end(e.at, e.request)
	case tickEvent:
		s.nextTick = time.Time{}
		s.system.tick(e.at)
	}
	s.scheduleTick()
}

// scheduleTick schedules the system's next tick unless an earlier one is pending.
func (s *simulation) scheduleTick() {
	at, ok := s.system.nextTick()
	if !ok || (!s.nextTick.IsZero() && !at.Before(s.nextTick)) {
		return
	}
	s.nextTick = at
	s.schedule(event{at: at, kind: tickEvent})
}

func (s *simulation) scheduleArrival(now time.Time, i int) {
	gap := float64(s.streams[i].service) / s.streams[i].erlangs
	at := now.Add(time.Duration(s.rand.ExpFloat64() * gap))
	s.schedule(event{at: at, kind: arrivalEvent, stream: i})
}

// newRequest returns a request of stream i. Its service time is half the mean plus
// an exponentially distributed part.
func (s *simulation) newRequest(now time.Time, i int) *simRequest {
	st := s.streams[i]
	s.lastID++
	if now.After(s.measureFrom) {
		s.outcomes[i].offered++
	}
	return &simRequest{
		request: admit.Request{ID: s.lastID, Account: st.account, Priority: st.priority,
			Deadline: now.Add(st.deadline), Idempotent: true, Long: st.long},
		stream:  i,
		arrived: now,
		service: time.Duration(float64(st.service) * (0.5 + 0.5*s.rand.ExpFloat64())),
	}
}

// start runs r on a server and schedules its end. Dead servers fail after 1 ms.
func (s *simulation) start(now time.Time, r *simRequest, server model.ServerID) {
	r.server, r.began = server, now
	for i := range s.dead {
		r.failed = r.failed || server == serverID(i)
	}
	if r.failed {
		r.service = time.Millisecond
	}
	s.schedule(event{at: now.Add(r.service), kind: endEvent, request: r})
}

// cancel ends a running request after 1 ms, the time that a message takes.
func (s *simulation) cancel(now time.Time, r *simRequest) {
	r.cancelled = true
	s.schedule(event{at: now.Add(time.Millisecond), kind: endEvent, request: r})
}

// end ends a running request unless it has ended already, as a cancelled one has.
func (s *simulation) end(now time.Time, r *simRequest) {
	if r.ended {
		return
	}
	r.ended = true
	s.recordEnd(now, r)
	s.system.done(now, r)
}

// recordEnd counts the slot time of r after the warm-up, and its answer if r arrived
// after the warm-up and met its deadline.
func (s *simulation) recordEnd(now time.Time, r *simRequest) {
	o := &s.outcomes[r.stream]
	if now.After(s.measureFrom) {
		o.busy += min(now.Sub(r.began), now.Sub(s.measureFrom))
	}
	if !r.arrived.After(s.measureFrom) || r.cancelled || r.failed || now.After(r.request.Deadline) {
		return
	}
	o.answered++
	o.latencies = append(o.latencies, now.Sub(r.arrived))
}

// queueSystem combines the queue with the health tracker as an entry VM does.
type queueSystem struct {
	sim      *simulation
	queue    *admit.Queue
	tracker  *health.Tracker
	requests map[uint64]*simRequest
}

func newQueueSystem(servers int, policy admit.Policy) func(*simulation) system {
	return func(s *simulation) system {
		q := &queueSystem{s, admit.New(policy), health.NewTracker(health.DefaultOptions()), map[uint64]*simRequest{}}
		infos := make([]health.ServerInfo, servers)
		for i := range infos {
			infos[i] = health.ServerInfo{ID: serverID(i), Slots: serverSlots}
		}
		q.tracker.SetServers(simStart, infos)
		q.apply(simStart, q.queue.SetServers(simStart, q.tracker.Limits(simStart)))
		return q
	}
}

func serverID(i int) model.ServerID { return model.ServerID("s" + strconv.Itoa(i)) }

func (q *queueSystem) offer(now time.Time, r *simRequest) {
	q.requests[r.request.ID] = r
	q.apply(now, q.queue.Offer(now, r.request))
}

// done reports the result to the tracker. A long transfer passes no latency, since
// its duration depends on its size.
func (q *queueSystem) done(now time.Time, r *simRequest) {
	took := now.Sub(r.began)
	if r.request.Long {
		took = 0
	}
	switch {
	case r.failed:
		q.tracker.Observe(now, r.server, health.Failed, took)
	case !r.cancelled:
		q.tracker.Observe(now, r.server, health.Answered, took)
	}
	delete(q.requests, r.request.ID)
	q.apply(now, q.queue.Done(now, r.request.ID, now.Sub(r.began)))
	q.apply(now, q.queue.SetServers(now, q.tracker.Limits(now)))
}

func (q *queueSystem) tick(now time.Time) { q.apply(now, q.queue.Tick(now)) }

func (q *queueSystem) nextTick() (time.Time, bool) { return q.queue.NextTick() }

// apply carries out a result of the queue.
func (q *queueSystem) apply(now time.Time, result admit.Result) {
	for _, s := range result.Starts {
		q.sim.start(now, q.requests[s.ID], s.Server)
	}
	for _, r := range result.Refusals {
		delete(q.requests, r.ID)
	}
	for _, id := range result.Cancels {
		q.sim.cancel(now, q.requests[id])
	}
}

// baselineSystem assigns each request to a random server, which serves its requests
// in order of arrival.
type baselineSystem struct {
	sim      *simulation
	busy     []int
	waiting  [][]*simRequest
	serverOf map[*simRequest]int
}

func newBaselineSystem(servers int) func(*simulation) system {
	return func(s *simulation) system {
		return &baselineSystem{s, make([]int, servers), make([][]*simRequest, servers), map[*simRequest]int{}}
	}
}

func (b *baselineSystem) offer(now time.Time, r *simRequest) {
	i := b.sim.rand.Intn(len(b.busy))
	b.serverOf[r] = i
	b.waiting[i] = append(b.waiting[i], r)
	b.fill(now, i)
}

func (b *baselineSystem) done(now time.Time, r *simRequest) {
	i := b.serverOf[r]
	delete(b.serverOf, r)
	b.busy[i]--
	b.fill(now, i)
}

// fill starts waiting requests of server i while it has idle slots.
func (b *baselineSystem) fill(now time.Time, i int) {
	for b.busy[i] < serverSlots && len(b.waiting[i]) > 0 {
		b.busy[i]++
		b.sim.start(now, b.waiting[i][0], serverID(i))
		b.waiting[i] = b.waiting[i][1:]
	}
}

func (b *baselineSystem) tick(time.Time) {}

func (b *baselineSystem) nextTick() (time.Time, bool) { return time.Time{}, false }
