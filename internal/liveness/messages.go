package liveness

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

// hasNews reports whether the message may change at once which VMs count as alive. Beats
// of VMs that don't leave are only those of VMs that are heard already, and a region that
// is heard again can wait for the next round.
func (m Message) hasNews() bool {
	leaves := func(beat byte) bool { return beat&leavingBit != 0 }
	return len(m.States)+len(m.Heartbeats) > 0 || slices.ContainsFunc(m.Beats, leaves)
}

// States increments this VM's heartbeat and returns at most limit states: this
// VM's and those that advanced most recently.
func (t *Table) States(limit int, now time.Time) []MemberState {
	t.self.Heartbeat++
	heard := t.recentlyHeard(now)
	states := []MemberState{t.self}
	for _, m := range heard[:min(len(heard), limit-1)] {
		states = append(states, m.state)
	}
	return states
}

// NextMessage increments this VM's heartbeat, begins a round and returns its message to
// the VMs of the region, with at most maxStates states and at most maxHeartbeats
// heartbeats. The VMs that advanced most recently come first. explicit asks for
// heartbeats with process IDs.
func (t *Table) NextMessage(maxStates, maxHeartbeats int, explicit bool, now time.Time, random *rand.Rand) Message {
	t.beginRound(now)
	return t.message(maxStates, maxHeartbeats, explicit, now, random)
}

func (t *Table) beginRound(now time.Time) {
	t.rounds++
	t.self.Heartbeat++
	t.pruneDead(now)
	t.heard = t.heardInRegion(now)
	if set := hashProcesses(t.heard); set != t.set {
		t.set, t.setSince = set, now
	}
}

// message returns the message of the current round to the VMs of the region.
func (t *Table) message(maxStates, maxHeartbeats int, explicit bool, now time.Time, random *rand.Rand) Message {
	heard := t.recentlyHeard(now)
	msg := t.news(heard, maxStates, maxHeartbeats, now, random)
	// While processes come and go, VMs hear different ones.
	if explicit || now.Sub(t.setSince) < fullStateDuration {
		msg.States = append(msg.States, t.self)
		stated := map[model.VMID]bool{}
		for _, state := range msg.States {
			stated[state.VM.Name] = true
		}
		for _, m := range heard {
			if !t.isRemote(m) && !stated[m.state.VM.Name] && len(msg.Heartbeats) < maxHeartbeats {
				msg.Heartbeats = append(msg.Heartbeats, m.heartbeat())
			}
		}
		return msg
	}
	msg.Set = t.set
	for _, m := range t.heard {
		beat := byte(m.state.Heartbeat & counterBits)
		if m.state.Leaving {
			beat |= leavingBit
		}
		msg.Beats = append(msg.Beats, beat)
	}
	return msg
}

// news returns what is new: the states of new processes and a few others, and of the other
// regions the latest beats and the VMs whose state changed.
func (t *Table) news(heard []*member, maxStates, maxHeartbeats int, now time.Time, random *rand.Rand) Message {
	msg := Message{Regions: t.recentBeats(now)}
	for _, m := range heard {
		if now.Sub(m.firstSeen) < fullStateDuration && m.gossiped && len(msg.States) < maxStates-2 {
			msg.States = append(msg.States, m.state)
			continue
		}
		if t.isRemote(m) && now.Sub(m.changedAt) < fullStateDuration && len(msg.Heartbeats) < maxHeartbeats {
			msg.Heartbeats = append(msg.Heartbeats, m.heartbeat())
		}
	}
	for _, m := range t.members {
		if m.gone && now.Sub(m.changedAt) < fullStateDuration && len(msg.Heartbeats) < maxHeartbeats {
			msg.Heartbeats = append(msg.Heartbeats, m.heartbeat())
		}
	}
	if random.IntN(redundantInterval) == 0 {
		if i := random.IntN(len(heard) + 1); i == len(heard) {
			msg.States = append(msg.States, t.self)
		} else {
			msg.States = append(msg.States, heard[i].state)
		}
	}
	return msg
}

func (m *member) heartbeat() Heartbeat {
	return Heartbeat{ProcessID: m.processID, Counter: m.state.Heartbeat, Leaving: m.state.Leaving, Gone: m.gone}
}

// RegionMessage returns the message of the current round to other regions and its
// receivers, if this VM is a representative and it is its turn. Besides the news it lists
// the VMs of this region that leave or are gone, and sometimes all of them.
func (t *Table) RegionMessage(maxStates, maxHeartbeats int, now time.Time, random *rand.Rand) (Message, []catalog.VM) {
	place, own := 0, 1
	for _, m := range t.members {
		if !t.isRemote(m) && t.isAlive(m, now, false) {
			own++
			if catalog.CompareRank(m.state.VM, t.self.VM) < 0 {
				place++
			}
		}
	}
	if turns := min(representatives, own); place >= turns || t.rounds%turns != place {
		return Message{}, nil
	}
	heard := t.recentlyHeard(now)
	msg := t.news(heard, maxStates, maxHeartbeats, now, random)
	msg.States = append(msg.States, t.self)
	msg.Regions = append(msg.Regions, RegionBeat{Region: t.self.VM.Region, ProcessID: processHash(t.self.VM), Counter: t.self.Heartbeat})
	all := t.rounds%fullListRounds < representatives
	for _, m := range t.members {
		if t.isRemote(m) || !m.gossiped || len(msg.Heartbeats) >= maxHeartbeats {
			continue
		}
		silent := now.Sub(m.lastAdvanced)
		heartbeat := m.heartbeat()
		heartbeat.Gone = silent >= aliveTimeout
		switch {
		case all, now.Sub(m.changedAt) < fullStateDuration, silent >= aliveTimeout && silent < aliveTimeout+fullStateDuration:
			msg.Heartbeats = append(msg.Heartbeats, heartbeat)
		}
	}
	return msg, t.regionTargets(now, random)
}

// regionTargets returns a representative of each other region, in turn, or any of its VMs
// if none counts as alive.
func (t *Table) regionTargets(now time.Time, random *rand.Rand) []catalog.VM {
	alive, dead := map[model.Region][]catalog.VM{}, map[model.Region][]catalog.VM{}
	for _, m := range t.members {
		region := m.state.VM.Region
		switch {
		case !t.isRemote(m):
		case t.isAlive(m, now, true):
			alive[region] = append(alive[region], m.state.VM)
		default:
			dead[region] = append(dead[region], m.state.VM)
		}
	}
	var targets []catalog.VM
	for _, vms := range alive {
		slices.SortFunc(vms, catalog.CompareRank)
		targets = append(targets, vms[t.rounds/representatives%min(representatives, len(vms))])
	}
	for region, vms := range dead {
		if len(alive[region]) == 0 || random.IntN(fullListRounds) == 0 {
			targets = append(targets, vms[random.IntN(len(vms))])
		}
	}
	return targets
}

// Targets returns the receivers of a message in the region: the successors of this VM in
// count orders of the VMs that may be alive, and a random one of those that count as dead,
// so that a healed partition is noticed. The successors stay the same while the VMs do, so
// that few links are open.
func (t *Table) Targets(count int, now time.Time, random *rand.Rand) []catalog.VM {
	var alive, dead []catalog.VM
	for _, m := range t.members {
		switch {
		case t.isRemote(m):
		case t.isAlive(m, now, true) || t.isHeard(m, now):
			alive = append(alive, m.state.VM)
		default:
			dead = append(dead, m.state.VM)
		}
	}
	var targets []catalog.VM
	for order := range min(count, len(alive)) {
		targets = append(targets, t.successor(alive, order, targets))
	}
	if len(dead) > 0 {
		slices.SortFunc(dead, func(a, b catalog.VM) int { return cmp.Compare(a.Name, b.Name) })
		targets = append(targets, dead[random.IntN(len(dead))])
	}
	return targets
}

// successor returns the VM that follows this one in a circle ordered by a hash of the
// names, without those already chosen.
func (t *Table) successor(vms []catalog.VM, order int, chosen []catalog.VM) catalog.VM {
	position := func(name model.VMID) uint64 {
		h := fnv.New64a()
		// Writing to a hash never fails.
		_, _ = fmt.Fprint(h, name, " ", order)
		return h.Sum64() * 0x9e3779b97f4a7c15
	}
	own := position(t.self.VM.Name)
	var next catalog.VM
	least := uint64(math.MaxUint64)
	for _, vm := range vms {
		taken := slices.ContainsFunc(chosen, func(c catalog.VM) bool { return c.Name == vm.Name })
		if distance := position(vm.Name) - own; !taken && distance <= least {
			next, least = vm, distance
		}
	}
	return next
}
