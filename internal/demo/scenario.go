package demo

import (
	"strings"
	"time"

	"fuchsiaspar/internal/model"
)

// Load is a stream of requests of one kind. Rates are shares of what the
// service's servers can answer, spread over the zones.
type Load struct {
	Kind    string
	Account model.AccountID
	// Share is the offered rate as a share of the service's capacity.
	Share float64
	// OneZone sends all of it from the clients of the first zone.
	OneZone bool
	From    time.Duration
	To      time.Duration
}

// Event is a fault or an operator's action at one instant.
type Event struct {
	At     time.Duration
	Action Action
	// Target names what the action is done to: a VM, zone, region or server.
	Target string
	// For is how long the fault lasts; zero means to the end.
	For time.Duration
	// Nth is zero for the first event of its kind in a combination; later ones
	// strike other targets.
	Nth int
}

// Action is what an event does.
type Action string

// The actions of events.
const (
	ActionKillVM        Action = "kill-vm"
	ActionKillRegion    Action = "kill-region"
	ActionBounceRegion  Action = "bounce-region"
	ActionStopVM        Action = "stop-vm"
	ActionRestartAll    Action = "rolling-restart"
	ActionSilence       Action = "silence-server"
	ActionMislead       Action = "mislead-reports"
	ActionStopReports   Action = "stop-reports"
	ActionStoreDown     Action = "store-down"
	ActionStoreSlow     Action = "store-slow"
	ActionAnswerLost    Action = "answer-lost"
	ActionPauseLeases   Action = "pause-lease-holder"
	ActionCutZone       Action = "cut-zone"
	ActionCutRegion     Action = "cut-region"
	ActionDrainZone     Action = "drain-zone"
	ActionDrainServer   Action = "drain-server"
	ActionRaceOperators Action = "race-operators"
)

// Scenario is a table of loads and events over a bounded time.
type Scenario struct {
	Name     string
	Summary  string
	Duration time.Duration
	Events   []Event
	// Flood adds to the quiet load of every kind.
	Flood []Load
	// ShiftCap and LinkBytes replace the deployment's caps when positive.
	ShiftCap  int64
	LinkBytes int64
	// OnePlace keeps the servers of the second service in the first region, so
	// that the transfers of the other regions cross links.
	OnePlace bool
}

const (
	// eventAt is when the fault of most scenarios strikes.
	eventAt = 4 * time.Second
	// scenarioTime is how long most scenarios offer load.
	scenarioTime = 12 * time.Second
	// raceTime is long enough for 200 changes across regions.
	raceTime = 60 * time.Second
	// faultTime is how long a fault that heals lasts.
	faultTime = 4 * time.Second
)

// Targets that a deployment resolves.
const (
	targetFirstVM  = "first-vm"
	targetSecondVM = "second-vm"
	targetZone     = "last-zone"
	targetRegion   = "last-region"
	targetServer   = "first-server"
	targetServers  = "third-of-servers"
)

// Scenarios returns the built-in scenarios in the order of the documentation.
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
		one("vm-loss", "an entry VM dies", Event{Action: ActionKillVM, Target: targetFirstVM}),
		{Name: "two-vm-loss", Summary: "two entry VMs die together", Events: []Event{
			{At: eventAt, Action: ActionKillVM, Target: targetFirstVM},
			{At: eventAt, Action: ActionKillVM, Target: targetSecondVM},
		}},
		one("region-loss", "a region's entry VMs and servers die", Event{Action: ActionKillRegion, Target: targetRegion}),
		one("region-return", "a region's entry VMs and servers die and are replaced", Event{Action: ActionBounceRegion, For: faultTime}),
		{Name: "shift-cap", Summary: "a region dies under a cap far below its traffic", ShiftCap: 15, Events: []Event{{At: eventAt, Action: ActionKillRegion}}},
		{Name: "link-cap", Summary: "large transfers of two regions cross links that carry a third of them", LinkBytes: 8 * mebibyte, OnePlace: true},
		one("silent", "open connections to a third of the servers go silent", Event{Action: ActionSilence, Target: targetServers}),
		one("misleading-reports", "a third of the servers report no load and good health while they shed", Event{Action: ActionMislead, Target: targetServers}),
		one("measurements-stop", "every load report stops", Event{Action: ActionStopReports}),
		one("store-down", "the store is down for the whole run", Event{Action: ActionStoreDown}),
		one("store-slow", "the store is slow for the whole run", Event{Action: ActionStoreSlow}),
		one("answer-lost", "the store loses answers after writes took effect, while operators change parameters", Event{Action: ActionAnswerLost}),
		one("paused-lease-holder", "leases lapse while their holders still run", Event{Action: ActionPauseLeases, For: faultTime}),
		one("partition-zone", "a zone is cut off and comes back", Event{Action: ActionCutZone, Target: targetZone, For: faultTime}),
		one("partition-region", "a region is cut off and comes back", Event{Action: ActionCutRegion, Target: targetRegion, For: faultTime}),
		{Name: "config-race", Summary: "two operators make 200 changes at once", Duration: raceTime,
			Events: []Event{{At: eventAt, Action: ActionRaceOperators}}},
		one("drain-zone", "a zone drains as planned", Event{Action: ActionDrainZone, Target: targetZone}),
		one("drain-server", "a server drains as planned", Event{Action: ActionDrainServer, Target: targetServer}),
		{Name: "rolling-restart", Summary: "every entry VM is stopped and replaced in turn", Duration: 24 * time.Second,
			Events: []Event{{At: 2 * time.Second, Action: ActionRestartAll}}},
	}
}

func one(name, summary string, e Event) Scenario {
	if e.At == 0 {
		e.At = eventAt
	}
	return Scenario{Name: name, Summary: summary, Events: []Event{e}}
}

// nameSeparator joins the names of scenarios that are played at once.
const nameSeparator = "+"

// FindScenario returns the scenario called name with its defaults filled in.
// Names joined by a plus sign stand for all their events and floods together;
// a name that stands there twice strikes twice.
func FindScenario(name string) (Scenario, bool) {
	joined := Scenario{Name: name, Duration: scenarioTime}
	var summaries []string
	seen := make(map[string]int)
	for part := range strings.SplitSeq(name, nameSeparator) {
		s, ok := findOne(part)
		if !ok {
			return Scenario{}, false
		}
		summaries = append(summaries, s.Summary)
		joined.add(s.again(seen[part]))
		seen[part]++
	}
	joined.Summary = strings.Join(summaries, "; ")
	return joined, true
}

func findOne(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// repeatAfter is the time between two strikes of one fault.
const repeatAfter = 2 * time.Second

// again returns the scenario as its n-th repetition, later and elsewhere.
func (s Scenario) again(n int) Scenario {
	events := make([]Event, 0, len(s.Events))
	for _, e := range s.Events {
		e.At += time.Duration(n) * repeatAfter
		e.Nth = n
		events = append(events, e)
	}
	s.Events = events
	return s
}

// add plays other at the same time. Of two different caps the lower one holds.
func (s *Scenario) add(other Scenario) {
	s.Duration = max(s.Duration, other.Duration)
	s.Events = append(s.Events, other.Events...)
	s.Flood = append(s.Flood, other.Flood...)
	s.ShiftCap = lowerCap(s.ShiftCap, other.ShiftCap)
	s.LinkBytes = lowerCap(s.LinkBytes, other.LinkBytes)
	s.OnePlace = s.OnePlace || other.OnePlace
}

func lowerCap(a, b int64) int64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}
