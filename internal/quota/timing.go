package quota

import "time"

// Window is the accounting window. The units used in any Window stay within the
// cap.
const Window = time.Second

// Defaults of Timing.
const (
	// DefaultGrantTTL is the default of Timing.GrantTTL.
	DefaultGrantTTL = 1500 * time.Millisecond
	// DefaultMaxPropagation is the default of Timing.MaxPropagation.
	DefaultMaxPropagation = 5 * time.Second
)

// floorPercent is the part of each cap that is divided into floors.
const floorPercent = 50

// Timing has the durations that limiters and lenders must agree on. All
// processes of a deployment must use the same values. Zero fields have defaults.
type Timing struct {
	// GrantTTL is the duration of a grant.
	GrantTTL time.Duration
	// MaxPropagation is the longest time from the commit of a configuration until
	// every VM that may use units has adopted it.
	MaxPropagation time.Duration
}

// withDefaults returns t with defaults for the zero fields.
func (t Timing) withDefaults() Timing {
	if t.GrantTTL <= 0 {
		t.GrantTTL = DefaultGrantTTL
	}
	if t.MaxPropagation <= 0 {
		t.MaxPropagation = DefaultMaxPropagation
	}
	return t
}

// Changeover is how long an old value of a cap, or its absence, still counts
// after a new value was adopted. After that, every VM has adopted the new value,
// and grants under the old one have expired and left the window.
func (t Timing) Changeover() time.Duration {
	return t.MaxPropagation + t.GrantTTL + Window
}

// Settling is how long a new lender lends nothing, because grants of an earlier
// lender may still count.
func (t Timing) Settling() time.Duration {
	return t.GrantTTL + Window
}

// borrowInterval returns the mean interval of checks for demand to borrow.
func (t Timing) borrowInterval() time.Duration { return t.GrantTTL / 8 }

// floorPerSlot returns the floor of one slot, rounded down. The remainder is
// lent. If the floor rounds down to 0, the whole cap is lent.
func floorPerSlot(perSecond int64, slots int) int64 {
	if slots <= 0 || perSecond <= 0 {
		return 0
	}
	return perSecond * floorPercent / 100 / int64(slots)
}
