package config

import (
	"time"

	"fuchsiaspar/internal/model"
)

// ConfirmFor is how long after an instant at which its revision was known to
// be the newest an entry VM counts as confirmed.
const ConfirmationTTL = 6 * time.Second

// freshness tracks until when this entry VM's revision is confirmed. All
// instants are of this process's own clock.
type freshness struct {
	inForce model.Revision
	// currentAt is the latest instant before which no revision above inForce
	// was committed, as far as this entry VM knows.
	currentAt time.Time
}

// adopt moves to a higher revision. What was known of the lower one holds for
// the higher one too. It returns false for a revision that is not higher.
func (f *freshness) adopt(r model.Revision) bool {
	if r <= f.inForce {
		return false
	}
	f.inForce = r
	return true
}

// observe notes that no revision above r was committed before the instant at.
// It tells nothing of the revision in force when that is below r.
func (f *freshness) observe(r model.Revision, at time.Time) {
	if r <= f.inForce && at.After(f.currentAt) {
		f.currentAt = at
	}
}

// age returns how long ago the revision in force was known to be the newest,
// and false when it never was.
func (f *freshness) age(now time.Time) (time.Duration, bool) {
	if f.inForce == 0 || f.currentAt.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.currentAt), 0), true
}

// confirmedUntil returns until when the revision in force counts as the newest,
// and false when it never was known to be.
func (f *freshness) confirmedUntil() (time.Time, bool) {
	if f.inForce == 0 || f.currentAt.IsZero() {
		return time.Time{}, false
	}
	return f.currentAt.Add(ConfirmationTTL), true
}

// majority returns the least count that is more than half of n.
func majority(n int) int { return n/2 + 1 }
