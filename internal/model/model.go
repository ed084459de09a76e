// Package model holds the identifiers and enumerations that every other
// package of fuchsiaspar shares. It has no behaviour beyond naming, parsing
// and printing its own values.
package model

import "github.com/pkg/errors"

// VMID names the slot of an entry VM. A replacement VM takes over the slot and
// keeps the name; its Incarnation differs.
type VMID string

// Incarnation tells two processes that ran under one VMID apart. It is drawn
// at random when a process starts and is never zero in a running process.
type Incarnation uint64

// Zone names an availability zone.
type Zone string

// Region names a region, a group of availability zones.
type Region string

// AccountID names a client account.
type AccountID string

// ServiceName names a service that backend servers offer.
type ServiceName string

// ServerID names a backend server.
type ServerID string

// Revision numbers an accepted configuration. It only grows; zero means that
// no configuration has been adopted.
type Revision uint64

// AttemptID names one attempt at running a request. The origin entry VM draws
// it at random, so it is unique across entry VMs and restarts.
type AttemptID string

// Priority ranks requests. A lower value is served first.
type Priority uint8

// The priorities, most urgent first.
const (
	PriorityUrgent Priority = iota
	PriorityNormal
	PriorityBulk
	// NumPriorities is the count of priorities and sizes arrays indexed by one.
	NumPriorities = 3
)

var priorityNames = [NumPriorities]string{"urgent", "normal", "bulk"}

// ErrUnknownPriority reports a text that names no priority.
var ErrUnknownPriority = errors.New("unknown priority: want urgent, normal or bulk")

// String returns the name of p.
func (p Priority) String() string {
	if int(p) >= NumPriorities {
		return "invalid"
	}
	return priorityNames[p]
}

// MarshalText encodes p as its name.
func (p Priority) MarshalText() ([]byte, error) {
	if int(p) >= NumPriorities {
		return nil, ErrUnknownPriority
	}
	return []byte(p.String()), nil
}

// UnmarshalText decodes the name of a priority.
func (p *Priority) UnmarshalText(text []byte) error {
	v, err := ParsePriority(string(text))
	if err != nil {
		return err
	}
	*p = v
	return nil
}

// ParsePriority returns the priority called name, or ErrUnknownPriority.
func ParsePriority(name string) (Priority, error) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), nil
		}
	}
	return 0, ErrUnknownPriority
}

// Outcome says whether a request ran.
type Outcome uint8

// The outcomes of a request or of one attempt at it.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeRan means that a backend server ran the request and answered it.
	OutcomeRan
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun
)

// String returns the name of o as callers see it.
func (o Outcome) String() string {
	switch o {
	case OutcomeRan:
		return "ran"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}
