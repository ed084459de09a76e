package quota

import "time"

// Window is the accounting window: spending in any Window stays under the cap.
const Window = time.Second

// Defaults of Timing.
const (
	// DefaultGrantTTL is how long a grant lasts.
	DefaultGrantTTL = 1500 * time.Millisecond
	// DefaultSpread is the longest time from the commit of a configuration
	// until every VM that may spend has adopted it.
	DefaultMaxPropagation = 5 * time.Second
)

// floorPercent is the part of each cap that is divided into floor shares.
const floorPercent = 50

// Timing holds the durations that ledgers and lenders must agree on. All
// processes of a deployment use the same values.
type Timing struct {
	// GrantTTL is the longest grant.
	GrantTTL time.Duration
	// Spread bounds how far apart two VMs adopt one configuration.
	MaxPropagation time.Duration
}

// withDefaults fills in the zero fields.
func (t Timing) withDefaults() Timing {
	if t.GrantTTL <= 0 {
		t.GrantTTL = DefaultGrantTTL
	}
	if t.MaxPropagation <= 0 {
		t.MaxPropagation = DefaultMaxPropagation
	}
	return t
}

// Changeover is how long an old value of a cap, and the absence of one, keeps
// counting after a new value was adopted: every VM has adopted it by then, and
// grants under the old value have ended and left the window.
func (t Timing) Changeover() time.Duration {
	return t.MaxPropagation + t.GrantTTL + Window
}

// Settling is how long a new lender lends nothing: grants of an earlier lender
// may be live until then.
func (t Timing) Settling() time.Duration {
	return t.GrantTTL + Window
}

// borrowInterval returns the mean time between two looks at the demands.
func (t Timing) borrowInterval() time.Duration { return t.GrantTTL / 8 }

// floorShare returns the floor of one slot. Floors never add up past the cap;
// a cap smaller than the count of slots leaves no floor and is lent whole.
func floorShare(perSecond int64, slots int) int64 {
	if slots <= 0 || perSecond <= 0 {
		return 0
	}
	return perSecond * floorPercent / 100 / int64(slots)
}
