package concurrency

import (
	"math"
	"time"
)

const (
	// reportSlowness is the logarithm of the slowness from which a server is reported to
	// other VMs, if it exceeds its lasting one by reportExcess: those that are always
	// slow are known to everyone after a while.
	reportSlowness, reportExcess = 0.6, 0.3
	// reportAge is how old reported evidence may be, and contradictionAge how long after a
	// report of another VM this one reports evidence that a server is not slow.
	reportAge, contradictionAge = 400 * time.Millisecond, time.Second
	// maxPeerReports is the number of VMs whose latest reports about a server are kept.
	maxPeerReports = 6
	// peerSpan is how old reports may be, relative to the latest, that count with it, and
	// peerFade the time constant with which their weight decreases. A slow server gets
	// about two requests a second from all VMs together.
	peerSpan, peerFade = 2 * time.Second, 600 * time.Millisecond
	// peerVariance is the variance of the reports of other VMs, which have other usual
	// work times, and peerMemory the time in which their weight fades.
	peerVariance = 0.03
	peerMemory   = 3 * time.Second
	// outdatedNoise is the factor of the variance of reports that are older than this VM's
	// own evidence.
	outdatedNoise = 8
	// fullTrust and noTrust are the shares of a service's servers with reports up to
	// which reports count in full, and from which they don't: when everything becomes
	// slow, VMs report the first servers that show it. A third of the servers may be in
	// one zone.
	fullTrust, noTrust = 0.35, 0.5
	// trustAge is how old the reports that are counted for it may be.
	trustAge = 1500 * time.Millisecond
)

// PeerReport is what one VM says to others about the slowness of a server.
type PeerReport struct {
	// Slowness is the logarithm of the server's slowness, relative to its service.
	Slowness float64
	// Age is the time since the latest evidence.
	Age time.Duration
}

// peerReport is a report of the VM source, received or not older than at.
type peerReport struct {
	source   uint64
	slowness float64
	at       time.Duration
}

// PeerReport returns what to report to other VMs: fresh evidence of this VM that the server is
// slow, or that it is not although another VM says so.
func (e *Estimator) PeerReport(now time.Time) (PeerReport, bool) {
	at := e.service.since(now)
	age := e.evidenceAge(at)
	if age >= reportAge {
		return PeerReport{}, false
	}
	slowness := e.slowness
	if e.overdue > 0 {
		slowness = e.overdueSlowness
	}
	slow := slowness >= reportSlowness && slowness >= e.lasting+reportExcess
	if !slow && !e.slowForPeers(at, contradictionAge) {
		return PeerReport{}, false
	}
	return PeerReport{Slowness: slowness, Age: max(age, 0)}, true
}

// SetPeerReport records the report of another VM.
func (e *Estimator) SetPeerReport(source uint64, r PeerReport, now time.Time) {
	report := peerReport{source, clip(r.Slowness, maxSlowness), e.service.since(now) - max(r.Age, 0)}
	if math.IsNaN(report.slowness) {
		return
	}
	e.changed = true
	oldest := 0
	for i, p := range e.peers {
		if p.source == source {
			e.peers[i] = report
			return
		}
		if p.at < e.peers[oldest].at {
			oldest = i
		}
	}
	if len(e.peers) < maxPeerReports {
		e.peers = append(e.peers, report)
		return
	}
	e.peers[oldest] = report
}

// slowForPeers reports whether evidence of another VM younger than age says that the server
// is slow.
func (e *Estimator) slowForPeers(at, age time.Duration) bool {
	for _, p := range e.peers {
		if p.slowness >= reportSlowness && at-p.at < age {
			return true
		}
	}
	return false
}

// updatePeerTrust determines how far the reports of other VMs count.
func (s *Service) updatePeerTrust(at time.Duration) {
	slow := 0
	for _, e := range s.estimators {
		if mean, latest, count := e.peerMean(); count > 1 && mean >= reportSlowness && at-latest < trustAge {
			slow++
		}
	}
	share := float64(slow) / float64(max(len(s.estimators), 1))
	s.peerTrust = max(0, min(1, (noTrust-share)/(noTrust-fullTrust)))
}

// peerMean returns the weighted mean of the latest reports, the time of the latest one, and how many
// count.
func (e *Estimator) peerMean() (mean float64, latest time.Duration, count int) {
	for _, p := range e.peers {
		latest = max(latest, p.at)
	}
	sum, weights := 0.0, 0.0
	for _, p := range e.peers {
		if latest-p.at < peerSpan {
			weight := fade(latest-p.at, peerFade)
			sum, weights, count = sum+weight*p.slowness, weights+weight, count+1
		}
	}
	return sum / max(weights, 1), latest, count
}

// withPeers returns the slowness from this VM's own estimate and the reports of others. One
// VM alone is not believed without own evidence: its links may be slow, or the server may
// not have handled its object lately.
func (e *Estimator) withPeers(slowness, variance float64, at time.Duration) float64 {
	mean, latest, count := e.peerMean()
	if count == 0 || count == 1 && slowness < reportSlowness/2 {
		return slowness
	}
	left := fade(at-latest, peerMemory)
	noise := peerVariance / (left * left * left)
	if e.samples > 0 && e.updatedAt > latest {
		noise *= outdatedNoise
	}
	return slowness + e.service.peerTrust*variance/(variance+noise)*(mean-slowness)
}
