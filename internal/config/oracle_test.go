package config

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The oracle models a configuration as one number per account and is
// independent of the agreement protocol. It checks a complete history after its
// end.

// oracleEdit is an edit that sets the value of an account.
type oracleEdit struct {
	id      string
	account string
	value   int64
	base    uint64
	// refusedBy names the VM that must refuse the edit, if any.
	refusedBy string
}

// oracleResult is the result of proposing an edit.
type oracleResult struct {
	edit oracleEdit
	// outcome is committed, conflict, unresolved or refused. Refused stands for
	// all results that guarantee that nothing was changed.
	outcome string
	// revision is that of the commit, or of the conflicting commit.
	revision uint64
	// other is the ID of the conflicting edit.
	other string
	// knownAt is when the result was returned.
	knownAt time.Time
	// healthy reports that no fault was active within the recovery time before
	// the proposal.
	healthy bool
}

// oracleSample is the active revision of a confirmed VM at one instant.
type oracleSample struct {
	vm       string
	at       time.Time
	revision uint64
}

// oracleCommit is one entry of the commit history reported by a service.
type oracleCommit struct {
	revision uint64
	id       string
	// unacknowledged lists the VMs that neither acknowledged nor were excluded.
	unacknowledged []string
	// excluded lists the VMs that did not have to acknowledge.
	excluded []string
}

// oracleAdoption is a configuration that a process made active.
type oracleAdoption struct {
	process  string
	revision uint64
	values   map[string]int64
}

// oracle holds the observations of one history.
type oracle struct {
	initial   map[string]int64
	results   []oracleResult
	samples   []oracleSample
	commits   []oracleCommit
	adoptions []oracleAdoption
	// final is the active revision of each VM after all faults ended.
	final map[string]uint64
	// maxStaleness is how long after a commit a VM may stay confirmed on an
	// older revision.
	maxStaleness time.Duration
}

// check returns the violations found in the history.
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

// checkCommits checks that revisions are consecutive and that each edit is
// committed once, acknowledged by all, and not refused by a VM that was not
// excluded.
func (o *oracle) checkCommits() []string {
	var violations []string
	seen := make(map[string]bool)
	for i, c := range o.commits {
		if c.revision != uint64(i+1) {
			violations = append(violations, fmt.Sprintf("commit %s has revision %d at position %d", c.id, c.revision, i+1))
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

// revisionOf returns the revision of an edit, or zero if it was not committed.
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

// checkResults checks each result against the history.
func (o *oracle) checkResults() []string {
	var violations []string
	for _, r := range o.results {
		if violation := o.checkResult(r); violation != "" {
			violations = append(violations, fmt.Sprintf("edit %+v has the outcome %s %d %s: %s", r.edit, r.outcome, r.revision, r.other, violation))
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
			return "a conflict was not detected"
		}
	case "conflict":
		if at != 0 {
			return fmt.Sprintf("the history has it at %d", at)
		}
		other, ok := o.edit(r.other)
		if !ok || o.revisionOf(r.other) != r.revision || other.account != r.edit.account || r.revision <= r.edit.base {
			return "the reported conflict does not exist"
		}
	case "refused":
		if at != 0 && !o.sentAgain(r) {
			return fmt.Sprintf("the history has it at %d", at)
		}
		if r.healthy && r.edit.refusedBy == "" {
			return "no fault was active"
		}
	case "unresolved":
		if r.healthy {
			return "no fault was active"
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

// checkAdoptions checks that no process adopts a lower revision and that each
// adopted configuration is the sum of the committed edits.
func (o *oracle) checkAdoptions() []string {
	var violations []string
	last := make(map[string]uint64)
	for _, a := range o.adoptions {
		if a.revision <= last[a.process] {
			violations = append(violations, fmt.Sprintf("%s went from revision %d to %d", a.process, last[a.process], a.revision))
		}
		last[a.process] = a.revision
		if want := o.valuesAt(a.revision); !maps.Equal(want, a.values) {
			violations = append(violations, fmt.Sprintf("%s has %v active at revision %d, want %v", a.process, a.values, a.revision, want))
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

// checkSamples checks that no VM is confirmed on a revision older than one
// whose commit was returned more than maxStaleness before.
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
