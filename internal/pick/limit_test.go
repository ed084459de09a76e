package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/share"
)

const (
	// limitWindow, limitFactor and limitSlack are the bound on the requests at a
	// server that states a limit: in each window, as many as the limit times the
	// factor allows, plus the slack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettling is the time after the first statement of a limit from which the
	// bound holds, and limitNotice the time after an answer with the limit from which
	// the requests of a VM count.
	limitSettling = 3 * time.Second
	limitNotice   = 500 * time.Millisecond
	// simStep, simReportInterval, simReportDelay and simAnswerTime are the times of a
	// limitSim.
	simStep           = 10 * time.Millisecond
	simReportInterval = 100 * time.Millisecond
	simReportDelay    = 30 * time.Millisecond
	simAnswerTime     = 120 * time.Millisecond
	// simObjects is the number of objects that requests are for.
	simObjects = 40
	// simRecipients bounds the VMs that receive one report.
	simRecipients = 24
)

// limitSim plays entry VMs that send requests for objects to servers, some of which
// limit their requests, and exchange reports.
type limitSim struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	vms     []catalog.VM
	list    []*catalog.Server
	fleets  []*Fleet
	weights []float64
	// limits holds the limits in requests per second that servers state.
	limits map[model.ServerID]float64
	// loss is the share of reports that are lost.
	loss float64
	// cut holds the VMs that send and receive no reports.
	cut    map[int]bool
	events []simEvent
	// arrivals holds the times of the requests at each server that count for its
	// bound, all holds all of them.
	arrivals, all map[model.ServerID][]time.Time
	// noticed holds when each VM first got an answer with a limit of a server.
	noticed     map[string]time.Time
	firstStated map[model.ServerID]time.Time
	refused     int
	// served counts the requests by object.
	served map[uint64]int
}

type simEvent struct {
	at time.Time
	do func()
}

func newLimitSim(t *testing.T, vmCount, serverCount int, seed uint64) *limitSim {
	s := &limitSim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: start, vms: vms(vmCount), list: servers(serverCount, "lj"),
		limits: map[model.ServerID]float64{}, cut: map[int]bool{}, arrivals: map[model.ServerID][]time.Time{},
		all: map[model.ServerID][]time.Time{}, noticed: map[string]time.Time{}, served: map[uint64]int{}, firstStated: map[model.ServerID]time.Time{},
	}
	for i := range vmCount {
		s.fleets = append(s.fleets, newFleet(fmt.Sprint("vm-", i), "lj", s.vms, s.list))
		s.weights = append(s.weights, 1)
	}
	return s
}

func (s *limitSim) after(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{s.now.Add(d), do})
}

// restart replaces the process of a VM.
func (s *limitSim) restart(vm int) {
	s.fleets[vm] = newFleet(fmt.Sprint("vm-", vm), "lj", s.vms, s.list)
	for _, server := range s.list {
		delete(s.noticed, fmt.Sprint(vm, server.ID))
	}
}

// run plays d with perSecond requests.
func (s *limitSim) run(d time.Duration, perSecond float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		due := s.events
		s.events = nil
		for _, event := range due {
			if event.at.After(s.now) {
				s.events = append(s.events, event)
				continue
			}
			event.do()
		}
		if s.now.Sub(start)%simReportInterval == 0 {
			s.exchangeReports()
		}
		for expected := perSecond * simStep.Seconds(); expected > 0; expected-- {
			if s.rng.Float64() < expected {
				s.request()
			}
		}
	}
}

func (s *limitSim) exchangeReports() {
	for from, fleet := range s.fleets {
		reports := fleet.LimitReports(s.now)
		if s.cut[from] {
			continue
		}
		for _, to := range s.rng.Perm(len(s.fleets))[:min(simRecipients, len(s.fleets))] {
			if to == from || s.cut[to] || s.rng.Float64() < s.loss {
				continue
			}
			s.after(simReportDelay, func() { s.fleets[to].SetRemoteLimits(s.vms[from].Name, reports, s.now) })
		}
	}
}

// drawVM returns a random VM according to the weights.
func (s *limitSim) drawVM() int {
	total := 0.0
	for _, weight := range s.weights {
		total += weight
	}
	draw := s.rng.Float64() * total
	for vm, weight := range s.weights {
		if draw -= weight; draw < 0 {
			return vm
		}
	}
	return len(s.weights) - 1
}

func (s *limitSim) request() {
	vm := s.drawVM()
	fleet, object := s.fleets[vm], uint64(s.rng.IntN(simObjects))
	choice, reason := fleet.Pick(Query{Route: lookup, Service: "desk", Object: object}, s.now)
	if reason != "" {
		s.refused++
		return
	}
	s.served[object]++
	id := choice.Target.ID
	noticed, known := s.noticed[fmt.Sprint(vm, id)]
	s.all[id] = append(s.all[id], s.now)
	if known && s.now.Sub(noticed) >= limitNotice {
		s.arrivals[id] = append(s.arrivals[id], s.now)
	}
	s.after(simAnswerTime, func() {
		perSecond, limited := s.limits[id]
		fleet.RecordLimit(choice, limited, perSecond, s.now)
		fleet.Done(choice, Answered, nil, s.now)
		if _, known := s.noticed[fmt.Sprint(vm, id)]; limited && !known && fleet == s.fleets[vm] {
			s.noticed[fmt.Sprint(vm, id)] = s.now
		}
		if _, known := s.firstStated[id]; limited && !known {
			s.firstStated[id] = s.now
		}
	})
}

// most returns the largest number of counted requests at a server in one window that
// ends after limits have settled.
func (s *limitSim) most(id model.ServerID) int {
	most, first := 0, 0
	times := s.arrivals[id]
	for last, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		if at.Sub(s.firstStated[id]) >= limitSettling {
			most = max(most, last-first+1)
		}
	}
	return most
}

// check tests the bound on every server with a limit.
func (s *limitSim) check() {
	s.t.Helper()
	for id, perSecond := range s.limits {
		allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack
		if most := s.most(id); float64(most) > allowed {
			s.t.Errorf("%s takes %.1f requests a second and got %d in %v, allowed are %.0f", id, perSecond, most, limitWindow, allowed)
		}
	}
}

// countSince returns the number of requests at a server after at.
func (s *limitSim) countSince(id model.ServerID, at time.Time) int {
	count := 0
	for _, arrival := range s.all[id] {
		if arrival.After(at) {
			count++
		}
	}
	return count
}

// limitAll lets every server state a limit.
func (s *limitSim) limitAll(perSecond float64) {
	for _, server := range s.list {
		s.limits[server.ID] = perSecond
	}
}

// TestVMsTogetherKeepToAServersLimit guards against servers that get far more requests
// than the limit that they state, from VMs that each keep to it or ignore it.
func TestVMsTogetherKeepToAServersLimit(t *testing.T) {
	tests := []struct {
		desc         string
		vms, servers int
		seeds        uint64
		// perSecond is the number of requests and limit that of one server.
		perSecond, limit float64
		setUp            func(s *limitSim)
	}{
		{"a small deployment", 7, 8, 3, 120, 7, nil},
		{"a medium one", 33, 20, 3, 250, 4, nil},
		{"a large one", 117, 60, 1, 700, 4, nil},
		{"most requests come to one VM", 7, 8, 3, 120, 7, func(s *limitSim) { s.weights[2] = 20 }},
		{"a third of the reports is lost", 33, 20, 3, 250, 4, func(s *limitSim) { s.loss = 0.33 }},
		{"a low limit", 33, 20, 3, 200, 0.5, nil},
		{"no requests are taken", 33, 20, 3, 200, 0, nil},
		{"a high limit", 33, 4, 3, 400, 40, nil},
		{"VMs restart in turn", 7, 8, 3, 120, 7, func(s *limitSim) {
			for i := range 7 {
				s.after(time.Duration(4+i)*time.Second, func() { s.restart(i) })
			}
		}},
		{"few requests, then many", 33, 20, 3, 20, 4, func(s *limitSim) { s.after(8*time.Second, func() { s.run(4*time.Second, 600) }) }},
		{"the limit falls", 33, 20, 3, 250, 12, func(s *limitSim) { s.after(2*time.Second, func() { s.limitAll(3) }) }},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			for seed := range tt.seeds {
				s := newLimitSim(t, tt.vms, tt.servers, seed)
				s.run(time.Second, tt.perSecond)
				s.limitAll(tt.limit)
				if tt.setUp != nil {
					tt.setUp(s)
				}
				s.run(16*time.Second, tt.perSecond)
				s.check()
			}
		})
	}
}

// TestLimitsAreUsedUp guards against VMs that divide a limit so finely that the server
// idles while requests are refused.
func TestLimitsAreUsedUp(t *testing.T) {
	for _, vmCount := range []int{7, 33, 117} {
		t.Run(fmt.Sprint(vmCount, " VMs"), func(t *testing.T) {
			const limit, settled, measured = 6.0, 4 * time.Second, 10 * time.Second
			s := newLimitSim(t, vmCount, 10, 1)
			s.limitAll(limit)
			s.run(settled, 150)
			from := s.now
			s.run(measured, 150)
			for _, server := range s.list {
				if got, want := s.countSince(server.ID, from), int(0.85*limit*measured.Seconds()); got < want {
					t.Errorf("%s takes %.0f requests a second and got %d in %v, want at least %d", server.ID, limit, got, measured, want)
				}
			}
		})
	}
}

// TestLimitServesEveryObjectInTurn guards against objects that are refused for as long as
// limits last, while others are always served.
func TestLimitServesEveryObjectInTurn(t *testing.T) {
	s := newLimitSim(t, 7, 8, 1)
	s.limitAll(5)
	s.run(4*time.Second, 160)
	clear(s.served)
	s.run(limitRotation, 160)
	// Each object has 120 requests, and the limits suffice for 30 of them.
	const few = 10
	for object := range uint64(simObjects) {
		if got := s.served[object]; got < few {
			t.Errorf("%d requests for object %d served in %v, want at least %d", got, object, limitRotation, few)
		}
	}
}

// TestEndOfALimitReachesAllVMs guards against limits that outlive the server's need: a VM
// to which the server no longer states one, and the others by its report, send freely.
func TestEndOfALimitReachesAllVMs(t *testing.T) {
	s := newLimitSim(t, 7, 4, 1)
	s.limitAll(3)
	s.run(4*time.Second, 120)
	clear(s.limits)
	s.run(time.Second, 120)
	for vm, fleet := range s.fleets {
		for _, server := range fleet.servers {
			if server.limit.current.limited {
				t.Errorf("vm-%d still limits its requests to %s", vm, server.ID)
			}
		}
	}
	refused := s.refused
	s.run(2*time.Second, 120)
	if s.refused != refused {
		t.Errorf("%d requests refused after the limits ended", s.refused-refused)
	}
}

// TestVMsThatMeetAgainPauseShortly guards against a debt without bound: VMs that could
// not hear each other have sent more than the limit together.
func TestVMsThatMeetAgainPauseShortly(t *testing.T) {
	const limit = 5.0
	s := newLimitSim(t, 7, 4, 1)
	s.limitAll(limit)
	for vm := range 3 {
		s.cut[vm] = true
	}
	s.run(20*time.Second, 120)
	clear(s.cut)
	s.run(limitMaxDebt+time.Second, 120)
	from := s.now
	s.run(4*time.Second, 120)
	for _, server := range s.list {
		if got := s.countSince(server.ID, from); float64(got) < 0.85*limit*4 {
			t.Errorf("%s got %d requests in 4 s after the VMs met again, want about %.0f", server.ID, got, limit*4)
		}
	}
}

// TestRequestLimit checks the balance of a limit step by step.
func TestRequestLimit(t *testing.T) {
	const perSecond, span = 10, 6
	limited, free := statement{limited: true, perSecond: perSecond}, statement{}
	tests := []struct {
		desc string
		do   func(l *requestLimit, now time.Time)
		// want is the balance one second after the limit began without tokens.
		want float64
	}{
		{"unused for a second", func(*requestLimit, time.Time) {}, span},
		{"own requests", func(l *requestLimit, now time.Time) { l.recordSend(now); l.recordSend(now) }, span - 2},
		{"requests of another VM", func(l *requestLimit, now time.Time) { l.recordReport("vm-1", 3, now) }, span - 3},
		{"the same count again", func(l *requestLimit, now time.Time) {
			l.recordReport("vm-1", 3, now)
			l.recordReport("vm-1", 3, now)
		}, span - 3},
		{"a higher count after lost ones", func(l *requestLimit, now time.Time) {
			l.recordReport("vm-1", 1, now)
			l.recordReport("vm-1", 4, now)
		}, span - 4},
		{"the count of a new process", func(l *requestLimit, now time.Time) {
			l.recordReport("vm-1", 3, now)
			l.recordReport("vm-1", 1, now)
		}, span - 4},
		{"two other VMs", func(l *requestLimit, now time.Time) {
			l.recordReport("vm-1", 3, now)
			l.recordReport("vm-2", 3, now)
		}, span - 6},
		{"far more than the limit", func(l *requestLimit, now time.Time) { l.recordReport("vm-1", 500, now) }, -span - perSecond*2},
		{"an older statement", func(l *requestLimit, now time.Time) {
			old := free
			old.at = now.Add(-2 * time.Second)
			l.apply(old, now)
		}, span},
		{"the limit ends and begins again", func(l *requestLimit, now time.Time) {
			for _, s := range []statement{free, limited} {
				s.at = now
				l.apply(s, now)
			}
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var l requestLimit
			if !l.allows(1, start) {
				t.Error("refused without a limit")
			}
			first := limited
			first.at = start
			l.apply(first, start)
			if now := start.Add(time.Millisecond); l.allows(0.6, now) || !l.allows(0.4, now) {
				t.Error("a limit does not begin with half of the objects")
			}
			now := start.Add(time.Second)
			l.refill(now)
			tt.do(&l, now)
			if l.tokens != tt.want {
				t.Errorf("balance %.2f, want %.2f", l.tokens, tt.want)
			}
			for _, position := range []float64{0, 0.25, 0.5, 0.75, 0.999} {
				if got, want := l.allows(position, now), position < (l.tokens/span+1)/2; got != want {
					t.Errorf("position %.2f allowed: %v, want %v at a balance of %.2f", position, got, want, l.tokens)
				}
			}
		})
	}
}

var _ share.Fleet = (*Fleet)(nil)
