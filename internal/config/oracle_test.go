package config

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The oracle knows configuration as numbers by account and nothing of how the
// services agree. It judges a whole history once it is over.

// oracleEdit is one edit as it was sent: set an account's value.
type oracleEdit struct {
	id      string
	account string
	value   int64
	base    uint64
	// refusedBy names the VM that must refuse the edit, if any.
	refusedBy string
}

// oracleResult is how the sending of an edit ended.
type oracleResult struct {
	edit oracleEdit
	// outcome is committed, conflict, unresolved or refused; the last for
	// everything that promises that nothing was changed.
	outcome string
	// revision is that of the commit, or of the one that came first.
	revision uint64
	// other is the edit that came first.
	other string
	// known is when the result was known.
	knownAt time.Time
	// healthy says that no fault was injected for long.
	healthy bool
}

// oracleSample is what a VM believed at an instant.
type oracleSample struct {
	vm       string
	at       time.Time
	revision uint64
}

// oracleCommit is one row of the system's own history.
type oracleCommit struct {
	revision uint64
	id       string
	// lacking lists the VMs that neither acknowledged nor were excluded.
	unacknowledged []string
	// excluded lists the VMs that need not acknowledge.
	excluded []string
}

// oracleAdoption is a configuration that a process put in force.
type oracleAdoption struct {
	process  string
	revision uint64
	values   map[string]int64
}

// oracle gathers one history.
type oracle struct {
	initial   map[string]int64
	results   []oracleResult
	samples   []oracleSample
	commits   []oracleCommit
	adoptions []oracleAdoption
	// final is the revision in force at each VM after everything was healed.
	final map[string]uint64
	// bound is how long a confirmed VM may lack a committed revision.
	maxStaleness time.Duration
}

// judge returns what is wrong with the history.
func (o *oracle) check() []string {
	var violations []string
	violations = append(violations, o.checkCommits()...)
	violations = append(violations, o.checkResults()...)
	violations = append(violations, o.checkAdoptions()...)
	violations = append(violations, o.checkSamples()...)
	for vm, revision := range o.final {
		if revision != uint64(len(o.commits)) {
			violations = append(violations, fmt.Sprintf("%s ends at revision %d of %d", vm, revision, len(o.commits)))
		}
	}
	return violations
}

// judgeHistory checks that revisions are consecutive, that each edit is
// committed once and by everyone's leave.
func (o *oracle) checkCommits() []string {
	var violations []string
	seen := make(map[string]bool)
	for i, c := range o.commits {
		if c.revision != uint64(i+1) {
			violations = append(violations, fmt.Sprintf("commit %s has revision %d at place %d", c.id, c.revision, i+1))
		}
		if seen[c.id] {
			violations = append(violations, fmt.Sprintf("edit %s is committed twice", c.id))
		}
		seen[c.id] = true
		if len(c.unacknowledged) > 0 {
			violations = append(violations, fmt.Sprintf("revision %d lacks acknowledgements of %v", c.revision, c.unacknowledged))
		}
		e, ok := o.edit(c.id)
		if ok && e.refusedBy != "" && !slices.Contains(c.excluded, e.refusedBy) {
			violations = append(violations, fmt.Sprintf("revision %d was refused by %s", c.revision, e.refusedBy))
		}
	}
	return violations
}

func (o *oracle) edit(id string) (oracleEdit, bool) {
	for _, r := range o.results {
		if r.edit.id == id {
			return r.edit, true
		}
	}
	return oracleEdit{}, false
}

// committed returns the revision of an edit, zero when it was not committed.
func (o *oracle) revisionOf(id string) uint64 {
	for _, c := range o.commits {
		if c.id == id {
			return c.revision
		}
	}
	return 0
}

// overlaps reports whether an edit of the account was committed after base and
// before the revision limit.
func (o *oracle) overlaps(account string, base, limit uint64) bool {
	for _, c := range o.commits {
		e, ok := o.edit(c.id)
		if ok && e.account == account && c.revision > base && c.revision < limit {
			return true
		}
	}
	return false
}

// judgeResults checks each result against the history.
func (o *oracle) checkResults() []string {
	var violations []string
	for _, r := range o.results {
		if violation := o.checkResult(r); violation != "" {
			violations = append(violations, fmt.Sprintf("edit %+v ended as %s %d %s: %s", r.edit, r.outcome, r.revision, r.other, violation))
		}
	}
	return violations
}

func (o *oracle) checkResult(r oracleResult) string {
	at := o.revisionOf(r.edit.id)
	switch r.outcome {
	case "committed":
		if at != r.revision {
			return fmt.Sprintf("the history has it at %d", at)
		}
		if o.overlaps(r.edit.account, r.edit.base, at) {
			return "a conflict was not noticed"
		}
	case "conflict":
		if at != 0 {
			return fmt.Sprintf("the history has it at %d", at)
		}
		other, ok := o.edit(r.other)
		if !ok || o.revisionOf(r.other) != r.revision || other.account != r.edit.account || r.revision <= r.edit.base {
			return "the conflict is with no such edit"
		}
	case "refused":
		if at != 0 && !o.sentAgain(r) {
			return fmt.Sprintf("the history has it at %d", at)
		}
		if r.healthy && r.edit.refusedBy == "" {
			return "nothing was wrong"
		}
	case "unresolved":
		if r.healthy {
			return "nothing was wrong"
		}
	}
	return ""
}

// sentAgain reports whether the edit of r was sent more than once.
func (o *oracle) sentAgain(r oracleResult) bool {
	count := 0
	for _, other := range o.results {
		if other.edit.id == r.edit.id {
			count++
		}
	}
	return count > 1
}

// judgeAdoptions checks that no process reverts and that each configuration in
// force is what the committed edits add up to.
func (o *oracle) checkAdoptions() []string {
	var violations []string
	last := make(map[string]uint64)
	for _, a := range o.adoptions {
		if a.revision <= last[a.process] {
			violations = append(violations, fmt.Sprintf("%s went from revision %d to %d", a.process, last[a.process], a.revision))
		}
		last[a.process] = a.revision
		if want := o.valuesAt(a.revision); !maps.Equal(want, a.values) {
			violations = append(violations, fmt.Sprintf("%s has %v in force at revision %d, want %v", a.process, a.values, a.revision, want))
		}
	}
	return violations
}

func (o *oracle) valuesAt(revision uint64) map[string]int64 {
	values := maps.Clone(o.initial)
	for _, c := range o.commits {
		if e, ok := o.edit(c.id); ok && c.revision <= revision {
			values[e.account] = e.value
		}
	}
	return values
}

// judgeSamples checks that a confirmed VM lacks no revision whose commit was
// known for longer than the bound.
func (o *oracle) checkSamples() []string {
	var violations []string
	for _, s := range o.samples {
		for _, r := range o.results {
			late := s.at.Sub(r.knownAt) > o.maxStaleness
			if r.outcome == "committed" && late && s.revision < r.revision {
				violations = append(violations, fmt.Sprintf("%s is confirmed on revision %d, %v after revision %d was committed",
					s.vm, s.revision, s.at.Sub(r.knownAt), r.revision))
			}
		}
	}
	return violations
}
