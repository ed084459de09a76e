package once_test

import (
	"errors"
	"testing"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"

	"github.com/leanovate/gopter"
)

// variantHistories is the count of histories within which every broken variant
// must be caught.
const variantHistories = 400

// countsAsNotRun says not-run for every ticket that is refused with reason.
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

// acceptsStale accepts and starts attempts with stale tokens.
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

// TestOracleCatches proves that the oracle of TestAtMostOnce can fail.
func TestOracleCatches(t *testing.T) {
	for name, v := range map[string]variant{
		"not-run is not sealed":         {begin: beginsSealed},
		"repeats are not joined":        {begin: runsJoinedRepeats},
		"expired counts as not run":     reportsNotRun(model.ReasonTicketExpired),
		"owner gone counts as not run":  reportsNotRun(model.ReasonTicketOwnerGone),
		"revocations are not sealed":    {ignoresEarlyRevocations: true},
		"stale attempts start":          acceptsStaleTokens(),
		"revoked attempts start":        {started: alwaysStarts},
		"incarnations are not compared": {reusesIncarnation: true},
	} {
		t.Run(name, func(t *testing.T) {
			result, _ := runHistories(v, variantHistories)
			if result.Status != gopter.TestFailed {
				t.Fatalf("not caught in %d histories: %+v", variantHistories, result)
			}
			t.Logf("caught in history %d: %v", result.Succeeded+1, result.Labels)
		})
	}
}
