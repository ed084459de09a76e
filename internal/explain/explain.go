// Package explain keeps the most recent decisions of an entry VM in a ring buffer,
// so that an operator can query why a request was refused or why traffic moved
// away from a zone or a server.
package explain

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"
)

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions.
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

// Decision is a decision of an entry VM. Fields that do not apply are zero.
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
	// Detail is a sentence with the values on which the decision was based.
	Detail string `json:"detail,omitempty"`
}

// Recorder records decisions.
type Recorder interface {
	// Record stores a decision.
	Record(Decision)
}

// Ring is a Recorder that keeps the newest decisions in a ring buffer. It is safe
// for concurrent use.
type Ring struct {
	vm model.VMID

	mu      sync.Mutex
	entries []Decision
	// next is the index at which the next decision is stored.
	next int
	// full is set once every entry is in use.
	full bool
}

// NewRing returns a ring for the size newest decisions of the entry VM vm. size
// must be positive.
func NewRing(vm model.VMID, size int) *Ring {
	return &Ring{vm: vm, entries: make([]Decision, size)}
}

// Record stores d with the VM of the ring. A full ring overwrites its oldest
// decision.
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
	// Limit is the maximum number of decisions returned; zero means no limit.
	Limit int
}

// Find returns the matching decisions, newest first.
func (r *Ring) Find(f Filter) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Decision
	for i := 0; i < r.count(); i++ {
		index := (r.next - 1 - i + len(r.entries)) % len(r.entries)
		if !f.matches(r.entries[index]) {
			continue
		}
		found = append(found, r.entries[index])
		if f.Limit > 0 && len(found) == f.Limit {
			break
		}
	}
	return found
}

// count returns the number of stored decisions. The caller must hold mu.
func (r *Ring) count() int {
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

// matches reports whether got equals want, where an empty want matches everything.
func matches[T ~string](want, got T) bool { return want == "" || want == got }
