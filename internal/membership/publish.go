package membership

import (
	"fmt"
	"slices"

	"fuchsiaspar/internal/explain"

	"github.com/uber-go/tally/v4"
)

type metrics struct {
	dropped   tally.Counter
	malformed tally.Counter
	unsent    tally.Counter
	views     tally.Counter
	members   map[State]tally.Gauge
	changes   map[State]tally.Counter
	calls     tally.Scope
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("membership")
	m := &metrics{
		dropped:   scope.Counter("events_dropped"),
		malformed: scope.Counter("messages_malformed"),
		unsent:    scope.Counter("messages_unsent"),
		views:     scope.Counter("views"),
		members:   map[State]tally.Gauge{},
		changes:   map[State]tally.Counter{},
		calls:     scope,
	}
	for _, state := range []State{StateAlive, StateSuspect, StateLeaving, StateDead} {
		tagged := scope.Tagged(map[string]string{"state": state.String()})
		m.members[state] = tagged.Gauge("members")
		m.changes[state] = tagged.Counter("changes")
	}
	return m
}

// countCall counts a call to the platform by its name and result.
func (m *metrics) countCall(call, result string) {
	m.calls.Tagged(map[string]string{"call": call, "result": result}).Counter("platform_calls").Inc(1)
}

// publish replaces the current view and notifies the subscribers.
func (s *Service) publish(view *View) {
	old := s.view.Swap(view)
	s.metrics.views.Inc(1)
	s.reportChanges(old, view)
	s.subscribersMu.Lock()
	subscribers := slices.Clone(s.subscribers)
	s.subscribersMu.Unlock()
	for _, f := range subscribers {
		f(view)
	}
}

func (s *Service) reportChanges(old, view *View) {
	counts := map[State]int{}
	for _, m := range view.Members {
		counts[m.State]++
		before, known := old.Find(m.VM)
		if known && before.State == m.State && before.Incarnation == m.Incarnation {
			continue
		}
		s.reportChange(before, m)
	}
	for state, gauge := range s.metrics.members {
		gauge.Update(float64(counts[state]))
	}
}

func (s *Service) reportChange(before, m Member) {
	s.metrics.changes[m.State].Inc(1)
	s.opts.Logger.Info("member changed", "member", m.VM, "zone", m.Zone, "state", m.State,
		"was", before.State, "incarnation", m.Incarnation, "address", m.Address)
	if s.opts.Explain == nil {
		return
	}
	s.opts.Explain.Record(explain.Decision{
		At:       s.clock(),
		VM:       s.opts.Self.VM,
		Kind:     explain.KindMembership,
		Revision: m.Revision,
		Zone:     m.Zone,
		Detail:   fmt.Sprintf("%s is %s, was %s (incarnation %d)", m.VM, m.State, before.State, m.Incarnation),
	})
}
