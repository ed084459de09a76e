package front

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pick"
)

// Guards against a loop without a pause: a request that yields to others kept asking for a
// server after its client had left.
func TestYieldingEndsWhenTheClientLeaves(t *testing.T) {
	config := &catalog.Config{Services: map[model.ServiceName]catalog.Service{"desk": {}}}
	target := []catalog.WeightedService{{Service: "desk", Weight: 1}}
	config.Routes = []catalog.Route{
		{Name: "read", TargetLatency: time.Second, Targets: target},
		{Name: "sync", TargetLatency: time.Hour, Rank: 2, Targets: target},
	}
	now := time.Now()
	fleet := pick.NewFleet(pick.Options{})
	fleet.SetSnapshot(catalog.NewSnapshot(1, config, []*catalog.Server{{ID: "i-0", Service: "desk", Slots: 1}}, nil, nil), now)
	for range 2 {
		if _, reason := fleet.Pick(pick.Query{Route: &config.Routes[0], Service: "desk"}, now); reason != "" {
			t.Fatal(reason)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	q := &request{
		server: &Server{opts: Options{Fleet: fleet}}, r: httptest.NewRequest("GET", "/", nil).WithContext(ctx),
		route: &config.Routes[1], service: "desk", start: now, deadline: now.Add(time.Minute),
	}
	if _, reason := q.chooseServer(); reason != reasonClientLeft {
		t.Errorf("got %q, want %q", reason, reasonClientLeft)
	}
}
