package catalog

import (
	"fmt"
	"testing"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// Guards against one key that opens two accounts.
func TestSharedKeyIsRejected(t *testing.T) {
	var accounts Accounts
	if err := accounts.Add(&Account{ID: "a"}, []string{"k", "k"}); err != nil {
		t.Errorf("a key listed twice by one account: %v", err)
	}
	if err := accounts.Add(&Account{ID: "b"}, []string{"k"}); !errors.Is(err, ErrSharedKey) {
		t.Errorf("got %v, want ErrSharedKey", err)
	}
}

// Guards against requests that run outside the regions of their route or their account.
func TestRegionsOfRouteAndAccountBothBind(t *testing.T) {
	lj, mb := []model.Region{"lj"}, []model.Region{"mb"}
	both := []model.Region{"lj", "mb"}
	tests := []struct {
		desc           string
		route, account []model.Region
		lj, mb         bool
	}{
		{"neither restricts", nil, nil, true, true},
		{"the route restricts", lj, nil, true, false},
		{"the account restricts", nil, mb, false, true},
		{"both restrict", both, mb, false, true},
		{"they exclude each other", lj, mb, false, false},
	}
	for _, tt := range tests {
		r := NewRegions(tt.route, tt.account)
		if r.Allows("lj") != tt.lj || r.Allows("mb") != tt.mb {
			t.Errorf("%s: lj %v, mb %v", tt.desc, r.Allows("lj"), r.Allows("mb"))
		}
	}
}

func BenchmarkAccountByKey(b *testing.B) {
	for _, count := range []int{100, 10_000} {
		b.Run(fmt.Sprint(count, " accounts"), func(b *testing.B) {
			var accounts Accounts
			for i := range count {
				keys := []string{fmt.Sprint("key-a-", i), fmt.Sprint("key-b-", i), fmt.Sprint("key-c-", i), fmt.Sprint("key-d-", i)}
				if err := accounts.Add(&Account{ID: model.AccountID(fmt.Sprint(i))}, keys); err != nil {
					b.Fatal(err)
				}
			}
			key := fmt.Sprint("key-c-", count/2)
			b.ReportAllocs()
			for b.Loop() {
				if accounts.ByKey(key) == nil {
					b.Fatal("key not found")
				}
			}
		})
	}
}
