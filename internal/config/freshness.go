package config

import (
	"time"

	"fuchsiaspar/internal/model"
)

// ConfirmationTTL is how long an entry VM stays confirmed after the last
// instant at which its active revision was known to be the latest.
const ConfirmationTTL = 6 * time.Second

// freshness tracks until when the active revision is confirmed. All times are
// readings of this process's clock.
type freshness struct {
	revision model.Revision
	// currentAsOf is the latest time before which no revision above revision is
	// known to have been committed.
	currentAsOf time.Time
}

// adopt moves to the higher revision r. Knowledge about the previous revision
// also holds for r. It returns false if r is not higher.
func (f *freshness) adopt(r model.Revision) bool {
	if r <= f.revision {
		return false
	}
	f.revision = r
	return true
}

// observe records that no revision above r was committed before the instant at.
// This says nothing about the active revision if it is below r.
func (f *freshness) observe(r model.Revision, at time.Time) {
	if r <= f.revision && at.After(f.currentAsOf) {
		f.currentAsOf = at
	}
}

// age returns how long ago the active revision was known to be the latest, and
// false if it never was.
func (f *freshness) age(now time.Time) (time.Duration, bool) {
	if f.revision == 0 || f.currentAsOf.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.currentAsOf), 0), true
}

// confirmedUntil returns until when the active revision counts as the latest,
// and false if it was never known to be.
func (f *freshness) confirmedUntil() (time.Time, bool) {
	if f.revision == 0 || f.currentAsOf.IsZero() {
		return time.Time{}, false
	}
	return f.currentAsOf.Add(ConfirmationTTL), true
}

// majority returns the smallest integer greater than n/2.
func majority(n int) int { return n/2 + 1 }
