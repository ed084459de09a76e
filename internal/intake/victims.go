package intake

import "time"

// finishingTime is the time after which a connection whose request has been answered may
// be closed for others. The kernel sends the answer meanwhile.
const finishingTime = 100 * time.Millisecond

// crowdedShare is the fraction of a listener's connections from which on a client address
// is the first to lose one.
const crowdedShare = 0.25

// class orders connections by who loses its connection first.
type class uint8

const (
	// classSilent connections have sent no request yet, or are idle for longer than the
	// operator lets connections be.
	classSilent class = iota
	// classStalled connections send or read nothing, or next to nothing.
	classStalled
	// classArriving connections are sending a header or a body.
	classArriving
	// classKept connections are idle after a request. They come after those of which a
	// request is arriving: a client that sends a request just when its connection is closed
	// can't know whether it ran, while one whose request is arriving gets a refusal.
	classKept
	// classNew connections have just been opened, or their request has just begun.
	classNew
	// classBusy connections are not closed.
	classBusy
)

// classOf returns the class of a connection and how long it has been in that state.
func (t *Table) classOf(c *Client, now time.Time) (class, time.Duration) {
	age := now.Sub(c.since)
	switch c.phase {
	case Idle:
		switch {
		case !c.served && age < newcomerTime:
			return classNew, age
		case !c.served || age > t.operator.idleTime():
			return classSilent, age
		}
		return classKept, age
	case Header:
		switch {
		case age >= stalledAfter:
			return classStalled, age
		case age >= newcomerTime:
			return classArriving, age
		}
		return classNew, age
	case Finishing:
		if age >= finishingTime {
			return classStalled, age
		}
	case Body, Serving:
		slowSender, waitedForBody := c.sent.slow(stalledAfter, now)
		slowReader, waitedForReader := c.taken.slow(stalledAfter, now)
		switch {
		case slowSender || slowReader:
			return classStalled, max(waitedForBody, waitedForReader)
		case c.phase == Body && c.sent.waiting && age >= newcomerTime:
			return classArriving, age
		}
	}
	return classBusy, 0
}

// connectionVictim returns the connection to close for a new one: that of the first
// class which has been in its state for longest. If many connections come from one
// address and others have some too, those of that address are closed first.
func (t *Table) connectionVictim(listener Listener, now time.Time) *Client {
	if crowded, ok := t.crowdedOrigin(listener); ok {
		if victim := t.worst(listener, &crowded, now); victim != nil {
			return victim
		}
	}
	return t.worst(listener, nil, now)
}

// crowdedOrigin returns the origin with the most connections at a listener, if that has
// more than its share.
func (t *Table) crowdedOrigin(listener Listener) (origin, bool) {
	var most origin
	origins := 0
	for from, count := range t.byOrigin {
		if from.listener != listener {
			continue
		}
		origins++
		if count > t.byOrigin[most] || (count == t.byOrigin[most] && from.address.Less(most.address)) {
			most = from
		}
	}
	return most, origins > 1 && float64(t.byOrigin[most]) > crowdedShare*float64(t.limits.Connections[listener])
}

func (t *Table) worst(listener Listener, from *origin, now time.Time) *Client {
	var worst *Client
	worstClass, worstAge := classBusy, time.Duration(0)
	for _, c := range t.clients {
		if c.listener != listener || c.evicted || (from != nil && c.origin != *from) {
			continue
		}
		class, age := t.classOf(c, now)
		if class < worstClass || (worst != nil && class == worstClass && age > worstAge) {
			worst, worstClass, worstAge = c, class, age
		}
	}
	return worst
}

// memoryVictim returns the client to evict so that requester can hold more bytes: the
// slowest among the stalled ones, or else the largest holder of whose request nothing
// was sent to a server, if it holds several times as much as requester would. Idle
// connections hold little and are bounded by their number.
func (t *Table) memoryVictim(requester *Client, bytes int64, now time.Time) *Client {
	var slowest, largest *Client
	var slowestAge time.Duration
	for _, c := range t.clients {
		if c == requester || c.evicted || c.held <= connectionCost {
			continue
		}
		if class, age := t.classOf(c, now); class == classStalled && (slowest == nil || age > slowestAge) {
			slowest, slowestAge = c, age
		}
		if (c.phase == Body || c.phase == Header) && (largest == nil || c.held > largest.held) {
			largest = c
		}
	}
	if slowest != nil {
		return slowest
	}
	if largest != nil && largest.held >= largerHolderFactor*(requester.held+bytes) {
		return largest
	}
	return nil
}
