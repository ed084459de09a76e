package concurrency

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const usualTime = 80 * time.Millisecond

// bench feeds estimators with the requests of one VM in virtual time.
type bench struct {
	now        time.Time
	random     *rand.Rand
	service    *Service
	estimators []*Estimator
	speeds     []float64
	changes    []bool
}

func newBench(speeds ...float64) *bench {
	b := &bench{now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(1, 2)), service: NewService(), speeds: speeds}
	b.service.Refresh(b.now)
	for range speeds {
		b.estimators = append(b.estimators, b.service.NewEstimator(4, func(low bool, _ Evidence) { b.changes = append(b.changes, low) }))
	}
	return b
}

// ask lets each server answer one request, cold or warm, within interval.
func (b *bench) ask(interval time.Duration) {
	end := b.now.Add(interval)
	for i, e := range b.estimators {
		class, took := Class{Route: "r", Object: Known}, float64(usualTime)/b.speeds[i]
		if b.random.IntN(3) == 0 {
			class.Object, took = Foreign, 3*took
		}
		ticket := e.Begin(Request{Class: class}, b.now)
		at := b.now.Add(time.Duration(took * math.Exp(0.15*b.random.NormFloat64())))
		e.Record(Sample{Ticket: ticket, Report: Report{Running: 1, Slots: 4}}, at)
	}
	b.now = end
	b.service.Refresh(b.now)
}

func (b *bench) times(count int, interval time.Duration) {
	for range count {
		b.ask(interval)
	}
}

// TestSpeeds guards against estimates that differ from a server's speed, or vary with
// noise of 15 % and the mix of warm and cold work, at high and low rates.
func TestSpeeds(t *testing.T) {
	speeds := []float64{0.5, 0.7, 1, 1, 1, 1.4, 2}
	for _, interval := range []time.Duration{300 * time.Millisecond, 5 * time.Second} {
		b := newBench(speeds...)
		b.times(60, interval)
		for range 100 {
			b.ask(interval)
			for i, e := range b.estimators {
				if ratio := e.Speed(b.now) / speeds[i]; ratio < 0.6 || ratio > 1.67 {
					t.Fatalf("every %v: speed %.2f, want %.2f", interval, e.Speed(b.now), speeds[i])
				}
			}
		}
	}
}

// TestRequestWithoutAnswerIsEvidence guards against waiting for the responses of a server
// that has become slow.
func TestRequestWithoutAnswerIsEvidence(t *testing.T) {
	b := newBench(1, 1, 1, 1)
	b.times(50, 300*time.Millisecond)
	slow := b.estimators[0]
	for range 3 {
		slow.Begin(Request{Class: Class{Route: "r"}, Ahead: 1}, b.now)
	}
	b.now = b.now.Add(4 * usualTime)
	if got := slow.Speed(b.now); got > 0.4 {
		t.Errorf("speed %.2f when requests have taken four times as long as usual, want at most 0.4", got)
	}
	for _, e := range b.estimators[1:] {
		if got := e.Speed(b.now); got < 0.8 {
			t.Errorf("speed %.2f of a server without such requests", got)
		}
	}
	for ticket := range slow.lastTicket + 1 {
		slow.Record(Sample{Ticket: ticket, End: Ignored}, b.now)
	}
	b.now = b.now.Add(time.Second)
	if got := slow.Speed(b.now); got < 0.8 {
		t.Errorf("speed %.2f after requests that show nothing have ended", got)
	}
}

// TestReportsOfOtherVMs guards against reports that don't reach an estimate, are believed of
// one VM alone, about too many servers, or for longer than they are repeated.
func TestReportsOfOtherVMs(t *testing.T) {
	b := newBench(1, 1, 1, 1, 1, 1)
	b.times(50, 300*time.Millisecond)
	report := func(source uint64, servers int) {
		for _, e := range b.estimators[:servers] {
			e.SetPeerReport(source, PeerReport{Slowness: 1.6}, b.now)
		}
		b.now = b.now.Add(refreshInterval)
	}
	speed := func(want string, low, high float64) {
		t.Helper()
		if got := b.estimators[0].Speed(b.now); got < low || got > high {
			t.Errorf("speed %.2f with the report of %s", got, want)
		}
	}
	b.now = b.now.Add(3 * time.Second)
	report(1, 1)
	speed("one VM", 0.8, 1.25)
	report(2, 1)
	speed("two VMs", 0.1, 0.5)
	if _, ok := b.estimators[0].PeerReport(b.now); ok {
		t.Error("reports of others are passed on")
	}
	b.times(2, 300*time.Millisecond)
	if r, ok := b.estimators[0].PeerReport(b.now); !ok || r.Slowness > reportSlowness {
		t.Errorf("report %v, %t after own evidence of the contrary", r, ok)
	}
	speed("two VMs and own evidence of the contrary", 0.6, 1.25)
	b.now = b.now.Add(5 * time.Second)
	report(1, 4)
	report(2, 4)
	speed("two VMs about most servers", 0.8, 1.25)
}

// TestTimeInTheQueueIsNotWork guards against the blame of a server for its queue.
func TestTimeInTheQueueIsNotWork(t *testing.T) {
	b := newBench(1, 1, 1)
	b.times(50, 300*time.Millisecond)
	ticket := b.estimators[0].Begin(Request{Class: Class{Route: "r"}, Ahead: 11}, b.now)
	b.now = b.now.Add(3 * usualTime)
	b.estimators[0].Record(Sample{Ticket: ticket, Report: Report{Running: 4, Waiting: 8, Slots: 4}}, b.now)
	if got := b.estimators[0].Speed(b.now); got < 0.8 {
		t.Errorf("speed %.2f after a request that waited for two sets of slots", got)
	}
}

// TestServerIsNeverGivenUp guards against a server that gets no more requests: what it
// keeps must let a request through, and silence must restore most of the speed.
func TestServerIsNeverGivenUp(t *testing.T) {
	b := newBench(0.05, 1, 1, 1)
	b.times(500, 300*time.Millisecond)
	if got := b.estimators[0].Capacity(b.now); got < 1 {
		t.Errorf("capacity %.2f, want at least 1", got)
	}
	b.now = b.now.Add(10 * time.Second)
	if got := b.estimators[0].Speed(b.now); got < 0.4 {
		t.Errorf("speed %.2f after 10 s without a request, want at least 0.4", got)
	}
	if got := len(b.changes); got == 0 || got > 4 {
		t.Errorf("%d changes reported, want the fall and few others", got)
	}
	b.estimators[0].Forget()
	if got := b.estimators[0].Speed(b.now); got != 1 {
		t.Errorf("speed %.2f of a new process, want 1", got)
	}
}

// TestKnee guards against a knee that is missed, found where there is none, or kept
// without evidence.
func TestKnee(t *testing.T) {
	for _, tt := range []struct {
		desc      string
		knee      float64
		low, high float64
	}{
		{"none", 1, 1, 1},
		{"at half of the slots", 0.5, 0.4, 0.7},
		{"at three quarters", 0.75, 0.7, 0.8},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			b := newBench(1, 1, 1, 1, 1, 1)
			class := Class{Route: "r"}
			for range 400 {
				for _, e := range b.estimators {
					running := 1 + b.random.IntN(4)
					ticket := e.Begin(Request{Class: class, Ahead: running - 1}, b.now)
					took := float64(usualTime) * math.Exp(0.15*b.random.NormFloat64()) *
						math.Pow(max(1, float64(running)/4/tt.knee), 1.6)
					e.Record(Sample{Ticket: ticket, Report: Report{Running: running, Slots: 4}}, b.now.Add(time.Duration(took)))
				}
				b.now = b.now.Add(200 * time.Millisecond)
				b.service.Refresh(b.now)
			}
			if got := b.service.Knee(); got < tt.low || got > tt.high {
				t.Errorf("knee %.2f, want %.2f to %.2f", got, tt.low, tt.high)
			}
			for range 1000 {
				b.now = b.now.Add(time.Second)
				b.service.Refresh(b.now)
			}
			if got := b.service.Knee(); got < 0.99 {
				t.Errorf("knee %.2f long after the last evidence, want 1", got)
			}
		})
	}
}

// TestRefusalsWithFreeSlotsLowerTheCapacity guards against sending on to a server that
// takes fewer requests than its slots, and against refusals that count for good.
func TestRefusalsWithFreeSlotsLowerTheCapacity(t *testing.T) {
	b := newBench(1)
	e := b.estimators[0]
	refuse := func(report Report) {
		e.Record(Sample{Ticket: e.Begin(Request{}, b.now), End: Refused, Report: report}, b.now)
	}
	refuse(Report{Running: 4, Waiting: 12, Slots: 4})
	if got := e.Capacity(b.now); got != 4 {
		t.Errorf("capacity %.2f after a refusal by a full server, want 4", got)
	}
	refuse(Report{Running: 2, Slots: 4})
	if got := e.Capacity(b.now); got > 3.5 {
		t.Errorf("capacity %.2f after a refusal with free slots, want at most 3.5", got)
	}
	b.now = b.now.Add(20 * time.Second)
	if got := e.Capacity(b.now); got < 3.9 {
		t.Errorf("capacity %.2f after 20 s, want 4", got)
	}
}
