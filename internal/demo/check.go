package demo

import (
	"fmt"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/quota"
)

// Invariant is a property that every run must have, with the number of cases in
// which it was checked and of those in which it did not hold.
type Invariant struct {
	Name       string `json:"name"`
	Checked    int    `json:"checked"`
	Violations int    `json:"violations"`
	// Detail describes one of the violations, or the highest value that was
	// measured.
	Detail string `json:"detail,omitempty"`
}

// maxShedPercent limits the requests that the servers of a region may refuse in
// one window, in percent of the region's slots. The limit is not zero because the
// old and the new owner of a server may both send to it during a handover.
const maxShedPercent = 100

// checkInvariants checks a run by what callers received, what backend servers ran
// and what crossed the emulated links.
func (r *run) checkInvariants() []Invariant {
	runs := r.runCounts()
	list := []Invariant{
		r.checkAtMostOnce(runs), r.checkNotRun(runs), r.checkAnswers(), r.checkLinkCap(),
		r.checkShiftCap(), r.checkRegionLoad(), r.checkNoReverts(), r.checkChanges(), r.checkDrains(),
	}
	if r.onlyPlannedEvents() {
		list = append(list, r.checkNoInterruptions())
	}
	return list
}

// runCounts returns how often each request was started, over all backend servers.
func (r *run) runCounts() map[string]int {
	runs := make(map[string]int)
	for _, s := range r.fleet.servers {
		s.addRunCounts(runs)
	}
	return runs
}

// checkAtMostOnce checks that no non-idempotent request ran twice.
func (r *run) checkAtMostOnce(runs map[string]int) Invariant {
	v := Invariant{Name: "a non-idempotent request runs at most once"}
	for _, res := range r.stats.results {
		if r.idempotent(res.kind) {
			continue
		}
		v.Checked++
		if n := runs[res.orderID]; n > 1 {
			v.Violations++
			v.Detail = fmt.Sprintf("%s ran %d times", res.orderID, n)
		}
	}
	return v
}

// idempotent reports whether the kind of requests called kind is idempotent.
func (r *run) idempotent(kind string) bool {
	for _, s := range r.options.Deployment.Services {
		for _, k := range s.Kinds {
			if k.Name == kind {
				return k.Idempotent
			}
		}
	}
	return false
}

// checkNotRun checks that no request ran whose caller was told that it had not.
func (r *run) checkNotRun(runs map[string]int) Invariant {
	v := Invariant{Name: "a request told not run did not run"}
	for _, res := range r.stats.results {
		if res.outcome != model.OutcomeNotRun {
			continue
		}
		v.Checked++
		if n := runs[res.orderID]; n > 0 {
			v.Violations++
			v.Detail = fmt.Sprintf("%s (%s) ran %d times, reason %s", res.orderID, res.kind, n, res.reason)
		}
	}
	return v
}

// checkAnswers checks that no caller took a response of another request, or an
// incomplete one, for the response to its own.
func (r *run) checkAnswers() Invariant {
	v := Invariant{Name: "every answer is the whole answer to its own request"}
	for _, res := range r.stats.results {
		if res.outcome != model.OutcomeRan {
			continue
		}
		v.Checked++
		if res.mismatched {
			v.Violations++
			v.Detail = res.orderID
		}
	}
	return v
}

// checkLinkCap checks the bytes in any window of each link against its capacity.
func (r *run) checkLinkCap() Invariant {
	v := Invariant{Name: "traffic between two regions stays under the link's cap"}
	for link, highest := range r.fleet.net.usage.peaks() {
		v.Checked++
		if highest > r.options.Deployment.LinkBytes {
			v.Violations++
			v.Detail = fmt.Sprintf("%s to %s: %d of %d bytes in one second", link[0], link[1], highest, r.options.Deployment.LinkBytes)
		}
	}
	return v
}

// checkShiftCap checks the requests that ran outside their home zone in any window
// against the shift cap of their account.
func (r *run) checkShiftCap() Invariant {
	v := Invariant{Name: "shifts from a place stay under the account's cap"}
	limit := r.maxShiftCap()
	var worst int64
	for key, series := range r.observed.shifts {
		v.Checked++
		highest := peak(series)
		if highest > limit {
			v.Violations++
		}
		if highest > worst {
			worst = highest
			v.Detail = describeShift(key, highest, limit)
		}
	}
	return v
}

// describeShift formats the highest number of shifts in one window and its limit.
func describeShift(key quota.Key, highest, limit int64) string {
	return fmt.Sprintf("%s of %s from %s: at most %d of %d requests in one second", key.Service, key.Account, key.Zone, highest, limit)
}

// maxShiftCap returns the highest shift cap that a change of the run may have set.
func (r *run) maxShiftCap() int64 {
	if len(r.events.changes) == 0 {
		return r.options.Deployment.ShiftCap
	}
	return max(r.options.Deployment.ShiftCap, int64(shiftCap+len(r.events.changes)))
}

// checkRegionLoad checks the requests that the servers of each region refused in
// any window against maxShedPercent.
func (r *run) checkRegionLoad() Invariant {
	v := Invariant{Name: "no region is given more than its servers can take"}
	for region, series := range r.observed.shed {
		v.Checked++
		limit := int64(r.regionSlots(region) * maxShedPercent / 100)
		if highest := peak(series); highest > limit {
			v.Violations++
			v.Detail = fmt.Sprintf("%s: servers refused %d requests in one second, %d slots", region, highest, r.regionSlots(region))
		}
	}
	return v
}

// regionSlots returns the number of requests that the servers of a region run at
// once.
func (r *run) regionSlots(region model.Region) int {
	slots := 0
	for _, s := range r.fleet.servers {
		if r.fleet.net.regions[s.zone] == region {
			slots += slotsPerServer
		}
	}
	return slots
}

// checkNoReverts checks that the revision in force at an entry VM never decreased.
func (r *run) checkNoReverts() Invariant {
	return Invariant{Name: "no entry VM goes back to an older configuration", Checked: r.observed.revisionSamples, Violations: r.observed.reverts}
}

// checkChanges checks that each acknowledged change has its own revision and that
// every running entry VM has the newest one.
func (r *run) checkChanges() Invariant {
	v := Invariant{Name: "every acknowledged change is in force everywhere"}
	var newest model.Revision
	acknowledged := make(map[model.Revision]bool)
	for _, c := range r.events.changes {
		if c.err != nil {
			continue
		}
		v.Checked++
		if acknowledged[c.revision] {
			v.Violations++
			v.Detail = fmt.Sprintf("two changes were told revision %d", c.revision)
		}
		acknowledged[c.revision] = true
		newest = max(newest, c.revision)
	}
	for _, e := range r.fleet.runningEntryVMs() {
		service, err := configService(e)
		if err != nil {
			continue
		}
		v.Checked++
		if current := service.Current(); current == nil || current.Revision() < newest {
			v.Violations++
			v.Detail = fmt.Sprintf("%s lacks revision %d", e.slot.VM, newest)
		}
	}
	return v
}

// checkDrains checks that draining servers started no request after the drain was
// due to be in force.
func (r *run) checkDrains() Invariant {
	v := Invariant{Name: "a draining server gets no new work after 3 s"}
	for _, d := range r.events.drains {
		v.Checked++
		if extra := d.server.server().Counts().Started - d.startedBefore; extra > 0 {
			v.Violations++
			v.Detail = fmt.Sprintf("%s started %d more requests", d.server.id, extra)
		}
	}
	return v
}

// onlyPlannedEvents reports whether the scenario has events and all of them are
// planned operations.
func (r *run) onlyPlannedEvents() bool {
	if len(r.options.Scenario.Events) == 0 {
		return false
	}
	for _, e := range r.options.Scenario.Events {
		switch e.Action {
		case ActionStopVM, ActionRollingRestart, ActionDrainZone, ActionDrainServer, ActionRaceOperators:
		default:
			return false
		}
	}
	return true
}

// checkNoInterruptions checks that no request failed because its connection or its
// response was cut off.
func (r *run) checkNoInterruptions() Invariant {
	v := Invariant{Name: "a planned stop cuts no request in flight"}
	for _, res := range r.stats.results {
		v.Checked++
		if res.reason == reasonConnectionLost || res.reason == model.ReasonTruncated || res.reason == model.ReasonPeerLost {
			v.Violations++
			v.Detail = fmt.Sprintf("%s: %s", res.orderID, res.reason)
		}
	}
	return v
}
