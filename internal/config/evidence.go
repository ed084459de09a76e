package config

import (
	"maps"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

// ageStep is the grain of the ages that watchers pass on, rounded up.
const ageResolution = 250 * time.Millisecond

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
	times    []time.Time
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
func evidenceTimes(slots []Slot, zone model.Zone, byVM map[model.VMID]evidence, r model.Revision) []time.Time {
	var times []time.Time
	for _, s := range slots {
		e, ok := byVM[s.VM]
		if ok && s.Zone == zone && e.revision <= r {
			times = append(times, e.at)
		}
	}
	return times
}

// countAges returns the compact form of instants, leaving out those too old to
// be of use.
func encodeAges(times []time.Time, now time.Time) []ageCount {
	slots := make(map[int]int)
	for _, at := range times {
		age := max(now.Sub(at), 0)
		if age <= ConfirmFor {
			slots[int((age+ageResolution-1)/ageResolution)]++
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
func decodeAges(counts []ageCount, sentAt time.Time, limit int) []time.Time {
	var times []time.Time
	for _, c := range counts {
		at := sentAt.Add(-time.Duration(c.Steps) * ageResolution)
		for i := 0; i < c.Slots && len(times) < limit; i++ {
			times = append(times, at)
		}
	}
	return times
}

// majorityInstant returns the latest instant at which more than half of the
// slots had nothing newer in force or acknowledged. Since a commit needs the
// acknowledgement of more than half of the slots, none was made before it.
func majorityTime(slots int, times []time.Time) (time.Time, bool) {
	needed := majority(slots)
	if slots == 0 || len(times) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1], true
}
