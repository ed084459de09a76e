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

// Report is the outcome of one run.
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
	// Unsent counts requests that were not sent because the callers had too
	// many in flight; the policy never saw them.
	Unsent int `json:"unsent"`
	// Held says whether every invariant held.
	Held bool `json:"held"`
}

// PriorityReport is the service of one priority.
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
	// SteadyShare is the part answered in time outside the 3 s after events.
	SteadyShare float64 `json:"steady_share"`
	// AfterPerSecond is the rate of answers in time from 3 s after the last
	// event on.
	AfterPerSecond float64 `json:"after_per_second"`
}

// KindReport is the service of one kind of requests for one account.
type KindReport struct {
	Kind     string          `json:"kind"`
	Account  model.AccountID `json:"account"`
	Offered  int             `json:"offered"`
	Answered int             `json:"answered"`
}

// EventReport is one event with its time from the start of the load.
type EventReport struct {
	AtMS int64  `json:"at_ms"`
	What string `json:"what"`
}

// ChangeReport sums up the changes of configuration.
type ChangeReport struct {
	Proposed int     `json:"proposed"`
	Accepted int     `json:"accepted"`
	MaxMS    float64 `json:"max_ms"`
	// InForceMaxMS is the longest time from a proposal until it was in force at
	// every running entry VM; 5000 stands for longer.
	InForceMaxMS float64 `json:"in_force_max_ms"`
	// Refused counts the refused changes by their error.
	Refused map[string]int `json:"refused"`
}

// eventShadow is how long after an event the service may suffer.
const eventShadow = 3 * time.Second

func (r *run) report() *Report {
	t := r.tallies
	t.mu.Lock()
	defer t.mu.Unlock()
	s := r.options.Scenario
	report := &Report{
		Scenario: s.Name, Summary: s.Summary,
		Deployment: r.options.Deployment.Name, Scaling: r.options.Deployment.Scaling,
		Policy: r.options.Policy, Seed: r.options.Seed, Seconds: s.Duration.Seconds(),
		Kinds: r.kinds(), Invariants: r.invariants(), Events: r.events.lines,
		Changes: r.changes(), StoreCalls: r.fleet.store.TotalCalls(""), Unsent: t.unsent, Held: true,
	}
	for p, rank := range t.byRank {
		report.Priorities = append(report.Priorities, r.priority(model.Priority(p), rank))
	}
	for _, v := range report.Invariants {
		report.Held = report.Held && v.Violations == 0
	}
	return report
}

func (r *run) priority(p model.Priority, rank *rankTally) PriorityReport {
	ms := func(q float64) float64 { return float64(rank.latency.ValueAtQuantile(q)) / 1000 }
	report := PriorityReport{
		Priority: p, Offered: rank.offered, Answered: rank.answered, Late: rank.late,
		Refused: rank.refused, Unknown: rank.unknowns,
		P50MS: ms(50), P99MS: ms(99), P999MS: ms(99.9),
	}
	var steady, inTime, after int
	from := r.lastEvent() + eventShadow
	for _, res := range r.tallies.results {
		if res.priority != p {
			continue
		}
		ok := res.outcome == model.OutcomeRan && !res.late
		if !r.shadowed(res.offered) {
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

func (r *run) lastEvent() time.Duration {
	var last time.Duration
	for _, e := range r.options.Scenario.Events {
		last = max(last, e.At+e.For)
	}
	return last
}

// shadowed reports whether an event happened shortly before at.
func (r *run) shadowed(at time.Duration) bool {
	for _, e := range r.options.Scenario.Events {
		for _, moment := range []time.Duration{e.At, e.At + e.For} {
			if at >= moment-e.kindDeadline() && at < moment+eventShadow {
				return true
			}
		}
	}
	return false
}

// kindDeadline is how long before an event a request may start and still be
// in flight at the event.
func (Event) kindDeadline() time.Duration { return time.Second }

func (r *run) kinds() []KindReport {
	type key struct {
		kind    string
		account model.AccountID
	}
	byKey := make(map[key]*KindReport)
	for _, res := range r.tallies.results {
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

func (r *run) changes() ChangeReport {
	c := ChangeReport{Refused: make(map[string]int)}
	for _, change := range r.events.changes {
		c.Proposed++
		if change.err != nil {
			c.Refused[firstLine(change.err.Error())]++
			continue
		}
		c.Accepted++
		c.MaxMS = max(c.MaxMS, float64(change.took.Microseconds())/1000)
		c.InForceMaxMS = max(c.InForceMaxMS, float64(change.inForce.Microseconds())/1000)
	}
	return c
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// WriteText writes the report for a reader at a terminal.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s on %s, policy %s: %s\n", r.Scenario, r.Deployment, r.Policy, r.Summary)
	fmt.Fprintf(w, "scaling: %s\n\n", r.Scaling)
	for _, e := range r.Events {
		fmt.Fprintf(w, "  %6d ms  %s\n", e.AtMS, e.What)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\npriority\toffered\tanswered\tlate\trefused\tunknown\tp50 ms\tp99 ms\tp99.9 ms\tsteady share\tafter events /s")
	for _, p := range r.Priorities {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.4f\t%.0f\n", p.Priority, p.Offered, p.Answered, p.Late,
			reasons(p.Refused), reasons(p.Unknown), p.P50MS, p.P99MS, p.P999MS, p.SteadyShare, p.AfterPerSecond)
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

// reasons prints counts by reason, most first.
func reasons(counts map[model.Reason]int) string {
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
