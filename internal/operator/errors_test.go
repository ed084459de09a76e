package operator

import (
	"context"
	"testing"

	gen "fuchsiaspar/gen/operator"
	"fuchsiaspar/internal/config"

	"github.com/pkg/errors"
)

// TestErrorsAreTyped checks that each error of the underlying services gets its
// name and details in the API.
func TestErrorsAreTyped(t *testing.T) {
	conflict := &config.ConflictError{Key: "account/a", Base: 3, Other: config.Commit{Revision: 4, ChangeID: "x", Operator: "ada"}}
	tests := []struct {
		err  error
		name string
		has  func(*gen.Failure) bool
	}{
		{config.Problems{{Path: "p", Allowed: "a"}}, "invalid", func(f *gen.Failure) bool { return f.Problems[0].Path == "p" }},
		{&config.ParseError{}, "invalid", nil},
		{conflict, "conflict", func(f *gen.Failure) bool { return f.Conflict.Operator == "ada" && f.Conflict.Revision == 4 }},
		{&config.RefusedError{By: []config.Refusal{{VM: "v", Reason: "r"}}}, "refused", func(f *gen.Failure) bool { return f.Refusals[0].VM == "v" }},
		{&config.UnresolvedError{ChangeID: "x"}, "unresolved", func(f *gen.Failure) bool { return *f.ChangeID == "x" }},
		{errors.Wrap(config.ErrNoRevision, "revision 7"), "not_found", nil},
		{errors.Wrap(ErrNotFound, "account"), "not_found", nil},
		{config.ErrStoreUnavailable, "unavailable", nil},
		{context.DeadlineExceeded, "unavailable", nil},
	}
	for _, tt := range tests {
		f, ok := toAPIError(tt.err).(*gen.Failure)
		if !ok || f.Name != tt.name || (tt.has != nil && !tt.has(f)) {
			t.Errorf("%v: got %+v, want %s", tt.err, f, tt.name)
		}
	}
	if toAPIError(nil) != nil {
		t.Error("toAPIError(nil) is not nil")
	}
}
