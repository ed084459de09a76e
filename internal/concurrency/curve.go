package concurrency

import (
	"math"
	"time"
)

const (
	// curveBins is the number of parts of the range of utilization.
	curveBins = 8
	// binGain is the least weight of a sample in its bin, minBinWeight the weight from
	// which a bin counts.
	binGain, minBinWeight = 0.02, 25
	// binMemory is how long a bin that gets no samples counts, so that a higher
	// utilization is tried again.
	binMemory = 60 * time.Second
	// equalThroughput is the share of the highest throughput that is as good: work times
	// grow with the queue for memory or disks, and their averages are uncertain.
	equalThroughput = 0.95
	// minQueueShare is the least part of a server's queue that is used. With less, bursts
	// were refused in simulations that the servers would have answered in time; with
	// more, an overload of servers with a knee leaves fewer answers in time.
	minQueueShare = 0.65
	// shortQueue is the share of the highest throughput at or below which minQueueShare
	// applies.
	shortQueue = 0.75
	// minKnee is the least share of the slots that are used.
	minKnee = 0.25
	// kneeStep is by how much the knee approaches its latest estimate each
	// kneeInterval, so that it is the same on all VMs, about.
	kneeStep, kneeInterval = 0.3, 250 * time.Millisecond
)

// bin is the mean logarithm of how much longer work takes at a utilization.
type bin struct {
	inflation, weight float64
	at                time.Duration
}

// curve is how work times grow with the share of slots in use, for the servers of a
// service together: one VM sees too few requests at one server to tell.
type curve struct {
	bins [curveBins]bin
	// expected is the inflation of each bin.
	expected [curveBins]float64
	// knee is the share of the slots above which throughput does not rise, and retained
	// the share of the highest throughput that is left with all slots in use.
	knee, retained float64
	refreshedAt    time.Duration
}

func newCurve() curve { return curve{knee: 1, retained: 1} }

func binOf(utilization float64) int {
	return max(0, min(curveBins-1, int(math.Ceil(utilization*curveBins))-1))
}

// inflation returns the expected logarithm at a utilization, relative to a server with
// few slots in use.
func (c *curve) inflation(utilization float64) float64 { return c.expected[binOf(utilization)] }

// updateExpected derives the expected inflation from the bins. It never decreases with
// utilization.
func (c *curve) updateExpected() {
	base, highest, found := 0.0, 0.0, false
	for i := range c.bins {
		b := &c.bins[i]
		if b.weight >= minBinWeight {
			if !found {
				base, found = b.inflation, true
			}
			highest = max(highest, b.inflation-base)
		}
		c.expected[i] = highest
	}
}

// record adds the logarithm of a work time, relative to the usual one, to its server and
// to the service at that time. A sample counts up to limit, so that a slow server is not
// taken for an effect of its load.
func (c *curve) record(utilization, value, limit float64, at time.Duration) {
	b := &c.bins[binOf(utilization)]
	b.weight = b.weight*fade(at-b.at, binMemory) + 1
	b.at = at
	b.inflation += max(binGain, 1/b.weight) * clip(value-b.inflation, limit)
}

// refresh moves the knee towards the lowest utilization with the highest throughput.
func (c *curve) refresh(at time.Duration) {
	if at-c.refreshedAt < kneeInterval {
		return
	}
	c.refreshedAt = at
	c.updateExpected()
	knee, retained := c.latest(at)
	c.knee += kneeStep * (knee - c.knee)
	c.retained += kneeStep * (retained - c.retained)
}

// latest returns knee and retained by the present evidence.
func (c *curve) latest(at time.Duration) (knee, retained float64) {
	var throughput [curveBins]float64
	highest := 0.0
	for i := range c.bins {
		b := &c.bins[i]
		if b.weight*fade(at-b.at, binMemory) >= minBinWeight {
			throughput[i] = float64(i+1) / curveBins * math.Exp(-b.inflation)
			highest = max(highest, throughput[i])
		}
	}
	seen := false
	knee, retained = 1, 1
	for i := curveBins - 1; i >= 0; i-- {
		switch {
		case throughput[i] == 0:
		case throughput[i] >= equalThroughput*highest && seen:
			knee = float64(i+1) / curveBins
		case throughput[i] >= equalThroughput*highest:
			// Nothing is known of a higher utilization.
			knee = 1
		}
		seen = seen || throughput[i] > 0
	}
	if knee < 1 && throughput[curveBins-1] > 0 {
		retained = throughput[curveBins-1] / highest
	}
	return max(knee, minKnee), retained
}

// queueShare returns which part of a server's queue may be used. Requests that wait keep
// all slots in use, which costs throughput above the knee.
func (c *curve) queueShare() float64 {
	return max(minQueueShare, min(1, (c.retained-shortQueue)/(equalThroughput-shortQueue)))
}
