package steer

import (
	"time"

	"fuchsiaspar/internal/model"
)

// fit says whether a place can take one shifted request.
type fit uint8

// The fits, the ones closest to a success last.
const (
	fitNoServer fit = iota
	fitUnreachable
	fitDraining
	fitCrowded
	fitRamping
	fitYes
)

// reason returns the reason for refusing a request when no place fits better.
func (f fit) reason() model.Reason {
	switch f {
	case fitUnreachable:
		return model.ReasonPeerUnreachable
	case fitDraining:
		return model.ReasonPlaceDraining
	case fitCrowded:
		return model.ReasonQueueFull
	case fitRamping:
		return model.ReasonPlaceRamping
	default:
		return model.ReasonNoServer
	}
}

// place is one availability zone as a destination of one service.
type place struct {
	state ZoneState
	ramp  ramp
	// shiftedAtUpdate is the count of shifted requests that the latest state
	// already includes in Busy and Queued.
	shiftedAtUpdate int
}

func newPlace(opts RouterOptions) *place {
	return &place{ramp: ramp{opts: opts}}
}

// update adopts a new state. A place that returns after a loss ramps up for
// all traffic.
func (p *place) update(now time.Time, z ZoneState, known bool) {
	lost := known && !p.available()
	p.state = z
	if lost && p.available() {
		p.ramp.restart(now)
	}
	p.ramp.expire(now)
	p.shiftedAtUpdate = p.ramp.shifted
}

// available reports that the place can be reached and has servers.
func (p *place) available() bool { return p.state.Reachable && p.state.Slots > 0 }

// usable reports that the place may serve new requests.
func (p *place) usable() bool { return p.available() && !p.state.Draining }

// returningFull reports that the place has returned after a loss and that its
// ramp is full, home traffic included.
func (p *place) returningFull(now time.Time, entries int) bool {
	if !p.ramp.returning {
		return false
	}
	p.ramp.expire(now)
	return p.ramp.full(p.ramp.home+p.ramp.shifted, p.state.Slots, entries)
}

// fits says whether one more shifted request fits now.
func (p *place) fits(now time.Time, entries int) fit {
	switch {
	case !p.state.Reachable:
		return fitUnreachable
	case p.state.Slots <= 0:
		return fitNoServer
	case p.state.Draining:
		return fitDraining
	}
	p.ramp.expire(now)
	p.ramp.beginShift(now)
	if p.ramp.full(p.ramp.shifted, p.state.Slots, entries) {
		return fitRamping
	}
	if p.room(entries) <= 0 {
		return fitCrowded
	}
	return fitYes
}

// roomShares is how many equal parts of the free slots one entry VM may take,
// since not all of them shift at the same time. Owners refuse what is too much.
const roomShares = 2

// room returns how many more shifted requests this entry VM may send before
// the next state.
func (p *place) room(entries int) int {
	free := p.state.Slots - p.state.Busy - p.state.Queued
	if free <= 0 {
		return 0
	}
	part := min(max(free*roomShares/entries, 1), free)
	sent := max(p.ramp.shifted-p.shiftedAtUpdate, 0)
	return part - sent
}

// congested reports whether a request would wait for longer than one request
// takes.
func (p *place) congested() bool { return p.state.Queued > p.state.Slots }

func (p *place) serve(now time.Time) Choice {
	p.ramp.addHome(now)
	return Choice{Zone: p.state.Zone, OK: true}
}

func (p *place) startShift(now time.Time) { p.ramp.addShifted(now) }

func (p *place) finish(now time.Time, answered bool) {
	p.ramp.finish(now, answered)
	p.shiftedAtUpdate = min(p.shiftedAtUpdate, p.ramp.shifted)
}
