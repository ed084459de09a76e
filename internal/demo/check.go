package demo

import (
	"fmt"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/quota"
)

// Invariant is one promise with the count of cases in which it was checked and
// broken.
type Invariant struct {
	Name       string `json:"name"`
	Checked    int    `json:"checked"`
	Violations int    `json:"violations"`
	// Detail says what the worst case was.
	Detail string `json:"detail,omitempty"`
}

// overloadPercent is the part of a region's slots that may be refused by its
// servers in one window: an owner that hands over and the next one may meet.
const overloadPercent = 100

// invariants judges a run at callers and backend servers.
func (r *run) invariants() []Invariant {
	runs := r.runs()
	list := []Invariant{
		r.atMostOnce(runs), r.notRunIsTrue(runs), r.wholeAnswers(), r.linkCap(),
		r.shiftCap(), r.regionLoad(), r.noReverts(), r.changesKept(), r.drained(),
	}
	if r.planned() {
		list = append(list, r.nothingCut())
	}
	return list
}

// runs returns how often each order was started, over all servers.
func (r *run) runs() map[string]int {
	runs := make(map[string]int)
	for _, s := range r.fleet.servers {
		s.runs(runs)
	}
	return runs
}

func (r *run) atMostOnce(runs map[string]int) Invariant {
	v := Invariant{Name: "a non-idempotent request runs at most once"}
	for _, res := range r.tallies.results {
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

func (r *run) notRunIsTrue(runs map[string]int) Invariant {
	v := Invariant{Name: "a request told not run did not run"}
	for _, res := range r.tallies.results {
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

func (r *run) wholeAnswers() Invariant {
	v := Invariant{Name: "every answer is the whole answer to its own request"}
	for _, res := range r.tallies.results {
		if res.outcome != model.OutcomeRan {
			continue
		}
		v.Checked++
		if res.crossed {
			v.Violations++
			v.Detail = res.orderID
		}
	}
	return v
}

func (r *run) linkCap() Invariant {
	v := Invariant{Name: "traffic between two regions stays under the link's cap"}
	for link, most := range r.fleet.net.usage.peaks() {
		v.Checked++
		if most > r.options.Deployment.LinkBytes {
			v.Violations++
			v.Detail = fmt.Sprintf("%s to %s: %d of %d bytes in one second", link[0], link[1], most, r.options.Deployment.LinkBytes)
		}
	}
	return v
}

func (r *run) shiftCap() Invariant {
	v := Invariant{Name: "shifts from a place stay under the account's cap"}
	limit := r.highestShiftCap()
	var worst int64
	for key, series := range r.seen.shifts {
		v.Checked++
		most := peak(series)
		if most > limit {
			v.Violations++
		}
		if most > worst {
			worst = most
			v.Detail = describeShift(key, most, limit)
		}
	}
	return v
}

func describeShift(key quota.Key, most, limit int64) string {
	return fmt.Sprintf("%s of %s from %s: at most %d of %d requests in one second", key.Service, key.Account, key.Zone, most, limit)
}

// highestShiftCap is the largest cap that any change of the run could set.
func (r *run) highestShiftCap() int64 {
	if len(r.events.changes) == 0 {
		return r.options.Deployment.ShiftCap
	}
	return max(r.options.Deployment.ShiftCap, int64(shiftCap+len(r.events.changes)))
}

func (r *run) regionLoad() Invariant {
	v := Invariant{Name: "no region is given more than its servers can take"}
	for region, series := range r.seen.shed {
		v.Checked++
		limit := int64(r.regionSlots(region) * overloadPercent / 100)
		if most := peak(series); most > limit {
			v.Violations++
			v.Detail = fmt.Sprintf("%s: servers refused %d requests in one second, %d slots", region, most, r.regionSlots(region))
		}
	}
	return v
}

func (r *run) regionSlots(region model.Region) int {
	slots := 0
	for _, s := range r.fleet.servers {
		if r.fleet.net.regions[s.zone] == region {
			slots += slotsPerServer
		}
	}
	return slots
}

func (r *run) noReverts() Invariant {
	return Invariant{Name: "no entry VM goes back to an older configuration", Checked: r.seen.looks, Violations: r.seen.reverts}
}

// changesKept checks that acknowledged changes have revisions of their own and
// that every entry VM has the newest one.
func (r *run) changesKept() Invariant {
	v := Invariant{Name: "every acknowledged change is in force everywhere"}
	var newest model.Revision
	seen := make(map[model.Revision]bool)
	for _, c := range r.events.changes {
		if c.err != nil {
			continue
		}
		v.Checked++
		if seen[c.revision] {
			v.Violations++
			v.Detail = fmt.Sprintf("two changes were told revision %d", c.revision)
		}
		seen[c.revision] = true
		newest = max(newest, c.revision)
	}
	for _, e := range r.fleet.live() {
		service, err := configOf(e)
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

func (r *run) drained() Invariant {
	v := Invariant{Name: "a draining server gets no new work after 3 s"}
	for _, d := range r.events.drains {
		v.Checked++
		if more := d.server.server().Counts().Started - d.started; more > 0 {
			v.Violations++
			v.Detail = fmt.Sprintf("%s started %d more requests", d.server.id, more)
		}
	}
	return v
}

// planned reports whether the scenario has events and all are planned ones.
func (r *run) planned() bool {
	if len(r.options.Scenario.Events) == 0 {
		return false
	}
	for _, e := range r.options.Scenario.Events {
		switch e.Action {
		case ActionStopVM, ActionRestartAll, ActionDrainZone, ActionDrainServer, ActionRaceOperators:
		default:
			return false
		}
	}
	return true
}

func (r *run) nothingCut() Invariant {
	v := Invariant{Name: "a planned stop cuts no request in flight"}
	for _, res := range r.tallies.results {
		v.Checked++
		if res.reason == reasonConnection || res.reason == model.ReasonTruncated || res.reason == model.ReasonPeerLost {
			v.Violations++
			v.Detail = fmt.Sprintf("%s: %s", res.orderID, res.reason)
		}
	}
	return v
}
