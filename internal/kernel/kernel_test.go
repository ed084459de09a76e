package kernel

import (
	"context"
	"slices"
	"testing"

	"github.com/pkg/errors"
)

// recorder is a service that logs its starts and stops.
type recorder struct {
	name string
	log  *[]string
	fail bool
}

func (r *recorder) Start(context.Context) error {
	if r.fail {
		return errors.New("refused")
	}
	*r.log = append(*r.log, "start "+r.name)
	return nil
}

func (r *recorder) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+r.name)
	return nil
}

// TestLifecycleOrder checks that services stop in reverse order and that a
// failed start stops the services that were already running.
func TestLifecycleOrder(t *testing.T) {
	tests := []struct {
		desc string
		fail string
		want []string
	}{
		{desc: "all start", want: []string{"start a.x", "start a.y", "stop a.y", "stop a.x"}},
		{desc: "second fails", fail: "a.y", want: []string{"start a.x", "stop a.x"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var log []string
			k := New()
			for _, name := range []string{"a.x", "a.y"} {
				r := &recorder{name: name, log: &log, fail: name == test.fail}
				if err := k.Register(name, r); err != nil {
					t.Fatal(err)
				}
			}
			err := k.Start(context.Background())
			if (err != nil) != (test.fail != "") {
				t.Fatalf("Start: %v", err)
			}
			if err := k.Stop(context.Background()); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(log, test.want) {
				t.Fatalf("got %v, want %v", log, test.want)
			}
		})
	}
}

func TestFind(t *testing.T) {
	k := New()
	if err := k.Register("a.number", 7); err != nil {
		t.Fatal(err)
	}
	if got, err := Find[int](k, "a.number"); err != nil || got != 7 {
		t.Fatalf("got %v, %v", got, err)
	}
	if _, err := Find[string](k, "a.number"); !errors.Is(err, ErrType) {
		t.Fatalf("got %v, want ErrType", err)
	}
	if _, err := Find[int](k, "a.none"); !errors.Is(err, ErrNotFound) {
		t.Fatalf("got %v, want ErrNotFound", err)
	}
	if err := k.Register("a.number", 8); !errors.Is(err, ErrDuplicate) {
		t.Fatalf("got %v, want ErrDuplicate", err)
	}
}
