// Package explain keeps the most recent decisions of one entry VM in a bounded
// ring, so that an operator can ask why a request was refused or why a place
// lost traffic.
package explain

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"
)

// Kind says what sort of decision was taken.
type Kind string

// The kinds of decisions.
const (
	KindRefusal        Kind = "refusal"
	KindRetry          Kind = "retry"
	KindUnknownOutcome Kind = "unknown_outcome"
	KindShift          Kind = "shift"
	KindOwnership      Kind = "ownership"
	KindEjection       Kind = "ejection"
	KindMembership     Kind = "membership"
	KindAdoption       Kind = "adoption"
	KindGrant          Kind = "grant"
	KindDrain          Kind = "drain"
)

// Decision is one decision with its inputs. Fields that do not apply are zero.
type Decision struct {
	At       time.Time         `json:"at"`
	VM       model.VMID        `json:"vm"`
	Kind     Kind              `json:"kind"`
	Reason   model.Reason      `json:"reason,omitempty"`
	Revision model.Revision    `json:"revision"`
	Request  model.AttemptID   `json:"request,omitempty"`
	Account  model.AccountID   `json:"account,omitempty"`
	Service  model.ServiceName `json:"service,omitempty"`
	Priority model.Priority    `json:"priority"`
	Zone     model.Zone        `json:"zone,omitempty"`
	Server   model.ServerID    `json:"server,omitempty"`
	// Detail is one sentence with the numbers that decided.
	Detail string `json:"detail,omitempty"`
}

// Recorder accepts decisions.
type Recorder interface {
	Record(Decision)
}

// Ring is a Recorder that keeps the newest decisions. It is safe for
// concurrent use.
type Ring struct {
	vm model.VMID

	mu      sync.Mutex
	entries []Decision
	next    int
	full    bool
}

// NewRing returns a ring that keeps size decisions of the entry VM vm.
func NewRing(vm model.VMID, size int) *Ring {
	return &Ring{vm: vm, entries: make([]Decision, size)}
}

// Record stores d as a decision of the ring's VM and forgets the oldest decision when the ring is full.
func (r *Ring) Record(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.VM = r.vm
	r.entries[r.next] = d
	r.next++
	if r.next == len(r.entries) {
		r.next = 0
		r.full = true
	}
}

// Filter selects decisions. Zero fields match everything.
type Filter struct {
	Kind    Kind
	Reason  model.Reason
	Account model.AccountID
	Service model.ServiceName
	Zone    model.Zone
	Request model.AttemptID
	// Limit bounds the count returned; zero means no bound.
	Limit int
}

// Find returns the matching decisions, newest first.
func (r *Ring) Find(f Filter) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Decision
	for i := 0; i < r.length(); i++ {
		at := (r.next - 1 - i + len(r.entries)) % len(r.entries)
		if !f.matches(r.entries[at]) {
			continue
		}
		found = append(found, r.entries[at])
		if f.Limit > 0 && len(found) == f.Limit {
			break
		}
	}
	return found
}

func (r *Ring) length() int {
	if r.full {
		return len(r.entries)
	}
	return r.next
}

func (f Filter) matches(d Decision) bool {
	return matches(f.Kind, d.Kind) &&
		matches(f.Reason, d.Reason) &&
		matches(f.Account, d.Account) &&
		matches(f.Service, d.Service) &&
		matches(f.Zone, d.Zone) &&
		matches(f.Request, d.Request)
}

func matches[T ~string](want, got T) bool { return want == "" || want == got }
