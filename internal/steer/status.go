package steer

import (
	"time"

	"fuchsiaspar/internal/model"
)

// PlaceStatus shows one availability zone as one entry VM's router sees it.
type PlaceStatus struct {
	State ZoneState
	// Home and Shifted count this VM's outstanding requests there.
	Home    int
	Shifted int
	// Ramping reports that shifted traffic is limited by RampLimit.
	Ramping   bool
	RampLimit int
	// Returning reports that home traffic is limited as well.
	Returning bool
}

// Places returns the zones of a service in failover order.
func (r *Router) Places(now time.Time, service model.ServiceName) []PlaceStatus {
	s := r.service(service)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := make([]PlaceStatus, 0, len(s.order))
	for _, p := range s.order {
		statuses = append(statuses, p.status(now, int(r.entries.Load())))
	}
	return statuses
}

func (p *place) status(now time.Time, entries int) PlaceStatus {
	p.ramp.expire(now)
	return PlaceStatus{
		State:     p.state,
		Home:      p.ramp.home,
		Shifted:   p.ramp.shifted,
		Ramping:   !p.ramp.warm,
		RampLimit: p.ramp.limit(p.state.Slots, entries),
		Returning: p.ramp.returning,
	}
}
