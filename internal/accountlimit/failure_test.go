package accountlimit

import (
	"fmt"
	"testing"
	"time"
)

// halves separates the first VMs from the others.
func halves(first int) func(a, b int) bool {
	return func(a, b int) bool { return (a < first) != (b < first) }
}

func nothingCut(int, int) bool { return false }

// suspendHalf suspends half of the VMs for several times.
func suspendHalf(clocksStop bool) func(f *fleet, demand func(int, time.Time) float64) {
	return func(f *fleet, demand func(int, time.Time) float64) {
		f.clocksStop = clocksStop
		half := f.vms[len(f.vms)/2:]
		for _, d := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 12 * time.Second} {
			for _, v := range half {
				v.paused = true
			}
			f.run(d, demand)
			for _, v := range half {
				v.paused = false
			}
			f.run(3*time.Second, demand)
		}
	}
}

// Guards against sums over the limit when VMs fail or don't hear each other. The account
// is over its limit at all VMs at all times, within it before, or idle before the failure.
func TestBoundHoldsInFailures(t *testing.T) {
	const vms = 26
	failures := []struct {
		desc string
		play func(f *fleet, demand func(int, time.Time) float64)
	}{
		{"half cut off from half", func(f *fleet, demand func(int, time.Time) float64) {
			f.cut = halves(vms / 2)
			f.run(10*time.Second, demand)
			f.cut = nothingCut
			f.run(10*time.Second, demand)
		}},
		{"12 VMs cut off from 14 and from the store", func(f *fleet, demand func(int, time.Time) float64) {
			f.cut, f.store = halves(12), func(vm int) bool { return vm >= 12 }
			f.run(25*time.Second, demand)
			f.cut, f.store = nothingCut, func(int) bool { return true }
			f.run(10*time.Second, demand)
		}},
		{"one VM cut off, its clients reach it", func(f *fleet, demand func(int, time.Time) float64) {
			f.cut, f.store = halves(1), func(vm int) bool { return vm >= 1 }
			f.run(25*time.Second, demand)
			f.cut, f.store = nothingCut, func(int) bool { return true }
			f.run(10*time.Second, demand)
		}},
		{"reports lost one way", func(f *fleet, demand func(int, time.Time) float64) {
			f.cut = func(a, b int) bool { return a < 5 && b >= 5 }
			f.run(10*time.Second, demand)
			f.cut = nothingCut
			f.run(10*time.Second, demand)
		}},
		{"cut for moments", func(f *fleet, demand func(int, time.Time) float64) {
			for range 6 {
				f.cut = halves(vms / 2)
				f.run(900*time.Millisecond, demand)
				f.cut = nothingCut
				f.run(700*time.Millisecond, demand)
			}
		}},
		{"all restarted at once", func(f *fleet, demand func(int, time.Time) float64) {
			for _, v := range f.vms {
				f.start(v)
			}
			f.run(10*time.Second, demand)
		}},
		{"all restarted one after another", func(f *fleet, demand func(int, time.Time) float64) {
			for _, v := range f.vms {
				f.start(v)
				f.run(300*time.Millisecond, demand)
			}
		}},
		{"half killed", func(f *fleet, demand func(int, time.Time) float64) {
			for _, v := range f.vms[vms/2:] {
				v.down = true
			}
			f.run(20*time.Second, demand)
		}},
		{"half suspended, clocks stand still", suspendHalf(true)},
		{"half suspended, clocks go on", suspendHalf(false)},
		{"VMs added", func(f *fleet, demand func(int, time.Time) float64) {
			for range vms {
				f.add()
			}
			f.run(10*time.Second, demand)
		}},
		{"store away, all restarted", func(f *fleet, demand func(int, time.Time) float64) {
			f.store = func(int) bool { return false }
			f.run(6*time.Second, demand)
			for _, v := range f.vms {
				f.start(v)
			}
			f.run(8*time.Second, demand)
		}},
	}
	loads := []struct {
		desc          string
		before, after float64
	}{{"over the limit", 3, 3}, {"idle before", 0, 5}, {"within the limit before", 0.9, 5}}
	for i, failure := range failures {
		for j, load := range loads {
			if !*full && j != i%len(loads) {
				continue
			}
			for _, lim := range limitsFor(i + 2*j) {
				t.Run(fmt.Sprintf("%s/%s/%v,%v", failure.desc, load.desc, lim.rate, lim.burst), func(t *testing.T) {
					f := newFleet(t, vms, lim.rate, lim.burst)
					f.run(6*time.Second, spread(12, load.before*lim.rate))
					failure.play(f, spread(2*vms, 2*load.after*lim.rate))
					f.checkBound(epoch, lim.rate, lim.burst)
				})
			}
		}
	}
}
