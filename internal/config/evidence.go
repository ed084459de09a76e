package config

import (
	"maps"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

// ageStep is the grain of the ages that watchers pass on, rounded up.
const ageStep = 250 * time.Millisecond

// evidence is what is known of another entry VM: at the instant at it had
// revision in force and no open acknowledgement of a later one.
type evidence struct {
	revision model.Revision
	at       time.Time
}

// zoneEvidence is what the watcher of a zone passed on: each instant is that
// of the evidence of another slot of the zone in the document of revision.
type zoneEvidence struct {
	revision model.Revision
	instants []time.Time
}

// ageCount is the compact form of evidence: that of Slots slots is at most
// Steps age steps old.
type ageCount struct {
	_     struct{} `cbor:",toarray"`
	Steps int
	Slots int
}

// zoneInstants returns the instants of the evidence of a zone's slots that had
// nothing above revision r in force or acknowledged.
func zoneInstants(slots []Slot, zone model.Zone, known map[model.VMID]evidence, r model.Revision) []time.Time {
	var instants []time.Time
	for _, s := range slots {
		e, ok := known[s.VM]
		if ok && s.Zone == zone && e.revision <= r {
			instants = append(instants, e.at)
		}
	}
	return instants
}

// countAges returns the compact form of instants, leaving out those too old to
// be of use.
func countAges(instants []time.Time, now time.Time) []ageCount {
	slots := make(map[int]int)
	for _, at := range instants {
		age := max(now.Sub(at), 0)
		if age <= ConfirmationTTL {
			slots[int((age+ageStep-1)/ageStep)]++
		}
	}
	var counts []ageCount
	for _, steps := range slices.Sorted(maps.Keys(slots)) {
		counts = append(counts, ageCount{Steps: steps, Slots: slots[steps]})
	}
	return counts
}

// instantsOf returns the instants that counts stand for in a reply that was
// asked for at an instant. No more than limit are returned.
func instantsOf(counts []ageCount, asked time.Time, limit int) []time.Time {
	var instants []time.Time
	for _, c := range counts {
		at := asked.Add(-time.Duration(c.Steps) * ageStep)
		for i := 0; i < c.Slots && len(instants) < limit; i++ {
			instants = append(instants, at)
		}
	}
	return instants
}

// majorityInstant returns the latest instant at which more than half of the
// slots had nothing newer in force or acknowledged. Since a commit needs the
// acknowledgement of more than half of the slots, none was made before it.
func majorityInstant(slots int, instants []time.Time) (time.Time, bool) {
	needed := majority(slots)
	if slots == 0 || len(instants) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(instants, func(a, b time.Time) int { return b.Compare(a) })
	return instants[needed-1], true
}
