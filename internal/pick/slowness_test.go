package pick

import (
	"testing"
	"time"
)

// TestPatternServersShareTheirMachines lets the machine of an object's first server be
// busy with other work for a moment. A server that knows the object as well must be used
// in that time, and the first one again afterwards.
func TestPatternServersShareTheirMachines(t *testing.T) {
	f := newFleet("vm-0", "lj", vms(1), servers(4, "lj"))
	home := choose(t, f, lookup, 1, start)
	second := ""
	for _, c := range f.byService["desk"] {
		if c.server != home.Server {
			f.uses.record(1, c.server, start)
			second = string(c.server.ID)
			break
		}
	}
	f.Done(home, Answered, &Report{Running: 1, Slots: 3, Slowness: 3}, start)
	busy := choose(t, f, lookup, 1, start.Add(10*time.Millisecond))
	if string(busy.Target.ID) != second {
		t.Errorf("%s is used while the machine of %s takes three times as long, want %s", busy.Target.ID, home.Target.ID, second)
	}
	f.Done(busy, Answered, nil, start.Add(10*time.Millisecond))
	if later := choose(t, f, lookup, 1, start.Add(4*slownessMemory)); later.Target.ID != home.Target.ID {
		t.Errorf("%s is used long after the sample, want %s", later.Target.ID, home.Target.ID)
	}
}

func TestSlownessCost(t *testing.T) {
	tests := []struct {
		desc     string
		sample   float64
		age      time.Duration
		load     float64
		min, max float64
	}{
		{"never reported", 0, 0, 2, 0, 0},
		{"as usual", 1, 0, 2, 0, 0},
		{"twice as long, idle", 2, 0, 0, 1, 1},
		{"twice as long, behind a full set of slots", 2, 0, 1, 2, 2},
		{"faster than usual", 0.8, 0, 0, -0.21, -0.19},
		{"an old sample", 4, 5 * time.Second, 1, 0, 0.001},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var s slowness
			s.record(tt.sample, start)
			if got := s.cost(tt.load, 1, start.Add(tt.age)); got < tt.min || got > tt.max {
				t.Errorf("cost %.3f, want %.3f to %.3f", got, tt.min, tt.max)
			}
		})
	}
}
