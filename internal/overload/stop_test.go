package overload

import (
	"testing"
	"time"
)

// TestPatternRequestsDuringAPlannedStop has requests come all through a stop. One that is
// passed on late must end in it; early ones are passed on whatever their deadlines.
func TestPatternRequestsDuringAPlannedStop(t *testing.T) {
	start := time.Unix(1000, 0)
	stop := PlannedStop{Last: start.Add(1800 * time.Millisecond), End: start.Add(5700 * time.Millisecond)}
	for at := time.Duration(0); at <= 6*time.Second; at += 50 * time.Millisecond {
		for limit := 50 * time.Millisecond; limit <= 10*time.Second; limit += 50 * time.Millisecond {
			now := start.Add(at)
			deadline := now.Add(limit)
			want := at <= 1800*time.Millisecond || at+limit <= 5500*time.Millisecond
			if got := stop.MayPassOn(now, deadline); got != want {
				t.Fatalf("after %v with %v left: got %v, want %v", at, limit, got, want)
			}
		}
	}
	if got := stop.GiveUp().Sub(start); got != 5500*time.Millisecond {
		t.Errorf("gives up after %v", got)
	}
}
