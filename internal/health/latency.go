package health

import (
	"slices"
	"time"
)

const (
	// latencyWindow is the number of answers whose median is the recent latency.
	// The median is not sensitive to a few slow answers.
	latencyWindow = 15
	// baselineWeight is the weight of a new recent latency in the exponential
	// moving average that is the baseline.
	baselineWeight = 1.0 / 256
)

// latency tracks how long a server takes to answer.
type latency struct {
	samples [latencyWindow]time.Duration
	count   int
	// recent is the median of the last latencyWindow samples, and zero until there
	// are that many.
	recent time.Duration
	// baseline is the exponential moving average of recent.
	baseline time.Duration
}

func (l *latency) add(sample time.Duration) {
	l.samples[l.count%latencyWindow] = sample
	l.count++
	if l.count < latencyWindow {
		return
	}
	sorted := l.samples
	slices.Sort(sorted[:])
	l.recent = sorted[latencyWindow/2]
	if l.baseline == 0 {
		l.baseline = l.recent
		return
	}
	l.baseline += time.Duration(float64(l.recent-l.baseline) * baselineWeight)
}

// elevated reports whether the recent latency exceeds ratio times both the
// server's baseline and its peers' median. A rise that the peers share is caused by
// the mix of requests, not by the server.
func (l *latency) elevated(peerMedian time.Duration, ratio float64) bool {
	bound := time.Duration(ratio * float64(max(l.baseline, peerMedian)))
	return l.recent > bound && bound > 0
}

// peerLatency holds the median of the recent latencies of all servers. It is
// recomputed after as many answers as there are servers.
type peerLatency struct {
	median  time.Duration
	answers int
	sorted  []time.Duration
}

// refresh counts an answer and recomputes the median when it is due.
func (p *peerLatency) refresh(servers []*server) {
	p.answers++
	if p.answers < len(servers) {
		return
	}
	p.answers = 0
	p.sorted = p.sorted[:0]
	for _, s := range servers {
		if s.latency.recent > 0 {
			p.sorted = append(p.sorted, s.latency.recent)
		}
	}
	p.median = 0
	if len(p.sorted) > 0 {
		slices.Sort(p.sorted)
		p.median = p.sorted[(len(p.sorted)-1)/2]
	}
}
