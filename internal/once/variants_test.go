package once_test

import (
	"errors"
	"testing"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"

	"github.com/leanovate/gopter"
)

// variantHistories is the maximum number of histories until the oracle must detect
// a broken variant.
const variantHistories = 400

// reportsNotRun reports every ticket that is rejected with reason as not run.
func reportsNotRun(reason model.Reason) variant {
	return variant{begin: func(_ string, claim once.Claim, err error) (once.Claim, error) {
		if once.ReasonOf(err) == reason {
			err = &once.Error{Reason: reason, Outcome: model.OutcomeNotRun}
		}
		return claim, err
	}}
}

func beginsSealed(ticket string, claim once.Claim, err error) (once.Claim, error) {
	if !errors.Is(err, once.ErrTicketSealed) {
		return claim, err
	}
	info, _ := once.Parse(ticket)
	return once.Claim{Kind: once.ClaimRun, ID: info.ID}, nil
}

func runsJoinedRepeats(_ string, claim once.Claim, err error) (once.Claim, error) {
	if claim.Kind == once.ClaimJoin {
		claim.Kind = once.ClaimRun
	}
	return claim, err
}

// acceptsStaleTokens accepts and starts attempts with stale tokens.
func acceptsStaleTokens() variant {
	late := make(map[model.AttemptID]bool)
	return variant{
		accept: func(id model.AttemptID, err error) error {
			if errors.Is(err, once.ErrStaleToken) {
				late[id] = true
				return nil
			}
			return err
		},
		started: func(id model.AttemptID, ok bool) bool { return ok || late[id] },
	}
}

func alwaysStarts(model.AttemptID, bool) bool { return true }

// TestOracleCatches checks that the oracle of TestAtMostOnce detects each broken
// variant.
func TestOracleCatches(t *testing.T) {
	for name, v := range map[string]variant{
		"not-run tickets are not sealed":    {begin: beginsSealed},
		"repeats are not joined":            {begin: runsJoinedRepeats},
		"expired is reported as not run":    reportsNotRun(model.ReasonTicketExpired),
		"owner gone is reported as not run": reportsNotRun(model.ReasonTicketOwnerGone),
		"early revocations are ignored":     {ignoresEarlyRevocations: true},
		"stale attempts start":              acceptsStaleTokens(),
		"revoked attempts start":            {started: alwaysStarts},
		"incarnations are not compared":     {reusesIncarnation: true},
	} {
		t.Run(name, func(t *testing.T) {
			result, _ := runHistories(v, variantHistories)
			if result.Status != gopter.TestFailed {
				t.Fatalf("not detected in %d histories: %+v", variantHistories, result)
			}
			t.Logf("detected in history %d: %v", result.Succeeded+1, result.Labels)
		})
	}
}
