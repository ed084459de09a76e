package steer

import (
	"time"

	"fuchsiaspar/internal/model"
)

// shiftEligibility tells whether a zone can take one shifted request, or why not.
type shiftEligibility uint8

// Values of shiftEligibility. When no zone is eligible, the refusal carries the
// reason of the highest value found.
const (
	ineligibleNoServer shiftEligibility = iota
	ineligibleUnreachable
	ineligibleDraining
	ineligibleFull
	ineligibleRamping
	eligible
)

// reason returns the refusal reason for a request when no zone is more eligible.
func (f shiftEligibility) reason() model.Reason {
	switch f {
	case ineligibleUnreachable:
		return model.ReasonPeerUnreachable
	case ineligibleDraining:
		return model.ReasonPlaceDraining
	case ineligibleFull:
		return model.ReasonQueueFull
	case ineligibleRamping:
		return model.ReasonPlaceRamping
	default:
		return model.ReasonNoServer
	}
}

// destination is an availability zone that may serve requests of one service.
type destination struct {
	state ZoneState
	ramp  ramp
	// shiftedAtUpdate is the count of this VM's shifted requests that the
	// current state already includes in Busy and Queued.
	shiftedAtUpdate int
}

func newDestination(opts RouterOptions) *destination {
	return &destination{ramp: ramp{opts: opts}}
}

// update replaces the state of the zone. When a known zone becomes available
// again, it restarts the ramp for home and shifted traffic.
func (d *destination) update(now time.Time, z ZoneState, known bool) {
	lost := known && !d.available()
	d.state = z
	if lost && d.available() {
		d.ramp.restart(now)
	}
	d.ramp.expire(now)
	d.shiftedAtUpdate = d.ramp.shifted
}

// available reports whether the zone is reachable and has slots.
func (d *destination) available() bool { return d.state.Reachable && d.state.Slots > 0 }

// usable reports whether the zone may serve new home requests.
func (d *destination) usable() bool { return d.available() && !d.state.Draining }

// recoveryRampFull reports whether the zone is recovering from an outage and its
// outstanding home and shifted requests fill the ramp.
func (d *destination) recoveryRampFull(now time.Time, entryCount int) bool {
	if !d.ramp.recovering {
		return false
	}
	d.ramp.expire(now)
	return d.ramp.full(d.ramp.home+d.ramp.shifted, d.state.Slots, entryCount)
}

// shiftEligibility reports whether the zone can take one more shifted request. It
// restarts the ramp if the zone has had no shifted traffic for RampIdle.
func (d *destination) shiftEligibility(now time.Time, entryCount int) shiftEligibility {
	switch {
	case !d.state.Reachable:
		return ineligibleUnreachable
	case d.state.Slots <= 0:
		return ineligibleNoServer
	case d.state.Draining:
		return ineligibleDraining
	}
	d.ramp.expire(now)
	d.ramp.restartIfIdle(now)
	if d.ramp.full(d.ramp.shifted, d.state.Slots, entryCount) {
		return ineligibleRamping
	}
	if d.remainingShifts(entryCount) <= 0 {
		return ineligibleFull
	}
	return eligible
}

// freeSlotOvercommit multiplies an entry VM's equal share of the free slots.
// Not all entry VMs shift requests at the same time, and the owners of the servers
// refuse requests beyond their capacity.
const freeSlotOvercommit = 2

// remainingShifts returns how many more shifted requests this entry VM may send
// to the zone before its next state update.
func (d *destination) remainingShifts(entryCount int) int {
	free := d.state.Slots - d.state.Busy - d.state.Queued
	if free <= 0 {
		return 0
	}
	share := min(max(free*freeSlotOvercommit/entryCount, 1), free)
	sent := max(d.ramp.shifted-d.shiftedAtUpdate, 0)
	return share - sent
}

// congested reports whether more requests are queued than there are slots, so
// that a new request would wait for longer than one request takes.
func (d *destination) congested() bool { return d.state.Queued > d.state.Slots }

// acceptHome counts a home request as outstanding and returns its choice.
func (d *destination) acceptHome(now time.Time) Choice {
	d.ramp.addHome(now)
	return Choice{Zone: d.state.Zone, OK: true}
}

// acceptShift counts a shifted request as outstanding.
func (d *destination) acceptShift(now time.Time) { d.ramp.addShifted(now) }

// finish removes a finished request from the outstanding ones.
func (d *destination) finish(now time.Time, answered bool) {
	d.ramp.finish(now, answered)
	d.shiftedAtUpdate = min(d.shiftedAtUpdate, d.ramp.shifted)
}
