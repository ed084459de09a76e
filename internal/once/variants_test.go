package once_test

import (
	"errors"
	"testing"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"

	"github.com/leanovate/gopter"
)

// variantHistories is the count of histories within which every broken variant
// must be caught.
const variantHistories = 400

// unsealedRegistry lets a request that was told not-run begin again.
type unsealedRegistry struct{ registry }

func (r unsealedRegistry) Begin(now time.Time, ticket string, req once.Fingerprint) (once.Claim, error) {
	claim, err := r.registry.Begin(now, ticket, req)
	if errors.Is(err, once.ErrSealed) {
		info, _ := once.Parse(ticket)
		return once.Claim{Kind: once.ClaimRun, ID: info.ID}, nil
	}
	return claim, err
}

// unjoinedRegistry runs a repeat beside the first copy.
type unjoinedRegistry struct{ registry }

func (r unjoinedRegistry) Begin(now time.Time, ticket string, req once.Fingerprint) (once.Claim, error) {
	claim, err := r.registry.Begin(now, ticket, req)
	if claim.Kind == once.ClaimJoin {
		claim.Kind = once.ClaimRun
	}
	return claim, err
}

// certainRegistry says not-run for every ticket that it refuses with reason.
type certainRegistry struct {
	registry
	reason model.Reason
}

func (r certainRegistry) Begin(now time.Time, ticket string, req once.Fingerprint) (once.Claim, error) {
	claim, err := r.registry.Begin(now, ticket, req)
	if once.ReasonOf(err) == r.reason {
		return claim, &once.Error{Reason: r.reason, Outcome: model.OutcomeNotRun}
	}
	return claim, err
}

// unsealedFar answers a revocation that overtakes its attempt without sealing.
type unsealedFar struct {
	farSide
	arrived map[model.AttemptID]bool
}

func (f unsealedFar) Accept(now time.Time, id model.AttemptID, ttl time.Duration) error {
	f.arrived[id] = true
	return f.farSide.Accept(now, id, ttl)
}

func (f unsealedFar) Revoke(now time.Time, id model.AttemptID) once.RevokeResult {
	if !f.arrived[id] {
		return once.RevokeResult{State: once.RevokedNotRun, Outcome: model.OutcomeNotRun}
	}
	return f.farSide.Revoke(now, id)
}

// staleFar accepts attempts with stale tokens.
type staleFar struct {
	farSide
	late map[model.AttemptID]bool
}

func (f staleFar) Accept(now time.Time, id model.AttemptID, ttl time.Duration) error {
	err := f.farSide.Accept(now, id, ttl)
	if errors.Is(err, once.ErrStale) {
		f.late[id] = true
		return nil
	}
	return err
}

func (f staleFar) Started(id model.AttemptID) bool {
	return f.late[id] || f.farSide.Started(id)
}

// revocableFar lets an attempt start after its revocation.
type revocableFar struct{ farSide }

func (f revocableFar) Started(model.AttemptID) bool { return true }

func brokenVariants() map[string]variant {
	variants := make(map[string]variant)
	owner := func(name string, wrap func(registry) registry) {
		v := intact()
		inner := v.registry
		v.registry = func(o once.Options) registry { return wrap(inner(o)) }
		variants[name] = v
	}
	far := func(name string, wrap func(farSide) farSide) {
		v := intact()
		inner := v.farSide
		v.farSide = func(o once.AttemptOptions) farSide { return wrap(inner(o)) }
		variants[name] = v
	}
	owner("not-run is not sealed", func(r registry) registry { return unsealedRegistry{r} })
	owner("repeats are not joined", func(r registry) registry { return unjoinedRegistry{r} })
	owner("expired counts as not run", func(r registry) registry {
		return certainRegistry{r, model.ReasonTicketExpired}
	})
	owner("owner gone counts as not run", func(r registry) registry {
		return certainRegistry{r, model.ReasonTicketOwnerGone}
	})
	far("revocation is not sealed", func(f farSide) farSide {
		return unsealedFar{f, make(map[model.AttemptID]bool)}
	})
	far("stale attempts are accepted", func(f farSide) farSide {
		return staleFar{f, make(map[model.AttemptID]bool)}
	})
	far("revoked attempts start", func(f farSide) farSide { return revocableFar{f} })
	v := intact()
	v.forgetIncarnation = true
	variants["incarnation is not checked"] = v
	return variants
}

// TestOracleCatches proves that the oracle of TestAtMostOnce can fail.
func TestOracleCatches(t *testing.T) {
	for name, v := range brokenVariants() {
		t.Run(name, func(t *testing.T) {
			result := check(v, variantHistories, *historySeed)
			if result.Status != gopter.TestFailed {
				t.Fatalf("not caught in %d histories: %+v", variantHistories, result)
			}
			t.Logf("caught in history %d: %v", result.Succeeded+1, result.Labels)
		})
	}
}
