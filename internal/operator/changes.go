package operator

import (
	"context"
	"fmt"
	"slices"
	"time"

	gen "fuchsiaspar/gen/operator"
	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
)

// formatJSON selects JSON documents and changes; any other format is TOML.
const formatJSON = "json"

// Apply implements gen.Service. It proposes a change and returns once the change
// is committed.
func (s *Service) Apply(ctx context.Context, req *gen.ChangeRequest) (*gen.ApplyResult, error) {
	change, err := s.changeFromRequest(ctx, req)
	if err != nil {
		return nil, toAPIError(err)
	}
	result, err := s.deps.Config.Propose(ctx, change)
	if err != nil {
		return nil, toAPIError(err)
	}
	return &gen.ApplyResult{
		Revision: uint64(result.Revision),
		ChangeID: string(result.ChangeID),
		Rebased:  result.Rebased,
		Pending:  toStrings(result.Pending),
		Skipped:  toStrings(result.Skipped),
	}, nil
}

// DryRun implements gen.Service. It reports the effect of a change without
// committing it.
func (s *Service) DryRun(ctx context.Context, req *gen.ChangeRequest) (*gen.DryRunResult, error) {
	change, err := s.changeFromRequest(ctx, req)
	if err != nil {
		return nil, toAPIError(err)
	}
	report, err := s.deps.Config.DryRun(ctx, change)
	if err != nil {
		return nil, toAPIError(err)
	}
	return &gen.DryRunResult{
		Base:        uint64(report.Base),
		OK:          report.OK(),
		Differences: toAPIDifferences(report.Differences),
		Problems:    toAPIProblems(report.Problems),
		Conflict:    toAPIConflict(report.Conflict),
		Required:    toStrings(report.Required),
		Skipped:     toStrings(report.Skipped),
		Refusals:    toAPIRefusals(report.Refused),
	}, nil
}

// changeFromRequest parses the change in a request and applies the request's
// options to it.
func (s *Service) changeFromRequest(ctx context.Context, req *gen.ChangeRequest) (config.Change, error) {
	change, err := s.parseChange(ctx, req)
	if err != nil {
		return config.Change{}, err
	}
	if req.ID != nil {
		change.ID = config.ChangeID(*req.ID)
	}
	if req.Operator != nil {
		change.Operator = *req.Operator
	}
	if req.Base != nil {
		change.Base = model.Revision(*req.Base)
	}
	change.Exclude.VMs = append(change.Exclude.VMs, fromStrings[model.VMID](req.ExcludeVms)...)
	change.Exclude.Zones = append(change.Exclude.Zones, fromStrings[model.Zone](req.ExcludeZones)...)
	return change, nil
}

// parseChange parses the text of a request, which is a change or, if Whole is
// set, a complete document.
func (s *Service) parseChange(ctx context.Context, req *gen.ChangeRequest) (config.Change, error) {
	if req.Whole {
		return s.changeFromDocument(ctx, req)
	}
	parse := config.ParseChangeTOML
	if req.Format == formatJSON {
		parse = config.ParseChangeJSON
	}
	change, err := parse([]byte(req.Text))
	if err != nil {
		return config.Change{}, err
	}
	return *change, nil
}

// changeFromDocument parses a complete document and returns its difference from
// the revision that it is based on, so that only the edited parts can conflict
// with other changes.
func (s *Service) changeFromDocument(ctx context.Context, req *gen.ChangeRequest) (config.Change, error) {
	parse := config.ParseTOML
	if req.Format == formatJSON {
		parse = config.ParseJSON
	}
	doc, err := parse([]byte(req.Text))
	if err != nil {
		return config.Change{}, err
	}
	base := doc.Revision
	if req.Base != nil {
		base = model.Revision(*req.Base)
	}
	if current := s.deps.Config.Current(); base == 0 && current != nil {
		return config.Change{}, config.Problems{{
			Path:    "revision",
			Value:   "0",
			Allowed: fmt.Sprintf("the revision that the document was made from; %d is in force", current.Revision()),
		}}
	}
	old, err := s.documentAt(ctx, base)
	if err != nil {
		return config.Change{}, err
	}
	return config.ChangeBetween(old, doc), nil
}

// documentAt returns the document of a revision. Zero selects the document in
// force, which is empty before the first change.
func (s *Service) documentAt(ctx context.Context, revision model.Revision) (*config.Document, error) {
	if revision != 0 {
		return s.deps.Config.DocumentAt(ctx, revision)
	}
	current := s.deps.Config.Current()
	if current == nil {
		return &config.Document{}, nil
	}
	return current.Document(), nil
}

// Show implements gen.Service. It returns a configuration document as text.
func (s *Service) Show(ctx context.Context, req *gen.ShowPayload) (*gen.ShowResult, error) {
	doc, err := s.documentAt(ctx, model.Revision(valueOrZero(req.Revision)))
	if err != nil {
		return nil, toAPIError(err)
	}
	marshal := config.MarshalTOML
	if req.Format == formatJSON {
		marshal = config.MarshalJSON
	}
	text, err := marshal(doc)
	if err != nil {
		return nil, toAPIError(err)
	}
	return &gen.ShowResult{Revision: uint64(doc.Revision), Text: string(text)}, nil
}

// Diff implements gen.Service. It compares two revisions.
func (s *Service) Diff(ctx context.Context, req *gen.DiffPayload) (*gen.DiffResult, error) {
	from, err := s.documentAt(ctx, model.Revision(req.From))
	if err != nil {
		return nil, toAPIError(err)
	}
	to, err := s.documentAt(ctx, model.Revision(valueOrZero(req.To)))
	if err != nil {
		return nil, toAPIError(err)
	}
	return &gen.DiffResult{
		From:        uint64(from.Revision),
		To:          uint64(to.Revision),
		Differences: toAPIDifferences(config.Diff(from, to)),
	}, nil
}

func toAPIDifferences(differences []config.Difference) []*gen.Difference {
	out := make([]*gen.Difference, len(differences))
	for i, d := range differences {
		out[i] = &gen.Difference{Path: d.Path, Kind: string(d.Kind), Old: pointerOrNil(d.Old), New: pointerOrNil(d.New)}
	}
	return out
}

// History implements gen.Service. It returns the latest commits, and as many as
// could be read if the history is incomplete.
func (s *Service) History(ctx context.Context, req *gen.HistoryPayload) (*gen.HistoryResult, error) {
	commits, err := s.deps.Config.History(ctx, req.Limit)
	if err != nil && len(commits) == 0 {
		return nil, toAPIError(err)
	}
	result := &gen.HistoryResult{Commits: make([]*gen.CommitInfo, len(commits))}
	for i, c := range commits {
		result.Commits[i] = &gen.CommitInfo{
			Revision: uint64(c.Revision),
			ChangeID: string(c.ChangeID),
			Operator: c.Operator,
			Time:     c.Time.Format(time.RFC3339),
			Keys:     toStrings(c.Keys),
			Excluded: toStrings(c.Excluded),
		}
	}
	return result, nil
}

// Drains implements gen.Service. It returns the configured drains with their
// progress. A drain without known progress counts as not empty.
func (s *Service) Drains(ctx context.Context) (*gen.DrainsResult, error) {
	result := &gen.DrainsResult{Drains: []*gen.DrainStatus{}}
	current := s.deps.Config.Current()
	if current == nil {
		return result, nil
	}
	progress, err := s.drainProgress(ctx)
	if err != nil {
		return nil, toAPIError(err)
	}
	for _, d := range current.Document().Drains {
		i := slices.IndexFunc(progress, func(p DrainProgress) bool { return p.ID == d.ID })
		drainProgress := DrainProgress{}
		if i >= 0 {
			drainProgress = progress[i]
		}
		result.Drains = append(result.Drains, toAPIDrainStatus(d, drainProgress, s.deps.Now()))
	}
	return result, nil
}

// drainProgress returns the progress of drains; none without a DrainSource.
func (s *Service) drainProgress(ctx context.Context) ([]DrainProgress, error) {
	if s.deps.Drains == nil {
		return nil, nil
	}
	return s.deps.Drains.Drains(ctx)
}

// Phases of a drain, as defined in the API design.
const (
	phasePlanned  = "planned"
	phaseDraining = "draining"
	phaseDrained  = "drained"
	phaseEnded    = "ended"
)

func toAPIDrainStatus(d config.Drain, p DrainProgress, now time.Time) *gen.DrainStatus {
	status := &gen.DrainStatus{
		ID:       d.ID,
		Kind:     string(d.Kind),
		Target:   d.Target,
		Account:  pointerOrNil(string(d.Account)),
		Start:    d.Start.Format(time.RFC3339),
		End:      d.End.Format(time.RFC3339),
		Phase:    drainPhase(d, p, now),
		InFlight: p.InFlight,
	}
	if p.Empty {
		drained := p.Drained.Milliseconds()
		status.DrainedMs = &drained
	}
	return status
}

func drainPhase(d config.Drain, p DrainProgress, now time.Time) string {
	switch {
	case now.Before(d.Start):
		return phasePlanned
	case !now.Before(d.End):
		return phaseEnded
	case p.Empty:
		return phaseDrained
	default:
		return phaseDraining
	}
}
