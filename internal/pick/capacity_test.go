package pick

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/share"
)

// simServer is a backend server of a simulation.
type simServer struct {
	slots   int
	speed   float64
	running int
	queue   []*simRequest
	handled map[uint64]time.Duration
	// sent counts the requests since the last reset.
	sent int
}

// simRequest is a client's request in a simulation.
type simRequest struct {
	object  uint64
	start   time.Duration
	vm      *Fleet
	choice  Choice
	exclude []model.ServerID
}

// event is something that happens at a time of a simulation.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is a service with entry VMs in virtual time. Work takes 60 ms for a known
// object and three times as long for another.
type simulation struct {
	now     time.Duration
	events  events
	random  *rand.Rand
	servers []*simServer
	entries []*catalog.Server
	vms     []*Fleet
	// told holds the outstanding requests that each VM last told the others.
	told  []share.Counts
	route *catalog.Route
	// rate is in requests per second.
	rate    float64
	objects int
	noise   float64
	// knee is the share of the slots above which work takes so much longer that throughput
	// falls, at half of the slots to two thirds; 1 for none.
	knee                     float64
	requests, inTime, served int
	latency                  time.Duration
}

const (
	simWork      = 60 * time.Millisecond
	simObjective = 500 * time.Millisecond
	simQueue     = 12
)

func newSimulation(servers, vms int, rate float64, learn bool) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(1, 2)), rate: rate, objects: 40 * servers, noise: 0.15, knee: 1,
		route: &catalog.Route{Name: "lookup", Kind: catalog.Idempotent, TargetLatency: simObjective},
	}
	for i := range servers {
		s.servers = append(s.servers, &simServer{slots: 4, speed: 1, handled: map[uint64]time.Duration{}})
		s.entries = append(s.entries, &catalog.Server{
			ID: model.ServerID(fmt.Sprint("i-", i)), Service: "desk", Region: "lj", Zone: "lj-a", Slots: 4,
		})
	}
	for i := range vms {
		f := NewFleet(Options{Self: model.VMID(fmt.Sprint("vm-", i)), Region: "lj", LearnCapacity: learn})
		f.SetSnapshot(snapshot(s.entries, nil), start)
		s.vms, s.told = append(s.vms, f), append(s.told, nil)
	}
	s.after(0, s.arrive)
	s.after(100*time.Millisecond, s.share)
	return s
}

func (s *simulation) after(d time.Duration, run func()) { heap.Push(&s.events, event{s.now + d, run}) }

func (s *simulation) clock() time.Time { return start.Add(s.now) }

// runFor lets the simulation go on and returns the share of requests served in time.
func (s *simulation) runFor(d time.Duration) float64 {
	s.requests, s.inTime, s.served, s.latency = 0, 0, 0, 0
	for _, server := range s.servers {
		server.sent = 0
	}
	end := s.now + d
	for s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
	return float64(s.inTime) / float64(s.requests)
}

func (s *simulation) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
	s.requests++
	// A tenth of the objects gets most of the requests.
	object := mix(uint64(float64(s.objects) * math.Pow(s.random.Float64(), 3)))
	s.send(&simRequest{object: object, start: s.now, vm: s.vms[s.random.IntN(len(s.vms))]})
}

func (s *simulation) share() {
	s.after(100*time.Millisecond, s.share)
	for i, from := range s.vms {
		counts, changes := from.Outstanding(), share.Counts{}
		for server, count := range counts {
			changes[server] = count
		}
		for server, count := range s.told[i] {
			changes[server] -= count
		}
		s.told[i] = counts
		var speeds []share.RemoteSpeed
		for server, report := range from.SpeedReports(s.clock()) {
			speeds = append(speeds, share.RemoteSpeed{Server: server, Origin: uint16(i), SpeedReport: report})
		}
		for j, to := range s.vms {
			if i != j {
				to.AddRemoteCounts(changes)
				to.SetRemoteSpeeds(speeds, s.clock())
			}
		}
	}
}

func (s *simulation) send(r *simRequest) {
	const attempts = 3
	if len(r.exclude) == attempts {
		return
	}
	choice, reason := r.vm.Pick(Query{Route: s.route, Service: "desk", Object: r.object, Exclude: r.exclude}, s.clock())
	if reason != "" {
		return
	}
	r.choice = choice
	server := s.at(choice)
	server.sent++
	switch {
	case server.running < server.slots:
		s.work(server, r)
	case len(server.queue) < simQueue:
		server.queue = append(server.queue, r)
	default:
		r.vm.Done(choice, Refused, s.report(server), s.clock())
		r.exclude = append(r.exclude, choice.Target.ID)
		s.send(r)
	}
}

func (s *simulation) at(c Choice) *simServer {
	for i, entry := range s.entries {
		if entry.ID == c.Target.ID {
			return s.servers[i]
		}
	}
	return nil
}

func (s *simulation) report(server *simServer) *Report {
	return &Report{Running: server.running, Waiting: len(server.queue), Slots: server.slots}
}

func (s *simulation) work(server *simServer, r *simRequest) {
	server.running++
	took := float64(simWork) / server.speed * math.Exp(s.noise*s.random.NormFloat64())
	if at, known := server.handled[r.object]; !known || s.now-at > warmTTL {
		took *= 3
	}
	if used := float64(server.running) / float64(server.slots); used > s.knee {
		took *= math.Pow(used/s.knee, 1.6)
	}
	s.after(time.Duration(took), func() {
		report := s.report(server)
		server.running--
		server.handled[r.object] = s.now
		r.vm.Done(r.choice, Answered, report, s.clock())
		s.served++
		s.latency += s.now - r.start
		if s.now-r.start <= simObjective {
			s.inTime++
		}
		if len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			s.work(server, next)
		}
	})
}

// TestSlowServerLosesAndRegainsItsLoad guards against a server that keeps its requests
// while it is five times slower than the others, gets no probes, or does not get its
// requests back.
func TestSlowServerLosesAndRegainsItsLoad(t *testing.T) {
	for _, tt := range []struct {
		desc         string
		servers, vms int
		rate         float64
		seeds        uint64
	}{
		{"many requests of a VM at a server", 10, 4, 200, 5},
		{"a request in 4 s of a VM at a server", 40, 30, 300, 3},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			usual, slow, after := 0, 0, 0
			for seed := range tt.seeds {
				s := newSimulation(tt.servers, tt.vms, tt.rate, true)
				s.random = rand.New(rand.NewPCG(seed, 7))
				some := s.servers[:tt.servers/10]
				count := func(sum *int) {
					s.runFor(3 * time.Second)
					for _, server := range some {
						*sum += server.sent
					}
				}
				setSpeed := func(speed float64) {
					for _, server := range some {
						server.speed = speed
					}
				}
				s.runFor(20 * time.Second)
				count(&usual)
				setSpeed(0.2)
				s.runFor(time.Second)
				count(&slow)
				setSpeed(1)
				s.runFor(3 * time.Second)
				count(&after)
			}
			t.Logf("%d requests before, %d while slow, %d after", usual, slow, after)
			if slow > usual/4 || slow == 0 {
				t.Errorf("%d requests from 1 s after the slowdown, want some and at most a quarter of %d", slow, usual)
			}
			if after < usual*3/4 {
				t.Errorf("%d requests from 3 s after the recovery, want about %d", after, usual)
			}
		})
	}
}

// TestNoServerIsBlamedForAllBeingSlow guards against capacities that fall because the
// whole service is slow, and against neighbors that are found slow on the way.
func TestNoServerIsBlamedForAllBeingSlow(t *testing.T) {
	s := newSimulation(10, 4, 100, true)
	s.runFor(20 * time.Second)
	for _, speed := range []float64{0.25, 1} {
		for _, server := range s.servers {
			server.speed = speed
		}
		for step := range 30 {
			s.runFor(200 * time.Millisecond)
			low := s.vms[0].Speeds(s.clock())["desk"].BelowHalf
			if low > len(s.servers)/2 {
				t.Errorf("%d servers are below half %d steps after all have speed %.2f", low, step, speed)
			}
			if low > 1 && step > 10 {
				t.Errorf("%d servers are still below half %d steps after all have speed %.2f", low, step, speed)
			}
		}
	}
}

// TestLearnedCapacityServesMoreInTime compares clients' results with and without
// estimates. It guards against estimates that cost clients more than they save.
func TestLearnedCapacityServesMoreInTime(t *testing.T) {
	uneven := func(s *simulation) {
		for i, server := range s.servers {
			server.speed = 0.5 * math.Pow(4, float64(i)/float64(len(s.servers)-1))
		}
	}
	kneeAtHalf := func(s *simulation) { s.knee = 0.5 }
	tests := []struct {
		desc         string
		servers, vms int
		rate         float64
		setup        func(*simulation)
		// gain is the least difference of the shares served in time, and longer how
		// many times as long the mean response may take.
		gain, longer float64
	}{
		{"equal servers", 10, 4, 400, func(*simulation) {}, -0.005, 1.05},
		{"speeds from 0.5 to 2", 10, 4, 350, uneven, -0.005, 0.95},
		{"speeds from 0.5 to 2, few requests of a VM at a server", 30, 20, 600, uneven, -0.005, 0.95},
		{"one server five times slower", 10, 4, 300, func(s *simulation) { s.servers[3].speed = 0.2 }, 0, 0.95},
		{"knee at half of the slots", 10, 4, 240, kneeAtHalf, 0.3, 0.8},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			share, mean := map[bool]float64{}, map[bool]time.Duration{}
			seeds := max(1, 120/(tt.servers*tt.vms))
			for _, learn := range []bool{false, true} {
				for seed := range seeds {
					s := newSimulation(tt.servers, tt.vms, tt.rate/2, learn)
					s.random = rand.New(rand.NewPCG(uint64(seed), 9))
					tt.setup(s)
					s.runFor(20 * time.Second)
					s.rate = tt.rate
					share[learn] += s.runFor(20*time.Second) / float64(seeds)
					mean[learn] += s.latency / time.Duration(s.served*seeds)
				}
			}
			t.Logf("in time %.3f without, %.3f with; mean %v, %v", share[false], share[true], mean[false], mean[true])
			if share[true] < share[false]+tt.gain {
				t.Errorf("%.3f served in time, %.3f without estimates", share[true], share[false])
			}
			if float64(mean[true]) > tt.longer*float64(mean[false]) {
				t.Errorf("mean response after %v, %v without estimates", mean[true], mean[false])
			}
		})
	}
}

// TestIdleSlotsOfSlowServersAreUsed guards against refusals while a slow server has idle
// slots: once the first server of the objects is full, the other one must take as many
// requests as it has slots, though its estimated capacity is less.
func TestIdleSlotsOfSlowServersAreUsed(t *testing.T) {
	s := newSimulation(2, 1, 40, true)
	s.servers[0].speed = 0.2
	s.runFor(20 * time.Second)
	f := s.vms[0]
	slow, fast := f.servers["i-0"], f.servers["i-1"]
	for object := uint64(1_000_000); slow.outstanding+fast.outstanding < 16+4; object++ {
		if serverWeight(object, slow.hash) > serverWeight(object, fast.hash) {
			continue
		}
		if _, reason := f.Pick(Query{Route: s.route, Service: "desk", Object: object}, s.clock()); reason != "" {
			t.Fatalf("refused with %d and %d requests: %s", slow.outstanding, fast.outstanding, reason)
		}
	}
}

// TestExplainAgreesWithPick guards against an explanation that names another server than a
// request gets, or another reason for none.
func TestExplainAgreesWithPick(t *testing.T) {
	t.Run("by queue", func(t *testing.T) {
		if reasons := explainAgrees(t, newSimulation(12, 1, 500, true)); reasons[AllFull] == 0 || reasons[TooLate] > 0 {
			t.Errorf("refusals %v, want some by full servers and none by the objective", reasons)
		}
	})
	t.Run("by objective", func(t *testing.T) {
		s := newSimulation(12, 1, 500, true)
		s.admitByObjective(t, 150*time.Millisecond)
		// Work times must be known.
		s.rate = 150
		s.runFor(10 * time.Second)
		if reasons := explainAgrees(t, s); reasons[TooLate] == 0 {
			t.Errorf("refusals %v, want some by the objective", reasons)
		}
	})
}

// admitByObjective makes the VMs refuse requests that would miss an objective.
func (s *simulation) admitByObjective(t *testing.T, objective time.Duration) {
	t.Helper()
	s.route.TargetLatency = objective
	configuration := config()
	configuration.Routes = []catalog.Route{*s.route}
	if err := configuration.Accounts.Add(&catalog.Account{ID: "a"}, nil); err != nil {
		t.Fatal(err)
	}
	for _, f := range s.vms {
		f.SetSnapshot(catalog.NewSnapshot(2, configuration, s.entries, nil, nil), s.clock())
	}
}

// TestServersAreFullAtTheLowerThreshold guards against requests that queue where they would
// miss their objective because the queue has room, or that are refused by a server whose
// queue the objective would not fill.
func TestServersAreFullAtTheLowerThreshold(t *testing.T) {
	s := newSimulation(10, 4, 120, true)
	s.knee = 0.5
	s.runFor(20 * time.Second)
	s.rate = 240
	s.runFor(20 * time.Second)
	server := s.vms[0].servers["i-0"]
	byQueue := 1 + server.queueRoom()
	if byQueue >= queueFull || byQueue <= 1 {
		t.Fatalf("the server is full at %.2f by its queue, want less than %d after a knee was found", byQueue, queueFull)
	}
	for full, want := range map[float64]float64{queueFull: byQueue, byQueue + 0.1: byQueue, 1.5: 1.5} {
		if got := server.fullLoad(full); got != want {
			t.Errorf("full at %.2f for a request with the threshold %.2f, want %.2f", got, full, want)
		}
	}
	for _, tt := range []struct {
		load, full float64
		want       bool
	}{{1.6, 1.5, true}, {1.4, 1.5, false}, {byQueue, 1.5, false}, {byQueue, queueFull, false}} {
		if c := (Choice{Server: server, Load: tt.load}); c.wouldBeLate(tt.full) != tt.want {
			t.Errorf("load %.2f, threshold %.2f: late is %t", tt.load, tt.full, !tt.want)
		}
	}
	plain := &Server{Server: s.entries[0]}
	if got := plain.fullLoad(queueFull); got != queueFull {
		t.Errorf("without estimates full at %.2f, want %d", got, queueFull)
	}
}

// explainAgrees compares explanations and choices under growing load, and returns how often
// each reason was given for none.
func explainAgrees(t *testing.T, s *simulation) map[Reason]int {
	t.Helper()
	s.servers[3].speed = 0.2
	f := s.vms[0]
	refused, reasons := 0, map[Reason]int{}
	for i := range uint64(400) {
		s.rate = 300 + 10*float64(i)
		s.runFor(20 * time.Millisecond)
		query := Query{Route: s.route, Service: "desk", Object: mix(i % 40)}
		if i%10 == 9 {
			query.Regions = catalog.NewRegions([]model.Region{"kp"})
		}
		e := f.Explain(query, "lj", s.clock())
		c, reason := f.Pick(query, s.clock())
		if reason != "" {
			refused++
			reasons[reason]++
		}
		if e.Reason != reason || reason == "" && e.Service.Chosen != string(c.Target.ID) {
			t.Fatalf("explained as %q %q, picked %v %q", e.Service.Chosen, e.Reason, c.Target, reason)
		}
		if reason == "" {
			f.Done(c, Abandoned, nil, s.clock())
		}
		for _, row := range e.Service.Candidates {
			sum := 0.0
			for _, part := range row.Parts {
				sum += part.Cost
			}
			if row.Excluded == "" && math.Abs(sum-row.Cost) > 0.05 {
				t.Fatalf("parts %v of cost %.2f", row.Parts, row.Cost)
			}
		}
	}
	if refused <= 40 {
		t.Errorf("%d refusals, want some by full servers", refused)
	}
	return reasons
}

// TestEstimateEndsWithTheProcess guards against the judgment of a server by what its
// previous process did.
func TestEstimateEndsWithTheProcess(t *testing.T) {
	s := newSimulation(4, 1, 100, true)
	s.servers[0].speed = 0.2
	s.runFor(10 * time.Second)
	f := s.vms[0]
	if speed := f.servers["i-0"].estimator.Estimate().Speed; speed > 0.5 {
		t.Fatalf("speed %.2f before the restart, want about 0.2", speed)
	}
	restarted := *s.entries[0]
	restarted.Started = 1
	f.SetSnapshot(snapshot(append([]*catalog.Server{&restarted}, s.entries[1:]...), nil), s.clock())
	if speed := f.servers["i-0"].estimator.Estimate().Speed; speed != 1 {
		t.Errorf("speed %.2f after the restart, want 1", speed)
	}
}
