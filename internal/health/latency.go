package health

import (
	"slices"
	"time"
)

const (
	// latencyWindow is the count of answers whose median is the recent
	// latency. A median is not moved by a few long answers among short ones.
	latencyWindow = 15
	// usualWeight is the share of a new recent latency in the usual one.
	usualWeight = 1.0 / 256
)

// latency follows how long a server takes to answer.
type latency struct {
	samples [latencyWindow]time.Duration
	count   int
	// recent is the median of the last samples, zero until there are enough.
	recent time.Duration
	// usual follows recent slowly.
	usual time.Duration
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
	if l.usual == 0 {
		l.usual = l.recent
		return
	}
	l.usual += time.Duration(float64(l.recent-l.usual) * usualWeight)
}

// risen reports whether the recent latency is more than ratio times the
// server's usual one and that of its peers. A rise that the peers share comes
// from the mix of requests, not from the server.
func (l *latency) risen(peers time.Duration, ratio float64) bool {
	bound := time.Duration(ratio * float64(max(l.usual, peers)))
	return l.recent > bound && bound > 0
}

// peerLatency is the median of the recent latencies of all servers. It is
// computed anew once in as many answers as there are servers.
type peerLatency struct {
	value   time.Duration
	answers int
	sorted  []time.Duration
}

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
	p.value = 0
	if len(p.sorted) > 0 {
		slices.Sort(p.sorted)
		p.value = p.sorted[(len(p.sorted)-1)/2]
	}
}
