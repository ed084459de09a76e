package admit_test

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/model"
)

// accountWeights holds the weights of the accounts of a saturated queue.
var accountWeights = map[model.AccountID]int{"one": 1, "two": 2, "three": 3}

const (
	saturatedDuration = 10 * time.Second
	// requestsPerAccount is the number of requests that each account has waiting
	// or running: more than there are slots, so that it always has one waiting.
	requestsPerAccount = 20
)

// saturatedPolicy returns a policy with account weights and without a maximum queue
// age.
func saturatedPolicy() admit.Policy {
	p := admit.DefaultPolicy()
	p.MaxQueueAge = [model.NumPriorities]time.Duration{}
	p.Weight = func(a model.AccountID) int { return accountWeights[a] }
	return p
}

// usage holds the slot time that each priority used and the requests that each
// account started.
type usage struct {
	busy   [model.NumPriorities]time.Duration
	starts [model.NumPriorities]map[model.AccountID]int
}

// saturate simulates a server in virtual time while every account of every priority
// always has waiting requests. Service holds the service time of each priority.
func saturate(policy admit.Policy, slots int, service [model.NumPriorities]time.Duration) usage {
	var u usage
	var id uint64
	q := admit.New(policy)
	requests := make(map[uint64]admit.Request)
	ends := make(map[uint64]time.Time)
	now := simStart
	apply := func(r admit.Result) {
		for _, s := range r.Starts {
			req := requests[s.ID]
			u.starts[req.Priority][req.Account]++
			ends[s.ID] = now.Add(service[req.Priority])
		}
	}
	offer := func(p model.Priority, a model.AccountID) {
		id++
		requests[id] = admit.Request{ID: id, Account: a, Priority: p}
		apply(q.Offer(now, requests[id]))
	}
	q.SetServers(now, []admit.Server{{ID: "s", Limit: slots}})
	for p := range u.starts {
		u.starts[p] = make(map[model.AccountID]int)
		for range requestsPerAccount {
			for _, a := range []model.AccountID{"one", "two", "three"} {
				offer(model.Priority(p), a)
			}
		}
	}
	for p := range u.starts {
		clear(u.starts[p])
	}
	for now.Sub(simStart) < saturatedDuration {
		next := uint64(0)
		for i, at := range ends {
			if next == 0 || at.Before(ends[next]) || at.Equal(ends[next]) && i < next {
				next = i
			}
		}
		req := requests[next]
		now = ends[next]
		delete(ends, next)
		delete(requests, next)
		u.busy[req.Priority] += service[req.Priority]
		offer(req.Priority, req.Account)
		apply(q.Done(now, next, service[req.Priority]))
	}
	return u
}

// meetsFloors reports whether each priority used 95 % of its floor, less 100 ms for
// requests running at the start and the end.
func meetsFloors(u usage, slots int) bool {
	for p, floor := range admit.DefaultPolicy().Floors {
		due := saturatedDuration * time.Duration(floor*slots) / 100
		if u.busy[p] < due*95/100-100*ms {
			return false
		}
	}
	return true
}

// matchesWeights reports whether the accounts of each priority started requests in
// proportion to their weights, within two rounds. The starts into initially idle
// slots are not counted.
func matchesWeights(u usage) bool {
	for p := range u.starts {
		one := u.starts[p]["one"]
		for account, weight := range accountWeights {
			if off := u.starts[p][account] - one*weight; off > 2*weight || off < -2*weight {
				return false
			}
		}
	}
	return true
}

// checkSaturated checks a property of the usage for random numbers of slots and
// service times.
func checkSaturated(policy admit.Policy, holds func(u usage, slots int) bool) *gopter.TestResult {
	params := gopter.DefaultTestParametersWithSeed(*seed)
	params.MinSuccessfulTests = max(1, *historyCount/10)
	service := gen.Int64Range(5, 60)
	return prop.ForAll(func(slots int, urgent, normal, bulk int64) bool {
		times := [model.NumPriorities]time.Duration{
			time.Duration(urgent) * ms, time.Duration(normal) * ms, time.Duration(bulk) * ms,
		}
		return holds(saturate(policy, slots, times), slots)
	}, gen.IntRange(1, 12), service, service, service).Check(params)
}

func TestSaturatedQueueKeepsFloorsAndWeights(t *testing.T) {
	result := checkSaturated(saturatedPolicy(), func(u usage, slots int) bool {
		return meetsFloors(u, slots) && matchesWeights(u)
	})
	if !result.Passed() {
		t.Errorf("seed %d: %v", *seed, result)
	}
}

func TestSaturationCheckDetectsMissingFloors(t *testing.T) {
	policy := saturatedPolicy()
	policy.Floors = [model.NumPriorities]int{}
	if checkSaturated(policy, meetsFloors).Passed() {
		t.Error("the check did not detect the fault")
	}
}

func TestSaturationCheckDetectsMissingWeights(t *testing.T) {
	policy := saturatedPolicy()
	policy.Weight = nil
	fair := func(u usage, _ int) bool { return matchesWeights(u) }
	if checkSaturated(policy, fair).Passed() {
		t.Error("the check did not detect the fault")
	}
}
