package feed

import (
	"context"
	"slices"
	"testing"
	"time"

	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/replica"

	"github.com/pkg/errors"
)

var errLeaseEnded, errNoAnswer = errors.New("no such lease"), errors.New("no answer")

// fakeLeases records the calls of a Registrar and answers renewals with errors in
// turn.
type fakeLeases struct {
	granted  uint64
	renewals []error
	calls    []string
}

func (f *fakeLeases) Grant(context.Context, time.Duration) (uint64, error) {
	f.calls = append(f.calls, "grant")
	f.granted++
	return f.granted, nil
}

func (f *fakeLeases) KeepAlive(context.Context, uint64) error {
	f.calls = append(f.calls, "renew")
	err := f.renewals[0]
	f.renewals = f.renewals[1:]
	return err
}

func (f *fakeLeases) End(context.Context, uint64) error {
	f.calls = append(f.calls, "end")
	return nil
}

func (f *fakeLeases) Put(context.Context, string, []byte, uint64) error {
	f.calls = append(f.calls, "put")
	return nil
}

func TestRenewalsOfTheRecord(t *testing.T) {
	tests := []struct {
		desc     string
		renewals []error
		want     []string
	}{
		{"renewed", []error{nil, nil}, []string{"grant", "put", "renew", "renew"}},
		{"one renewal without an answer", []error{errNoAnswer, nil}, []string{"grant", "put", "renew", "renew"}},
		{"lease ended", []error{errLeaseEnded, nil}, []string{"grant", "put", "renew", "grant", "put", "renew"}},
		{
			"no answer, then ended", []error{errNoAnswer, errLeaseEnded},
			[]string{"grant", "put", "renew", "renew", "grant", "put"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			store := &fakeLeases{renewals: tt.renewals}
			r := NewRegistrar(RegistrarOptions{
				Store: store, Key: "vms/a", Log: decisions.Discard(),
				Encode:    func() ([]byte, error) { return []byte("record"), nil },
				IsListed:  func() bool { return true },
				Position:  func() replica.Position { return replica.Position{Era: 1, Revision: 1} },
				IsExpired: func(err error) bool { return errors.Is(err, errLeaseEnded) },
			})
			for range 1 + len(tt.renewals) {
				// The failure of a renewal is repaired by the next call.
				_ = r.refresh(context.Background())
			}
			if !slices.Equal(store.calls, tt.want) {
				t.Errorf("calls %v, want %v", store.calls, tt.want)
			}
		})
	}
}

// TestLeaseFromBeforeARestoreIsNotUsed guards against a VM that renews, writes under or ends
// a lease whose ID a restored store has given to another VM.
func TestLeaseFromBeforeARestoreIsNotUsed(t *testing.T) {
	tests := []struct {
		desc string
		// granted is the position of the replica when the lease is granted.
		granted replica.Position
		stop    bool
		want    []string
	}{
		{"renewal", replica.Position{Era: 1, Revision: 9}, false, []string{"grant", "put", "grant", "put", "renew"}},
		{"planned stop", replica.Position{Era: 1, Revision: 9}, true, []string{"grant", "put"}},
		{"granted before the replica was filled", replica.Position{}, false, []string{"grant", "put", "renew", "renew"}},
		{"planned stop without a restore", replica.Position{Era: 2, Revision: 1}, true, []string{"grant", "put", "end"}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			position, store := tt.granted, &fakeLeases{renewals: []error{nil, nil}}
			r := NewRegistrar(RegistrarOptions{
				Store: store, Key: "vms/a", Log: decisions.Discard(),
				Encode:    func() ([]byte, error) { return []byte("record"), nil },
				IsListed:  func() bool { return true },
				Position:  func() replica.Position { return position },
				IsExpired: func(error) bool { return false },
			})
			if err := r.refresh(t.Context()); err != nil {
				t.Fatal(err)
			}
			position = replica.Position{Era: 2, Revision: 3}
			if tt.stop {
				if err := r.Stop(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			for range 2 {
				if !tt.stop {
					if err := r.refresh(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
			}
			if !slices.Equal(store.calls, tt.want) {
				t.Errorf("calls %v, want %v", store.calls, tt.want)
			}
		})
	}
}
