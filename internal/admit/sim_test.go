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

// stream is an open-loop Poisson stream of like requests.
type stream struct {
	name     string
	account  model.AccountID
	priority model.Priority
	long     bool
	// erlangs is the offered load in busy slots.
	erlangs  float64
	service  time.Duration
	deadline time.Duration
}

// outcome counts what became of one stream's requests.
type outcome struct {
	offered, answered int
	busy              time.Duration
	latencies         []time.Duration
}

func (o *outcome) share() float64 { return float64(o.answered) / float64(o.offered) }

func (o *outcome) quantile(q float64) time.Duration {
	if len(o.latencies) == 0 {
		return 0
	}
	slices.Sort(o.latencies)
	return o.latencies[int(q*float64(len(o.latencies)-1))]
}

// request is one simulated request; server is set while it runs.
type request struct {
	item    admit.Item
	stream  int
	arrived time.Time
	service time.Duration
	server  model.ServerID
	began   time.Time
	// cancelled and failed requests end early and unanswered.
	cancelled, failed, ended bool
}

// event happens at a time: an arrival of a stream, an end, or a tick.
type event struct {
	at      time.Time
	kind    eventKind
	request *request
	stream  int
}

type eventKind uint8

const (
	arrival eventKind = iota
	end
	tick
)

// fleet is the system that the simulation measures.
type fleet interface {
	offer(now time.Time, r *request)
	done(now time.Time, r *request)
	tick(now time.Time)
	// wake returns when to tick next, if at all.
	wake() (time.Time, bool)
}

var simStart = time.Unix(1_700_000_000, 0)

// simulation runs streams through a fleet in virtual time.
type simulation struct {
	rand     *rand.Rand
	streams  []stream
	outcomes []outcome
	// events are sorted by time.
	events   []event
	fleet    fleet
	warm     time.Time
	finish   time.Time
	nextTick time.Time
	// dead is the count of servers that fail whatever they get.
	dead   int
	lastID uint64
}

const (
	simWarmUp   = 2 * time.Second
	simDuration = 30 * time.Second
	// serverSlots is the count of slots of a simulated server.
	serverSlots = 3
)

// simulate measures each stream after a warm-up.
func simulate(seed int64, streams []stream, build func(*simulation) fleet) []outcome {
	s := &simulation{
		rand:     rand.New(rand.NewSource(seed)),
		streams:  streams,
		outcomes: make([]outcome, len(streams)),
		warm:     simStart.Add(simWarmUp),
		finish:   simStart.Add(simWarmUp + simDuration),
	}
	s.fleet = build(s)
	for i := range streams {
		s.scheduleArrival(simStart, i)
	}
	for len(s.events) > 0 {
		e := s.events[0]
		s.events = s.events[1:]
		if e.at.After(s.finish) {
			break
		}
		s.step(e)
	}
	return s.outcomes
}

func (s *simulation) schedule(e event) {
	byTime := func(a, b event) int { return a.at.Compare(b.at) }
	i, _ := slices.BinarySearchFunc(s.events, e, byTime)
	s.events = slices.Insert(s.events, i, e)
}

func (s *simulation) step(e event) {
	switch e.kind {
	case arrival:
		s.scheduleArrival(e.at, e.stream)
		s.fleet.offer(e.at, s.newRequest(e.at, e.stream))
	case end:
		s.end(e.at, e.request)
	case tick:
		s.nextTick = time.Time{}
		s.fleet.tick(e.at)
	}
	s.scheduleTick()
}

// scheduleTick keeps one tick pending, at the earliest time asked for.
func (s *simulation) scheduleTick() {
	at, ok := s.fleet.wake()
	if !ok || (!s.nextTick.IsZero() && !at.Before(s.nextTick)) {
		return
	}
	s.nextTick = at
	s.schedule(event{at: at, kind: tick})
}

func (s *simulation) scheduleArrival(now time.Time, i int) {
	gap := float64(s.streams[i].service) / s.streams[i].erlangs
	at := now.Add(time.Duration(s.rand.ExpFloat64() * gap))
	s.schedule(event{at: at, kind: arrival, stream: i})
}

func (s *simulation) newRequest(now time.Time, i int) *request {
	st := s.streams[i]
	s.lastID++
	if now.After(s.warm) {
		s.outcomes[i].offered++
	}
	return &request{
		item: admit.Item{ID: s.lastID, Account: st.account, Priority: st.priority,
			Deadline: now.Add(st.deadline), Idempotent: true, Long: st.long},
		stream:  i,
		arrived: now,
		service: time.Duration(float64(st.service) * (0.5 + 0.5*s.rand.ExpFloat64())),
	}
}

// start gives r a server and schedules its end.
func (s *simulation) start(now time.Time, r *request, server model.ServerID) {
	r.server, r.began = server, now
	for i := range s.dead {
		r.failed = r.failed || server == serverID(i)
	}
	if r.failed {
		r.service = time.Millisecond
	}
	s.schedule(event{at: now.Add(r.service), kind: end, request: r})
}

// cancel ends a running request after a message's time.
func (s *simulation) cancel(now time.Time, r *request) {
	r.cancelled = true
	s.schedule(event{at: now.Add(time.Millisecond), kind: end, request: r})
}

func (s *simulation) end(now time.Time, r *request) {
	if r.ended {
		return
	}
	r.ended = true
	s.account(now, r)
	s.fleet.done(now, r)
}

// account counts the slot time of r after the warm-up, and its answer if it
// came in time.
func (s *simulation) account(now time.Time, r *request) {
	o := &s.outcomes[r.stream]
	if now.After(s.warm) {
		o.busy += min(now.Sub(r.began), now.Sub(s.warm))
	}
	if !r.arrived.After(s.warm) || r.cancelled || r.failed || now.After(r.item.Deadline) {
		return
	}
	o.answered++
	o.latencies = append(o.latencies, now.Sub(r.arrived))
}

// fullFleet is the queue with the tracker, as an entry VM joins them.
type fullFleet struct {
	sim     *simulation
	queue   *admit.Queue
	tracker *health.Tracker
	held    map[uint64]*request
}

func newFullFleet(servers int, policy admit.Policy) func(*simulation) fleet {
	return func(s *simulation) fleet {
		f := &fullFleet{s, admit.New(policy), health.NewTracker(health.DefaultOptions()), map[uint64]*request{}}
		infos := make([]health.ServerInfo, servers)
		for i := range infos {
			infos[i] = health.ServerInfo{ID: serverID(i), Slots: serverSlots}
		}
		f.tracker.SetServers(simStart, infos)
		f.apply(simStart, f.queue.SetServers(simStart, f.tracker.Limits(simStart)))
		return f
	}
}

func serverID(i int) model.ServerID { return model.ServerID("s" + strconv.Itoa(i)) }

func (f *fullFleet) offer(now time.Time, r *request) {
	f.held[r.item.ID] = r
	f.apply(now, f.queue.Offer(now, r.item))
}

func (f *fullFleet) done(now time.Time, r *request) {
	took := now.Sub(r.began)
	if r.item.Long {
		took = 0
	}
	switch {
	case r.failed:
		f.tracker.Observe(now, r.server, health.Failed, took)
	case !r.cancelled:
		f.tracker.Observe(now, r.server, health.Answered, took)
	}
	delete(f.held, r.item.ID)
	f.apply(now, f.queue.Done(now, r.item.ID, now.Sub(r.began)))
	f.apply(now, f.queue.SetServers(now, f.tracker.Limits(now)))
}

func (f *fullFleet) tick(now time.Time) { f.apply(now, f.queue.Tick(now)) }

func (f *fullFleet) wake() (time.Time, bool) { return f.queue.NextDeadline() }

// apply carries out a result.
func (f *fullFleet) apply(now time.Time, result admit.Result) {
	for _, s := range result.Starts {
		f.sim.start(now, f.held[s.ID], s.Server)
	}
	for _, r := range result.Refusals {
		delete(f.held, r.ID)
	}
	for _, id := range result.Cancels {
		f.sim.cancel(now, f.held[id])
	}
}

// randomFleet is the baseline: a random server, first in first out.
type randomFleet struct {
	sim     *simulation
	busy    []int
	waiting [][]*request
	chosen  map[*request]int
}

func newRandomFleet(servers int) func(*simulation) fleet {
	return func(s *simulation) fleet {
		return &randomFleet{s, make([]int, servers), make([][]*request, servers), map[*request]int{}}
	}
}

func (f *randomFleet) offer(now time.Time, r *request) {
	i := f.sim.rand.Intn(len(f.busy))
	f.chosen[r] = i
	f.waiting[i] = append(f.waiting[i], r)
	f.fill(now, i)
}

func (f *randomFleet) done(now time.Time, r *request) {
	i := f.chosen[r]
	delete(f.chosen, r)
	f.busy[i]--
	f.fill(now, i)
}

func (f *randomFleet) fill(now time.Time, i int) {
	for f.busy[i] < serverSlots && len(f.waiting[i]) > 0 {
		f.busy[i]++
		f.sim.start(now, f.waiting[i][0], serverID(i))
		f.waiting[i] = f.waiting[i][1:]
	}
}

func (f *randomFleet) tick(time.Time) {}

func (f *randomFleet) wake() (time.Time, bool) { return time.Time{}, false }
