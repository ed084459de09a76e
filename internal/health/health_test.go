package health_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/health"
	"fuchsiaspar/internal/histories"
	"fuchsiaspar/internal/model"
)

var (
	historyCount = flag.Int("histories", 100, "histories per oracle")
	seed         = flag.Int64("seed", 1, "seed of the histories")
)

const (
	ms            = time.Millisecond
	historyLength = 150
	// maxPause is the longest time without requests that is not an ejection.
	maxPause = 400 * ms
)

var epoch = time.Unix(1_700_000_000, 0)

// trackerVariant is a tracker with the faults that a broken variant adds to its
// input and output.
type trackerVariant struct {
	*health.Tracker
	info  func(*health.ServerInfo)
	limit func(*admit.Server)
}

// trackerModel models the servers and records the first violated invariant.
type trackerModel struct {
	trackerVariant
	now       time.Time
	infos     []health.ServerInfo
	answers   map[model.ServerID]int
	idleSince map[model.ServerID]time.Time
	err       error
}

func (f *trackerModel) setServers(infos []health.ServerInfo) {
	f.infos = infos
	given := append([]health.ServerInfo(nil), infos...)
	for i := range given {
		if f.info != nil {
			f.info(&given[i])
		}
	}
	f.SetServers(f.now, given)
}

func (f *trackerModel) failf(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// check compares the limits with what the state of the model allows.
func (f *trackerModel) check() {
	limits := f.Limits(f.now)
	if len(limits) != len(f.infos) {
		f.failf("%d limits for %d servers", len(limits), len(f.infos))
		return
	}
	inUse, idle, ejected := 0, 0, 0
	for i, info := range f.infos {
		got := limits[i]
		if f.limit != nil {
			f.limit(&got)
		}
		if got.ID != info.ID || got.Limit < 0 || got.Limit > info.Slots {
			f.failf("limit %v for %v", got, info)
		}
		if info.Draining && got.Limit != 0 {
			f.failf("%s is draining and has a limit above 0", info.ID)
		}
		if info.Cold && got.Limit > 1+f.answers[info.ID]/10 {
			f.failf("%s is cold and has limit %d after %d answers", info.ID, got.Limit, f.answers[info.ID])
		}
		if !info.Draining {
			inUse++
		}
		if info.Draining || got.Limit > 0 {
			delete(f.idleSince, info.ID)
			continue
		}
		idle++
		if _, known := f.idleSince[info.ID]; !known {
			f.idleSince[info.ID] = f.now
		}
		if f.now.Sub(f.idleSince[info.ID]) > maxPause {
			ejected++
		}
		if f.now.Sub(f.idleSince[info.ID]) > health.DefaultOptions().MaxEjectionTime {
			f.failf("%s is ejected for too long", info.ID)
		}
	}
	if inUse > 0 && idle == inUse {
		f.failf("all servers have limit 0")
	}
	if ejected > max(1, int(0.34*float64(inUse))) {
		f.failf("%d of %d servers are ejected", ejected, inUse)
	}
}

// Apply advances the time and runs the drawn command.
func (f *trackerModel) Apply(d histories.Draw) error {
	f.now = f.now.Add([]time.Duration{0, 20 * ms, 300 * ms, 5 * time.Second}[d.Intn(4)])
	f.check()
	id := f.infos[d.Intn(uint64(len(f.infos)))].ID
	switch d.Intn(10) {
	case 0:
		f.setServers(drawServers(&d, f.infos))
	case 1:
		f.Report(f.now, id, health.Report{Load: float64(d.Intn(3)), Ready: d.Intn(2) == 0, Age: time.Duration(d.Intn(3)) * time.Second})
	case 2, 3, 4:
		f.answers[id]++
		f.Observe(f.now, id, health.Answered, time.Duration(1+d.Intn(400))*ms)
	default:
		// Results come in bursts, so that consecutive failures are common.
		class := health.Class(1 + d.Intn(3))
		for range 1 + d.Intn(6) {
			f.Observe(f.now, id, class, 0)
		}
	}
	f.check()
	return f.err
}

// drawServers modifies one server and keeps between three and eight servers.
func drawServers(d *histories.Draw, old []health.ServerInfo) []health.ServerInfo {
	infos := append([]health.ServerInfo(nil), old...)
	if n := 3 + d.Intn(6); n < len(infos) {
		infos = infos[:n]
	}
	at := d.Intn(uint64(len(infos)))
	infos[at].Draining = d.Intn(2) == 0
	infos[at].Slots = 1 + d.Intn(4)
	return infos
}

func checkHistories(opts health.Options, variant trackerVariant) *gopter.TestResult {
	run := histories.Options{Seed: *seed, Count: *historyCount, Length: historyLength}
	return histories.Check(run, func() histories.Subject {
		f := &trackerModel{trackerVariant: variant, now: epoch, answers: map[model.ServerID]int{}, idleSince: map[model.ServerID]time.Time{}}
		f.Tracker = health.NewTracker(opts)
		f.setServers(servers(8))
		return f
	})
}

// servers returns n servers of three slots each, the last of them cold.
func servers(n int) []health.ServerInfo {
	infos := make([]health.ServerInfo, n)
	for i := range infos {
		infos[i] = health.ServerInfo{ID: model.ServerID(fmt.Sprint("s", i)), Slots: 3, ColdStart: time.Second, Cold: i == n-1}
	}
	return infos
}

func TestTrackerInvariants(t *testing.T) {
	if result := checkHistories(health.DefaultOptions(), trackerVariant{}); !result.Passed() {
		t.Errorf("seed %d: %v", *seed, result)
	}
}

func TestOracleCatchesBrokenTrackers(t *testing.T) {
	all, forever := health.DefaultOptions(), health.DefaultOptions()
	all.MaxEjectedShare = 1
	forever.BaseEjectionTime, forever.MaxEjectionTime = time.Hour, time.Hour
	faults := map[string]*gopter.TestResult{
		"ejects all":       checkHistories(all, trackerVariant{}),
		"ejects for hours": checkHistories(forever, trackerVariant{}),
		"exceeds slots":    checkHistories(health.DefaultOptions(), trackerVariant{limit: func(s *admit.Server) { s.Limit++ }}),
		"ignores drains":   checkHistories(health.DefaultOptions(), trackerVariant{info: func(i *health.ServerInfo) { i.Draining = false }}),
		"ignores cold":     checkHistories(health.DefaultOptions(), trackerVariant{info: func(i *health.ServerInfo) { i.Cold = false }}),
	}
	for name, result := range faults {
		if result.Passed() {
			t.Errorf("the oracle did not notice a tracker that %s", name)
		}
	}
}

// scenario drives a tracker of four warm servers of three slots.
type scenario struct {
	*health.Tracker
	now time.Time
}

func newScenario() *scenario {
	s := &scenario{health.NewTracker(health.DefaultOptions()), epoch}
	s.SetServers(epoch, servers(5)[:4])
	return s
}

// recordAnswers records n answers of each server, with latency first for server 0
// and rest for the others.
func (s *scenario) recordAnswers(n int, first, rest time.Duration) {
	for range n {
		s.now = s.now.Add(50 * ms)
		for i, l := range s.Limits(s.now) {
			latency := rest
			if i == 0 {
				latency = first
			}
			s.Observe(s.now, l.ID, health.Answered, latency)
		}
	}
}

func (s *scenario) expectLimits(t *testing.T, what string, limits ...int) {
	t.Helper()
	for i, l := range s.Limits(s.now) {
		if l.Limit != limits[i] {
			t.Errorf("%s: server %d has limit %d, want %d", what, i, l.Limit, limits[i])
		}
	}
}

func TestLimitsFollowTraffic(t *testing.T) {
	s := newScenario()
	s.recordAnswers(100, 20*ms, 20*ms)
	s.expectLimits(t, "steady traffic", 3, 3, 3, 3)
	s.Report(s.now.Add(-time.Second), "s1", health.Report{Ready: false})
	s.expectLimits(t, "report older than the last answer", 3, 3, 3, 3)
	s.now = s.now.Add(ms)
	s.Report(s.now, "s1", health.Report{Ready: false})
	s.expectLimits(t, "report newer than the last answer", 3, 1, 3, 3)
	s.recordAnswers(1, 20*ms, 20*ms)
	s.expectLimits(t, "answer after the report", 3, 3, 3, 3)
	s.recordAnswers(40, 100*ms, 20*ms)
	s.expectLimits(t, "one slow server", 1, 3, 3, 3)
	s.recordAnswers(40, 20*ms, 20*ms)
	s.recordAnswers(40, 100*ms, 100*ms)
	s.expectLimits(t, "all servers equally slow", 3, 3, 3, 3)
	for range 3 {
		s.now = s.now.Add(200 * ms)
		s.Observe(s.now, "s2", health.Shed, 0)
	}
	s.expectLimits(t, "shedding", 3, 3, 1, 3)
	for range 8 {
		s.Observe(s.now, "s0", health.Failed, 0)
		s.Observe(s.now, "s3", health.Silent, 0)
	}
	s.expectLimits(t, "two of four failing", 0, 3, 1, 0)
	s.now = s.now.Add(maxPause)
	s.expectLimits(t, "two of four failing, after a pause", 0, 3, 1, 2)
	if e := s.Events(); len(e) != 2 || e[0].Change != health.ChangeEjected || e[1].Change != health.ChangePaused {
		t.Errorf("events %+v, want an ejection and a pause", e)
	}
}

func BenchmarkObserveAndLimits(b *testing.B) {
	for _, n := range []int{3, 20, 240} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			tracker := health.NewTracker(health.DefaultOptions())
			infos := servers(n)
			tracker.SetServers(epoch, infos)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				now := epoch.Add(time.Duration(i) * ms)
				tracker.Observe(now, infos[i%n].ID, health.Answered, 20*ms)
				tracker.Limits(now)
			}
		})
	}
}
