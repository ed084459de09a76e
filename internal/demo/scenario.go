package demo

import (
	"strings"
	"time"

	"fuchsiaspar/internal/model"
)

// Load is additional load on the first service of a deployment. Kind is the name of
// a priority. From and To are unused: a flood lasts until the run ends. If Account is
// not empty, all of the load belongs to the first account.
type Load struct {
	Kind    string
	Account model.AccountID
	// Share is the offered rate as a share of the service's capacity; above one
	// it exceeds the capacity.
	Share float64
	// OneZone sends the whole load from the clients of the first zone.
	OneZone bool
	From    time.Duration
	To      time.Duration
}

// Event is a fault or an operator's action. At is the time since the start of the
// load.
type Event struct {
	At     time.Duration
	Action Action
	// Target names the target of the action: a VM, zone, region or server.
	Target string
	// Duration is how long a temporary fault lasts. It is zero for actions without
	// a duration and for faults that last until the run ends.
	Duration time.Duration
	// Repetition is zero for the first occurrence of a scenario in a combination
	// and counts up for repeated ones, which have other targets.
	Repetition int
}

// Action is the type of an event.
type Action string

// The actions that a run executes.
const (
	ActionKillVM           Action = "kill-vm"
	ActionKillRegion       Action = "kill-region"
	ActionBounceRegion     Action = "bounce-region"
	ActionStopVM           Action = "stop-vm"
	ActionRollingRestart   Action = "rolling-restart"
	ActionSilenceServers   Action = "silence-server"
	ActionMisleadReports   Action = "mislead-reports"
	ActionStopReports      Action = "stop-reports"
	ActionStoreDown        Action = "store-down"
	ActionStoreSlow        Action = "store-slow"
	ActionAnswerLost       Action = "answer-lost"
	ActionPauseLeaseHolder Action = "pause-lease-holder"
	ActionCutZone          Action = "cut-zone"
	ActionCutRegion        Action = "cut-region"
	ActionDrainZone        Action = "drain-zone"
	ActionDrainServer      Action = "drain-server"
	ActionRaceOperators    Action = "race-operators"
)

// Scenario is a table of loads and events. Load is offered for Duration.
type Scenario struct {
	Name     string
	Summary  string
	Duration time.Duration
	Events   []Event
	// Flood is offered in addition to the base load.
	Flood []Load
	// ShiftCap and LinkBytes replace the deployment's caps when positive.
	ShiftCap  int64
	LinkBytes int64
	// SingleRegion places the servers of the second service in the first region,
	// so that the transfers of the other regions cross links.
	SingleRegion bool
}

const (
	// defaultEventTime is when the fault of most scenarios occurs.
	defaultEventTime = 4 * time.Second
	// defaultDuration is how long most scenarios offer load.
	defaultDuration = 12 * time.Second
	// configRaceDuration is long enough for 200 changes across regions.
	configRaceDuration = 60 * time.Second
	// faultDuration is how long a fault that ends during the run lasts.
	faultDuration = 4 * time.Second
)

// Symbolic targets of events, resolved for each deployment.
const (
	targetFirstVM  = "first-vm"
	targetSecondVM = "second-vm"
	targetZone     = "last-zone"
	targetRegion   = "last-region"
	targetServer   = "first-server"
	targetServers  = "third-of-servers"
)

// Scenarios returns the built-in scenarios in the order of the documentation. A zero
// Duration stands for the default, which FindScenario fills in.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "tour", Summary: "a server drains, a VM dies and another stops as planned", Events: []Event{
			{At: 3 * time.Second, Action: ActionDrainServer, Target: targetServer},
			{At: 5 * time.Second, Action: ActionKillVM, Target: targetSecondVM},
			{At: 8 * time.Second, Action: ActionStopVM, Target: targetFirstVM},
		}},
		{Name: "quiet", Summary: "the quiet load alone"},
		{Name: "flood-low", Summary: "the least urgent work at ten times the capacity", Flood: []Load{{Kind: "bulk", Share: 10}}},
		{Name: "flood-urgent", Summary: "urgent work at ten times the capacity", Flood: []Load{{Kind: "urgent", Share: 10}}},
		{Name: "flood-account", Summary: "one client account at twenty times its load", Flood: []Load{{Kind: "urgent", Account: "first", Share: 4}}},
		{Name: "hot-zone", Summary: "urgent clients of one zone ask for twice what its servers can do", Flood: []Load{{Kind: "urgent", Share: 0.25, OneZone: true}}},
		singleEvent("vm-loss", "an entry VM dies", Event{Action: ActionKillVM, Target: targetFirstVM}),
		{Name: "two-vm-loss", Summary: "two entry VMs die together", Events: []Event{
			{At: defaultEventTime, Action: ActionKillVM, Target: targetFirstVM},
			{At: defaultEventTime, Action: ActionKillVM, Target: targetSecondVM},
		}},
		singleEvent("region-loss", "a region's entry VMs and servers die", Event{Action: ActionKillRegion, Target: targetRegion}),
		singleEvent("region-return", "a region's entry VMs and servers die and are replaced", Event{Action: ActionBounceRegion, Duration: faultDuration}),
		{Name: "shift-cap", Summary: "a region dies under a cap far below its traffic", ShiftCap: 15, Events: []Event{{At: defaultEventTime, Action: ActionKillRegion}}},
		{Name: "link-cap", Summary: "large transfers of two regions cross links that carry a third of them", LinkBytes: 8 * mebibyte, SingleRegion: true},
		singleEvent("silent", "open connections to a third of the servers go silent", Event{Action: ActionSilenceServers, Target: targetServers}),
		singleEvent("misleading-reports", "a third of the servers report no load and good health while they shed", Event{Action: ActionMisleadReports, Target: targetServers}),
		singleEvent("measurements-stop", "every load report stops", Event{Action: ActionStopReports}),
		singleEvent("store-down", "the store is down for the whole run", Event{Action: ActionStoreDown}),
		singleEvent("store-slow", "the store is slow for the whole run", Event{Action: ActionStoreSlow}),
		singleEvent("answer-lost", "the store loses answers after writes took effect, while operators change parameters", Event{Action: ActionAnswerLost}),
		singleEvent("paused-lease-holder", "leases lapse while their holders still run", Event{Action: ActionPauseLeaseHolder, Duration: faultDuration}),
		singleEvent("partition-zone", "a zone is cut off and comes back", Event{Action: ActionCutZone, Target: targetZone, Duration: faultDuration}),
		singleEvent("partition-region", "a region is cut off and comes back", Event{Action: ActionCutRegion, Target: targetRegion, Duration: faultDuration}),
		{Name: "config-race", Summary: "two operators make 200 changes at once", Duration: configRaceDuration,
			Events: []Event{{At: defaultEventTime, Action: ActionRaceOperators}}},
		singleEvent("drain-zone", "a zone drains as planned", Event{Action: ActionDrainZone, Target: targetZone}),
		singleEvent("drain-server", "a server drains as planned", Event{Action: ActionDrainServer, Target: targetServer}),
		{Name: "rolling-restart", Summary: "every entry VM is stopped and replaced in turn", Duration: 24 * time.Second,
			Events: []Event{{At: 2 * time.Second, Action: ActionRollingRestart}}},
	}
}

// singleEvent returns a scenario with one event, by default at defaultEventTime.
func singleEvent(name, summary string, e Event) Scenario {
	if e.At == 0 {
		e.At = defaultEventTime
	}
	return Scenario{Name: name, Summary: summary, Events: []Event{e}}
}

// nameSeparator separates the names of scenarios that run together.
const nameSeparator = "+"

// FindScenario returns the scenario called name with its defaults filled in. Names
// joined by a plus sign combine the events, floods and caps of their scenarios; the
// events of a name given twice occur twice, the second time later and, for faults of
// VMs, regions and zones, at other targets. It reports false for an unknown name.
func FindScenario(name string) (Scenario, bool) {
	joined := Scenario{Name: name, Duration: defaultDuration}
	var summaries []string
	seen := make(map[string]int)
	for part := range strings.SplitSeq(name, nameSeparator) {
		s, ok := findBuiltin(part)
		if !ok {
			return Scenario{}, false
		}
		summaries = append(summaries, s.Summary)
		joined.merge(s.repeated(seen[part]))
		seen[part]++
	}
	joined.Summary = strings.Join(summaries, "; ")
	return joined, true
}

// findBuiltin returns the built-in scenario called name.
func findBuiltin(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// repetitionDelay is the time between two occurrences of a repeated fault.
const repetitionDelay = 2 * time.Second

// repeated returns the n-th repetition of the scenario, later and with other targets.
func (s Scenario) repeated(n int) Scenario {
	events := make([]Event, 0, len(s.Events))
	for _, e := range s.Events {
		e.At += time.Duration(n) * repetitionDelay
		e.Repetition = n
		events = append(events, e)
	}
	s.Events = events
	return s
}

// merge combines other with the scenario. The lower of two caps applies.
func (s *Scenario) merge(other Scenario) {
	s.Duration = max(s.Duration, other.Duration)
	s.Events = append(s.Events, other.Events...)
	s.Flood = append(s.Flood, other.Flood...)
	s.ShiftCap = lowerCap(s.ShiftCap, other.ShiftCap)
	s.LinkBytes = lowerCap(s.LinkBytes, other.LinkBytes)
	s.SingleRegion = s.SingleRegion || other.SingleRegion
}

// lowerCap returns the lower of two caps, where zero means no cap.
func lowerCap(a, b int64) int64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}
