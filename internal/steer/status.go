package steer

import (
	"time"

	"fuchsiaspar/internal/model"
)

// ZoneStatus is the state of a service in one availability zone as the router of
// one entry VM sees it.
type ZoneStatus struct {
	State ZoneState
	// Home and Shifted count this VM's outstanding requests in the zone.
	Home    int
	Shifted int
	// Ramping reports whether the ramp limits shifted traffic.
	Ramping bool
	// RampLimit is how many outstanding requests the ramp allows this VM.
	RampLimit int
	// Recovering reports whether the ramp limits home traffic too, after an
	// outage of the zone.
	Recovering bool
}

// ZoneStatuses returns the status of each zone of a service in failover order,
// nil for an unknown service.
func (r *Router) ZoneStatuses(now time.Time, service model.ServiceName) []ZoneStatus {
	s := r.service(service)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := make([]ZoneStatus, 0, len(s.order))
	for _, p := range s.order {
		statuses = append(statuses, p.status(now, int(r.entryCount.Load())))
	}
	return statuses
}

func (d *destination) status(now time.Time, entryCount int) ZoneStatus {
	d.ramp.expire(now)
	return ZoneStatus{
		State:      d.state,
		Home:       d.ramp.home,
		Shifted:    d.ramp.shifted,
		Ramping:    !d.ramp.warm,
		RampLimit:  d.ramp.limit(d.state.Slots, entryCount),
		Recovering: d.ramp.recovering,
	}
}
