package overload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	objective = 250 * time.Millisecond
	deadline  = 2500 * time.Millisecond
	// roundTrip is from a client to a server and back.
	roundTrip = 15 * time.Millisecond
	workTime  = 160 * time.Millisecond
)

// constantWait is the policy to compare with: every refused client comes back after
// the same time.
func constantWait(Refusal, float64) time.Duration { return 300 * time.Millisecond }

type policy func(Refusal, float64) time.Duration

// shedding plays clients of servers that are half idle and refuse a share of the
// requests. A client tries twice. It returns the shares of clients that are
// answered at all and within the objective.
func shedding(share float64, wait policy) (served, inTime float64) {
	const clients = 20_000
	random := rand.New(rand.NewPCG(1, 1))
	for range clients {
		took := time.Duration(0)
		for try := range 2 {
			if try > 0 {
				took += wait(Refusal{Cause: Shed, Objective: objective}, random.Float64())
			}
			took += roundTrip
			if random.Float64() < share {
				continue
			}
			took += workTime
			if took <= deadline {
				served += 1.0 / clients
			}
			if took <= objective {
				inTime += 1.0 / clients
			}
			break
		}
	}
	return served, inTime
}

// TestPatternServersShedWhileIdle has servers with free slots refuse 40 % of the
// requests. A client that is answered on its second try must still be in time.
func TestPatternServersShedWhileIdle(t *testing.T) {
	const share = 0.4
	oldServed, oldInTime := shedding(share, constantWait)
	served, inTime := shedding(share, RetryAfter)
	t.Logf("served %.3f, in time %.3f; with a constant wait %.3f and %.3f", served, inTime, oldServed, oldInTime)
	if served < oldServed {
		t.Errorf("%.3f of the clients are answered, with a constant wait %.3f", served, oldServed)
	}
	if inTime < served {
		t.Errorf("%.3f of the clients are answered, but only %.3f in time", served, inTime)
	}
}

// returns plays a service that refuses clients together at one moment and frees its
// slots at the rate at which it works. It returns the longest queue that forms.
func returns(clients int, perSecond float64, wait policy) int {
	random := rand.New(rand.NewPCG(2, 1))
	var arrivals []time.Duration
	for range clients {
		arrivals = append(arrivals, wait(Refusal{Cause: Full, Objective: objective}, random.Float64()))
	}
	slices.Sort(arrivals)
	longest := 0
	for i, at := range arrivals {
		done := int((at - arrivals[0]).Seconds() * perSecond)
		longest = max(longest, i+1-done)
	}
	return longest
}

// TestPatternReturnAfterARefusalWave refuses 120 clients at one moment, as after a
// restart. At 600 requests a second they fit into the 0.2 s over which they are
// spread, so at most half of them may wait for each other.
func TestPatternReturnAfterARefusalWave(t *testing.T) {
	const clients, perSecond = 120, 600
	old, now := returns(clients, perSecond, constantWait), returns(clients, perSecond, RetryAfter)
	t.Logf("longest queue %d, with a constant wait %d", now, old)
	if now > clients/2 {
		t.Errorf("%d of %d returning clients wait, with a constant wait %d", now, clients, old)
	}
}

func TestRetryAfterByCause(t *testing.T) {
	tests := []struct {
		desc     string
		refusal  Refusal
		from, to time.Duration
	}{
		{"full", Refusal{Cause: Full, Objective: objective}, 200 * time.Millisecond, 400 * time.Millisecond},
		{"shed", Refusal{Cause: Shed, Objective: objective}, 0, objective - workTime - 2*roundTrip},
		{"yielded", Refusal{Cause: Yielded, Objective: objective}, objective, objective},
		{"stopping", Refusal{Cause: Stopping, Objective: objective}, time.Millisecond, objective - workTime - 2*roundTrip},
		{"paused", Refusal{Cause: Paused, Objective: objective, PauseLeft: 3 * time.Second}, 3 * time.Second, 3200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			for _, draw := range []float64{0, 0.3, 1} {
				if got := RetryAfter(tt.refusal, draw); got < tt.from || got > tt.to {
					t.Errorf("draw %.1f: %v, want %v to %v", draw, got, tt.from, tt.to)
				}
			}
		})
	}
}
