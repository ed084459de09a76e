package operator

import (
	"context"

	gen "fuchsiaspar/gen/operator"
	"fuchsiaspar/internal/config"

	"github.com/pkg/errors"
)

// Names of API errors, as defined in the API design.
const (
	nameInvalid     = "invalid"
	nameNotFound    = "not_found"
	nameRefused     = "refused"
	nameConflict    = "conflict"
	nameUnavailable = "unavailable"
	nameUnresolved  = "unresolved"
)

// ErrNotFound reports that a requested object does not exist. Sources wrap it
// with the name of the object.
var ErrNotFound = errors.New("not found")

func newFailure(name, message string) *gen.Failure {
	return &gen.Failure{Name: name, Message: message}
}

// toAPIError converts an error of the underlying services to a *gen.Failure.
// Errors of unknown type become "unavailable".
func toAPIError(err error) error {
	if err == nil {
		return nil
	}
	var (
		conflict   *config.ConflictError
		refused    *config.RefusedError
		unresolved *config.UnresolvedError
		parse      *config.ParseError
	)
	problems, invalid := config.AsProblems(err)
	f := newFailure(nameUnavailable, err.Error())
	switch {
	case invalid:
		f.Name = nameInvalid
		f.Problems = toAPIProblems(problems)
	case errors.As(err, &parse):
		f.Name = nameInvalid
	case errors.As(err, &conflict):
		f.Name = nameConflict
		f.Conflict = toAPIConflict(conflict)
	case errors.As(err, &refused):
		f.Name = nameRefused
		f.Refusals = toAPIRefusals(refused.By)
	case errors.As(err, &unresolved):
		f.Name = nameUnresolved
		f.ChangeID = pointerOrNil(string(unresolved.ChangeID))
	case errors.Is(err, ErrNotFound):
		f.Name = nameNotFound
	case errors.Is(err, config.ErrNoRevision):
		f.Name = nameNotFound
		f.Message += ": see the history for the revisions that there are"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		f.Message = "no answer in time: try again"
	}
	return f
}

func toAPIProblems(problems config.Problems) []*gen.Problem {
	out := make([]*gen.Problem, len(problems))
	for i, p := range problems {
		out[i] = &gen.Problem{Path: p.Path, Value: p.Value, Allowed: p.Allowed}
	}
	return out
}

func toAPIRefusals(by []config.Refusal) []*gen.VMRefusal {
	out := make([]*gen.VMRefusal, len(by))
	for i, r := range by {
		out[i] = &gen.VMRefusal{VM: string(r.VM), Zone: string(r.Zone), Reason: r.Reason}
	}
	return out
}

func toAPIConflict(c *config.ConflictError) *gen.Conflict {
	if c == nil {
		return nil
	}
	return &gen.Conflict{
		Key:      string(c.Key),
		Base:     uint64(c.Base),
		Revision: uint64(c.Other.Revision),
		ChangeID: string(c.Other.ChangeID),
		Operator: c.Other.Operator,
	}
}

// pointerOrNil returns a pointer to v, or nil if v is the zero value.
func pointerOrNil[T comparable](v T) *T {
	var zero T
	if v == zero {
		return nil
	}
	return &v
}

// valueOrZero returns *p, or the zero value if p is nil.
func valueOrZero[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

func toStrings[T ~string](items []T) []string {
	out := make([]string, len(items))
	for i, item := range items {
		out[i] = string(item)
	}
	return out
}

func fromStrings[T ~string](items []string) []T {
	out := make([]T, len(items))
	for i, item := range items {
		out[i] = T(item)
	}
	return out
}
