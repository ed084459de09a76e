package config

import (
	"maps"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

// ageResolution is the unit in which watchers report the age of evidence. Ages
// are rounded up.
const ageResolution = 250 * time.Millisecond

// evidence is a state reported by another entry VM: at the time at, its active
// revision was revision and it had no open acknowledgement of a later one.
type evidence struct {
	revision model.Revision
	at       time.Time
}

// zoneEvidence is evidence reported by the watcher of a zone. Each time belongs
// to a different slot of the zone in the document of revision.
type zoneEvidence struct {
	revision model.Revision
	times    []time.Time
}

// ageCount is the compact form of evidence: the evidence of Slots slots is at
// most Steps times ageResolution old.
type ageCount struct {
	_     struct{} `cbor:",toarray"`
	Steps int
	Slots int
}

// evidenceTimes returns the times of the evidence for those slots of a zone
// that had no revision above r active or acknowledged.
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

// encodeAges returns the compact form of times. It leaves out those older than
// ConfirmationTTL, which confirm nothing.
func encodeAges(times []time.Time, now time.Time) []ageCount {
	slots := make(map[int]int)
	for _, at := range times {
		age := max(now.Sub(at), 0)
		if age <= ConfirmationTTL {
			slots[int((age+ageResolution-1)/ageResolution)]++
		}
	}
	var counts []ageCount
	for _, steps := range slices.Sorted(maps.Keys(slots)) {
		counts = append(counts, ageCount{Steps: steps, Slots: slots[steps]})
	}
	return counts
}

// decodeAges returns the times that counts represent, at most limit. Ages are
// subtracted from sentAt, the time at which the request was sent, which makes
// the results lower bounds.
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

// majorityTime returns the latest time at which more than half of the slots had
// no newer revision active or acknowledged. A commit needs the acknowledgement
// of more than half of the slots, so none was made before that time.
func majorityTime(slots int, times []time.Time) (time.Time, bool) {
	needed := majority(slots)
	if slots == 0 || len(times) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1], true
}
