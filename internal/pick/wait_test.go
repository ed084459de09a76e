package pick

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
)

// ending is a request that a server finishes.
type ending struct {
	at     time.Time
	choice Choice
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// served counts the requests of a span of time.
type served struct{ asked, inTime, refused int }

const (
	playedWork      = 250 * time.Millisecond
	playedObjective = 500 * time.Millisecond
	playedServers   = 20
	playedObjects   = 60
	playedPerSecond = 1000.0 / 250 * 3 * playedServers
)

// playBurst plays one VM with servers of three slots. The demand is 0.6 of what they can do,
// and twice as much as that from second 10 to 14. It returns what happened to the requests that
// arrived in the seconds before, in, and from one second after the burst.
func playBurst(byObjective bool) (before, burst, after served) {
	random := rand.New(rand.NewPCG(7, 7))
	configuration := config()
	if byObjective {
		if err := configuration.Accounts.Add(&catalog.Account{ID: "a"}, nil); err != nil {
			panic(err)
		}
	}
	f := NewFleet(Options{Self: "vm-0", ColdFactor: coldFactor, ColdSlack: coldSlack})
	f.SetVMs(vms(1))
	f.SetSnapshot(catalog.NewSnapshot(1, configuration, servers(playedServers, "lj"), nil, nil), start)
	route := &catalog.Route{Name: "lookup", Kind: catalog.Idempotent, TargetLatency: playedObjective}
	busyUntil := map[*Server][]time.Time{}
	var queue endings
	for now := start; now.Before(start.Add(20 * time.Second)); {
		second := now.Sub(start).Seconds()
		load, span := 0.6, &before
		switch {
		case second >= 10 && second < 14:
			load, span = 2, &burst
		case second >= 15:
			span = &after
		}
		now = now.Add(time.Duration(random.ExpFloat64() / (load * playedPerSecond) * float64(time.Second)))
		for len(queue) > 0 && !queue[0].at.After(now) {
			done := heap.Pop(&queue).(ending)
			f.Done(done.choice, Answered, nil, done.at)
		}
		if second < 5 || second >= 14 && second < 15 {
			// Work times are learned at first, and the queue of the burst ends.
			span = &served{}
		}
		span.asked++
		choice, reason := f.Pick(Query{Route: route, Service: "desk", Object: mix(random.Uint64N(playedObjects))}, now)
		if reason != "" {
			span.refused++
			continue
		}
		slots := busyUntil[choice.Server]
		if slots == nil {
			slots = make([]time.Time, choice.Target.Slots)
			busyUntil[choice.Server] = slots
		}
		first := 0
		for i := range slots {
			if slots[i].Before(slots[first]) {
				first = i
			}
		}
		begins := slots[first]
		if begins.Before(now) {
			begins = now
		}
		slots[first] = begins.Add(time.Duration(float64(playedWork) * (0.85 + 0.3*random.Float64())))
		if slots[first].Sub(now) <= playedObjective {
			span.inTime++
		}
		heap.Push(&queue, ending{at: slots[first], choice: choice})
	}
	return before, burst, after
}

func share01(part, of int) float64 { return float64(part) / float64(max(of, 1)) }

// TestPatternBurstOfTwiceTheCapacity guards against queues in which nearly all requests of a
// burst wait past their latency objective, though the servers could answer half of them in
// time, and against requests that are refused while servers have room.
func TestPatternBurstOfTwiceTheCapacity(t *testing.T) {
	_, oldBurst, _ := playBurst(false)
	before, burst, after := playBurst(true)
	t.Logf("in time in the burst %.2f, queueing everything %.2f", share01(burst.inTime, burst.asked), share01(oldBurst.inTime, oldBurst.asked))
	// The servers can answer half of the requests, and objects are not spread evenly.
	if got := share01(burst.inTime, burst.asked); got < 0.35 {
		t.Errorf("%.2f of the requests of the burst are in time, with a queue of all %.2f", got, share01(oldBurst.inTime, oldBurst.asked))
	}
	if before.refused > 0 {
		t.Errorf("%d of %d requests are refused before the burst", before.refused, before.asked)
	}
	if got := share01(after.inTime, after.asked); got < 0.99 {
		t.Errorf("%.3f of the requests are in time from one second after the burst", got)
	}
}

// Guards against a limit by unknown or implausible work times.
func TestFullLoad(t *testing.T) {
	route := &catalog.Route{Name: "lookup", TargetLatency: 500 * time.Millisecond}
	tests := []struct {
		desc        string
		work        time.Duration
		samples     int
		objective   time.Duration
		least, most float64
	}{
		{"unknown work time", 0, 0, route.TargetLatency, queueFull, queueFull},
		{"too few samples", 250 * time.Millisecond, minWorkSamples - 1, route.TargetLatency, queueFull, queueFull},
		{"room for one more set of slots", 250 * time.Millisecond, 100, route.TargetLatency, 1.9, 2.1},
		{"work longer than the objective", 900 * time.Millisecond, 100, route.TargetLatency, minFullLoad, minFullLoad},
		{"work much shorter than the objective", 10 * time.Millisecond, 100, route.TargetLatency, queueFull, queueFull},
		{"no objective", 250 * time.Millisecond, 100, 0, queueFull, queueFull},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			w := newWorkTimes()
			for range tt.samples {
				w.record(route.Name, "desk", tt.work)
			}
			r := *route
			r.TargetLatency = tt.objective
			if got := w.fullLoad(&r, "desk"); got < tt.least || got > tt.most {
				t.Errorf("got %.2f, want %.2f to %.2f", got, tt.least, tt.most)
			}
		})
	}
}
