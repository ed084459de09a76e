package replica

import "cmp"

// Position is a point in the history of the store. Whenever the store is restored from
// an older copy, a new era begins, in which revisions are given out again.
type Position struct {
	Era, Revision uint64
}

// Compare returns a negative number if p is before other, a positive one if it is
// after other, and zero if they are equal.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// After reports whether p is later than other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// IsZero reports whether p is before everything that the store holds.
func (p Position) IsZero() bool { return p.Revision == 0 }

// Position returns the point up to which a replica is complete after the batch.
func (b Batch) Position() Position { return Position{b.Era, b.To} }

// Position returns the point at which the change was made.
func (e Event) Position() Position { return Position{e.Era, e.Revision} }

// Version orders the values that a key has had by what their writer says, whatever the
// store's revisions. It is compared element by element.
type Version [2]int64

func (v Version) isAfter(other Version) bool {
	return cmp.Or(cmp.Compare(v[0], other[0]), cmp.Compare(v[1], other[1])) > 0
}

// VersionOf returns the version of a value, and false if its writer states none.
type VersionOf func(key string, value []byte) (Version, bool)
