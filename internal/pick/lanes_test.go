package pick

import (
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

func route(name string, objective time.Duration, rank int, service model.ServiceName) catalog.Route {
	return catalog.Route{
		Name: name, Kind: catalog.Idempotent, TargetLatency: objective, Rank: rank,
		Targets: []catalog.WeightedService{{Service: service, Weight: 1}},
	}
}

func TestTolerantRoutes(t *testing.T) {
	tests := []struct {
		desc   string
		routes []catalog.Route
		want   string
	}{
		{"slow and less urgent", []catalog.Route{route("a", 250*time.Millisecond, 0, "desk"), route("b", time.Second, 2, "desk")}, "b"},
		{"slow but as urgent", []catalog.Route{route("a", 250*time.Millisecond, 1, "desk"), route("b", time.Second, 1, "desk")}, ""},
		{"less urgent but as fast", []catalog.Route{route("a", 250*time.Millisecond, 0, "desk"), route("b", 400*time.Millisecond, 1, "desk")}, ""},
		{"at another service", []catalog.Route{route("a", 250*time.Millisecond, 0, "x"), route("b", time.Second, 2, "desk")}, ""},
		{"no objective", []catalog.Route{route("a", 0, 0, "desk"), route("b", time.Second, 2, "desk")}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			got := ""
			for name := range tolerantRoutes(&catalog.Config{Routes: tt.routes}) {
				got += name
			}
			if got != tt.want {
				t.Errorf("tolerant: %q, want %q", got, tt.want)
			}
		})
	}
}

func TestTolerantRequestsYieldToUrgentOnes(t *testing.T) {
	c := config()
	c.Routes = []catalog.Route{route("urgent", 250*time.Millisecond, 0, "desk"), route("sync", 2*time.Second, 2, "desk")}
	f := NewFleet(Options{Self: "vm-0", Region: "lj"})
	f.SetVMs(vms(1))
	f.SetSnapshot(catalog.NewSnapshot(1, c, servers(1, "lj"), nil, nil), start)
	urgent, sync := &c.Routes[0], &c.Routes[1]
	pick := func(route *catalog.Route, now time.Time) Reason {
		choice, reason := f.Pick(Query{Route: route, Service: "desk"}, now)
		if reason == "" {
			f.Done(choice, Answered, &Report{Running: 4, Waiting: 3, Slots: 3}, now)
		}
		return reason
	}
	if got := pick(urgent, start); got != "" {
		t.Fatalf("urgent: %q", got)
	}
	if got := pick(sync, start); got != Yield {
		t.Errorf("tolerant request at a server with a queue: %q, want %q", got, Yield)
	}
	if got := pick(urgent, start); got != "" {
		t.Errorf("urgent request at a server with a queue: %q", got)
	}
	if got := pick(sync, start.Add(tolerantReportMaxAge)); got != "" {
		t.Errorf("tolerant request after the report expired: %q", got)
	}
}
