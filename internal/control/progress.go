package control

import (
	"fmt"
	"sync"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/fleet"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"
)

// drainProgress tracks the progress of the drains in force at this entry VM.
type drainProgress struct {
	mu sync.Mutex
	// states is keyed by drain ID.
	states map[string]fleet.DrainState
}

// update counts the requests in flight at the target of each active drain. It
// records a decision when a drain starts or its target becomes empty or not empty.
func (p *drainProgress) update(in inputs, pools *owner.Pools, entryActive int64, recorder explain.Recorder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]fleet.DrainState)
	for _, d := range in.config.Document().Drains {
		if d.Active(in.now) {
			next[d.ID] = p.advance(in, d, inFlight(in, d, pools, entryActive))
			p.explain(in, d, next[d.ID], recorder)
		}
	}
	p.states = next
}

// advance returns the new state of a drain. Drained is the time from the start of
// the drain until count was first seen at zero.
func (p *drainProgress) advance(in inputs, d config.Drain, count int) fleet.DrainState {
	previous := p.states[d.ID]
	state := fleet.DrainState{ID: d.ID, InFlight: count, Empty: count == 0}
	switch {
	case count > 0:
	case previous.Empty:
		state.Drained = previous.Drained
	default:
		state.Drained = in.now.Sub(d.Start)
	}
	return state
}

// explain records the state of a drain if the drain is new or its target became
// empty or not empty.
func (p *drainProgress) explain(in inputs, d config.Drain, current fleet.DrainState, recorder explain.Recorder) {
	previous, known := p.states[d.ID]
	if known && previous.Empty == current.Empty {
		return
	}
	detail := fmt.Sprintf("drain %s of %s %s: %d requests in flight here", d.ID, d.Kind, d.Target, current.InFlight)
	if current.Empty {
		detail = fmt.Sprintf("drain %s of %s %s: empty here %s after its start", d.ID, d.Kind, d.Target, current.Drained)
	}
	recorder.Record(explain.Decision{
		At:       in.now,
		Kind:     explain.KindDrain,
		Revision: in.config.Revision(),
		Account:  d.Account,
		Detail:   detail,
	})
}

// inFlight returns how many requests of this VM are in flight at the target of a
// drain.
func inFlight(in inputs, d config.Drain, pools *owner.Pools, entryActive int64) int {
	if d.Kind == config.DrainEntry {
		if model.VMID(d.Target) == in.view.Self {
			return int(entryActive)
		}
		return 0
	}
	count := 0
	for key, servers := range pools.InFlight() {
		for server, n := range servers {
			if drainCovers(in, d, key.Zone, server) {
				count += n
			}
		}
	}
	return count
}

// drainCovers reports whether a server in zone belongs to the target of a drain.
func drainCovers(in inputs, d config.Drain, zone model.Zone, server model.ServerID) bool {
	switch d.Kind {
	case config.DrainServer:
		return string(server) == d.Target
	case config.DrainZone:
		return string(zone) == d.Target
	default:
		region, _ := in.config.ZoneRegion(zone)
		return string(region) == d.Target
	}
}

// list returns the states of all drains in force, in no particular order.
func (p *drainProgress) list() []fleet.DrainState {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]fleet.DrainState, 0, len(p.states))
	for _, s := range p.states {
		list = append(list, s)
	}
	return list
}
