package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/charmbracelet/log"
)

// TestInvariantsHoldUnderFailures runs a short scenario on real sockets, with the
// loss of an entry VM and silent servers. It checks the invariants, and no latency
// or rate, which depend on the machine.
func TestInvariantsHoldUnderFailures(t *testing.T) {
	scenario, ok := FindScenario("vm-loss+silent")
	if !ok {
		t.Fatal("scenarios are missing")
	}
	scenario.Duration = defaultEventTime + time.Second
	report, err := Run(context.Background(), Options{
		Scenario:   scenario,
		Deployment: kanalnet(),
		Policy:     PolicyFull,
		Seed:       1,
		Logger:     log.New(io.Discard),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range report.Priorities {
		if p.Offered == 0 || p.Answered == 0 {
			t.Errorf("%s: %d offered, %d answered", p.Priority, p.Offered, p.Answered)
		}
	}
	for _, v := range report.Invariants {
		if v.Violations > 0 {
			t.Errorf("%s: %d of %d: %s", v.Name, v.Violations, v.Checked, v.Detail)
		}
	}
}

// TestChecksCanFail passes the observations of a faulty system to each check and
// expects one violation, so that a check that can't fail is noticed.
func TestChecksCanFail(t *testing.T) {
	r := &run{
		options:  Options{Deployment: kanalnet()},
		fleet:    newFleet(kanalnet(), log.New(io.Discard), func(model.Zone, string) {}),
		stats:    newRunStats(),
		events:   &eventLog{},
		observed: newObservations(),
	}
	r.stats.add(result{kind: "reserve", orderID: "twice", outcome: model.OutcomeRan})
	r.stats.add(result{kind: "duct", orderID: "denied", outcome: model.OutcomeNotRun})
	r.stats.add(result{kind: "duct", orderID: "mixed", outcome: model.OutcomeRan, mismatched: true})
	r.stats.add(result{kind: "duct", orderID: "cut", outcome: model.OutcomeUnknown, reason: reasonConnectionLost})
	r.observed.recordRevision("lj-a-1", 2)
	r.observed.recordRevision("lj-a-1", 1)
	for range shiftCap + 1 {
		r.observed.recordStart("mb-a", orderID{account: "carrier", service: "lease-desk", home: "lj-a"}.String())
	}
	r.observed.recordShed("lj", "s", r.regionSlots("lj")+1)
	r.fleet.net.usage.add("lj", "mb", int(r.options.Deployment.LinkBytes)+1)
	runs := map[string]int{"twice": 2, "denied": 1}
	broken := []Invariant{
		r.checkAtMostOnce(runs), r.checkNotRun(runs), r.checkAnswers(), r.checkLinkCap(),
		r.checkShiftCap(), r.checkRegionLoad(), r.checkNoReverts(), r.checkNoInterruptions(),
	}
	for _, v := range broken {
		if v.Violations != 1 {
			t.Errorf("%s: %d violations of %d, want 1", v.Name, v.Violations, v.Checked)
		}
	}
}

// TestCombinedScenarios checks that joined scenarios keep the events and caps of
// their parts, that a repeated scenario occurs later and is marked as a repetition,
// and that an unknown name is rejected.
func TestCombinedScenarios(t *testing.T) {
	twice, ok := FindScenario("vm-loss+vm-loss")
	if !ok || len(twice.Events) != 2 || twice.Events[1].Repetition != 1 || twice.Events[1].At != defaultEventTime+repetitionDelay {
		t.Fatalf("found %v: %+v", ok, twice.Events)
	}
	if _, ok := FindScenario("vm-loss+none"); ok {
		t.Fatal("found a combination with an unknown scenario")
	}
	caps, _ := FindScenario("shift-cap+link-cap")
	if caps.ShiftCap == 0 || caps.LinkBytes == 0 || !caps.SingleRegion {
		t.Fatalf("caps of the parts are lost: %+v", caps)
	}
}
