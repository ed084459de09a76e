package config

import (
	"context"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// DryRunReport describes what a change would do and which entry VMs would have
// to acknowledge it.
type DryRunReport struct {
	// Base is the revision on which the change would be committed.
	Base        model.Revision `json:"base"`
	Differences []Difference   `json:"differences"`
	Problems    Problems       `json:"problems,omitempty"`
	Conflict    *ConflictError `json:"conflict,omitempty"`
	Required    []model.VMID   `json:"required"`
	Skipped     []model.VMID   `json:"skipped,omitempty"`
	Refused     []Refusal      `json:"refused,omitempty"`
}

// OK reports whether the change could be committed in the current state.
func (r DryRunReport) OK() bool {
	return len(r.Problems) == 0 && r.Conflict == nil && len(r.Refused) == 0
}

// DryRun checks a change against the latest revision without proposing it.
// Problems, conflicts and refusals are part of the report, not errors.
func (s *Service) DryRun(ctx context.Context, change Change) (DryRunReport, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	head, err := s.syncHead(ctx)
	if err != nil {
		return DryRunReport{}, err
	}
	base := s.activeVersion()
	p := s.plan(ctx, base, &change)
	report := DryRunReport{
		Base:     base.revision(),
		Conflict: head.conflict(change.Base, change.Keys()),
		Required: p.requiredVMs(),
		Skipped:  p.skipped,
		Refused:  p.refusals,
	}
	next, err := Apply(base.document(), change)
	if problems, invalid := AsProblems(err); invalid {
		report.Problems = problems
		return report, nil
	}
	if err != nil {
		return DryRunReport{}, err
	}
	report.Differences = Diff(base.document(), next)
	return report, nil
}

// History returns the latest n commits, newest first. Commits listed in the
// active head are returned without reading the store. It stops early at the
// oldest revision that the store keeps. If a read fails, it returns the commits
// found so far with the error.
func (s *Service) History(ctx context.Context, n int) ([]Commit, error) {
	head := s.activeVersion().headOrNil()
	if head == nil {
		return nil, nil
	}
	commits := append([]Commit(nil), head.Recent[:min(n, len(head.Recent))]...)
	for len(commits) < n {
		oldest := commits[len(commits)-1].Revision
		if oldest <= 1 {
			break
		}
		older, err := s.repo.readHistory(ctx, oldest-1)
		if errors.Is(err, ErrNoRevision) {
			break
		}
		if err != nil {
			return commits, err
		}
		missing := min(n-len(commits), len(older.Recent))
		commits = append(commits, older.Recent[:missing]...)
	}
	return commits, nil
}

// DocumentAt returns the document of a revision: the active one, or an older
// one from the store. It returns ErrNoRevision for a revision that the store no
// longer keeps.
func (s *Service) DocumentAt(ctx context.Context, revision model.Revision) (*Document, error) {
	v := s.activeVersion()
	if v != nil && v.revision() == revision {
		return v.doc, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	head, err := s.repo.readHistory(ctx, revision)
	if err != nil {
		return nil, err
	}
	loaded, err := s.repo.loadObjects(ctx, head.Manifest, s.localObjectLookup())
	if err != nil {
		return nil, err
	}
	return decodeObjects(revision, loaded)
}
