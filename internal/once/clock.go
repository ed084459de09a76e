package once

import "time"

// monotonicClock converts times into offsets from the first time it was given. The
// offset never decreases, so a call with an earlier time cannot treat a ticket or
// attempt as unexpired after its record was removed.
type monotonicClock struct {
	start  time.Time
	offset time.Duration
}

func (c *monotonicClock) advance(now time.Time) time.Duration {
	if c.start.IsZero() {
		c.start = now
	}
	c.offset = max(c.offset, now.Sub(c.start))
	return c.offset
}
