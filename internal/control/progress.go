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

// progress follows the drains in force at this entry VM.
type progress struct {
	mu     sync.Mutex
	states map[string]fleet.DrainState
}

// update notes what is still in flight at the target of each active drain.
func (p *progress) update(in inputs, pools *owner.Pools, entryActive int64, recorder explain.Recorder) {
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

func (p *progress) advance(in inputs, d config.Drain, count int) fleet.DrainState {
	old := p.states[d.ID]
	state := fleet.DrainState{ID: d.ID, InFlight: count, Empty: count == 0}
	switch {
	case count > 0:
	case old.Empty:
		state.Drained = old.Drained
	default:
		state.Drained = in.now.Sub(d.Start)
	}
	return state
}

// explain records that a drain came into force and that its target is empty.
func (p *progress) explain(in inputs, d config.Drain, now fleet.DrainState, recorder explain.Recorder) {
	old, known := p.states[d.ID]
	if known && old.Empty == now.Empty {
		return
	}
	detail := fmt.Sprintf("drain %s of %s %s: %d requests in flight here", d.ID, d.Kind, d.Target, now.InFlight)
	if now.Empty {
		detail = fmt.Sprintf("drain %s of %s %s: empty here %s after its start", d.ID, d.Kind, d.Target, now.Drained)
	}
	recorder.Record(explain.Decision{
		At:       in.now,
		Kind:     explain.KindDrain,
		Revision: in.config.Revision(),
		Account:  d.Account,
		Detail:   detail,
	})
}

// inFlight counts the requests of this VM that run at the target of a drain.
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
			if hits(in, d, key.Zone, server) {
				count += n
			}
		}
	}
	return count
}

func hits(in inputs, d config.Drain, zone model.Zone, server model.ServerID) bool {
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

func (p *progress) list() []fleet.DrainState {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]fleet.DrainState, 0, len(p.states))
	for _, s := range p.states {
		list = append(list, s)
	}
	return list
}
