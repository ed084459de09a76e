// Package concurrency estimates how many requests each backend server takes well and how
// fast it is relative to the other servers of its service, from the requests of this
// entry VM and the reports of others. The caller passes the time as an argument; the package has no goroutines,
// clocks or sockets. Its types are not safe for concurrent use.
package concurrency

import (
	"math"
	"slices"
	"time"
)

const (
	// refreshInterval is how often the evidence of all servers of a service is compared.
	refreshInterval = 50 * time.Millisecond
	// quietInterval is how often estimates without new evidence are computed.
	quietInterval = 200 * time.Millisecond
	// commonServers is the number of servers whose latest evidence shows how slow the
	// service is as a whole. With a third of the servers slow, the median of fewer
	// belongs to a slow one too often.
	commonServers = 15
	// minCommonServers is the number of servers below which a service's evidence is
	// filled up with servers of usual speed, so that a single server that is asked is
	// not taken for the whole service.
	minCommonServers = 3
	// centerStep is by how much the servers' lasting slowness is centered each
	// centerInterval.
	centerStep, centerInterval = 0.05, 250 * time.Millisecond
	// lowShare and recoveredShare are the shares of a server's slots below which its
	// capacity is reported as low, and from which it is reported as recovered.
	lowShare, recoveredShare = 0.5, 0.7
	// changeInterval is the least time between two reports about one server, and
	// changesPerInterval bounds the reports about all servers of a service in that time.
	changeInterval     = 5 * time.Second
	changesPerInterval = 10
)

// commonWindows are the ages of evidence that are tried in turn until there are
// commonServers servers: a small fleet of busy servers needs the short one, so that it
// follows changes; a VM that sees a request a second needs the long one.
var commonWindows = [...]time.Duration{time.Second, 3 * time.Second, 10 * time.Second}

// Service is what is known about the servers of one service together.
type Service struct {
	epoch   time.Time
	started bool
	// lastAt is what since returned for lastNow; a choice asks twice.
	lastNow    time.Time
	lastAt     time.Duration
	estimators []*Estimator
	usual      usualWork
	curve      curve
	// common is the logarithm of how many times as long as usual work takes now, from
	// evidence younger than window.
	common      float64
	window      time.Duration
	refreshedAt time.Duration
	centeredAt  time.Duration
	// peerTrust is how far the reports of other VMs count, from 0 to 1.
	peerTrust float64
	// excesses is scratch space for commonSlowness.
	excesses []float64
	// changes counts the reports since changesSince.
	changes      int
	changesSince time.Duration
}

// Evidence is what an estimate rests on.
type Evidence struct {
	// Capacity is in requests; Slots are those that the server states.
	Capacity float64
	Slots    int
	// Speed is relative to the service, and Common is how many times as long as usual
	// work takes on the service as a whole.
	Speed, Common float64
	// Knee is the share of the slots above which the service's throughput does not rise.
	Knee float64
	// Samples counts the requests that ended, and Age is the time since the last of them.
	Samples int
	Age     time.Duration
	// Outstanding counts this VM's requests at the server, and Overdue those of them
	// that have taken longer than the speed so far explains.
	Outstanding, Overdue int
}

// NewService returns a Service without servers.
func NewService() *Service { return &Service{usual: newUsualWork(), curve: newCurve()} }

// NewEstimator adds a server process. onChange is called when its capacity falls below
// half of its slots (low) and when it returns, for a bounded number of changes over all
// servers. It must not call the Service.
func (s *Service) NewEstimator(slots int, onChange func(low bool, evidence Evidence)) *Estimator {
	e := &Estimator{service: s, onChange: onChange, slots: max(slots, 1), variance: priorVariance}
	e.publish(s.refreshedAt)
	s.estimators = append(s.estimators, e)
	return e
}

// Remove removes a server process. Its requests may still end.
func (s *Service) Remove(e *Estimator) {
	if i := slices.Index(s.estimators, e); i >= 0 {
		s.estimators = slices.Delete(s.estimators, i, i+1)
	}
}

// since returns now as the time since the first call.
func (s *Service) since(now time.Time) time.Duration {
	if now != s.lastNow {
		if !s.started {
			s.epoch, s.started = now, true
		}
		s.lastNow, s.lastAt = now, now.Sub(s.epoch)
	}
	return s.lastAt
}

// Refresh compares the servers by what is known now, requests without an answer
// included, unless it did so within refreshInterval.
func (s *Service) Refresh(now time.Time) {
	at := s.since(now)
	if at-s.refreshedAt < refreshInterval && s.refreshedAt != 0 {
		return
	}
	s.refreshedAt = at
	for _, e := range s.estimators {
		e.weighOutstanding(at)
	}
	s.common = s.commonSlowness(at)
	s.updatePeerTrust(at)
	s.curve.refresh(at)
	s.centerLasting(at)
	for _, e := range s.estimators {
		e.correctCommon(at)
		if e.changed || at-e.publishedAt >= quietInterval {
			e.publish(at)
		}
	}
}

// commonSlowness returns the logarithm of how many times as long as usual work takes on
// the servers with the latest evidence: their median, so that never more than half of
// them are found slow. Each server's lasting difference from the others is left out.
func (s *Service) commonSlowness(at time.Duration) float64 {
	needed := min(commonServers, len(s.estimators))
	for _, window := range commonWindows {
		s.excesses = s.excesses[:0]
		for _, e := range s.estimators {
			if e.evidenceAge(at) < window {
				s.excesses = append(s.excesses, e.absolute()-e.lasting)
			}
		}
		s.window = window
		if len(s.excesses) >= needed {
			break
		}
	}
	if len(s.excesses) == 0 {
		return s.common
	}
	for len(s.excesses) < min(minCommonServers, len(s.estimators)) {
		s.excesses = append(s.excesses, 0)
	}
	return lowerMedian(s.excesses)
}

// lowerMedian sorts values and returns the median, the lower one of two.
func lowerMedian(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// centerLasting moves the lasting slowness of the servers so that their median is zero.
// Otherwise it could drift in all of them, with the usual work times in return.
func (s *Service) centerLasting(at time.Duration) {
	if at-s.centeredAt < centerInterval {
		return
	}
	s.centeredAt = at
	s.excesses = s.excesses[:0]
	for _, e := range s.estimators {
		if e.samples > 0 {
			s.excesses = append(s.excesses, e.lasting)
		}
	}
	if len(s.excesses) < minCommonServers {
		return
	}
	shift := centerStep * lowerMedian(s.excesses)
	for _, e := range s.estimators {
		if e.samples > 0 {
			e.lasting -= shift
		}
	}
}

// Knee returns the share of a server's slots above which throughput no longer rises; 1 if
// none is known.
func (s *Service) Knee() float64 { return s.curve.knee }

// Summary describes the speeds of a service's servers.
type Summary struct {
	Lowest, Median, Highest float64
	// BelowHalf counts the servers whose capacity is less than half of their slots.
	BelowHalf int
	Knee      float64
}

// Summary returns the speeds as of the last refresh; all are zero without servers.
func (s *Service) Summary() Summary {
	if len(s.estimators) == 0 {
		return Summary{}
	}
	speeds := make([]float64, 0, len(s.estimators))
	sum := Summary{Knee: s.Knee()}
	for _, e := range s.estimators {
		speeds = append(speeds, e.published.Speed)
		if e.published.Capacity < lowShare*float64(e.slots) {
			sum.BelowHalf++
		}
	}
	slices.Sort(speeds)
	sum.Lowest, sum.Median, sum.Highest = speeds[0], speeds[len(speeds)/2], speeds[len(speeds)-1]
	return sum
}

// report calls onChange within the bounds on the number of reports.
func (s *Service) report(e *Estimator, low bool, at time.Duration) {
	if at-s.changesSince >= changeInterval {
		s.changes, s.changesSince = 0, at
	}
	if s.changes++; s.changes <= changesPerInterval {
		e.onChange(low, e.evidence(at))
	}
}

// fade returns the share of a value that is left after age, with a time constant. Callers
// take the time before they wait for each other, so an age may be negative.
func fade(age, constant time.Duration) float64 {
	// This differs from the exponential function by 0.03 at most and takes a fifth of
	// its time.
	x := max(0, float64(age)/float64(constant))
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}

// logarithm returns the natural logarithm of a positive number, to 5 decimals, in a fifth
// of the time of math.Log. Each request needs one while pick holds its lock.
func logarithm(x float64) float64 {
	fraction, exponent := math.Frexp(x)
	z := (fraction - math.Sqrt2/2) / (fraction + math.Sqrt2/2)
	square := z * z
	return (float64(exponent)-0.5)*math.Ln2 + 2*z*(1+square*(1.0/3+square/5))
}
