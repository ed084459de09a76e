package membership

import "time"

// Intervals configures the timing of a Node. Zero or negative fields take the
// defaults.
type Intervals struct {
	// Tick is the time between two Tick events.
	Tick time.Duration
	// Heartbeat is the time between two heartbeats to one neighbour.
	Heartbeat time.Duration
	// SuspectAfter is the silence after which a neighbour is suspect.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a neighbour is dead or a zone
	// unreachable.
	DeadAfter time.Duration
	// Contact is the time between two attempts to reach unknown, dead or
	// unreachable VMs.
	Contact time.Duration
	// Sync is how long two digests must differ before the VMs exchange
	// records.
	Sync time.Duration
	// Refresh is the longest time between two summaries or reports.
	Refresh time.Duration
	// LeaseTTL is the lifetime of the zone's lease in the store, and
	// LeaseRenew the time between two renewals.
	LeaseTTL   time.Duration
	LeaseRenew time.Duration
	// Settle is how long this VM must have led its zone before it uses the
	// store.
	Settle time.Duration
	// StoreRetry and StoreRetryMax bound the retry delay after failed calls to
	// the platform.
	StoreRetry    time.Duration
	StoreRetryMax time.Duration
	// VMList is the minimum time between two reads of the VM list by a leader.
	// Up to the same time is added as jitter.
	VMList time.Duration
}

// DefaultIntervals returns intervals that detect a dead VM within two seconds.
func DefaultIntervals() Intervals {
	return Intervals{
		Tick:          100 * time.Millisecond,
		Heartbeat:     400 * time.Millisecond,
		SuspectAfter:  900 * time.Millisecond,
		DeadAfter:     1500 * time.Millisecond,
		Contact:       500 * time.Millisecond,
		Sync:          time.Second,
		Refresh:       10 * time.Second,
		LeaseTTL:      10 * time.Second,
		LeaseRenew:    3 * time.Second,
		Settle:        2 * time.Second,
		StoreRetry:    500 * time.Millisecond,
		StoreRetryMax: 10 * time.Second,
		VMList:        time.Minute,
	}
}

func (i Intervals) withDefaults() Intervals {
	d := DefaultIntervals()
	for _, field := range []struct{ value, fallback *time.Duration }{
		{&i.Tick, &d.Tick},
		{&i.Heartbeat, &d.Heartbeat},
		{&i.SuspectAfter, &d.SuspectAfter},
		{&i.DeadAfter, &d.DeadAfter},
		{&i.Contact, &d.Contact},
		{&i.Sync, &d.Sync},
		{&i.Refresh, &d.Refresh},
		{&i.LeaseTTL, &d.LeaseTTL},
		{&i.LeaseRenew, &d.LeaseRenew},
		{&i.Settle, &d.Settle},
		{&i.StoreRetry, &d.StoreRetry},
		{&i.StoreRetryMax, &d.StoreRetryMax},
		{&i.VMList, &d.VMList},
	} {
		if *field.value <= 0 {
			*field.value = *field.fallback
		}
	}
	return i
}
