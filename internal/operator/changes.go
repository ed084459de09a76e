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

const formatJSON = "json"

// Apply implements the API.
func (s *Service) Apply(ctx context.Context, req *gen.ChangeRequest) (*gen.ApplyResult, error) {
	change, err := s.change(ctx, req)
	if err != nil {
		return nil, translate(err)
	}
	result, err := s.deps.Config.Propose(ctx, change)
	if err != nil {
		return nil, translate(err)
	}
	return &gen.ApplyResult{
		Revision: uint64(result.Revision),
		ChangeID: string(result.ChangeID),
		Rebased:  result.Rebased,
		Pending:  texts(result.Pending),
		Skipped:  texts(result.Skipped),
	}, nil
}

// DryRun implements the API.
func (s *Service) DryRun(ctx context.Context, req *gen.ChangeRequest) (*gen.DryRunResult, error) {
	change, err := s.change(ctx, req)
	if err != nil {
		return nil, translate(err)
	}
	report, err := s.deps.Config.DryRun(ctx, change)
	if err != nil {
		return nil, translate(err)
	}
	return &gen.DryRunResult{
		Base:        uint64(report.Base),
		OK:          report.OK(),
		Differences: differencesOf(report.Differences),
		Problems:    problemsOf(report.Problems),
		Conflict:    conflictOf(report.Conflict),
		Required:    texts(report.Required),
		Skipped:     texts(report.Skipped),
		Refusals:    refusalsOf(report.Refused),
	}, nil
}

// change reads the change that a request carries.
func (s *Service) change(ctx context.Context, req *gen.ChangeRequest) (config.Change, error) {
	change, err := s.parse(ctx, req)
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
	change.Exclude.VMs = append(change.Exclude.VMs, typed[model.VMID](req.ExcludeVms)...)
	change.Exclude.Zones = append(change.Exclude.Zones, typed[model.Zone](req.ExcludeZones)...)
	return change, nil
}

func (s *Service) parse(ctx context.Context, req *gen.ChangeRequest) (config.Change, error) {
	if req.Whole {
		return s.parseWhole(ctx, req)
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

// parseWhole reads a whole document and returns the change to it from the
// revision that it was made from, so that only what was edited can conflict.
func (s *Service) parseWhole(ctx context.Context, req *gen.ChangeRequest) (config.Change, error) {
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

// documentAt returns the document of a revision. Zero means the one in force,
// an empty one before the first change.
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

// Show implements the API.
func (s *Service) Show(ctx context.Context, req *gen.ShowPayload) (*gen.ShowResult, error) {
	doc, err := s.documentAt(ctx, model.Revision(valueOf(req.Revision)))
	if err != nil {
		return nil, translate(err)
	}
	marshal := config.MarshalTOML
	if req.Format == formatJSON {
		marshal = config.MarshalJSON
	}
	text, err := marshal(doc)
	if err != nil {
		return nil, translate(err)
	}
	return &gen.ShowResult{Revision: uint64(doc.Revision), Text: string(text)}, nil
}

// Diff implements the API.
func (s *Service) Diff(ctx context.Context, req *gen.DiffPayload) (*gen.DiffResult, error) {
	from, err := s.documentAt(ctx, model.Revision(req.From))
	if err != nil {
		return nil, translate(err)
	}
	to, err := s.documentAt(ctx, model.Revision(valueOf(req.To)))
	if err != nil {
		return nil, translate(err)
	}
	return &gen.DiffResult{
		From:        uint64(from.Revision),
		To:          uint64(to.Revision),
		Differences: differencesOf(config.Diff(from, to)),
	}, nil
}

func differencesOf(differences []config.Difference) []*gen.Difference {
	out := make([]*gen.Difference, len(differences))
	for i, d := range differences {
		out[i] = &gen.Difference{Path: d.Path, Kind: string(d.Kind), Old: pointer(d.Old), New: pointer(d.New)}
	}
	return out
}

// History implements the API.
func (s *Service) History(ctx context.Context, req *gen.HistoryPayload) (*gen.HistoryResult, error) {
	commits, err := s.deps.Config.History(ctx, req.Limit)
	if err != nil && len(commits) == 0 {
		return nil, translate(err)
	}
	result := &gen.HistoryResult{Commits: make([]*gen.CommitInfo, len(commits))}
	for i, c := range commits {
		result.Commits[i] = &gen.CommitInfo{
			Revision: uint64(c.Revision),
			ChangeID: string(c.ChangeID),
			Operator: c.Operator,
			Time:     c.Time.Format(time.RFC3339),
			Keys:     texts(c.Keys),
			Excluded: texts(c.Excluded),
		}
	}
	return result, nil
}

// Drains implements the API.
func (s *Service) Drains(ctx context.Context) (*gen.DrainsResult, error) {
	result := &gen.DrainsResult{Drains: []*gen.DrainStatus{}}
	current := s.deps.Config.Current()
	if current == nil {
		return result, nil
	}
	progress, err := s.drainProgress(ctx)
	if err != nil {
		return nil, translate(err)
	}
	for _, d := range current.Document().Drains {
		i := slices.IndexFunc(progress, func(p DrainProgress) bool { return p.ID == d.ID })
		known := DrainProgress{}
		if i >= 0 {
			known = progress[i]
		}
		result.Drains = append(result.Drains, drainStatus(d, known, s.deps.Now()))
	}
	return result, nil
}

func (s *Service) drainProgress(ctx context.Context) ([]DrainProgress, error) {
	if s.deps.Drains == nil {
		return nil, nil
	}
	return s.deps.Drains.Drains(ctx)
}

// Phases of a drain, as the design gives them.
const (
	phasePlanned  = "planned"
	phaseDraining = "draining"
	phaseDrained  = "drained"
	phaseEnded    = "ended"
)

func drainStatus(d config.Drain, p DrainProgress, now time.Time) *gen.DrainStatus {
	status := &gen.DrainStatus{
		ID:       d.ID,
		Kind:     string(d.Kind),
		Target:   d.Target,
		Account:  pointer(string(d.Account)),
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
