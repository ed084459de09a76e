package allow

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// TestRetriesOfAllVMsKeepToTheBudget lets every VM retry as often as its budget
// allows and checks the sum over all VMs against the bound after every request.
func TestRetriesOfAllVMsKeepToTheBudget(t *testing.T) {
	const ratio, slack = 0.2, 60.0
	parameters := gopter.DefaultTestParametersWithSeed(20404)
	properties := gopter.NewProperties(parameters)
	properties.Property("budget", prop.ForAll(func(seed uint64, count int) string {
		random := rand.New(rand.NewPCG(seed, 5))
		budgets := make([]*RetryBudget, count)
		for i := range budgets {
			budgets[i] = NewRetryBudget(ratio, slack)
			budgets[i].SetVMs(count)
		}
		requests, retries := 0.0, 0.0
		for range 2000 {
			b := budgets[random.IntN(count)]
			b.Deposit("desk")
			requests++
			for range random.IntN(3) {
				if b.Take("desk") {
					retries++
				}
			}
			if retries > ratio*requests+slack {
				return fmt.Sprintf("%.0f retries for %.0f requests from %d VMs", retries, requests, count)
			}
		}
		if retries == 0 {
			return "no retry was allowed"
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 300)))
	properties.TestingRun(t)
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	b := NewRetryBudget(0, 2)
	b.SetVMs(1)
	if !b.Take("desk") || b.Take("desk") || !b.Take("vault") {
		t.Error("two services share a budget")
	}
}
