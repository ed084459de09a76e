package catalog

import (
	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// ErrSharedKey reports a key that two client accounts have.
var ErrSharedKey = errors.New("catalog: key of two client accounts")

// Account is a client account. Its keys are held by Accounts only, so that they
// don't reach logs and messages with it.
type Account struct {
	ID model.AccountID
	// Rank is the priority of the account's requests, zero the highest. It replaces
	// the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
	// RatePerSecond is the number of requests per second that the account may make at
	// all VMs together, and Burst how many more at once. A rate of zero means no limit.
	RatePerSecond, Burst float64
	// Regions lists the regions in which the requests may run; empty means all.
	Regions []model.Region
}

// Accounts holds the client accounts of a configuration. The zero value has none.
type Accounts struct {
	byID  map[model.AccountID]*Account
	byKey map[string]*Account
}

// Add adds an account with its keys. It fails with ErrSharedKey if another account
// has one of them.
func (a *Accounts) Add(account *Account, keys []string) error {
	if a.byID == nil {
		a.byID, a.byKey = map[model.AccountID]*Account{}, map[string]*Account{}
	}
	a.byID[account.ID] = account
	for _, key := range keys {
		if other, taken := a.byKey[key]; taken && other != account {
			return errors.WithMessagef(ErrSharedKey, "%s and %s", other.ID, account.ID)
		}
		a.byKey[key] = account
	}
	return nil
}

// ByKey returns the account that has a key, or nil.
func (a *Accounts) ByKey(key string) *Account { return a.byKey[key] }

// ByID returns the account with an id, or nil.
func (a *Accounts) ByID(id model.AccountID) *Account { return a.byID[id] }

// Len returns the number of accounts.
func (a *Accounts) Len() int { return len(a.byID) }

// All iterates over the accounts in no particular order.
func (a *Accounts) All(yield func(*Account) bool) {
	for _, account := range a.byID {
		if !yield(account) {
			return
		}
	}
}
