// Package model defines the identifiers and enumerations shared by the other
// packages of fuchsiaspar. Its types only name, parse and format values.
package model

import "github.com/pkg/errors"

// VMID names the slot of an entry VM. A replacement VM takes over the slot with
// the same VMID and a different Incarnation.
type VMID string

// Incarnation distinguishes processes that run under the same VMID. It is
// generated at random at process start and is never zero in a running process.
type Incarnation uint64

// Zone names an availability zone.
type Zone string

// Region names a region, a group of availability zones.
type Region string

// AccountID names a client account.
type AccountID string

// ServiceName names a service provided by backend servers.
type ServiceName string

// ServerID names a backend server.
type ServerID string

// Revision numbers the accepted configurations in increasing order. Zero means
// that no configuration has been adopted.
type Revision uint64

// AttemptID identifies one attempt to run a request. The entry VM that received
// the request generates it at random, so that it is unique across entry VMs and
// restarts.
type AttemptID string

// Priority orders requests. Requests with a lower value are served first.
type Priority uint8

// The priorities, most urgent first.
const (
	PriorityUrgent Priority = iota
	PriorityNormal
	PriorityBulk
	// NumPriorities is the number of priorities, for arrays indexed by Priority.
	NumPriorities = 3
)

var priorityNames = [NumPriorities]string{"urgent", "normal", "bulk"}

// ErrUnknownPriority is returned for text that names no priority and for
// priorities out of range.
var ErrUnknownPriority = errors.New("unknown priority: want urgent, normal or bulk")

// String returns the name of p, or "invalid" if p is out of range.
func (p Priority) String() string {
	if int(p) >= NumPriorities {
		return "invalid"
	}
	return priorityNames[p]
}

// MarshalText encodes p as its name. It returns ErrUnknownPriority if p is out
// of range.
func (p Priority) MarshalText() ([]byte, error) {
	if int(p) >= NumPriorities {
		return nil, ErrUnknownPriority
	}
	return []byte(p.String()), nil
}

// UnmarshalText decodes the name of a priority. It returns ErrUnknownPriority
// for any other text.
func (p *Priority) UnmarshalText(text []byte) error {
	v, err := ParsePriority(string(text))
	if err != nil {
		return err
	}
	*p = v
	return nil
}

// ParsePriority returns the priority with the given name, or
// ErrUnknownPriority. Names are case-sensitive.
func ParsePriority(name string) (Priority, error) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), nil
		}
	}
	return 0, ErrUnknownPriority
}

// Outcome states whether a request ran on a backend server.
type Outcome uint8

// The outcomes of a request or of a single attempt.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeRan means that a backend server ran the request and answered it.
	OutcomeRan
	// OutcomeNotRun means that the request did not run and will not run later.
	OutcomeNotRun
)

// String returns o in the form used by the Fuchsiaspar-Outcome header.
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
