package demo

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"fuchsiaspar/internal/model"
)

// Report is the result of one run.
type Report struct {
	Scenario   string           `json:"scenario"`
	Summary    string           `json:"summary"`
	Deployment string           `json:"deployment"`
	Scaling    string           `json:"scaling"`
	Policy     Policy           `json:"policy"`
	Seed       uint64           `json:"seed"`
	Seconds    float64          `json:"seconds"`
	Priorities []PriorityReport `json:"priorities"`
	Kinds      []KindReport     `json:"kinds"`
	Invariants []Invariant      `json:"invariants"`
	Events     []EventReport    `json:"events"`
	Changes    ChangeReport     `json:"changes"`
	StoreCalls uint64           `json:"store_calls"`
	// Unsent counts requests that were not sent because the callers had
	// maxOutstanding requests in flight. They are not part of the offered ones.
	Unsent int `json:"unsent"`
	// Held is true if every invariant held.
	Held bool `json:"held"`
}

// PriorityReport holds the counts and latencies of the requests of one priority.
// Latencies are in milliseconds and cover all answered requests, late ones too.
type PriorityReport struct {
	Priority model.Priority       `json:"priority"`
	Offered  int                  `json:"offered"`
	Answered int                  `json:"answered"`
	Late     int                  `json:"late"`
	Refused  map[model.Reason]int `json:"refused"`
	Unknown  map[model.Reason]int `json:"unknown"`
	P50MS    float64              `json:"p50_ms"`
	P99MS    float64              `json:"p99_ms"`
	P999MS   float64              `json:"p999_ms"`
	// SteadyShare is the share, from 0 to 1, of requests answered in time, among
	// those offered outside the 1 s before and the 3 s after an event.
	SteadyShare float64 `json:"steady_share"`
	// AfterPerSecond is the number of requests per second, of those offered from
	// 3 s after the last event on, that were answered in time.
	AfterPerSecond float64 `json:"after_per_second"`
}

// KindReport counts the requests of one kind for one account. Answered excludes late
// answers.
type KindReport struct {
	Kind     string          `json:"kind"`
	Account  model.AccountID `json:"account"`
	Offered  int             `json:"offered"`
	Answered int             `json:"answered"`
}

// EventReport is one event with its time since the start of the load.
type EventReport struct {
	AtMS        int64  `json:"at_ms"`
	Description string `json:"what"`
}

// ChangeReport summarizes the changes of the configuration. MaxMS is the longest
// time until an accepted change was acknowledged.
type ChangeReport struct {
	Proposed int     `json:"proposed"`
	Accepted int     `json:"accepted"`
	MaxMS    float64 `json:"max_ms"`
	// InForceMaxMS is the longest time from a proposal until the change was in
	// force at every running entry VM; 5000 means 5 s or more.
	InForceMaxMS float64 `json:"in_force_max_ms"`
	// Refused counts the refused changes by the first line of their error.
	Refused map[string]int `json:"refused"`
}

// eventEffectTime is how long after an event its effect on the service is excluded
// from the steady figures.
const eventEffectTime = 3 * time.Second

// report checks the invariants and builds the report of the run.
func (r *run) report() *Report {
	stats := r.stats
	stats.mu.Lock()
	defer stats.mu.Unlock()
	s := r.options.Scenario
	report := &Report{
		Scenario: s.Name, Summary: s.Summary,
		Deployment: r.options.Deployment.Name, Scaling: r.options.Deployment.Scaling,
		Policy: r.options.Policy, Seed: r.options.Seed, Seconds: s.Duration.Seconds(),
		Kinds: r.kindReports(), Invariants: r.checkInvariants(), Events: r.events.reports,
		Changes: r.changeReport(), StoreCalls: r.fleet.store.TotalCalls(""), Unsent: stats.unsent, Held: true,
	}
	for p, counts := range stats.byPriority {
		report.Priorities = append(report.Priorities, r.priorityReport(model.Priority(p), counts))
	}
	for _, v := range report.Invariants {
		report.Held = report.Held && v.Violations == 0
	}
	return report
}

// priorityReport returns the report of one priority.
func (r *run) priorityReport(p model.Priority, counts *priorityStats) PriorityReport {
	ms := func(q float64) float64 { return float64(counts.latency.ValueAtQuantile(q)) / 1000 }
	report := PriorityReport{
		Priority: p, Offered: counts.offered, Answered: counts.answered, Late: counts.late,
		Refused: counts.refused, Unknown: counts.unknowns,
		P50MS: ms(50), P99MS: ms(99), P999MS: ms(99.9),
	}
	var steady, inTime, after int
	from := r.lastEventEnd() + eventEffectTime
	for _, res := range r.stats.results {
		if res.priority != p {
			continue
		}
		ok := res.outcome == model.OutcomeRan && !res.late
		if !r.nearEvent(res.offered) {
			steady++
			if ok {
				inTime++
			}
		}
		if ok && res.offered >= from {
			after++
		}
	}
	report.SteadyShare = float64(inTime) / float64(max(1, steady))
	report.AfterPerSecond = float64(after) / max(0.001, (r.options.Scenario.Duration-from).Seconds())
	return report
}

// lastEventEnd returns when the last event of the scenario ends.
func (r *run) lastEventEnd() time.Duration {
	var last time.Duration
	for _, e := range r.options.Scenario.Events {
		last = max(last, e.At+e.Duration)
	}
	return last
}

// nearEvent reports whether at is close enough to the start or the end of an event
// for a request offered then to be affected.
func (r *run) nearEvent(at time.Duration) bool {
	for _, e := range r.options.Scenario.Events {
		for _, moment := range []time.Duration{e.At, e.At + e.Duration} {
			if at >= moment-e.leadTime() && at < moment+eventEffectTime {
				return true
			}
		}
	}
	return false
}

// leadTime returns how long before an event a request may start and still be in
// flight at the event.
func (Event) leadTime() time.Duration { return time.Second }

// kindReports returns one report for each kind and account, sorted by both.
func (r *run) kindReports() []KindReport {
	type key struct {
		kind    string
		account model.AccountID
	}
	byKey := make(map[key]*KindReport)
	for _, res := range r.stats.results {
		k := key{kind: res.kind, account: res.account}
		if byKey[k] == nil {
			byKey[k] = &KindReport{Kind: res.kind, Account: res.account}
		}
		byKey[k].Offered++
		if res.outcome == model.OutcomeRan && !res.late {
			byKey[k].Answered++
		}
	}
	list := make([]KindReport, 0, len(byKey))
	for _, k := range byKey {
		list = append(list, *k)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return list[i].Kind < list[j].Kind
		}
		return list[i].Account < list[j].Account
	})
	return list
}

// changeReport summarizes the changes of the run.
func (r *run) changeReport() ChangeReport {
	c := ChangeReport{Refused: make(map[string]int)}
	for _, change := range r.events.changes {
		c.Proposed++
		if change.err != nil {
			c.Refused[firstLine(change.err.Error())]++
			continue
		}
		c.Accepted++
		c.MaxMS = max(c.MaxMS, float64(change.latency.Microseconds())/1000)
		c.InForceMaxMS = max(c.InForceMaxMS, float64(change.adoptionTime.Microseconds())/1000)
	}
	return c
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// WriteText writes the report as plain text with aligned columns.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s on %s, policy %s: %s\n", r.Scenario, r.Deployment, r.Policy, r.Summary)
	fmt.Fprintf(w, "scaling: %s\n\n", r.Scaling)
	for _, e := range r.Events {
		fmt.Fprintf(w, "  %6d ms  %s\n", e.AtMS, e.Description)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\npriority\toffered\tanswered\tlate\trefused\tunknown\tp50 ms\tp99 ms\tp99.9 ms\tsteady share\tafter events /s")
	for _, p := range r.Priorities {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.4f\t%.0f\n", p.Priority, p.Offered, p.Answered, p.Late,
			formatReasons(p.Refused), formatReasons(p.Unknown), p.P50MS, p.P99MS, p.P999MS, p.SteadyShare, p.AfterPerSecond)
	}
	if r.Changes.Proposed > 0 {
		fmt.Fprintf(t, "\nchanges\t%d proposed\t%d accepted\tslowest %.0f ms\tin force everywhere after at most %.0f ms\n", r.Changes.Proposed, r.Changes.Accepted, r.Changes.MaxMS, r.Changes.InForceMaxMS)
		for reason, n := range r.Changes.Refused {
			fmt.Fprintf(t, "\t%d refused: %s\n", n, reason)
		}
	}
	fmt.Fprintln(t, "\ninvariant\tchecked\tviolations\t")
	for _, v := range r.Invariants {
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", v.Name, v.Checked, v.Violations, v.Detail)
	}
	return t.Flush()
}

// formatReasons formats counts by reason, highest first, or 0 if there are none.
func formatReasons(counts map[model.Reason]int) string {
	names := make([]string, 0, len(counts))
	for reason := range counts {
		names = append(names, string(reason))
	}
	sort.Slice(names, func(i, j int) bool {
		return counts[model.Reason(names[i])] > counts[model.Reason(names[j])]
	})
	parts := make([]string, 0, len(names))
	for _, n := range names {
		parts = append(parts, fmt.Sprintf("%s=%d", n, counts[model.Reason(n)]))
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, " ")
}
