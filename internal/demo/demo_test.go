package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/charmbracelet/log"
)

// TestInvariantsHoldUnderFailures plays a short scenario with real sockets and
// judges safety only.
func TestInvariantsHoldUnderFailures(t *testing.T) {
	scenario, ok := FindScenario("vm-loss+silent")
	if !ok {
		t.Fatal("scenarios are missing")
	}
	scenario.Duration = eventAt + time.Second
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

// TestChecksCanFail feeds the checks what a broken system would show.
func TestChecksCanFail(t *testing.T) {
	r := &run{
		options: Options{Deployment: kanalnet()},
		fleet:   newFleet(kanalnet(), log.New(io.Discard), func(model.Zone, string) {}),
		tallies: newTallies(),
		events:  &eventLog{},
		seen:    newObservations(),
	}
	r.tallies.add(result{kind: "reserve", orderID: "twice", outcome: model.OutcomeRan})
	r.tallies.add(result{kind: "duct", orderID: "denied", outcome: model.OutcomeNotRun})
	r.tallies.add(result{kind: "duct", orderID: "mixed", outcome: model.OutcomeRan, crossed: true})
	r.tallies.add(result{kind: "duct", orderID: "cut", outcome: model.OutcomeUnknown, reason: reasonConnection})
	r.seen.noteRevision("lj-a-1", 2)
	r.seen.noteRevision("lj-a-1", 1)
	for range shiftCap + 1 {
		r.seen.noteStart("mb-a", orderID{account: "carrier", service: "lease-desk", home: "lj-a"}.String())
	}
	r.seen.noteShed("lj", "s", r.regionSlots("lj")+1)
	r.fleet.net.usage.add("lj", "mb", int(r.options.Deployment.LinkBytes)+1)
	runs := map[string]int{"twice": 2, "denied": 1}
	broken := []Invariant{
		r.atMostOnce(runs), r.notRunIsTrue(runs), r.wholeAnswers(), r.linkCap(),
		r.shiftCap(), r.regionLoad(), r.noReverts(), r.nothingCut(),
	}
	for _, v := range broken {
		if v.Violations != 1 {
			t.Errorf("%s: %d violations of %d, want 1", v.Name, v.Violations, v.Checked)
		}
	}
}

func TestCombinedScenarios(t *testing.T) {
	twice, ok := FindScenario("vm-loss+vm-loss")
	if !ok || len(twice.Events) != 2 || twice.Events[1].Nth != 1 || twice.Events[1].At != eventAt+repeatAfter {
		t.Fatalf("found %v: %+v", ok, twice.Events)
	}
	if _, ok := FindScenario("vm-loss+none"); ok {
		t.Fatal("found a combination with an unknown scenario")
	}
	caps, _ := FindScenario("shift-cap+link-cap")
	if caps.ShiftCap == 0 || caps.LinkBytes == 0 || !caps.OnePlace {
		t.Fatalf("caps of the parts are lost: %+v", caps)
	}
}
