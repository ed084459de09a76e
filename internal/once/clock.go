package once

import "time"

// clock turns instants into offsets from the first instant it was given. The
// offset never decreases, so a record that was dropped as expired cannot be
// taken for unexpired by a call with an earlier instant.
type monotonicClock struct {
	start time.Time
	offset time.Duration
}

func (c *monotonicClock) advance(now time.Time) time.Duration {
	if c.start.IsZero() {
		c.start = now
	}
	c.offset = max(c.offset, now.Sub(c.start))
	return c.offset
}
